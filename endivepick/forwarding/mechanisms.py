"""Mechanisms of the forwarding path that can be switched off one by one.

Operators leave them on.  Each can be taken out to measure what it is worth where an
installation runs, or to rule it out when the cause of a failure is looked for.

Three have no switch: packets and lists that are taken before the settings are read,
the cookie, and the name before each packet, without which no flow finds its target.
"""

from msgspec import Struct

__all__ = ["Mechanisms"]


class Mechanisms(Struct, frozen=True, forbid_unknown_fields=True):
    """Which mechanisms are in use.

    Attributes
    ----------
    own_zone_first : bool
        New flows go to targets of the instance's zone while it has slots for them;
        off: to those of all zones alike.
    zone_headroom : bool
        A zone with somewhat fewer slots than its part still keeps all its flows.
    spill_when_busy : bool
        New flows may leave the zone while all its targets are busy.
    busy_flows_weigh : bool
        A flow with a request in progress counts as more load than an idle one.
    cold_capacity : bool
        A target that has just started counts with a part of its slots.
    copies_elsewhere : bool
        A copy of an opening packet goes to a target that got none yet.
    probe_repetition : bool
        A target whose callers repeat their data is suspected and probed.
    probe_silent_openings : bool
        A target is probed when nothing follows an opening packet.
    probe_silent_zone : bool
        When a target falls silent, the others of its zone are probed.
    hints : bool
        Peers are told of a target that was found dead.
    tell_silence : bool
        Instances of a zone tell each other of its targets that fell silent.
    reset_unreachable : bool
        Flows of dead and silent targets are reset before the registry gives the
        targets up.
    judge_targets : bool
        Targets that live and fail are passed over by new flows.
    reset_impaired : bool
        Their flows are reset if that is sure to lose nothing.
    trickle : bool
        A target that may have recovered gets few flows at first.
    lapse_grace : bool
        A target whose entry vanished while it was ready is believed for a while.
    entry_return : bool
        Entries that expired in an outage are waited for once it is over.
    hold_packets : bool
        Packets wait while their target or all routes are being read.
    told_changes : bool
        Feeders tell what changed in a configuration, so that it is not read again.
    greet_neighbours : bool
        Feeders and those whom they feed greet each other after they fell silent.
    breaker : bool
        One feed of an instance tries a lost store for the others.
    """

    own_zone_first: bool = True
    zone_headroom: bool = True
    spill_when_busy: bool = True
    busy_flows_weigh: bool = True
    cold_capacity: bool = True
    copies_elsewhere: bool = True
    probe_repetition: bool = True
    probe_silent_openings: bool = True
    probe_silent_zone: bool = True
    hints: bool = True
    tell_silence: bool = True
    reset_unreachable: bool = True
    judge_targets: bool = True
    reset_impaired: bool = True
    trickle: bool = True
    lapse_grace: bool = True
    entry_return: bool = True
    hold_packets: bool = True
    told_changes: bool = True
    greet_neighbours: bool = True
    breaker: bool = True
