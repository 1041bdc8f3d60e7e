"""Settings of the forwarding core."""

from msgspec import Struct, field
from msgspec.structs import replace

from endivepick.forwarding.mechanisms import Mechanisms

__all__ = ["ForwardingSettings", "apply_mechanisms"]


class ForwardingSettings(Struct, frozen=True):
    """Limits of the forwarding core.

    Attributes
    ----------
    zone : str
        Availability zone of this instance.
    lapse_grace_s : float
        Grace period of an entry that was removed while its target was ready, in
        seconds.  Entries that expired in an outage of the store return within two
        seconds of its end; half a second more covers the propagation to this instance.
    entry_return_s : float
        Entries that expired in an outage of the store return within this time of its
        end, in seconds.  Earlier answers of the store cannot confirm a removal.
    clock_difference_s : float
        Largest difference between the clocks of a target and of this instance, in
        seconds.  A flow opened more than this before its target's start belongs to the
        former incarnation.
    gone_memory_s : float
        How long the cookie of a target that is gone still resolves, in seconds: the
        longest lifetime of a flow.
    opening_memory_s : float
        How long the targets of a flow's opening packets are kept, in seconds; callers
        give up an opening after 1.4 s.
    observed_flows : int
        Maximum number of observed flows, which bounds the memory of the table; beyond
        it the oldest are removed.
    idle_flow_s : float
        A flow without packets for longer no longer counts as load, in seconds; the
        timeout of the configuration takes precedence.
    repeat_after_s : float
        Data retransmitted sooner than this was reordered in the network, in seconds;
        callers retransmit after 0.2 s.
    opening_answer_s : float
        The target is probed when no packet has followed an opening for this long, in
        seconds; callers send a copy after 0.2 s without an answer, and data within some
        ten milliseconds if the target answers.
    probe_gap_s : float
        Minimum time between two probes of a suspect, in seconds; a probe occupies a
        slot of the target for about a millisecond.
    probe_timeouts_s : tuple of float
        Connection timeout of each attempt, in seconds.  A probe is unanswered only
        when all attempts fail: one packet may be lost, or this machine may process the
        answer late.
    probe_compared_s : float
        Minimum duration of the last attempt, in seconds.  It then ends when the control
        target has answered and as much time again has passed, or at its own timeout.
        This rules out a delay in this instance's own link or processor.
    zones : int
        Number of availability zones of the installation.
    zone_headroom : float
        A zone keeps all its flows while ``own_slots * zones / all_slots`` times this
        factor is at least 1; services run at a third to a half of their capacity.
    spill_busy : float
        Requests in progress per slot, as seen by one instance, from which new flows
        leave the zone.  Each instance sees only its own requests, so at this value at
        all instances, the targets already have queues.
    busy_weight : float
        Number of idle flows that a request in progress counts as, in addition to its
        own flow; an idle flow keeps a slot busy for a few percent of the time.
    cold_capacity : float
        Share of its slots that a cold target counts with; it runs at about 60 % of its
        speed.
    compared_targets : int
        Number of targets whose load is compared for a new flow.  Of larger services a
        sample is compared, so that the cost of an opening does not grow with the number
        of targets.
    held_packets : int
        Maximum number of packets held for an unknown cookie.
    held_s : float
        Maximum time for which such a packet is held, in seconds; the caller retransmits
        it after 0.2 s.
    ask_gap_s : float
        Minimum time between two reads of the registry for an unknown cookie, in
        seconds.
    zone_regions : dict of str to str
        Region of each availability zone; empty if there are no regions.
    shares_load : bool
        The instances of a zone tell each other the load that their callers put on
        targets, and place openings by it.
    limits_overload : bool
        Openings of low priority are rejected while a service is overloaded.
    mechanisms : Mechanisms
        Enabled mechanisms; see `apply_mechanisms` for those that are limits.
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
    zone_regions: dict[str, str] = field(default_factory=dict)
    shares_load: bool = False
    limits_overload: bool = False
    mechanisms: Mechanisms = Mechanisms()


def apply_mechanisms(settings: ForwardingSettings) -> ForwardingSettings:
    """Return settings in which the limits of disabled mechanisms have no effect.

    Examples
    --------
    >>> off = Mechanisms(hold_packets=False, cold_capacity=False)
    >>> settings = apply_mechanisms(ForwardingSettings("a", mechanisms=off))
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
