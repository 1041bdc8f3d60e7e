"""Waits of the requests of one flow, which show what is usual for its caller.

All requests of a flow go to one target.  If its caller asks for more work than others,
its requests are overdue by the baseline of the service although the target serves it as
well as any other.  So requests of a flow are evidence against its target only if the
target served this flow in time before.
"""

from msgspec import Struct

__all__ = ["WaitHistory"]


class WaitHistory(Struct):
    """Waits of a flow's answered requests.

    Attributes
    ----------
    answered : bool
        At least one request was answered.
    in_time : bool
        At least one request was answered within the baseline.
    longest_s : float
        Longest wait that is usual for the flow, in seconds.

    Examples
    --------
    >>> history = WaitHistory()
    >>> history.is_informative
    True
    >>> history.add_answer(0.3, within_baseline=False)
    >>> history.is_informative, history.longest_s
    (False, 0.3)
    """

    answered: bool = False
    in_time: bool = False
    longest_s: float = 0.0

    @property
    def is_informative(self) -> bool:
        """Whether an overdue request tells more of the target than of the caller."""
        return self.in_time or not self.answered

    def add_answer(self, waited_s: float, within_baseline: bool) -> None:
        """Add an answered request.

        Parameters
        ----------
        waited_s : float
            Time until the answer began, in seconds.
        within_baseline : bool
            Whether this is within the known baseline of the service.
        """
        if within_baseline or not self.in_time:
            self.longest_s = max(self.longest_s, waited_s)
        self.answered = True
        self.in_time = self.in_time or within_baseline
