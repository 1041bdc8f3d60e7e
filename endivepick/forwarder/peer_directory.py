"""Peers that an instance knows, and the neighbours among them: decided without I/O."""

from collections import OrderedDict
from collections.abc import Sequence

__all__ = ["MAX_PEERS", "Neighbours", "PeerBook"]

MAX_PEERS = 32
"""Peers that are remembered; a few that live are enough to learn from one."""
SILENT_AFTER_S = 2.0
"""From then on a neighbour is taken for lost: a question is not held for so long."""
GREETED_FOR_S = 30.0
"""How long a lost neighbour is greeted: a planned stop and the start after it take some
3 s, an instance without power may be back after some ten seconds."""


class PeerBook:
    """Addresses of peers, the last heard last.

    Parameters
    ----------
    own : str
        Own address, which is no peer.
    seeds : sequence of str
        Addresses to begin with; some may be stale.

    Examples
    --------
    >>> book = PeerBook("10.0.0.1:1", ["10.0.0.1:1", "10.0.0.2:1"])
    >>> book.heard("10.0.0.3:1")
    >>> book.recent(2)
    ['10.0.0.3:1', '10.0.0.2:1']
    """

    def __init__(self, own: str, seeds: Sequence[str]) -> None:
        self._own = own
        self._peers: OrderedDict[str, None] = OrderedDict()
        for seed in seeds:
            self.told(seed)

    def heard(self, address: str) -> None:
        """Note that a peer lives."""
        self._peers.pop(address, None)
        if address != self._own:
            self._peers[address] = None
        while len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)

    def told(self, address: str) -> None:
        """Note an address that another told."""
        if address in self._peers or address == self._own:
            return
        if len(self._peers) < MAX_PEERS:
            self._peers[address] = None
            self._peers.move_to_end(address, last=False)

    def failed(self, address: str) -> None:
        """Note that a peer did not answer: the others go first."""
        if address in self._peers:
            self._peers.move_to_end(address, last=False)

    def recent(self, number: int) -> list[str]:
        """Return some peers, the last heard first."""
        return list(reversed(self._peers))[:number]


class Neighbours:
    """Instances of the same zone that feed this one, or that it feeds.

    Load pattern: a zone is cut off, from the store as well, and one of its instances is
    restarted.  It knows no peer but its seeds, which may all be in other zones, while
    those beside it know what it needs and do not miss the store yet.  So whoever misses
    a neighbour greets it until it answers; from the greeting it learns whom to ask.

    Examples
    --------
    >>> neighbours = Neighbours()
    >>> neighbours.heard("a", 1.0)
    >>> neighbours.lost(2.0), neighbours.lost(3.5), neighbours.lost(40.0)
    ([], ['a'], [])
    """

    def __init__(self) -> None:
        self._heard_s: dict[str, float] = {}

    def heard(self, address: str, now_s: float) -> None:
        """Take in a question or an answer of a neighbour."""
        self._heard_s[address] = now_s

    def greeted(self, address: str) -> None:
        """Take in that a lost neighbour has answered a greeting."""
        self._heard_s.pop(address, None)

    def lost(self, now_s: float) -> list[str]:
        """Return those that are to be greeted; forget those lost for long."""
        limit_s = now_s - GREETED_FOR_S
        self._heard_s = {a: s for a, s in self._heard_s.items() if s > limit_s}
        silent_s = now_s - SILENT_AFTER_S
        return [address for address, s in self._heard_s.items() if s <= silent_s]
