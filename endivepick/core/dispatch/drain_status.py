"""Draining status of a target, reported by itself or by a peer."""

from endivepick.core.dispatch.messages import ProbeResult
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["DrainStatus"]


class DrainStatus:
    """Tracks which incarnation of a target is draining.

    A target's health endpoint may lag behind, so a peer's notice overrides a
    ready endpoint of the same incarnation for ``draining_note_s``.  Draining that
    was reported by the endpoint itself ends as soon as the endpoint reports ready.

    Parameters
    ----------
    settings : DispatchSettings
        Time for which a peer's notice is valid.

    Attributes
    ----------
    is_draining : bool
        Whether the target is draining.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._incarnation = 0
        self._valid_until_s = 0.0
        self.is_draining = False

    def set_by_peer(self, incarnation: int, now_s: float) -> None:
        """Process a peer's notice that an incarnation is draining."""
        self._set(incarnation, now_s + self._settings.draining_note_s)

    def set_by_target(self, incarnation: int, now_s: float) -> None:
        """Process a health endpoint that reports draining."""
        self._set(incarnation, now_s)

    def on_ready(self, result: ProbeResult, now_s: float) -> None:
        """Process a health endpoint that reports ready."""
        same = result.incarnation == self._incarnation
        if not same or now_s >= self._valid_until_s:
            self.is_draining = False

    def _set(self, incarnation: int, until_s: float) -> None:
        self._incarnation = incarnation
        self._valid_until_s = until_s
        self.is_draining = True
