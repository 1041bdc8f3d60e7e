"""Exchanges knowledge between forwarders while the store is unreachable.

Scenario: instances are restarted while the store refuses their calls. The fabric
sends flows to all instances of a zone once fewer than half of them are ready, so
instances without routes and targets would drop most packets of their zone; an instance
that was cut off for long would use old routes and targets. The knowledge of any peer is
better than none, and the store's revisions show which of two states is newer.
"""

import random
from collections.abc import Callable, Iterator, Sequence

import gevent
import msgspec
from gevent.event import Event
from gevent.pool import Pool
from msgspec import Struct, field

from endivepick.addresses import is_address
from endivepick.clock import steady_now_s
from endivepick.errors import EndivepickError, MessageInvalidError
from endivepick.forwarder.http import Response, json_response, parse_query
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.message_decoding import decode_message
from endivepick.forwarder.peer_directory import MAX_PEERS, Neighbours, PeerDirectory
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed, get_time_since_answer_s
from endivepick.forwarding import (
    Configuration,
    EvacuationSnapshot,
    ForwardingCore,
    Target,
    TargetState,
)
from endivepick.forwarding.message_fields import AgeS, Revision
from endivepick.store import store_connection

__all__ = [
    "HELLO_PATH",
    "HINT_PATH",
    "LOAD_PATH",
    "NEWS_PATH",
    "SNAPSHOT_PATH",
    "SEEN_PATH",
    "PeerExchange",
    "PeerSnapshot",
    "should_query_peers",
]

SNAPSHOT_PATH = "/peers/snapshot"
HELLO_PATH = "/peers/hello"
NEWS_PATH = "/peers/news"
"""Path of a feeder's news, see `endivepick.forwarder.zone_member`."""
SEEN_PATH = "/peers/seen"
"""Path of a follower's reports about targets to its feeder."""
LOAD_PATH = "/peers/load"
"""Path of the load that a feeder knows, see `endivepick.forwarder.load_exchange`."""
HINT_PATH = "/peers/hint/"
"""Prefix of a hint, followed by the name of a target that does not answer."""
_FROM = "from"
_CONFIG = "config"
_REGISTRY = "registry"
"""Query fields: the address of the querying peer, and the revisions that it knows."""
_REVISION_DIGITS = 19
"""Maximum number of digits of a revision, which is below 2**63."""
MAX_SHARED_PEERS = 8
"""Maximum number of peers in an answer, the most recently active first."""
MAX_QUERIED_PEERS = 8
"""Maximum number of peers that are queried in one round."""
INITIAL_STORE_WAIT_S = 0.3
"""Time for which the store is awaited before peers are queried; it answers within
milliseconds."""
PEER_QUERY_PERIOD_S = 1.0
"""Period of the queries while the store is unreachable; a third of the time within
which a change must be in force."""
HELLO_PERIOD_S = 10.0
"""Period at which one peer is sent a hello, so that peers learn of each other in
time."""
MAX_PENDING_HINTS = 16
"""Maximum number of hints in progress; more are dropped, since in a partition most
fail."""
HINT_FAN_OUT = 3
"""Number of peers to which a received hint is forwarded; with a fan-out of three, it
reaches nearly all instances."""
MAX_PENDING_HELLOS = 16
"""Maximum number of hellos to lost neighbours in progress."""
CALL_TIMEOUT_S = 0.5
"""Timeout of a call to a peer, after which the next one is queried."""


class PeerSnapshot(Struct, frozen=True):
    """Knowledge of a forwarder, with the store's revisions.

    Attributes
    ----------
    name : str
        Name of the instance that answers.
    configuration : Configuration or None
        Configuration in force there; None if the querying peer has it.
    targets : list of Target or None
        Valid registry entries there; None if the querying peer's revision is as
        new.
    registry_revision : int
        Revision of the store up to which the entries are known.
    heard_before_s : float
        Time since the store last answered there, in seconds.
    store_lost : bool
        Whether the store is unreachable from there as well.
    peers : list of str
        Addresses of peers known there.
    unreadable : list of str
        Names of registry entries that exist and cannot be read.
    evacuations : EvacuationSnapshot or None
        Evacuated zones, None if they are not known there.
    """

    name: str
    configuration: Configuration | None
    targets: list[Target] | None
    registry_revision: Revision
    heard_before_s: AgeS
    store_lost: bool
    peers: list[str]
    unreadable: list[str] = field(default_factory=list)
    evacuations: EvacuationSnapshot | None = None


_snapshot_decoder = msgspec.json.Decoder(PeerSnapshot)
_peers_decoder = msgspec.json.Decoder(list[str])


def should_query_peers(ready: bool, store_lost: bool, arriving: bool) -> bool:
    """Return whether to query peers for their knowledge.

    Scenario: hundreds of instances start at once, and the lists of thousands of
    targets take longer to arrive than an instance waits before it queries peers. A
    peer's snapshot is as large as these lists, and the queries of all instances would
    saturate the links of the same few peers.

    Parameters
    ----------
    ready : bool
        Whether routes and targets are known.
    store_lost : bool
        Whether the last call of the store failed.
    arriving : bool
        Whether part of a list of the store has just arrived.
    """
    return store_lost or not (ready or arriving)


class PeerExchange:
    """Task that learns from peers and answers their queries.

    Parameters
    ----------
    settings : ForwarderSettings
        Name, own address, and seed peers.
    core : ForwardingCore
        Routes and registry of this instance.
    feeds : sequence of StoreFeed
        State of the connections to the store.
    apply_snapshot : callable
        Called with a peer's snapshot.
    log : BoundedLog
        Log of the exchanges.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        core: ForwardingCore,
        feeds: Sequence[StoreFeed],
        apply_snapshot: Callable[[PeerSnapshot], None],
        log: BoundedLog,
    ) -> None:
        self._name = settings.name
        self._mechanisms = settings.mechanisms
        self._own_address = settings.advertised_address
        self._core = core
        self._feeds = feeds
        self._apply_snapshot = apply_snapshot
        self._log = log
        self.directory = PeerDirectory(self._own_address, settings.seeds)
        self.neighbours = Neighbours()
        self.stopping = False
        """Whether hellos are refused, so that neighbours go on sending them until this
        instance has started again."""
        self._pending_hints = Pool(MAX_PENDING_HINTS)
        self._pending_hellos = Pool(MAX_PENDING_HELLOS)
        self._peer_heard = Event()

    def run(self) -> None:
        """Send hellos periodically; query peers while the store is unreachable."""
        gevent.sleep(INITIAL_STORE_WAIT_S)
        until_hello_s = 0.0
        while True:
            self._peer_heard.clear()
            self._hello_lost_neighbours()
            if should_query_peers(self._core.ready, self._store_lost, self._arriving):
                self._query_peers()
            elif until_hello_s <= 0:
                self._hello_recent_peer()
                until_hello_s = HELLO_PERIOD_S
            self._peer_heard.wait(PEER_QUERY_PERIOD_S)
            until_hello_s -= PEER_QUERY_PERIOD_S

    def hint(self, target: str, detected_locally: bool) -> None:
        """Notify peers that a target does not answer, so that each verifies it.

        Each instance handles few of a target's flows; without a hint, each would lose a
        request of its own before it probes the target. An instance that received the
        hint forwards it to few peers, so that the number of messages grows with the
        instances of a fleet and not with the pairs of instances.

        Parameters
        ----------
        target : str
            Name of the target.
        detected_locally : bool
            Whether this instance detected it, rather than a peer.
        """
        if not self._mechanisms.hints:
            return
        peers = self.directory.list_recent(MAX_PEERS)
        if not detected_locally:
            peers = random.sample(peers, min(HINT_FAN_OUT, len(peers)))
        for address in peers:
            if self._pending_hints.free_count() > 0:
                self._pending_hints.spawn(self._call, address, HINT_PATH + target)

    def answer(self, path: str, query: str) -> Response:
        """Answer a peer's hello or query."""
        fields = parse_query(query)
        if is_address(fields.get(_FROM, "")):
            self.directory.mark_alive(fields[_FROM])
            if not self._core.ready:
                self._peer_heard.set()
        if path == HELLO_PATH and self.stopping:
            return Response(503)
        if path == HELLO_PATH:
            return json_response(self.directory.list_recent(MAX_SHARED_PEERS))
        known = (_parse_number(fields, _CONFIG), _parse_number(fields, _REGISTRY))
        snapshot = self._make_snapshot(*known)
        return Response(503) if snapshot is None else json_response(snapshot)

    @property
    def _arriving(self) -> bool:
        return any(feed.is_receiving_list(INITIAL_STORE_WAIT_S) for feed in self._feeds)

    @property
    def _store_lost(self) -> bool:
        return any(feed.lost for feed in self._feeds)

    def _make_snapshot(self, config: int, registry: int) -> PeerSnapshot | None:
        """Return news since the querying peer's revisions; None if not ready."""
        configuration = self._core.routes.configuration
        if configuration is None or not self._core.ready:
            return None
        newer = configuration.revision > config
        return PeerSnapshot(
            self._name,
            configuration if newer else None,
            self._list_targets() if self._core.registry.revision > registry else None,
            self._core.registry.revision,
            get_time_since_answer_s(self._feeds),
            self._store_lost,
            self.directory.list_recent(MAX_SHARED_PEERS),
            [b.name for b in self._core.registry if b.state is TargetState.UNREADABLE],
            self._core.evacuations.zones.make_snapshot(),
        )

    def _list_targets(self) -> list[Target]:
        named = (TargetState.READY, TargetState.DRAINING, TargetState.LAPSED)
        return [b.target for b in self._core.registry if b.state in named]

    def _hello_recent_peer(self) -> None:
        for address in self.directory.list_recent(1):
            self._send_hello(address)

    def _hello_lost_neighbours(self) -> None:
        """Send hellos to silent neighbours in the background."""
        if not self._mechanisms.greet_neighbours:
            return
        for address in self.neighbours.find_lost(steady_now_s()):
            if self._pending_hellos.free_count() > 0:
                self._pending_hellos.spawn(self._hello_neighbour, address)

    def _hello_neighbour(self, address: str) -> None:
        if self._send_hello(address):
            self.neighbours.mark_found(address)
            self._log.event(
                "peer",
                "neighbour_found",
                "silent neighbour answers again",
                peer=address,
            )

    def _send_hello(self, address: str) -> bool:
        """Send a hello to a peer and learn of others; return whether it answered."""
        body = self._call(address, f"{HELLO_PATH}?{_FROM}={self._own_address}")
        if body is None:
            return False
        try:
            addresses = decode_message(_peers_decoder, body)
        except MessageInvalidError as error:
            # A peer of another build; it is alive all the same.
            self._log_failure(address, str(error))
        else:
            self._add_candidates(addresses)
        return True

    def _query_peers(self) -> None:
        """Query peers in turn until one has contact with the store."""
        # The random choice spreads the queries beyond the few peers that all instances
        # know.
        peers = self.directory.list_recent(MAX_PEERS)
        queried = random.sample(peers, k=min(MAX_QUERIED_PEERS, len(peers)))
        answered = False
        candidates = queried if self._core.ready else self._find_responsive(queried)
        for address in candidates:
            body = self._call(address, f"{SNAPSHOT_PATH}?{self._format_query()}")
            if body is None:
                continue
            try:
                snapshot = decode_message(_snapshot_decoder, body)
            except MessageInvalidError as error:
                # A peer of another build; the others may be of this one.
                self._log_failure(address, str(error))
                continue
            self._add_candidates(snapshot.peers)
            self._apply_snapshot(snapshot)
            answered = True
            if not snapshot.store_lost:
                return
        if not answered:
            self._log.warning(
                "peer",
                "peers_silent",
                "no peer returned a usable snapshot",
                peers=len(queried),
                ready=self._core.ready,
            )

    def _find_responsive(self, addresses: Sequence[str]) -> Iterator[str]:
        """Send hellos to several peers at once and yield those that answer first.

        An instance that has just started knows little more than its seeds. Querying
        them in turn would take half a second for each seed in a zone that is cut off.
        """
        greetings = {
            gevent.spawn(self._send_hello, address): address for address in addresses
        }
        try:
            for greeting in gevent.iwait(list(greetings)):
                if greeting.value:
                    yield greetings[greeting]
        finally:
            gevent.killall(list(greetings), block=False)

    def _format_query(self) -> str:
        config = self._core.routes.revision
        registry = self._core.registry.revision if self._core.registry.known else 0
        return f"{_FROM}={self._own_address}&{_CONFIG}={config}&{_REGISTRY}={registry}"

    def _add_candidates(self, addresses: Sequence[str]) -> None:
        for address in addresses:
            self.directory.add_candidate(address)

    def _call(self, address: str, path: str) -> bytes | None:
        try:
            with store_connection(address) as connection:
                body = connection.get(path, CALL_TIMEOUT_S)
        except (EndivepickError, ValueError) as error:
            self.directory.mark_failed(address)
            self._log_failure(address, str(error))
            return None
        self.directory.mark_alive(address)
        return body

    def _log_failure(self, address: str, error: str) -> None:
        self._log.event(
            "peer",
            "peer_failed",
            "request to a peer failed or its answer is invalid",
            peer=address,
            error=error,
        )


def _parse_number(fields: dict[str, str], key: str) -> int:
    text = fields.get(key, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= _REVISION_DIGITS
    return int(text) if is_number else 0
