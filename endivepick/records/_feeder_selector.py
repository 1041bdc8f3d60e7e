"""Whom an instance gets changes from."""

from collections.abc import Sequence

from endivepick.records.settings import DisseminationSettings

PASS_OVER_SILENCES = 3
"""How long a silent feeder is passed over, in lengths of silence."""


class FeederSelector:
    """The first choice that is not silent.

    Parameters
    ----------
    settings : DisseminationSettings
        How long a silence may last.
    """

    def __init__(self, settings: DisseminationSettings) -> None:
        self._silence_s = settings.digest_interval_s * settings.silence_intervals
        self._passed_over_until_s: dict[str, float] = {}
        self._last_word_s = 0.0
        self.name: str | None = None

    def heard(self, sender: str, now_s: float) -> None:
        """Take note of a message."""
        if sender == self.name:
            self._last_word_s = now_s

    def choose(self, choices: Sequence[str], now_s: float) -> str | None:
        """Return the feeder to subscribe to now.

        Parameters
        ----------
        choices : sequence of str
            Possible feeders, best first.
        now_s : float
            Present time, in seconds.
        """
        if self.name and now_s - self._last_word_s > self._silence_s:
            until_s = now_s + self._silence_s * PASS_OVER_SILENCES
            self._passed_over_until_s[self.name] = until_s
        waits = self._passed_over_until_s
        self._passed_over_until_s = {n: t for n, t in waits.items() if t > now_s}
        open_choices = [n for n in choices if n not in self._passed_over_until_s]
        best = next(iter(open_choices or choices), None)
        if best != self.name:
            self.name = best
            self._last_word_s = now_s
        return best
