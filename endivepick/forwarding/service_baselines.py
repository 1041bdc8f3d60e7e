"""Request baselines of each service, learnt by an instance and merged within its zone.

Scenario: hundreds of instances, each of which observes a few requests per second.
Alone, each would need tens of seconds after every restart before it could detect an
overdue request; together, the instances of a zone have a baseline within a second.
"""

from collections.abc import Iterable

from msgspec import Struct

from endivepick.forwarding.model import RouteKind
from endivepick.forwarding.request_baseline import Bucket, RequestBaseline

__all__ = ["MAX_REPORTED_KINDS", "ServiceBaselines", "UsualCounts", "merge_baselines"]

MAX_REPORTED_KINDS = 16
"""Largest number of baselines in a report, one per service and kind of request."""


class UsualCounts(Struct, frozen=True, array_like=True):
    """Baseline of requests of one kind, as exchanged between instances.

    "Usual" in names of reports means that a value belongs to a baseline.

    Attributes
    ----------
    service : str
        Service of the requests.
    kind : RouteKind
        Whether the requests are idempotent.
    waits : list of Bucket
        Histogram of the times until answers began.
    first_bytes : list of Bucket
        Histogram of the sizes of the first parts of answers.
    """

    service: str
    kind: RouteKind
    waits: list[Bucket]
    first_bytes: list[Bucket]

    @property
    def is_valid(self) -> bool:
        """Whether an instance of this build can send these counts."""
        return all(bucket.is_valid for bucket in (*self.waits, *self.first_bytes))

    def bounded(self) -> "UsualCounts":
        """Return the counts limited to the histogram capacity of one instance."""
        return UsualCounts(
            self.service,
            self.kind,
            [bucket.bounded() for bucket in self.waits],
            [bucket.bounded() for bucket in self.first_bytes],
        )


def merge_baselines(reported: Iterable[UsualCounts]) -> list[UsualCounts]:
    """Merge the baselines of several instances; invalid ones are left out."""
    merged = ServiceBaselines()
    for counts in reported:
        if counts.is_valid:
            merged.add_counts(counts.bounded())
    return merged.to_counts()


class ServiceBaselines:
    """Baselines by service and kind of request."""

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, RouteKind], RequestBaseline] = {}

    def get(self, service: str, kind: RouteKind) -> RequestBaseline | None:
        """Return a baseline, None before enough answers were observed."""
        baseline = self._baselines.get((service, kind))
        return baseline if baseline is not None and baseline.is_known else None

    def add(
        self, service: str, kind: RouteKind, waited_s: float, size_bytes: int
    ) -> None:
        """Add an observed answer.

        Parameters
        ----------
        service : str
            Service of the request.
        kind : RouteKind
            Whether the request is idempotent.
        waited_s : float
            Time until the answer began, in seconds.
        size_bytes : int
            Size of the first part of the answer.
        """
        baseline = self._baselines.setdefault((service, kind), RequestBaseline())
        baseline.waits_s.add(waited_s)
        baseline.first_bytes.add(size_bytes)

    def add_counts(self, counts: UsualCounts) -> None:
        """Add the counts of another instance."""
        baseline = self._baselines.setdefault(
            (counts.service, counts.kind), RequestBaseline()
        )
        baseline.waits_s.add_buckets(counts.waits)
        baseline.first_bytes.add_buckets(counts.first_bytes)

    def replace(self, reported: Iterable[UsualCounts]) -> None:
        """Replace the baselines for which the reports have enough answers."""
        newer = ServiceBaselines()
        for counts in reported:
            newer.add_counts(counts)
        known = {
            key: baseline
            for key, baseline in newer._baselines.items()
            if baseline.is_known
        }
        self._baselines.update(known)

    def to_counts(self) -> list[UsualCounts]:
        """Return the counts of at most `MAX_REPORTED_KINDS` baselines."""
        kinds = list(self._baselines.items())[:MAX_REPORTED_KINDS]
        return [
            UsualCounts(
                service,
                kind,
                baseline.waits_s.buckets(),
                baseline.first_bytes.buckets(),
            )
            for (service, kind), baseline in kinds
        ]
