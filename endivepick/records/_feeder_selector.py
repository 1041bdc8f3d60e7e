"""Selection of the peer from which an instance receives changes."""

from collections.abc import Sequence

from endivepick.records.settings import DisseminationSettings

EXCLUSION_TIMEOUTS = 3
"""Time for which a silent feeder is excluded, in silence timeouts."""


class FeederSelector:
    """Selects the highest-ranked feeder that is not silent.

    If all are silent, it selects the highest-ranked one.

    Parameters
    ----------
    settings : DisseminationSettings
        Source of the silence timeout.
    """

    def __init__(self, settings: DisseminationSettings) -> None:
        self._silence_timeout_s = (
            settings.digest_interval_s * settings.silence_intervals
        )
        self._excluded_until_s: dict[str, float] = {}
        self._last_message_s = 0.0
        self.name: str | None = None

    def record_message(self, sender: str, now_s: float) -> None:
        """Record the arrival of a message."""
        if sender == self.name:
            self._last_message_s = now_s

    def choose(self, choices: Sequence[str], now_s: float) -> str | None:
        """Return the feeder to subscribe to.

        Parameters
        ----------
        choices : sequence of str
            Possible feeders, best first.
        now_s : float
            Current time, in seconds.
        """
        if self.name and now_s - self._last_message_s > self._silence_timeout_s:
            until_s = now_s + self._silence_timeout_s * EXCLUSION_TIMEOUTS
            self._excluded_until_s[self.name] = until_s
        exclusions = self._excluded_until_s
        self._excluded_until_s = {n: t for n, t in exclusions.items() if t > now_s}
        available = [n for n in choices if n not in self._excluded_until_s]
        best = next(iter(available or choices), None)
        if best != self.name:
            self.name = best
            self._last_message_s = now_s
        return best
