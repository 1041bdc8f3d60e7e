"""Checks an event stream while it is read."""

from standins.payload import verify_event

__all__ = ["StreamProgress"]


class StreamProgress:
    """Checks that events come whole, in order, each once, and without stalls.

    Parameters
    ----------
    echo : str
        What each event has to carry.
    now_s : float
        Time at which the stream was asked for.

    Attributes
    ----------
    events, wrong : int
        Events that came, and those that were torn, doubled or out of order.
    longest_gap_s : tuple of float
        Begin and end of the longest time without an event.
    """

    def __init__(self, echo: str, now_s: float) -> None:
        self.events = 0
        self.wrong = 0
        self.longest_gap_s = (now_s, now_s)
        self._echo = echo
        self._last_s = now_s

    def record_event(self, event_id: str, data: str, now_s: float) -> None:
        """Take the next event."""
        self.events += 1
        in_order = event_id == str(self.events)
        if not in_order or not verify_event(data, self._echo, self.events):
            self.wrong += 1
        self.record_gap(now_s)

    def record_gap(self, now_s: float) -> None:
        """Remember the time since the last event if no other was longer."""
        from_s, until_s = self.longest_gap_s
        if now_s - self._last_s > until_s - from_s:
            self.longest_gap_s = (self._last_s, now_s)
        self._last_s = now_s
