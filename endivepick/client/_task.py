"""Socket task of a caller: owns the UDP socket and the protocol core."""

import time
from collections import Counter
from collections.abc import Iterable

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.queue import Empty, SimpleQueue

from endivepick.client._core import (
    Action,
    CallerCore,
    Completed,
    EventArrived,
    FlowOpened,
    HeadArrived,
    OpenFailed,
    RequestCall,
    SendDatagram,
    WriteLog,
)
from endivepick.client._messages import (
    AbandonOpen,
    CancelRequest,
    CloseFlow,
    DatagramsArrived,
    OpenFlow,
    RequestSink,
    SendRequest,
    Stop,
    TaskMessage,
)
from endivepick.client.errors import CallerClosed, NotRun, OpenError, OutcomeUnknown
from endivepick.client.settings import CallerSettings
from endivepick.daemon.logs import PartLog

__all__ = ["SocketTask"]

RECEIVE_BUFFER_BYTES = 4 << 20
MAX_DATAGRAM_BYTES = 2048
DATAGRAMS_PER_MESSAGE = 64
MAX_WAIT_S = 1.0

_log = PartLog("caller")


class SocketTask:
    """Task that owns one UDP socket and the protocol core.

    Other greenlets communicate with it by messages in `inbox`.

    Parameters
    ----------
    settings : CallerSettings
        Settings of the caller.

    Attributes
    ----------
    inbox : gevent.queue.SimpleQueue
        Messages to the task.
    """

    def __init__(self, settings: CallerSettings) -> None:
        self.inbox: SimpleQueue[TaskMessage] = SimpleQueue()
        self._core = CallerCore(settings)
        self._pending_opens: dict[int, AsyncResult[int | OpenError]] = {}
        self._sinks: dict[int, RequestSink] = {}
        self._flow_ids: set[int] = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.connect(settings.fabric)
        self._socket.setblocking(False)

    @property
    def counts(self) -> Counter[str]:
        """Protocol counters, by name.

        They cover dropped, duplicate and retransmitted packets, polls and socket
        errors.
        """
        return self._core.counts

    def run(self) -> None:
        """Process messages until `Stop`, then close all flows and the socket."""
        reader = gevent.spawn(self._read)
        try:
            while self._step():
                pass
        finally:
            reader.kill()
            self._socket.close()
            self._end_pending()

    def _step(self) -> bool:
        message = self._next_message()
        if isinstance(message, Stop):
            self._stop()
            return False
        if message is not None:
            self._on_message(message)
        now_s = time.monotonic()
        if now_s >= self._core.next_tick_at_s:
            self._perform(self._core.tick(now_s))
        return True

    def _next_message(self) -> TaskMessage | None:
        wait_s = self._core.next_tick_at_s - time.monotonic()
        try:
            if wait_s <= 0:
                return self.inbox.get_nowait()
            return self.inbox.get(timeout=min(wait_s, MAX_WAIT_S))
        except Empty:
            return None

    def _on_message(self, message: TaskMessage) -> None:
        now_s = time.monotonic()
        match message:
            case DatagramsArrived(datagrams):
                for datagram in datagrams:
                    self._perform(self._core.datagram(datagram, now_s))
            case OpenFlow():
                self._open(message, now_s)
            case SendRequest():
                self._request(message, now_s)
            case CancelRequest(request_id):
                self._perform(self._core.cancel(request_id, now_s))
            case AbandonOpen(open_id):
                self._pending_opens.pop(open_id, None)
                self._perform(self._core.abandon(open_id, now_s))
            case CloseFlow(flow_id):
                self._flow_ids.discard(flow_id)
                self._perform(self._core.close(flow_id, now_s))

    def _open(self, message: OpenFlow, now_s: float) -> None:
        self._pending_opens[message.open_id] = message.opened
        deadline_at_s = now_s + message.timeout_s
        actions = self._core.open(
            message.open_id, message.service, deadline_at_s, now_s
        )
        self._perform(actions)

    def _request(self, message: SendRequest, now_s: float) -> None:
        self._sinks[message.request_id] = message.sink
        call = RequestCall(
            request_id=message.request_id,
            flow_id=message.flow_id,
            head=message.head,
            idempotent=message.idempotent,
            deadline_at_s=now_s + message.timeout_s,
        )
        self._perform(self._core.request(call, now_s))

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendDatagram(datagram):
                    self._send(datagram)
                case EventArrived(request_id, event):
                    if not self._sinks[request_id].on_event(event):
                        self.inbox.put(CancelRequest(request_id))
                case HeadArrived(request_id, head):
                    self._sinks[request_id].on_head(head)
                case Completed(request_id, result):
                    self._sinks.pop(request_id).on_end(result)
                case WriteLog():
                    _write_log(action)
                case FlowOpened(open_id, flow_id):
                    self._flow_ids.add(flow_id)
                    self._pending_opens.pop(open_id).set(flow_id)
                case OpenFailed(open_id, error):
                    self._pending_opens.pop(open_id).set(error)

    def _send(self, datagram: bytes) -> None:
        try:
            self._socket.send(datagram)
        except OSError:
            # No route or no listening fabric. The core retransmits the datagram
            # as it does after a packet loss.
            self.counts["send_failed"] += 1

    def _stop(self) -> None:
        now_s = time.monotonic()
        for flow_id in self._flow_ids:
            self._perform(self._core.close(flow_id, now_s))

    def _end_pending(self) -> None:
        """Complete all pending calls, also when the task fails."""
        self._refuse_unread_messages()
        for opened in self._pending_opens.values():
            opened.set(CallerClosed())
        for sink in self._sinks.values():
            sink.on_end(OutcomeUnknown("the caller was closed"))

    def _refuse_unread_messages(self) -> None:
        while not self.inbox.empty():
            match self.inbox.get():
                case OpenFlow(opened=opened):
                    opened.set(CallerClosed())
                case SendRequest(sink=sink):
                    sink.on_end(NotRun("the caller is closed"))

    def _read(self) -> None:
        while True:
            socket.wait_read(self._socket.fileno())
            datagrams = self._receive()
            if datagrams:
                self.inbox.put(DatagramsArrived(datagrams))
                gevent.sleep(0)

    def _receive(self) -> list[bytes]:
        datagrams: list[bytes] = []
        try:
            while len(datagrams) < DATAGRAMS_PER_MESSAGE:
                datagrams.append(self._socket.recv(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            pass
        except OSError:
            # A connected UDP socket reports an unreachable peer on receive.
            self.counts["receive_failed"] += 1
        return datagrams


def _write_log(entry: WriteLog) -> None:
    ids: dict[str, int] = {"flow": entry.flow_id}
    if entry.binding is not None:
        ids["binding"] = entry.binding
    if entry.seq:
        _log.debug(entry.name, entry.message, seq=entry.seq, **ids)
    else:
        _log.event(entry.name, entry.message, **ids)
