"""Reports of subscribers, joined to one for the whole group."""

from collections.abc import Iterable
from dataclasses import dataclass

from endivepick.records.peer_messages import RefusedRecord, SubtreeReport
from endivepick.records.roles import hash_names
from endivepick.records.settings import DisseminationSettings


@dataclass(frozen=True)
class _Subscription:
    report: SubtreeReport | None
    until_s: float
    fed: bool


class Subscribers:
    """Peers that asked for changes, and what they reported last.

    Parameters
    ----------
    settings : DisseminationSettings
        How long a subscription lasts.
    """

    def __init__(self, settings: DisseminationSettings) -> None:
        self._settings = settings
        self._last_s = settings.digest_interval_s * settings.silence_intervals
        self._peers: dict[str, _Subscription] = {}

    def heard(
        self, name: str, subscribe: bool, report: SubtreeReport | None, now_s: float
    ) -> None:
        """Take note of a digest: it starts, prolongs or ends a subscription."""
        if not subscribe and report is None:
            self._peers.pop(name, None)
            return
        self._peers[name] = _Subscription(report, now_s + self._last_s, subscribe)

    def expire(self, now_s: float) -> None:
        """Drop the subscriptions that were not prolonged."""
        kept = self._peers.items()
        self._peers = {name: peer for name, peer in kept if peer.until_s > now_s}

    def fed(self) -> list[str]:
        """Return the peers that get changes."""
        return [name for name, peer in self._peers.items() if peer.fed]

    def joined(self, own: SubtreeReport) -> SubtreeReport:
        """Join this instance's report with those of its subscribers."""
        reports = [own] + [peer.report for peer in self._peers.values() if peer.report]
        names_hash = 0
        for report in reports:
            names_hash ^= report.names_hash
        return SubtreeReport(
            revision=min(report.revision for report in reports),
            instances=sum(report.instances for report in reports),
            names_hash=names_hash,
            refused=self._join_refused(reports),
        )

    def _join_refused(
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


def own_report(
    name: str, revision: int, refused: tuple[RefusedRecord, ...]
) -> SubtreeReport:
    """Return the report of a single instance."""
    return SubtreeReport(revision, 1, hash_names([name]), refused)
