"""Whether an incarnation that somebody asks about is dead."""

from endivepick.membership._member_table import MemberTable
from endivepick.membership._prober import Prober
from endivepick.membership.settings import MembershipSettings

_QUESTION_COUNT = 4096


class DeathQuestions:
    """Answers at once where the table knows, else finds out.

    Random incarnations have no order.  An unknown one of a known name is dead if
    the name answers a later probe as another incarnation; one of an unknown name
    is dead if nobody brings news of it for some time.
    """

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, prober: Prober
    ) -> None:
        self._settings = settings
        self._table = table
        self._prober = prober
        self._asked: dict[tuple[str, int], float] = {}

    def is_dead(self, name: str, incarnation: int, now_s: float) -> bool:
        """Tell whether an incarnation was declared dead or superseded."""
        member = self._table.members.get(name)
        if member is not None and member.incarnation == incarnation:
            return self._table.is_dead(member)
        if incarnation in self._table.superseded:
            return True
        asked_s = self._ask(name, incarnation, now_s)
        if member is not None and member.heard and not self._table.is_dead(member):
            answered = member.last_ack_s > asked_s
            if not answered:
                self._prober.hurry(name)
            return answered
        waited_s = now_s - asked_s
        joined = self._table.own.joined
        return joined and waited_s >= self._settings.unknown_dead_after_s

    def _ask(self, name: str, incarnation: int, now_s: float) -> float:
        if (name, incarnation) not in self._asked:
            if len(self._asked) >= _QUESTION_COUNT:
                del self._asked[next(iter(self._asked))]
            self._asked[name, incarnation] = now_s
        return self._asked[name, incarnation]

    def prune(self, oldest_s: float) -> None:
        """Forget questions first asked before a time."""
        for question in [q for q, asked_s in self._asked.items() if asked_s < oldest_s]:
            del self._asked[question]
