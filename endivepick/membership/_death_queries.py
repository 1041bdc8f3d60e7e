"""Queries whether an incarnation is dead."""

from endivepick.membership._member_table import MemberTable
from endivepick.membership._prober import Prober
from endivepick.membership.settings import MembershipSettings

_MAX_QUERIES = 4096


class DeathQueries:
    """Answers queries from the member table or, if it has no entry, by a probe.

    Incarnations are random numbers without an order.  An unknown incarnation of a
    known name is dead if the name answers a later probe as another incarnation.  If
    the name is unknown, unidentified or declared dead, the incarnation is dead if no
    update about it arrives within ``unknown_dead_after_s``, but not before this
    instance has joined.
    """

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, prober: Prober
    ) -> None:
        self._settings = settings
        self._table = table
        self._prober = prober
        self._first_asked_s: dict[tuple[str, int], float] = {}

    def is_dead(self, name: str, incarnation: int, now_s: float) -> bool:
        """Tell whether an incarnation was declared dead or superseded."""
        member = self._table.members.get(name)
        if member is not None and member.incarnation == incarnation:
            return self._table.is_dead(member)
        if incarnation in self._table.superseded:
            return True
        asked_s = self._record_query(name, incarnation, now_s)
        if (
            member is not None
            and member.is_identified
            and not self._table.is_dead(member)
        ):
            answered = member.last_ack_s > asked_s
            if not answered:
                self._prober.probe_soon(name)
            return answered
        waited_s = now_s - asked_s
        joined = self._table.own.joined
        return joined and waited_s >= self._settings.unknown_dead_after_s

    def _record_query(self, name: str, incarnation: int, now_s: float) -> float:
        if (name, incarnation) not in self._first_asked_s:
            if len(self._first_asked_s) >= _MAX_QUERIES:
                del self._first_asked_s[next(iter(self._first_asked_s))]
            self._first_asked_s[name, incarnation] = now_s
        return self._first_asked_s[name, incarnation]

    def prune(self, oldest_s: float) -> None:
        """Remove queries that were first made before a time."""
        for query in [
            q for q, asked_s in self._first_asked_s.items() if asked_s < oldest_s
        ]:
            del self._first_asked_s[query]
