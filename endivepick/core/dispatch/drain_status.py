"""Word that a target drains, from itself or from a peer."""

from endivepick.core.dispatch.messages import ProbeResult
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["DrainNote"]


class DrainNote:
    """Remembers which incarnation drains, and whether a probe may deny it.

    A target's health endpoint may lag, so a peer's word holds against it for a
    while.  What the endpoint said itself it may take back.

    Parameters
    ----------
    settings : DispatchSettings
        How long a peer's word holds.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._incarnation = 0
        self._holds_until_s = 0.0
        self.active = False

    def set_by_peer(self, incarnation: int, now_s: float) -> None:
        """Take in a peer's word."""
        self._set(incarnation, now_s + self._settings.draining_note_s)

    def set_by_target(self, incarnation: int, now_s: float) -> None:
        """Take in the word of the target's health endpoint."""
        self._set(incarnation, now_s)

    def deny(self, result: ProbeResult, now_s: float) -> None:
        """Take in that the health endpoint says ready."""
        same = result.incarnation == self._incarnation
        if not same or now_s >= self._holds_until_s:
            self.active = False

    def _set(self, incarnation: int, until_s: float) -> None:
        self._incarnation = incarnation
        self._holds_until_s = until_s
        self.active = True
