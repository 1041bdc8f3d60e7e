"""Task that owns the sockets for messages between instances.

Each instance binds one ROUTER socket to receive and connects one DEALER socket to
each peer that it sends to.  All sockets use CURVE with one key pair, which the
instances derive from their shared secret: only holders of the secret can connect,
and token keys are encrypted in transit.
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
QUEUE_MESSAGES_MAX = 4096
RECONNECT_DELAY_MS = 50
RECONNECT_DELAY_MAX_MS = 500
HEARTBEAT_PERIOD_MS = 1000
HEARTBEATS_PER_S = 16
"""Approximate rate of heartbeats that this instance sends on all connections."""
MISSED_HEARTBEATS_MAX = 3
RETRANSMISSION_TIMEOUT_MS = 3000
"""Time after which a connection with unacknowledged data is closed."""
HANDSHAKE_TIMEOUT_MS = 3000
"""Time after which a connection with an incomplete handshake is reopened."""
CLOSE_LINGER_MS = 300
"""Time for sending the last messages when an instance ends."""
MESSAGE_BYTES_MAX = 64 << 20
CONNECTIONS_MAX = 900
"""Open connections to peers; the library allows 1,023 sockets per process."""
RECREATE_SOCKET_AFTER_S = 3.0
"""Time without a connection after which the socket to a peer is recreated."""
IDLE_TIMEOUT_S = 30.0
"""Time without a sent message after which a connection is closed."""
IDLE_CHECK_PERIOD_S = 5.0
_log = PartLog("peers")


@dataclass(slots=True)
class _PeerConnection:
    """Connection to a peer."""

    address: str
    dealer: Any
    last_used_s: float
    first_failure_s: float = 0.0
    """Time of the first failed send since the last successful one; 0 if none failed."""


@dataclass
class PeerTraffic:
    """Messages to and from peers since the start.

    Attributes
    ----------
    messages_sent, messages_received : int
        Number of messages.
    bytes_sent, bytes_received : int
        Encoded size of the messages, without encryption and lower layers.
    dropped : dict of str to int
        Number of received messages that could not be decoded, by reason.
    """

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    dropped: dict[str, int] = field(default_factory=dict)

    def count_dropped(self, reason: str) -> int:
        """Count a message that could not be decoded; return the new count."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return self.dropped[reason]


def derive_curve_keys(secret: bytes) -> tuple[bytes, bytes]:
    """Derive the public and secret CURVE keys of the installation.

    Parameters
    ----------
    secret : bytes
        Secret shared by all instances.

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
        Settings with the peer address and the shared secret.
    incarnation : int
        Incarnation of this instance, sent with each message.
    clock : HybridClock
        Clock whose time stamps are sent in each message.
    deliver : callable
        Called with each ``PeerMessage``.

    Attributes
    ----------
    traffic : PeerTraffic
        Counts of sent and received messages.
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
        self._zap = self._bind_zap()
        self._router = self._bind_router(port)
        # Ordered by last use; the most recently used connection is last.
        self._connections: dict[str, _PeerConnection] = {}
        self.traffic = PeerTraffic()

    def _bind_zap(self) -> Any:
        zap = self._context.socket(zmq.REP)
        zap.linger = 0
        zap.bind(ZAP_ENDPOINT)
        return zap

    def _bind_router(self, port: int) -> Any:
        router = self._context.socket(zmq.ROUTER)
        router.curve_publickey, router.curve_secretkey = self._keys
        router.curve_server = True
        router.linger = 0
        router.rcvhwm = QUEUE_MESSAGES_MAX
        router.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BYTES_MAX)
        bind_endpoint = f"tcp://{self._host}:{port or '*'}"
        router.bind(bind_endpoint)
        return router

    @property
    def address(self) -> str:
        """Bound address as ``host:port``."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    def run(self) -> None:
        """Receive messages until the task is killed."""
        plain: zmq_plain.Socket[bytes] = zmq_plain.Socket.shadow(self._router)
        while True:
            # The green socket blocks for one message; further queued messages are read
            # from the plain socket, which avoids the overhead of the green one.
            self._receive_message(self._router.recv_multipart()[-1])
            with suppress(zmq.Again):
                while True:
                    self._receive_message(plain.recv_multipart(zmq.NOBLOCK)[-1])

    def _receive_message(self, data: bytes) -> None:
        self.traffic.messages_received += 1
        self.traffic.bytes_received += len(data)
        try:
            envelope = decode_envelope(data)
        except PacketInvalidError as error:
            # Newer builds may send many messages of unknown kinds: only the first is
            # logged, the counter covers the others.
            if (
                self.traffic.count_dropped(error.reason) == 1
                or error.reason != UNKNOWN_KIND
            ):
                _log.warning(
                    "message_invalid",
                    "message could not be decoded; dropped",
                    reason=error.reason,
                )
            return
        self._clock.observe(envelope.clock, time.time())
        self._deliver(
            PeerMessage(envelope.sender, envelope.incarnation, envelope.message)
        )

    def run_authentication(self) -> None:
        """Answer authentication requests of the library for connecting clients.

        Requests and replies follow the ZeroMQ authentication protocol (RFC 27): the
        public key of the client is the last frame of a request.
        """
        while True:
            frames = self._zap.recv_multipart()
            version, request_id, key = frames[0], frames[1], frames[-1]
            allowed = z85.encode(key) == self._keys[0]
            status = (b"200", b"OK") if allowed else (b"400", b"unknown key")
            self._zap.send_multipart([version, request_id, *status, b"", b""])

    def send(self, name: str, address: str, message: AnyPeerMessage) -> bool:
        """Send to a peer; return False if it is not connected or its queue is full."""
        if not address:
            return False
        envelope = Envelope(
            self._name, self._incarnation, self._clock.tick(time.time()), message
        )
        data = encode_envelope(envelope)
        try:
            self._get_dealer(name, address).send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._record_send_failure(name)
            kind = type(message).__name__
            _log.debug(
                "message_not_sent",
                "no connection to the peer or send queue full",
                peer=name,
                kind=kind,
            )
            return False
        self._connections[name].first_failure_s = 0.0
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(data)
        return True

    def send_to_address(self, address: str, message: AnyPeerMessage) -> bool:
        """Send to the instance at an address whose name is not known."""
        return self.send(address, address, message)

    def _record_send_failure(self, name: str) -> None:
        """Record a failed send; close the connection after some seconds of failures.

        The next send then recreates it.

        The library stops reconnecting once a server of another protocol has answered
        at the address, even if a peer listens there later.
        """
        connection = self._connections[name]
        now_s = time.monotonic()
        connection.first_failure_s = connection.first_failure_s or now_s
        if now_s - connection.first_failure_s >= RECREATE_SOCKET_AFTER_S:
            self.close_connection(name)

    def _get_dealer(self, name: str, address: str) -> Any:
        connection = self._connections.pop(name, None)
        if connection is not None and connection.address != address:
            connection.dealer.close()
            connection = None
        if connection is None:
            connection = self._create_connection(address)
        connection.last_used_s = time.monotonic()
        self._connections[name] = connection
        return connection.dealer

    def _create_connection(self, address: str) -> _PeerConnection:
        # A connection opened by address is reused once the name is known.
        unnamed = self._connections.pop(address, None)
        if unnamed is not None:
            return unnamed
        if len(self._connections) >= CONNECTIONS_MAX:
            self.close_connection(next(iter(self._connections)))
        return _PeerConnection(address, self._create_dealer(address), 0.0)

    def run_idle_checks(self) -> None:
        """Close idle connections periodically until the task is killed."""
        while True:
            gevent.sleep(IDLE_CHECK_PERIOD_S)
            self.close_idle_connections(time.monotonic())

    def close_idle_connections(self, now_s: float) -> None:
        """Close the connections whose idle time has expired."""
        while self._connections:
            name, connection = next(iter(self._connections.items()))
            if connection.last_used_s > now_s - IDLE_TIMEOUT_S:
                return
            self.close_connection(name)

    def _create_dealer(self, address: str) -> Any:
        # All calls are non-blocking, so the plain socket class suffices.
        dealer = self._context.socket(zmq.DEALER, socket_class=zmq_plain.Socket)
        dealer.curve_publickey, dealer.curve_secretkey = self._keys
        dealer.curve_serverkey = self._keys[0]
        dealer.linger = 0
        dealer.sndhwm = QUEUE_MESSAGES_MAX
        # Do not queue while disconnected: stale messages are dropped instead of
        # delivered late.
        dealer.immediate = True
        dealer.reconnect_ivl = RECONNECT_DELAY_MS
        dealer.reconnect_ivl_max = RECONNECT_DELAY_MAX_MS
        # Heartbeats start after the handshake; the default timeout is 30 s.
        dealer.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        heartbeat_ms = HEARTBEAT_PERIOD_MS * max(
            1, len(self._connections) // HEARTBEATS_PER_S
        )
        dealer.heartbeat_ivl = heartbeat_ms
        dealer.heartbeat_timeout = MISSED_HEARTBEATS_MAX * heartbeat_ms
        dealer.setsockopt(zmq.TCP_MAXRT, RETRANSMISSION_TIMEOUT_MS)
        dealer.connect(f"tcp://{self._host}:0;{address}")
        return dealer

    def close_connection(self, name: str) -> None:
        """Close the connection to a peer."""
        connection = self._connections.pop(name, None)
        if connection is not None:
            connection.dealer.close()

    def close(self) -> None:
        """Close all sockets after a short linger for the last messages."""
        for connection in self._connections.values():
            connection.dealer.close(linger=CLOSE_LINGER_MS)
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
    loops = (task.run_authentication, task.run, task.run_idle_checks)
    readers = [gevent.spawn(loop) for loop in loops]
    try:
        yield task
    finally:
        gevent.killall(readers)
        task.close()
