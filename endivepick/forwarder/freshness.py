"""Derives the time limits of reads, watches and feeders from the settings.

The settings say within which time a change must be in force; installations differ in
it. The waits for the store, the coalescing of changes and the reliance on a feeder take
their limits from here, so that their sum stays within that time.
"""

from msgspec import Struct

from endivepick.forwarder.settings import ForwarderSettings

__all__ = ["Freshness", "compute_freshness"]

POLL_WAIT_S = 0.7
"""Maximum time for which a feeder holds a poll."""
POLL_TIMEOUT_MARGIN_S = 0.5
"""Margin added to the hold time of a poll; a feeder that answers later is considered
frozen or cut off."""
START_PAUSE_SHARE = 0.35
"""Share of the time to be in force that may pass between the first list and the first
watch; an instance finds a feeder within it even if that one is starting as well."""
CHECK_RETRY_SHARE = 0.4
"""Share of the time to be in force that may pass between two calls of an unavailable
store; the time-out of a call that was lost at the end of an outage comes first."""
MAX_RESUME_PAUSE_S = 2.5
"""Upper limit of the pause before a kind that is not required is read again."""
ANSWER_TIMEOUT_MARGIN_S = 1.0
"""Time after the end of its wait at which an unanswered watch is considered lost."""
FIRST_RETRY_S = 0.6
"""Maximum delay before the first retry of a failed call."""
CHANGE_READ_S = 0.7
"""Time that an instance needs to read a change from the store over a slow link that
also carries packets."""
GATHER_SHARE = 0.25
"""Share of the time to be in force that is used as the coalescing delay of changes."""
MAX_GATHER_S = 0.8
"""Upper limit of the coalescing delay; with a longer one, flows are placed on targets
that have left."""
FEEDER_SILENT_SHARE = 0.6
"""Share of the time to be in force for which a feeder may be without the store; the
rest covers the reading of a large configuration over a slow link."""
MAX_FEEDER_SILENT_S = 4.0
"""Upper limit of that time; the instances that follow a feeder that is cut off miss
changes for as long."""
HISTORY_LOSS_MARGIN_S = 1.5
"""Preferred margin between the watch of a feeder and the limit of its silence. A store
that drops its history leaves its watches unanswered for a second after their wait;
followers need not leave their feeders for this."""
MIN_FEEDING_WAIT_S = 1.0
"""Wait of a feeder's watch if `HISTORY_LOSS_MARGIN_S` would leave less; it is reduced
to keep `FEEDING_MARGIN_S`."""
FEEDING_MARGIN_S = 0.6
"""Margin between the watch of a feeder and the limit of its silence if the wait is
reduced. The minimum wait in `WATCH_BOUNDS_S` takes precedence and may leave less."""
TIMER_MARGIN_S = 0.25
"""Allowance for late timers and for the duration of a call."""
WATCH_BOUNDS_S = (0.5, 10.0)
"""Minimum and maximum wait of a watch. Each watch costs a call and detects a lost
store."""
_MS = 0.001


class Freshness(Struct, frozen=True):
    """Time limits, in seconds.

    Attributes
    ----------
    watch_wait_s : float
        Maximum time for which the store may hold a watch of the registry. A watch that
        the store accepted and then lost is never answered, even when the store is back;
        changes are missed until the watch times out.
    long_wait_s : float
        The same for the other kinds. Their watches are renewed when the store answers
        again after the watch of the registry was lost, and when an answer about the
        registry shows a newer revision of the store, so they need not time out by
        themselves.
    gather_s : float
        Coalescing delay after changes, so that a series of changes costs one call.
    feeder_silent_s : float
        Maximum time since the store last answered a feeder; beyond it, the instances
        that follow the feeder follow the store themselves.
    feeding_wait_s : float
        Maximum time for which the store may hold a feeder's watch of the registry. Its
        answers prove to the followers that their feeder is fresh, and each costs a
        call.
    evacuations_silent_s : float
        Maximum time since the store last answered a feeder about evacuated zones, while
        it answers about the other kinds; beyond it, the instances that follow the
        feeder read this kind themselves.
    start_pause_s : float
        Pause between the first list and the first watch after a start; an instance that
        follows a feeder by then holds no watch at all.
    check_retry_s : float
        Longest delay before an instance calls an unavailable store again while it polls
        a feeder, which retries as well.
    resume_pause_s : float
        Time after leaving a feeder before a kind is read that is not required; most
        instances follow another feeder by then.
    """

    watch_wait_s: float
    long_wait_s: float
    gather_s: float
    feeder_silent_s: float
    feeding_wait_s: float
    evacuations_silent_s: float
    start_pause_s: float
    check_retry_s: float
    resume_pause_s: float


def compute_freshness(settings: ForwarderSettings) -> Freshness:
    """Return the time limits that follow from the settings.

    Examples
    --------
    >>> from endivepick.forwarder.tests.test_settings import decode
    >>> compute_freshness(decode(change_in_force_ms=3000, store_settles_ms=4000))
    Freshness(watch_wait_s=1.45, long_wait_s=10.0, gather_s=0.75, \
feeder_silent_s=1.6, feeding_wait_s=1.0, evacuations_silent_s=11.85, \
start_pause_s=1.05, check_retry_s=1.2, resume_pause_s=0.85)
    """
    in_force_s = _MS * min(
        settings.change_in_force_ms,
        settings.drain_in_force_ms,
        settings.evacuation_in_force_ms or settings.change_in_force_ms,
    )
    gather_s = settings.gather_s
    if gather_s is None:
        gather_s = min(GATHER_SHARE * in_force_s, MAX_GATHER_S)
    watch_wait_s = long_wait_s = settings.watch_wait_s
    if watch_wait_s is None or long_wait_s is None:
        # The times run in parallel: a change of just before the end of an outage must
        # be in force when the store has settled, and not only after both times.
        missed_for_s = max(_MS * settings.store_settles_ms, in_force_s)
        spent_s = (
            ANSWER_TIMEOUT_MARGIN_S + FIRST_RETRY_S + CHANGE_READ_S + TIMER_MARGIN_S
        )
        shortest_s, longest_s = WATCH_BOUNDS_S
        watch_wait_s = min(missed_for_s - spent_s, longest_s)
        watch_wait_s = round(max(shortest_s, watch_wait_s), 3)
        long_wait_s = longest_s
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
    feeding_wait_s = max(feeding_wait_s, WATCH_BOUNDS_S[0])
    feeding_wait_s = round(min(feeding_wait_s, watch_wait_s), 3)
    evacuations_silent_s = round(
        long_wait_s + ANSWER_TIMEOUT_MARGIN_S + FIRST_RETRY_S + TIMER_MARGIN_S, 3
    )
    return Freshness(
        watch_wait_s,
        long_wait_s,
        gather_s,
        silent_s,
        feeding_wait_s,
        evacuations_silent_s,
        _compute_start_pause_s(settings, in_force_s),
        round(CHECK_RETRY_SHARE * in_force_s, 3),
        _compute_resume_pause_s(settings, in_force_s),
    )


def _compute_start_pause_s(settings: ForwarderSettings, in_force_s: float) -> float:
    if settings.gather_s is not None or not settings.zone_feeders:
        return settings.gather_s or 0.0
    return round(START_PAUSE_SHARE * in_force_s, 3)


def _compute_resume_pause_s(settings: ForwarderSettings, in_force_s: float) -> float:
    if settings.gather_s is not None:
        return settings.gather_s
    known_s = POLL_WAIT_S + POLL_TIMEOUT_MARGIN_S + CHANGE_READ_S + TIMER_MARGIN_S
    return round(max(0.0, min(in_force_s - known_s, MAX_RESUME_PAUSE_S)), 3)
