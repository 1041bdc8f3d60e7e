"""How a cold target's slots open one by one."""

__all__ = ["ramped_slots"]


def ramped_slots(slots: int, age_s: float, slow_start_s: float) -> int:
    """Return the slots that a target may use at an age.

    Parameters
    ----------
    slots : int
        All its slots.
    age_s : float
        Time since it was ready, in seconds.
    slow_start_s : float
        Time until all slots are open, in seconds; 0 for at once.

    Examples
    --------
    >>> [ramped_slots(3, age_s, 9.0) for age_s in (0.0, 3.0, 6.0, 20.0)]
    [1, 2, 3, 3]
    """
    if age_s >= slow_start_s:
        return slots
    return min(slots, 1 + int(slots * age_s / slow_start_s))
