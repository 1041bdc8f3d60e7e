"""What forwarders tell each other while the store is out of reach.

Load pattern: instances are restarted while the store refuses them.  The fabric turns
to all instances of a zone once fewer than half of them are ready, so those that know
nothing would lose most packets of their zone; an instance that was cut off for long
would go on with old routes and targets.  Any peer's knowledge is better than none, and
the store's revisions say which of two is newer.
"""

import random
from collections.abc import Callable, Iterator, Sequence

import gevent
import msgspec
from gevent.event import Event
from gevent.pool import Pool
from msgspec import Struct, field

from endivepick.addresses import parse_address
from endivepick.clock import steady_now_s
from endivepick.errors import EndivepickError
from endivepick.forwarder.http import Response, json_response, query_fields
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.peer_directory import MAX_PEERS, Neighbours, PeerBook
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed, heard_before_s
from endivepick.forwarding import Configuration, ForwardingCore, Target, TargetState
from endivepick.store import store_connection

__all__ = [
    "HELLO_PATH",
    "HINT_PATH",
    "NEWS_PATH",
    "SNAPSHOT_PATH",
    "SEEN_PATH",
    "PeerFeed",
    "PeerSnapshot",
    "asks_peers",
]

SNAPSHOT_PATH = "/peers/snapshot"
HELLO_PATH = "/peers/hello"
NEWS_PATH = "/peers/news"
"""What a feeder answers, see `endivepick.forwarder.zone_member`."""
SEEN_PATH = "/peers/seen"
"""What an instance that is fed has seen of targets, for its feeder."""
HINT_PATH = "/peers/hint/"
"""Followed by the name of a target that does not answer."""
_FROM = "from"
_CONFIG = "config"
_REGISTRY = "registry"
"""Fields of a question: who asks, and the revisions that it knows."""
TOLD_PEERS = 8
"""Peers that are told to another, the last heard first."""
MAX_ASKED = 8
"""Peers that are asked in one round."""
ASK_AFTER_S = 0.3
"""Wait for the store before peers are asked; it answers within milliseconds."""
ASK_EVERY_S = 1.0
"""How often a peer is asked while the store is out of reach; a third of the time in
which a change has to be in force."""
HELLO_EVERY_S = 10.0
"""How often one peer is greeted, so that peers know of each other in time."""
MAX_HINTS = 16
"""Hints under way at a time; more are left out, since in a partition most fail."""
PASSED_ON = 3
"""Peers to whom a hint is passed on; told by each to three, it reaches nearly all."""
MAX_GREETINGS = 16
"""Greetings of lost neighbours under way at a time."""
CALL_TIMEOUT_S = 0.5
"""Longest wait for a peer; the next one is asked then."""


class PeerSnapshot(Struct, frozen=True):
    """What a forwarder knows, with the store's revisions.

    Attributes
    ----------
    name : str
        Who tells it.
    configuration : Configuration or None
        Configuration in force there; None if the asker has it.
    targets : list of Target or None
        Entries of the registry that are believed there; None if the asker knows as
        much.
    registry_revision : int
        Revision of the store up to which they are known.
    heard_before_s : float
        How long ago the store answered there, in seconds.
    store_lost : bool
        Whether the store is out of reach there as well.
    peers : list of str
        Peers that it knows.
    unreadable : list of str
        Entries of the registry that are there and cannot be read.
    """

    name: str
    configuration: Configuration | None
    targets: list[Target] | None
    registry_revision: int
    heard_before_s: float
    store_lost: bool
    peers: list[str]
    unreadable: list[str] = field(default_factory=list)


_read_snapshot = msgspec.json.Decoder(PeerSnapshot)
_read_peers = msgspec.json.Decoder(list[str])


def asks_peers(ready: bool, store_lost: bool, arriving: bool) -> bool:
    """Whether peers are asked for what they know.

    Load pattern: hundreds of instances start at once, and the lists of thousands of
    targets take longer to arrive than an instance waits before it asks.  What a peer
    knows is as long, and all would ask the same few peers, whose links that fills.

    Parameters
    ----------
    ready : bool
        Routes and targets are known.
    store_lost : bool
        The store did not answer the last call.
    arriving : bool
        Part of a list of the store came just now.
    """
    return store_lost or not (ready or arriving)


class PeerFeed:
    """Task that learns from peers, and answers theirs.

    Parameters
    ----------
    settings : ForwarderSettings
        Name, own address, and peers to begin with.
    core : ForwardingCore
        What is known here.
    feeds : sequence of StoreFeed
        How the store is reached.
    take : callable
        Called with a snapshot of a peer.
    log : BoundedLog
        Where it says what it learnt.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        core: ForwardingCore,
        feeds: Sequence[StoreFeed],
        take: Callable[[PeerSnapshot], None],
        log: BoundedLog,
    ) -> None:
        self._name = settings.name
        self._used = settings.mechanisms
        self._own = settings.reached_at
        self._core = core
        self._feeds = feeds
        self._take = take
        self._log = log
        self.book = PeerBook(self._own, settings.seeds)
        self.neighbours = Neighbours()
        self.stopping = False
        """A neighbour that stops is to be greeted again when it has started."""
        self._hints = Pool(MAX_HINTS)
        self._greetings = Pool(MAX_GREETINGS)
        self._found = Event()

    def run(self) -> None:
        """Greet peers now and then; ask them while the store is out of reach."""
        gevent.sleep(ASK_AFTER_S)
        until_hello_s = 0.0
        while True:
            self._found.clear()
            self._greet_lost()
            if asks_peers(self._core.ready, self._store_lost, self._arriving):
                self._ask()
            elif until_hello_s <= 0:
                self._greet()
                until_hello_s = HELLO_EVERY_S
            self._found.wait(ASK_EVERY_S)
            until_hello_s -= ASK_EVERY_S

    def hint(self, target: str, found_here: bool) -> None:
        """Tell peers that a target does not answer, so that each sees for itself.

        Each instance meets few of a target's flows; without a hint each loses a
        request of its own before it looks.  Whoever was told passes the word on to few,
        so that it costs a large fleet some messages for an instance, not for each pair.

        Parameters
        ----------
        target : str
            The target.
        found_here : bool
            No peer had told it before.
        """
        if not self._used.hints:
            return
        peers = self.book.recent(MAX_PEERS)
        if not found_here:
            peers = random.sample(peers, min(PASSED_ON, len(peers)))
        for address in peers:
            if self._hints.free_count() > 0:
                self._hints.spawn(self._call, address, HINT_PATH + target)

    def answer(self, path: str, query: str) -> Response:
        """Answer a peer."""
        fields = query_fields(query)
        if _is_address(fields.get(_FROM, "")):
            self.book.heard(fields[_FROM])
            if not self._core.ready:
                self._found.set()
        if path == HELLO_PATH and self.stopping:
            return Response(503)
        if path == HELLO_PATH:
            return json_response(self.book.recent(TOLD_PEERS))
        known = (_number(fields, _CONFIG), _number(fields, _REGISTRY))
        snapshot = self._snapshot(*known)
        return Response(503) if snapshot is None else json_response(snapshot)

    @property
    def _arriving(self) -> bool:
        return any(feed.arriving(ASK_AFTER_S) for feed in self._feeds)

    @property
    def _store_lost(self) -> bool:
        return any(feed.lost for feed in self._feeds)

    def _snapshot(self, config: int, registry: int) -> PeerSnapshot | None:
        """Return what is newer than the asker's revisions, None if not ready."""
        configuration = self._core.routes.configuration
        if configuration is None or not self._core.ready:
            return None
        newer = configuration.revision > config
        return PeerSnapshot(
            self._name,
            configuration if newer else None,
            self._targets() if self._core.registry.revision > registry else None,
            self._core.registry.revision,
            heard_before_s(self._feeds),
            self._store_lost,
            self.book.recent(TOLD_PEERS),
            [b.name for b in self._core.registry if b.state is TargetState.UNREADABLE],
        )

    def _targets(self) -> list[Target]:
        named = (TargetState.READY, TargetState.DRAINING, TargetState.LAPSED)
        return [b.target for b in self._core.registry if b.state in named]

    def _greet(self) -> None:
        for address in self.book.recent(1):
            self._hello(address)

    def _greet_lost(self) -> None:
        """Greet neighbours that have fallen silent, beside all else."""
        if not self._used.greet_neighbours:
            return
        for address in self.neighbours.lost(steady_now_s()):
            if self._greetings.free_count() > 0:
                self._greetings.spawn(self._greet_back, address)

    def _greet_back(self, address: str) -> None:
        if self._hello(address):
            self.neighbours.greeted(address)
            self._log.event(
                "peer", "neighbour_found", "lost neighbour answers", peer=address
            )

    def _hello(self, address: str) -> bool:
        """Greet a peer, and learn of others; returns whether it answered."""
        body = self._call(address, f"{HELLO_PATH}?{_FROM}={self._own}")
        if body is None:
            return False
        try:
            self._learn(_read_peers.decode(body))
        except msgspec.MsgspecError as error:
            # A peer of another build; it lives all the same.
            self._say_failed(address, str(error))
        return True

    def _ask(self) -> None:
        """Ask one peer after the other until one is in touch with the store."""
        # At random, so that the few that all know do not get the questions of all.
        peers = self.book.recent(MAX_PEERS)
        asked = random.sample(peers, k=min(MAX_ASKED, len(peers)))
        helped = False
        likely = asked if self._core.ready else self._answering(asked)
        for address in likely:
            body = self._call(address, f"{SNAPSHOT_PATH}?{self._question()}")
            if body is None:
                continue
            try:
                snapshot = _read_snapshot.decode(body)
            except msgspec.MsgspecError as error:
                # A peer of another build; the others may be of this one.
                self._say_failed(address, str(error))
                continue
            self._learn(snapshot.peers)
            self._take(snapshot)
            helped = True
            if not snapshot.store_lost:
                return
        if not helped:
            self._log.warning(
                "peer",
                "peers_silent",
                "no peer could be asked",
                peers=len(asked),
                ready=self._core.ready,
            )

    def _answering(self, addresses: Sequence[str]) -> Iterator[str]:
        """Greet some peers at once, and yield those that answer, the first first.

        One that has just started knows little else than seeds.  Asked one after the
        other, those in other zones would take half a second each in a partition.
        """
        greetings = {
            gevent.spawn(self._hello, address): address for address in addresses
        }
        try:
            for greeting in gevent.iwait(list(greetings)):
                if greeting.value:
                    yield greetings[greeting]
        finally:
            gevent.killall(list(greetings), block=False)

    def _question(self) -> str:
        config = self._core.routes.revision
        registry = self._core.registry.revision if self._core.registry.known else 0
        return f"{_FROM}={self._own}&{_CONFIG}={config}&{_REGISTRY}={registry}"

    def _learn(self, addresses: Sequence[str]) -> None:
        for address in addresses:
            self.book.told(address)

    def _call(self, address: str, path: str) -> bytes | None:
        try:
            with store_connection(address) as connection:
                body = connection.get(path, CALL_TIMEOUT_S)
        except (EndivepickError, ValueError) as error:
            self.book.failed(address)
            self._say_failed(address, str(error))
            return None
        self.book.heard(address)
        return body

    def _say_failed(self, address: str, error: str) -> None:
        self._log.event(
            "peer", "peer_failed", "peer did not help", peer=address, error=error
        )


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def _number(fields: dict[str, str], key: str) -> int:
    text = fields.get(key, "")
    return int(text) if text.isascii() and text.isdigit() else 0
