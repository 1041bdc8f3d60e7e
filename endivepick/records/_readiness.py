"""When a starting instance may serve."""

from collections.abc import Collection, Iterable

from endivepick.core.rendezvous import rank
from endivepick.records.peer_messages import ConfigDigest
from endivepick.records.settings import DisseminationSettings


class Readiness:
    """Whether the configuration is as new as any reachable source's.

    The instance asks peers of its zone; without a useful answer it asks peers of
    all zones.  It is ready once it got a whole configuration, from the platform
    or from a ready peer, and none of the peers that answered has a newer one.

    An answer repeats the question's number.  A digest without it may be older than
    this process: one that its predecessor of the same name asked for, or one that
    was under way.  Such a digest is believed in what it holds, never as an answer.

    Parameters
    ----------
    settings : DisseminationSettings
        How many to ask and how long to wait.
    name : str
        Name of this instance.
    question : int
        Number that no earlier process of this name used, such as the incarnation.
    """

    def __init__(
        self, settings: DisseminationSettings, name: str, question: int
    ) -> None:
        self._settings = settings
        self._name = name
        self.question = question
        self._waiting_since_s: float | None = None
        self._asked: set[str] = set()
        self._answered: set[str] = set()
        self._revisions: dict[str, int] = {}
        self._serving: set[str] = set()
        self._listed = False
        self.ready = False

    def record_full_listing(self) -> None:
        """Take note that the platform listed its whole configuration."""
        self._listed = True

    def record_digest(self, name: str, digest: ConfigDigest) -> None:
        """Take note of a peer's digest."""
        if self.ready:
            return
        if digest.answered == self.question:
            self._answered.add(name)
            self._revisions[name] = digest.revision
        else:
            # Of unknown age: it shows what the peer had, not what it has now.
            known = self._revisions.get(name, 0)
            self._revisions[name] = max(known, digest.revision)
        if digest.ready:
            self._serving.add(name)
        else:
            self._serving.discard(name)

    def choose_peers_to_ask(
        self, zone_peers: Iterable[str], others: Iterable[str], now_s: float
    ) -> list[str]:
        """Return the peers to ask now."""
        if self.ready:
            return []
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        candidates = list(zone_peers)
        useful = self._listed or self._serving
        if not candidates or (self._patience_over(now_s) and not useful):
            candidates += others
        ranked = rank(f"ask:{self._name}", candidates)
        ranked.sort(key=lambda peer: peer in self._answered)
        chosen = ranked[: self._settings.ask_peers]
        self._asked.update(chosen)
        return chosen

    def update(self, revision: int, reachable: Collection[str], now_s: float) -> bool:
        """Tell whether the instance has just become ready.

        Parameters
        ----------
        revision : int
            Revision up to which this instance lacks nothing.
        reachable : collection of str
            Peers that are not believed dead.
        now_s : float
            Present time, in seconds.
        """
        if self.ready or self._waiting_since_s is None:
            return False
        if not self._holds_a_whole_configuration(revision):
            return False
        silent = self._asked - self._answered
        if silent & set(reachable) and not self._patience_over(now_s):
            return False
        revisions = (
            known for name, known in self._revisions.items() if name in reachable
        )
        if revision < max(revisions, default=0):
            return False
        self.ready = True
        return True

    def _holds_a_whole_configuration(self, revision: int) -> bool:
        if self._listed:
            return True
        return any(revision >= self._revisions[name] for name in self._serving)

    def _patience_over(self, now_s: float) -> bool:
        if self._waiting_since_s is None:
            return False
        return now_s - self._waiting_since_s >= self._settings.ask_patience_s
