"""Slow start: gradual increase of the usable slots of a cold target."""

__all__ = ["ramped_slots"]


def ramped_slots(slots: int, age_s: float, slow_start_s: float) -> int:
    """Return the number of usable slots during slow start.

    Parameters
    ----------
    slots : int
        Total number of slots.
    age_s : float
        Time since the slow start began, in seconds.
    slow_start_s : float
        Time until all slots are usable, in seconds; 0 disables slow start.

    Examples
    --------
    >>> [ramped_slots(3, age_s, 9.0) for age_s in (0.0, 3.0, 6.0, 20.0)]
    [1, 2, 3, 3]
    """
    if age_s >= slow_start_s:
        return slots
    return min(slots, 1 + int(slots * age_s / slow_start_s))
