"""Share of a service's openings that is admitted, by priority.

A request that is shed after it waited in a full queue has lost most of its aim, and it
took a place in the queue from a more urgent one.  One whose opening is rejected at once
may try again in time.  Therefore the least urgent openings are rejected first, rather
than requests of any priority shed.
"""

from collections.abc import Collection, Iterable

from endivepick.forwarding.model import Configuration

__all__ = ["AdmissionLimits", "find_priorities"]

MIN_ADMITTED_SHARE = 0.1
"""Lowest admitted share of a priority: no priority is shut out while others have demand
without end."""
CUT_FACTOR = 0.6
"""Factor of an admitted share at each cut."""
RAISE_STEP = 0.1
"""Increase of the most urgent limited share while most slots are used.  It is smaller
than a cut, so that the openings of a recovery do not fill the queues again before the
signals show them."""
FREE_RAISE_STEP = 0.25
"""Increase of all limited shares while slots are free; four steps remove the limits."""


class AdmissionLimits:
    """Admitted share of the openings of each priority of one service.

    A more urgent priority never has a lower share than a less urgent one, and the most
    urgent one that has openings is never limited.

    Examples
    --------
    >>> limits = AdmissionLimits()
    >>> limits.set_priorities([0, 2])
    >>> limits.cut(active={0, 2})
    >>> limits.get_share(0), limits.get_share(2)
    (1.0, 0.6)
    """

    def __init__(self) -> None:
        self._shares: dict[int, float] = {}
        """Share by priority, the most urgent first."""

    def set_priorities(self, priorities: Iterable[int]) -> None:
        """Set the priorities of the service; known ones keep their shares."""
        shares: dict[int, float] = {}
        highest = 1.0
        for priority in sorted(priorities):
            share = self._shares.get(priority, 1.0) if shares else 1.0
            highest = shares[priority] = min(share, highest)
        self._shares = shares

    def get_share(self, priority: int) -> float:
        """Return the admitted share of a priority, 1 if it is unknown."""
        return self._shares.get(priority, 1.0)

    @property
    def shares(self) -> dict[int, float]:
        """Admitted share by priority, the most urgent first."""
        return dict(self._shares)

    @property
    def all_admitted(self) -> bool:
        """Whether no priority is limited."""
        return all(share >= 1.0 for share in self._shares.values())

    def admit_all(self) -> None:
        """Remove all limits."""
        for priority in self._shares:
            self._shares[priority] = 1.0

    def cut(self, active: Collection[int]) -> None:
        """Cut the least urgent priority that is above the lowest share.

        Parameters
        ----------
        active : collection of int
            Priorities with a notable share of the openings.  The most urgent of them is
            not limited: more urgent ones have hardly any openings to make room for.
        """
        most_urgent = min((p for p in active if p in self._shares), default=None)
        if most_urgent is None:
            return
        for priority, share in reversed(self._shares.items()):
            if priority > most_urgent and share > MIN_ADMITTED_SHARE:
                self._shares[priority] = max(MIN_ADMITTED_SHARE, share * CUT_FACTOR)
                return

    def raise_most_urgent(self) -> None:
        """Raise the most urgent priority that is limited."""
        for priority, share in self._shares.items():
            if share < 1.0:
                self._raise(priority, RAISE_STEP)
                return

    def raise_all(self) -> None:
        """Raise all priorities that are limited."""
        for priority in self._shares:
            self._raise(priority, FREE_RAISE_STEP)

    def _raise(self, priority: int, step: float) -> None:
        # Rounded, so that ten steps of a tenth make one.
        share = round(self._shares[priority] + step, 6)
        self._shares[priority] = min(1.0, share)


def find_priorities(configuration: Configuration) -> dict[str, set[int]]:
    """Return the priorities of the routes that use each service.

    A split route counts for each of its services that has a weight.
    """
    priorities: dict[str, set[int]] = {}
    for route in configuration.routes:
        for share in route.shares:
            if share.weight > 0:
                priorities.setdefault(share.service, set()).add(route.priority)
    return priorities
