"""What is usual for requests of each service, as an instance and its zone have seen it.

Load pattern: hundreds of instances, each of which sees a few requests a second.  Alone,
each would need tens of seconds, again after each restart, before it could tell that a
request is overdue; together, a zone knows within a second.
"""

from collections.abc import Iterable

from msgspec import Struct

from endivepick.forwarding.model import RouteKind
from endivepick.forwarding.request_baseline import Bucket, UsualRequests

__all__ = ["MOST_USUAL", "ServiceUsual", "UsualCounts", "merge_baselines"]

MOST_USUAL = 16
"""Kinds of requests that a report tells of."""


class UsualCounts(Struct, frozen=True, array_like=True):
    """What was usual for requests of one kind, as instances tell each other.

    Attributes
    ----------
    service : str
        Their service.
    kind : RouteKind
        Whether they may be repeated.
    waits : list of Bucket
        Times until answers began.
    first_bytes : list of Bucket
        Sizes of what came first.
    """

    service: str
    kind: RouteKind
    waits: list[Bucket]
    first_bytes: list[Bucket]

    @property
    def possible(self) -> bool:
        """Whether an instance of this build tells this."""
        return all(bucket.possible for bucket in (*self.waits, *self.first_bytes))

    def bounded(self) -> "UsualCounts":
        """Return this with no more values than one instance remembers."""
        return UsualCounts(
            self.service,
            self.kind,
            [bucket.bounded() for bucket in self.waits],
            [bucket.bounded() for bucket in self.first_bytes],
        )


def merge_baselines(told: Iterable[UsualCounts]) -> list[UsualCounts]:
    """Add up what several instances tell; impossible words are left out."""
    merged = ServiceUsual()
    for counts in told:
        if counts.possible:
            merged.add_counts(counts.bounded())
    return merged.tell()


class ServiceUsual:
    """Distributions of what is usual, by service and kind of request."""

    def __init__(self) -> None:
        self._usual: dict[tuple[str, RouteKind], UsualRequests] = {}

    def get(self, service: str, kind: RouteKind) -> UsualRequests | None:
        """Return what is usual, None before enough answers were seen."""
        usual = self._usual.get((service, kind))
        return usual if usual is not None and usual.known else None

    def add(
        self, service: str, kind: RouteKind, waited_s: float, size_bytes: int
    ) -> None:
        """Take in an answer.

        Parameters
        ----------
        service : str
            Service of the request.
        kind : RouteKind
            Whether it might be repeated.
        waited_s : float
            Time until the answer began, in seconds.
        size_bytes : int
            What came of it first.
        """
        usual = self._usual.setdefault((service, kind), UsualRequests())
        usual.waits_s.add(waited_s)
        usual.first_bytes.add(size_bytes)

    def add_counts(self, counts: UsualCounts) -> None:
        """Take in what another instance has seen."""
        usual = self._usual.setdefault((counts.service, counts.kind), UsualRequests())
        usual.waits_s.add_buckets(counts.waits)
        usual.first_bytes.add_buckets(counts.first_bytes)

    def replace(self, told: Iterable[UsualCounts]) -> None:
        """Replace what is told of kinds of which enough is known."""
        newer = ServiceUsual()
        for counts in told:
            newer.add_counts(counts)
        known = {key: usual for key, usual in newer._usual.items() if usual.known}
        self._usual.update(known)

    def tell(self) -> list[UsualCounts]:
        """Return what was seen, of a bounded number of kinds."""
        kinds = list(self._usual.items())[:MOST_USUAL]
        return [
            UsualCounts(
                service, kind, usual.waits_s.buckets(), usual.first_bytes.buckets()
            )
            for (service, kind), usual in kinds
        ]
