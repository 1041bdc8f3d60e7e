"""Work at a target that the owner did not send itself."""

from endivepick.core.dispatch.messages import ProbeResult
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["LoadView"]


class LoadView:
    """Counts from peers, and load reports that are believed less as they age.

    Parameters
    ----------
    settings : DispatchSettings
        Ages at which reports count for nothing.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._peers: dict[str, tuple[int, float]] = {}
        self._unexplained = 0.0
        self._reported_at_s = float("-inf")
        self._peak = 0
        self._earlier_peak = 0

    def on_own_count(self, own: int) -> None:
        """Remember the most requests that ran at once since the last reports."""
        self._peak = max(self._peak, own)

    def on_peer(self, instance: str, count: int, now_s: float) -> None:
        """Take in how many requests a peer has at the target."""
        self._peers[instance] = (count, now_s)

    def remove_peer(self, instance: str) -> None:
        """Forget the count of a peer."""
        self._peers.pop(instance, None)

    def on_report(self, result: ProbeResult, own: int, now_s: float) -> None:
        """Take in a load report.

        A report lags, so it is compared with the most requests that this owner
        had there since the report before the last one: only what lies above is
        work that somebody else sent.
        """
        explained = max(self._peak, self._earlier_peak, own) + self.peers(now_s)
        reported = result.in_progress + result.waiting
        self._unexplained = max(0.0, float(reported - explained))
        self._reported_at_s = now_s - result.age_ms / 1000.0
        self._earlier_peak, self._peak = self._peak, own

    def peers(self, now_s: float) -> int:
        """Return the requests that peers have at the target."""
        limit_s = self._settings.peer_report_age_limit_s
        return sum(
            count for count, at_s in self._peers.values() if now_s - at_s < limit_s
        )

    def others(self, usable_slots: int, now_s: float) -> int:
        """Return the slots to leave to others.

        A report alone never takes the last slot, since it may mislead.
        """
        age_s = now_s - self._reported_at_s
        trust = max(0.0, 1.0 - age_s / self._settings.load_report_age_limit_s)
        believed = trust * min(self._unexplained, usable_slots - 1)
        return self.peers(now_s) + round(believed)
