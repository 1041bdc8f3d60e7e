"""Subscriptions of peers and aggregation of their reports."""

from collections.abc import Iterable
from dataclasses import dataclass

from endivepick.records.peer_messages import RefusedRecord, SubtreeReport
from endivepick.records.roles import hash_names
from endivepick.records.settings import DisseminationSettings


@dataclass(frozen=True)
class _PeerEntry:
    report: SubtreeReport | None
    expires_at_s: float
    subscribed: bool


class Subscribers:
    """Peers that subscribe to changes or send reports, with their latest reports.

    Parameters
    ----------
    settings : DisseminationSettings
        Source of the subscription duration and of the limit on refused records.
    """

    def __init__(self, settings: DisseminationSettings) -> None:
        self._settings = settings
        self._duration_s = settings.digest_interval_s * settings.silence_intervals
        self._peers: dict[str, _PeerEntry] = {}

    def update_subscription(
        self, name: str, subscribe: bool, report: SubtreeReport | None, now_s: float
    ) -> None:
        """Add, renew or remove the entry of a peer that sent a digest."""
        if not subscribe and report is None:
            self._peers.pop(name, None)
            return
        self._peers[name] = _PeerEntry(report, now_s + self._duration_s, subscribe)

    def expire(self, now_s: float) -> None:
        """Remove the peers whose entries were not renewed in time."""
        entries = self._peers.items()
        self._peers = {
            name: peer for name, peer in entries if peer.expires_at_s > now_s
        }

    def list_subscribed(self) -> list[str]:
        """Return the peers that receive changes."""
        return [name for name, peer in self._peers.items() if peer.subscribed]

    def merge_reports(self, own: SubtreeReport) -> SubtreeReport:
        """Merge the report of this instance with those received from peers."""
        reports = [own] + [peer.report for peer in self._peers.values() if peer.report]
        names_hash = 0
        for report in reports:
            names_hash ^= report.names_hash
        return SubtreeReport(
            revision=min(report.revision for report in reports),
            instances=sum(report.instances for report in reports),
            names_hash=names_hash,
            refused=self._merge_refused(reports),
        )

    def _merge_refused(
        self, reports: Iterable[SubtreeReport]
    ) -> tuple[RefusedRecord, ...]:
        lowest: dict[str, RefusedRecord] = {}
        for report in reports:
            for refused in report.refused:
                known = lowest.get(refused.name, refused)
                lowest[refused.name] = min(
                    known, refused, key=lambda item: (item.in_force, item.version)
                )
        ordered = sorted(lowest.values(), key=lambda item: item.name)
        return tuple(ordered[: self._settings.refused_records])


def build_own_report(
    name: str, revision: int, refused: tuple[RefusedRecord, ...]
) -> SubtreeReport:
    """Return the report of a single instance."""
    return SubtreeReport(revision, 1, hash_names([name]), refused)
