"""How requests of a target are added up, wherever they are counted."""

__all__ = ["RequestSums"]


class RequestSums:
    """Sums over the kinds of requests that a counting class has as fields.

    Attributes
    ----------
    good : float
        Answered as is usual.
    failed : float
        Not answered long after answers usually begin.
    poor : float
        Answered with far less than is usual: an error.
    late : float
        Answered as is usual, but far later.
    """

    __slots__ = ()

    good: float
    failed: float
    poor: float
    late: float

    @property
    def overdue(self) -> float:
        """Requests that were not answered when answers usually are, also if later."""
        return self.failed + self.late

    @property
    def bad(self) -> float:
        """Requests that failed, or were answered poorly or late."""
        return self.failed + self.poor + self.late

    @property
    def total(self) -> float:
        """All requests that count."""
        return self.good + self.bad
