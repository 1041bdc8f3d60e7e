"""Load of a target caused by requests that this owner did not send."""

from endivepick.core.dispatch.messages import ProbeResult
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["ExternalLoad"]


class ExternalLoad:
    """In-flight counts of peers, and load reports of the target.

    Load reports are weighted by their age; counts of peers are ignored beyond an age.

    Parameters
    ----------
    settings : DispatchSettings
        Ages at which reports are ignored.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._peers: dict[str, tuple[int, float]] = {}
        self._external_requests = 0.0
        self._reported_at_s = float("-inf")
        self._own_peak = 0
        self._previous_own_peak = 0

    def update_own_peak(self, own: int) -> None:
        """Update the maximum number of own requests since the last report."""
        self._own_peak = max(self._own_peak, own)

    def set_peer_count(self, instance: str, count: int, now_s: float) -> None:
        """Set the number of requests that a peer has at the target."""
        self._peers[instance] = (count, now_s)

    def remove_peer(self, instance: str) -> None:
        """Remove the count of a peer."""
        self._peers.pop(instance, None)

    def on_report(self, result: ProbeResult, own: int, now_s: float) -> None:
        """Process a load report.

        A report lags behind, so it is compared with the maximum number of requests
        that this owner had at the target during the last two report intervals.
        Only the excess is load from other senders.
        """
        known_requests = max(
            self._own_peak, self._previous_own_peak, own
        ) + self.peer_requests(now_s)
        reported = result.in_progress + result.waiting
        self._external_requests = max(0.0, float(reported - known_requests))
        self._reported_at_s = now_s - result.age_ms / 1000.0
        self._previous_own_peak, self._own_peak = self._own_peak, own

    def peer_requests(self, now_s: float) -> int:
        """Return the number of requests that peers have at the target."""
        limit_s = self._settings.peer_report_age_limit_s
        return sum(
            count for count, at_s in self._peers.values() if now_s - at_s < limit_s
        )

    def reserved_slots(self, usable_slots: int, now_s: float) -> int:
        """Return the number of slots to leave to other senders.

        A load report alone never reserves the last slot, since it may be wrong.
        """
        age_s = now_s - self._reported_at_s
        confidence = max(0.0, 1.0 - age_s / self._settings.load_report_age_limit_s)
        external_slots = confidence * min(self._external_requests, usable_slots - 1)
        return self.peer_requests(now_s) + round(external_slots)
