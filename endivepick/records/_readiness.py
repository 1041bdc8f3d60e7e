"""Readiness of a starting instance."""

from collections.abc import Collection, Iterable

from endivepick.core.rendezvous import rank
from endivepick.records.peer_messages import ConfigDigest
from endivepick.records.settings import DisseminationSettings


class Readiness:
    """Determines whether the configuration is as new as that of all reachable sources.

    The instance asks peers of its zone.  If there are none, or if it has neither a
    listing from the platform nor a digest from a ready peer after
    ``ask_patience_s``, it asks peers of all zones.  It is ready once it has a
    complete configuration, from the platform or from a ready peer, and no peer
    that replied has a newer one.

    A reply repeats the number of the question.  A digest without this number may
    be older than this process: it may reply to an earlier process of the same name
    or may have been in transit.  It shows which revision exists, but does not
    count as a reply.

    Parameters
    ----------
    settings : DisseminationSettings
        Number of peers to ask and time to wait for their replies.
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
        self._ready_peers: set[str] = set()
        self._listed = False
        self.ready = False

    def record_full_listing(self) -> None:
        """Record that the platform listed its complete configuration."""
        self._listed = True

    def record_digest(self, name: str, digest: ConfigDigest) -> None:
        """Record the digest of a peer."""
        if self.ready:
            return
        if digest.answered == self.question:
            self._answered.add(name)
            self._revisions[name] = digest.revision
        else:
            # The digest is of unknown age and must not lower a known revision.
            known = self._revisions.get(name, 0)
            self._revisions[name] = max(known, digest.revision)
        if digest.ready:
            self._ready_peers.add(name)
        else:
            self._ready_peers.discard(name)

    def choose_peers_to_ask(
        self, zone_peers: Iterable[str], others: Iterable[str], now_s: float
    ) -> list[str]:
        """Return the peers to send a question to."""
        if self.ready:
            return []
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        candidates = list(zone_peers)
        has_source = self._listed or self._ready_peers
        if not candidates or (self._wait_expired(now_s) and not has_source):
            candidates += others
        ranked = rank(f"ask:{self._name}", candidates)
        ranked.sort(key=lambda peer: peer in self._answered)
        chosen = ranked[: self._settings.ask_peers]
        self._asked.update(chosen)
        return chosen

    def update(self, revision: int, reachable: Collection[str], now_s: float) -> bool:
        """Return whether the instance has just become ready.

        Parameters
        ----------
        revision : int
            Revision up to which this instance has all changes.
        reachable : collection of str
            Peers that are not considered dead.
        now_s : float
            Current time, in seconds.
        """
        if self.ready or self._waiting_since_s is None:
            return False
        if not self._has_full_configuration(revision):
            return False
        unanswered = self._asked - self._answered
        if unanswered & set(reachable) and not self._wait_expired(now_s):
            return False
        revisions = (
            known for name, known in self._revisions.items() if name in reachable
        )
        if revision < max(revisions, default=0):
            return False
        self.ready = True
        return True

    def _has_full_configuration(self, revision: int) -> bool:
        if self._listed:
            return True
        return any(revision >= self._revisions[name] for name in self._ready_peers)

    def _wait_expired(self, now_s: float) -> bool:
        if self._waiting_since_s is None:
            return False
        return now_s - self._waiting_since_s >= self._settings.ask_patience_s
