"""Sums over the request counts of a target."""

__all__ = ["RequestSums"]


class RequestSums:
    """Sums over the kinds of requests that a subclass counts in its fields.

    Attributes
    ----------
    good : float
        Answered within the baseline.
    failed : float
        Unanswered long after the baseline; taken back once an answer begins.
    poor : float
        Short: answered with far less than the baseline, which indicates an error.
    late : float
        Answered with a size within the baseline, but far later.
    """

    __slots__ = ()

    good: float
    failed: float
    poor: float
    late: float

    @property
    def overdue(self) -> float:
        """Requests without an answer in time, whether or not it came later."""
        return self.failed + self.late

    @property
    def bad(self) -> float:
        """Requests that failed, or had a short or late answer."""
        return self.failed + self.poor + self.late

    @property
    def total(self) -> float:
        """All counted requests."""
        return self.good + self.bad
