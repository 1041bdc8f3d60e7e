"""Sums over the request counts of a target."""

__all__ = ["RequestSums"]


class RequestSums:
    """Sums over the kinds of requests that a subclass counts in its fields.

    Attributes
    ----------
    good : float
        Answered within the baseline.
    failed : float
        Not answered until long after the baseline.
    poor : float
        Answered with a far shorter answer than the baseline, which indicates an error.
    late : float
        Answered with the usual size, but far later than the baseline.
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
