"""Settings of the forwarding core."""

from msgspec import Struct
from msgspec.structs import replace

from endivepick.forwarding.mechanisms import Mechanisms

__all__ = ["ForwardingSettings", "without_disabled"]


class ForwardingSettings(Struct, frozen=True):
    """Limits of the forwarding core.

    Attributes
    ----------
    zone : str
        Availability zone of this instance.
    lapse_grace_s : float
        How long an entry that vanished while it was ready is still believed, in
        seconds.  Entries that expired in an outage of the store return within two
        seconds of its end; half a second more covers the way to this instance.
    entry_return_s : float
        Entries that expired in an outage of the store return within this time of its
        end, in seconds.  What the store answered before that says nothing of them.
    clock_difference_s : float
        How much the clocks of a target and of this instance may differ, in seconds.  A
        flow that was opened so long before its target's start was the former
        incarnation's.
    gone_memory_s : float
        How long the cookie of a target that is gone still resolves, in seconds: the
        longest life of a flow.
    opening_memory_s : float
        How long the targets of a flow's opening packets are remembered, in seconds;
        callers give up an opening after 1.4 s.
    observed_flows : int
        Flows whose progress is watched; the oldest are dropped beyond it, which
        bounds the memory of the table.
    idle_flow_s : float
        A flow without packets for longer no longer counts as load, in seconds; the
        configuration's own time-out goes before it.
    repeat_after_s : float
        Data that comes again sooner was reordered on its way, in seconds; callers
        repeat after 0.2 s.
    opening_answer_s : float
        An opening that nothing has followed for so long asks for a probe, in seconds;
        callers send its copy after 0.2 s if they hear nothing, and data within some
        ten milliseconds if the target answers.
    probe_gap_s : float
        Least time between two probes of a suspect, in seconds; a probe occupies a
        slot of the target for about a millisecond.
    probe_timeouts_s : tuple of float
        Longest wait for a connection at each attempt, in seconds.  All have to go
        unanswered before a target counts as silent: one packet may get lost, or the
        answer may be late at this machine.
    probe_compared_s : float
        The last attempt ends after that time, in seconds, or as long after another
        target has accepted a connection as that one took: it is not this instance's
        link, or its processor, that keeps the answer back.
    zones : int
        Availability zones of the installation.
    zone_headroom : float
        A zone keeps all its flows while its share of the slots, times this, covers
        its share of the flows; services run at a third to a half of their capacity.
    spill_busy : float
        Requests in progress per slot, as one instance sees them, from which on new
        flows leave a zone; the instances of a zone share its targets, so these have
        a queue by then.
    busy_weight : float
        A flow with a request in progress counts as that many more idle flows; an
        idle flow keeps a slot busy for some percent of the time.
    cold_capacity : float
        Share of its slots that a cold target counts with; it works at about 60 % of
        its speed.
    compared_targets : int
        Targets whose load is compared for a new flow; more of a service are sampled,
        so that an opening does not cost more with each target.
    held_packets : int
        Packets that wait for an unknown cookie at a time.
    held_s : float
        Longest wait of such a packet, in seconds; the caller repeats it after 0.2 s.
    ask_gap_s : float
        Least time between two readings of the registry for an unknown cookie, in
        seconds.
    mechanisms : Mechanisms
        What is in use; see `without_disabled` for those that are limits.
    """

    zone: str
    lapse_grace_s: float = 2.5
    entry_return_s: float = 2.0
    clock_difference_s: float = 3.0
    gone_memory_s: float = 60.0
    opening_memory_s: float = 2.0
    observed_flows: int = 32768
    idle_flow_s: float = 15.0
    repeat_after_s: float = 0.15
    opening_answer_s: float = 0.25
    probe_gap_s: float = 0.5
    probe_timeouts_s: tuple[float, ...] = (0.06, 0.2)
    probe_compared_s: float = 0.06
    zones: int = 1
    zone_headroom: float = 1.3
    spill_busy: float = 1.0
    busy_weight: float = 4.0
    cold_capacity: float = 0.6
    compared_targets: int = 32
    held_packets: int = 256
    held_s: float = 0.4
    ask_gap_s: float = 0.5
    mechanisms: Mechanisms = Mechanisms()


def without_disabled(settings: ForwardingSettings) -> ForwardingSettings:
    """Return settings in which the limits of disabled mechanisms have no effect.

    Examples
    --------
    >>> off = Mechanisms(hold_packets=False, cold_capacity=False)
    >>> settings = without_disabled(ForwardingSettings("a", mechanisms=off))
    >>> settings.held_packets, settings.cold_capacity, settings.zone_headroom
    (0, 1.0, 1.3)
    """
    used = settings.mechanisms
    return replace(
        settings,
        zone_headroom=settings.zone_headroom if used.zone_headroom else 1.0,
        busy_weight=settings.busy_weight if used.busy_flows_weigh else 0.0,
        cold_capacity=settings.cold_capacity if used.cold_capacity else 1.0,
        lapse_grace_s=settings.lapse_grace_s if used.lapse_grace else 0.0,
        entry_return_s=settings.entry_return_s if used.entry_return else 0.0,
        held_packets=settings.held_packets if used.hold_packets else 0,
    )
