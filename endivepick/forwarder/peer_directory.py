"""Tracks the known peers and the neighbours among them, without I/O."""

from collections import OrderedDict
from collections.abc import Sequence

__all__ = ["MAX_PEERS", "Neighbours", "PeerDirectory"]

MAX_PEERS = 32
"""Maximum number of known peers; a few that are alive suffice to learn from one."""
NEIGHBOUR_TIMEOUT_S = 2.0
"""Silence after which a neighbour is considered lost; it exceeds the hold time of a
poll."""
LOST_NEIGHBOUR_TTL_S = 30.0
"""How long hellos are sent to a lost neighbour. A planned stop and the following start
take about 3 s; an instance may be back about ten seconds after a power failure."""


class PeerDirectory:
    """Addresses of peers, the most recently active last.

    Parameters
    ----------
    own : str
        Own address, which is never a peer.
    seeds : sequence of str
        Initial addresses; some may be stale.

    Examples
    --------
    >>> directory = PeerDirectory("10.0.0.1:1", ["10.0.0.1:1", "10.0.0.2:1"])
    >>> directory.mark_alive("10.0.0.3:1")
    >>> directory.list_recent(2)
    ['10.0.0.3:1', '10.0.0.2:1']
    """

    def __init__(self, own: str, seeds: Sequence[str]) -> None:
        self._own_address = own
        self._peers: OrderedDict[str, None] = OrderedDict()
        for seed in seeds:
            self.add_candidate(seed)

    def mark_alive(self, address: str) -> None:
        """Move a peer that sent or answered a message to the end."""
        self._peers.pop(address, None)
        if address != self._own_address:
            self._peers[address] = None
        while len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)

    def add_candidate(self, address: str) -> None:
        """Add an address that another peer named, as the least recently active."""
        if address in self._peers or address == self._own_address:
            return
        if len(self._peers) < MAX_PEERS:
            self._peers[address] = None
            self._peers.move_to_end(address, last=False)

    def mark_failed(self, address: str) -> None:
        """Move a peer that did not answer behind all others."""
        if address in self._peers:
            self._peers.move_to_end(address, last=False)

    def list_recent(self, number: int) -> list[str]:
        """Return up to a number of peers, the most recently active first."""
        return list(reversed(self._peers))[:number]


class Neighbours:
    """Instances of the same zone that this one follows or that follow it.

    Scenario: a zone is cut off from the other zones and the store, and one of its
    instances is restarted. It knows no peers but its seeds, which may all be in other
    zones, while its neighbours have the knowledge that it needs and have not yet
    detected the loss of the store. Therefore an instance that misses a neighbour sends
    it hellos until it answers; the hello tells the restarted instance whom to query.

    Examples
    --------
    >>> neighbours = Neighbours()
    >>> neighbours.mark_alive("a", 1.0)
    >>> neighbours.find_lost(2.0), neighbours.find_lost(3.5), neighbours.find_lost(40.0)
    ([], ['a'], [])
    """

    def __init__(self) -> None:
        self._heard_s: dict[str, float] = {}

    def mark_alive(self, address: str, now_s: float) -> None:
        """Record a poll or an answer of a neighbour."""
        self._heard_s[address] = now_s

    def mark_found(self, address: str) -> None:
        """Remove a lost neighbour that has answered a hello."""
        self._heard_s.pop(address, None)

    def find_lost(self, now_s: float) -> list[str]:
        """Return the silent neighbours; remove those that were silent for too long."""
        limit_s = now_s - LOST_NEIGHBOUR_TTL_S
        self._heard_s = {a: s for a, s in self._heard_s.items() if s > limit_s}
        silent_s = now_s - NEIGHBOUR_TIMEOUT_S
        return [address for address, s in self._heard_s.items() if s <= silent_s]
