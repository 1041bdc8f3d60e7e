"""How old an instance's beliefs may be, from when a change has to be in force.

Installations differ in that time.  What waits for the store, gathers its changes or
relies on a feeder takes its limits from here, so that their sum stays within it.
"""

from msgspec import Struct

from endivepick.forwarder.settings import ForwarderSettings

__all__ = ["Freshness", "compute_freshness"]

POLL_WAIT_S = 0.7
"""How long a feeder may hold a question."""
ANSWER_TIMEOUT_MARGIN_S = 1.0
"""A watch is answered that much after its wait at the latest, or it is lost."""
CHANGE_READ_S = 0.7
"""What an instance takes to read a change by itself over a slow link that carries
packets as well."""
GATHER_SHARE = 0.25
"""Part of the time that the gathering of changes may take."""
MAX_GATHER_S = 0.8
"""Beyond that flows are placed on targets that have left."""
FEEDER_SILENT_SHARE = 0.6
"""Part of the time that a feeder's silence may take; the rest covers the reading of a
large configuration over a slow link."""
MAX_FEEDER_SILENT_S = 4.0
"""Those who are fed by a feeder that was cut off miss what changes for so long."""
HISTORY_LOSS_MARGIN_S = 1.5
"""A store that drops its history leaves its watches unanswered for a second, after the
time that it may hold them; those who are fed need not leave their feeders for it."""
MIN_FEEDING_WAIT_S = 1.0
FEEDING_MARGIN_S = 0.6
"""Shortest wait of a feeder's watch and what it leaves at least, where the slack above
would leave less."""
TIMER_MARGIN_S = 0.25
"""What timers come late by, and a call takes."""
WATCH_BOUNDS_S = (0.5, 10.0)
"""Shortest and longest wait of a watch: each costs a call, and shows a lost store."""
_MS = 0.001


class Freshness(Struct, frozen=True):
    """Limits of what waits, in seconds.

    Attributes
    ----------
    watch_wait_s : float
        How long the store may hold a watch.  A watch that a silent store took in and
        lost is answered never, also when the store is back; until it is given up,
        changes are missed.
    gather_s : float
        Pause after changes, so that a series of them costs one call.
    feeder_silent_s : float
        The store must have answered a feeder since; otherwise those who are fed follow
        the store themselves.
    feeding_wait_s : float
        How long the store may hold a feeder's watch of the registry; its answers are
        what keeps those who are fed sure of their feeder, and each costs a call.
    """

    watch_wait_s: float
    gather_s: float
    feeder_silent_s: float
    feeding_wait_s: float


def compute_freshness(settings: ForwarderSettings) -> Freshness:
    """Return the limits that follow from the settings.

    Examples
    --------
    >>> from endivepick.forwarder.tests.test_settings import decode
    >>> compute_freshness(decode(change_in_force_ms=3000, store_settles_ms=4000))
    Freshness(watch_wait_s=4.0, gather_s=0.75, feeder_silent_s=1.6, feeding_wait_s=1.0)
    """
    in_force_s = _MS * min(settings.change_in_force_ms, settings.drain_in_force_ms)
    gather_s = settings.gather_s
    if gather_s is None:
        gather_s = min(GATHER_SHARE * in_force_s, MAX_GATHER_S)
    watch_wait_s = settings.watch_wait_s
    if watch_wait_s is None:
        lost_for_s = _MS * settings.store_settles_ms + in_force_s
        spent_s = (
            ANSWER_TIMEOUT_MARGIN_S + settings.retry_cap_s + gather_s + TIMER_MARGIN_S
        )
        shortest_s, longest_s = WATCH_BOUNDS_S
        watch_wait_s = max(shortest_s, min(lost_for_s - spent_s, longest_s))
    silent_s = min(
        in_force_s - POLL_WAIT_S - CHANGE_READ_S,
        in_force_s * FEEDER_SILENT_SHARE,
        MAX_FEEDER_SILENT_S,
    )
    silent_s = round(max(silent_s, 0.0), 3)
    feeding_wait_s = max(
        silent_s - HISTORY_LOSS_MARGIN_S,
        min(MIN_FEEDING_WAIT_S, silent_s - FEEDING_MARGIN_S),
    )
    feeding_wait_s = round(max(feeding_wait_s, WATCH_BOUNDS_S[0]), 3)
    return Freshness(watch_wait_s, gather_s, silent_s, feeding_wait_s)
