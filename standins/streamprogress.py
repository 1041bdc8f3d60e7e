"""Verification of an event stream while it is read."""

from standins.payload import verify_event

__all__ = ["StreamProgress"]


class StreamProgress:
    """Checks that events are complete, in order and unique, and measures gaps.

    Parameters
    ----------
    echo : str
        Identifier of the stream, which each event contains.
    now_s : float
        Time at which the stream was requested.

    Attributes
    ----------
    events, wrong : int
        Received events, and those that were corrupt, duplicate or out of order.
    longest_gap_s : tuple of float
        Start and end of the longest time without an event.
    """

    def __init__(self, echo: str, now_s: float) -> None:
        self.events = 0
        self.wrong = 0
        self.longest_gap_s = (now_s, now_s)
        self._echo = echo
        self._last_s = now_s

    def record_event(self, event_id: str, data: str, now_s: float) -> None:
        """Record and check the next event."""
        self.events += 1
        in_order = event_id == str(self.events)
        if not in_order or not verify_event(data, self._echo, self.events):
            self.wrong += 1
        self.record_gap(now_s)

    def record_gap(self, now_s: float) -> None:
        """Record the time since the last event if it is the longest gap."""
        from_s, until_s = self.longest_gap_s
        if now_s - self._last_s > until_s - from_s:
            self.longest_gap_s = (self._last_s, now_s)
        self._last_s = now_s
