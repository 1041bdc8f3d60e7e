"""Task that owns the sockets between instances.

Each instance binds one ROUTER socket and connects one DEALER socket to each peer
that it speaks to; messages go one way.  All sockets use CURVE with one key pair
that the instances derive from their shared secret: only its holders can connect,
and keys for tokens travel encrypted.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import gevent
import zmq as zmq_plain
import zmq.green as zmq
from zmq.utils import z85

from endivepick.addresses import parse_address
from endivepick.core.events import PeerMessage
from endivepick.core.peer_envelope import (
    UNKNOWN_KIND,
    AnyPeerMessage,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from endivepick.daemon.logs import PartLog
from endivepick.errors import PacketInvalidError
from endivepick.settings.model import DaemonSettings
from endivepick.timeline.clock import HybridClock

__all__ = ["PeerTask", "PeerTraffic", "derive_curve_keys", "peer_task"]

ZAP_ENDPOINT = "inproc://zeromq.zap.01"
SEND_QUEUE_MESSAGES = 4096
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
HEARTBEAT_MS = 1000
HEARTBEATS_PER_S = 16
"""Heartbeats that this instance sends on all its connections, about."""
HEARTBEATS_MISSED = 3
UNACKNOWLEDGED_MS = 3000
"""Time after which a connection that carries data without an answer is closed."""
HANDSHAKE_MS = 3000
"""Time after which a connection without a finished handshake is made anew."""
LAST_MESSAGES_MS = 300
"""How long the messages of an instance that ends may take, in milliseconds."""
MESSAGE_BYTES_MAX = 64 << 20
CONNECTIONS_MAX = 900
"""Connections kept to peers; the library has 1,023 sockets for a process."""
RENEW_AFTER_S = 3.0
"""Time without a connection after which the socket to a peer is made anew."""
IDLE_S = 30.0
"""Time after which a connection on which nothing was sent is closed."""
IDLE_CHECK_S = 5.0
_log = PartLog("peers")


@dataclass(slots=True)
class _Link:
    """Connection to a peer."""

    address: str
    dealer: Any
    used_s: float
    failing_since_s: float = 0.0
    """When the first send failed after the last that went out; 0 if none did."""


@dataclass
class PeerTraffic:
    """Messages to and from peers since the start.

    Attributes
    ----------
    messages_sent, messages_received : int
        Messages.
    bytes_sent, bytes_received : int
        Their encoded sizes, without encryption and the layers below.
    dropped : dict of str to int
        Messages of peers that could not be read, by reason.
    """

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    dropped: dict[str, int] = field(default_factory=dict)

    def drop(self, reason: str) -> int:
        """Count a message that could not be read; returns how many there were."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return self.dropped[reason]


def derive_curve_keys(secret: bytes) -> tuple[bytes, bytes]:
    """Derive the public and secret CURVE keys of the installation.

    Parameters
    ----------
    secret : bytes
        Secret that all instances share.

    Returns
    -------
    bytes, bytes
        Public and secret key in Z85 form.
    """
    seed = blake2b(secret, digest_size=32, person=b"endivepick-peer").digest()
    secret_key = z85.encode(seed)
    return zmq.curve_public(secret_key), secret_key


class PeerTask:
    """Sends and receives messages between instances.

    Parameters
    ----------
    settings : DaemonSettings
        Peer address and shared secret.
    incarnation : int
        Incarnation of this instance, sent with each message.
    clock : HybridClock
        Its stamps travel with each message.
    deliver : callable
        Takes each ``PeerMessage``.

    Attributes
    ----------
    traffic : PeerTraffic
        What was sent and received.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        incarnation: int,
        clock: HybridClock,
        deliver: Callable[[PeerMessage], None],
    ) -> None:
        self._name = settings.instance.name
        self._incarnation = incarnation
        self._clock = clock
        self._deliver = deliver
        self._keys = derive_curve_keys(settings.secrets.peer_secret)
        self._host, port = parse_address(settings.listen.peer_address)
        self._context = zmq.Context()
        self._zap = self._open_zap()
        self._router = self._open_router(port)
        # The one used last stands last.
        self._links: dict[str, _Link] = {}
        self.traffic = PeerTraffic()

    def _open_zap(self) -> Any:
        zap = self._context.socket(zmq.REP)
        zap.linger = 0
        zap.bind(ZAP_ENDPOINT)
        return zap

    def _open_router(self, port: int) -> Any:
        router = self._context.socket(zmq.ROUTER)
        router.curve_publickey, router.curve_secretkey = self._keys
        router.curve_server = True
        router.linger = 0
        router.rcvhwm = SEND_QUEUE_MESSAGES
        router.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BYTES_MAX)
        wanted = f"tcp://{self._host}:{port or '*'}"
        router.bind(wanted)
        return router

    @property
    def address(self) -> str:
        """Bound address as ``host:port``."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    def run(self) -> None:
        """Receive until the task is killed."""
        plain: zmq_plain.Socket[bytes] = zmq_plain.Socket.shadow(self._router)
        while True:
            # Waits; what has come in meanwhile is taken without its bookkeeping.
            self._take(self._router.recv_multipart()[-1])
            with suppress(zmq.Again):
                while True:
                    self._take(plain.recv_multipart(zmq.NOBLOCK)[-1])

    def _take(self, data: bytes) -> None:
        self.traffic.messages_received += 1
        self.traffic.bytes_received += len(data)
        try:
            envelope = decode_envelope(data)
        except PacketInvalidError as error:
            # Newer builds may send many: the counter tells about the others.
            if self.traffic.drop(error.reason) == 1 or error.reason != UNKNOWN_KIND:
                _log.warning("message_invalid", "message dropped", reason=error.reason)
            return
        self._clock.observe(envelope.clock, time.time())
        self._deliver(
            PeerMessage(envelope.sender, envelope.incarnation, envelope.message)
        )

    def run_zap(self) -> None:
        """Answer the library's questions whether a client may connect.

        Questions and answers have the form of the ZeroMQ authentication protocol
        (RFC 27): the client's public key is the last frame of a question.
        """
        while True:
            frames = self._zap.recv_multipart()
            version, request_id, key = frames[0], frames[1], frames[-1]
            allowed = z85.encode(key) == self._keys[0]
            status = (b"200", b"OK") if allowed else (b"400", b"unknown key")
            self._zap.send_multipart([version, request_id, *status, b"", b""])

    def send(self, name: str, address: str, message: AnyPeerMessage) -> bool:
        """Send to a peer; False if its connection is down or its queue is full."""
        if not address:
            return False
        envelope = Envelope(
            self._name, self._incarnation, self._clock.tick(time.time()), message
        )
        data = encode_envelope(envelope)
        try:
            self._dealer(name, address).send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._note_failure(name)
            kind = type(message).__name__
            _log.debug("message_not_sent", "no connection", peer=name, kind=kind)
            return False
        self._links[name].failing_since_s = 0.0
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(data)
        return True

    def send_to_address(self, address: str, message: AnyPeerMessage) -> bool:
        """Send to the instance at an address, whatever its name is."""
        return self.send(address, address, message)

    def _note_failure(self, name: str) -> None:
        """Give a socket up that has had no connection for a while.

        The library tries no more once something that speaks another protocol has
        answered at the address, even if a peer listens there later.
        """
        link = self._links[name]
        now_s = time.monotonic()
        link.failing_since_s = link.failing_since_s or now_s
        if now_s - link.failing_since_s >= RENEW_AFTER_S:
            self.forget(name)

    def _dealer(self, name: str, address: str) -> Any:
        link = self._links.pop(name, None)
        if link is not None and link.address != address:
            link.dealer.close()
            link = None
        if link is None:
            link = self._new_link(address)
        link.used_s = time.monotonic()
        self._links[name] = link
        return link.dealer

    def _new_link(self, address: str) -> _Link:
        # Once its name is known, an instance keeps the connection made without.
        unnamed = self._links.pop(address, None)
        if unnamed is not None:
            return unnamed
        if len(self._links) >= CONNECTIONS_MAX:
            self.forget(next(iter(self._links)))
        return _Link(address, self._connect(address), 0.0)

    def run_idle(self) -> None:
        """Close connections that nobody uses until the task is killed."""
        while True:
            gevent.sleep(IDLE_CHECK_S)
            self.close_idle(time.monotonic())

    def close_idle(self, now_s: float) -> None:
        """Close the connections that were last used too long ago."""
        while self._links:
            name, link = next(iter(self._links.items()))
            if link.used_s > now_s - IDLE_S:
                return
            self.forget(name)

    def _connect(self, address: str) -> Any:
        # Never waits, so that the waiting of the cooperative class is not needed.
        dealer = self._context.socket(zmq.DEALER, socket_class=zmq_plain.Socket)
        dealer.curve_publickey, dealer.curve_secretkey = self._keys
        dealer.curve_serverkey = self._keys[0]
        dealer.linger = 0
        dealer.sndhwm = SEND_QUEUE_MESSAGES
        # Nothing waits for a connection: what is late is better lost here.
        dealer.immediate = True
        dealer.reconnect_ivl = RECONNECT_MS
        dealer.reconnect_ivl_max = RECONNECT_MAX_MS
        # Heartbeats only begin after it, and the library would wait for 30 s.
        dealer.handshake_ivl = HANDSHAKE_MS
        every_ms = HEARTBEAT_MS * max(1, len(self._links) // HEARTBEATS_PER_S)
        dealer.heartbeat_ivl = every_ms
        dealer.heartbeat_timeout = HEARTBEATS_MISSED * every_ms
        dealer.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        dealer.connect(f"tcp://{self._host}:0;{address}")
        return dealer

    def forget(self, name: str) -> None:
        """Close the connection to a peer that is gone."""
        link = self._links.pop(name, None)
        if link is not None:
            link.dealer.close()

    def close(self) -> None:
        """Close all sockets; the last messages still go out."""
        for link in self._links.values():
            link.dealer.close(linger=LAST_MESSAGES_MS)
        self._router.close()
        self._zap.close()
        self._context.term()


@contextmanager
def peer_task(
    settings: DaemonSettings,
    incarnation: int,
    clock: HybridClock,
    deliver: Callable[[PeerMessage], None],
) -> Iterator[PeerTask]:
    """Run the task while the context is open."""
    task = PeerTask(settings, incarnation, clock, deliver)
    parts = (task.run_zap, task.run, task.run_idle)
    readers = [gevent.spawn(part) for part in parts]
    try:
        yield task
    finally:
        gevent.killall(readers)
        task.close()
