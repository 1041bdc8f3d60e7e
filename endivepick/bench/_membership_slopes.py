"""Slopes of the membership, by its own measurement."""

from collections.abc import Sequence

from endivepick.bench._slopes import Measured, measure
from endivepick.membership.measure import measure_change, measure_join

__all__ = ["measure_membership"]

SIZES = (128, 512, 2_048, 8_000)


def _once(instances: int) -> dict[str, float]:
    return {
        "news_bytes": float(measure_change(instances)["sent_bytes_per_change"]),
        "join_bytes": float(measure_join(instances)["total_bytes"]),
    }


def measure_membership(sizes: Sequence[int] = SIZES) -> dict[str, Measured]:
    """Measure the bytes of news about one peer, and of the view on join.

    Both are the same in each repetition.
    """
    units = {"news_bytes": "B", "join_bytes": "B"}
    return measure("instance", sizes, units, _once, repeats=1)
