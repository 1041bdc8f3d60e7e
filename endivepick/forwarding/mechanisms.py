"""Mechanisms of the forwarding path that can be disabled individually.

Operators leave them enabled.  Disabling one measures its effect in an installation, or
rules it out when the cause of a failure is investigated.

Three are always enabled: the handling of packets and lists that arrive before the
settings are read, the cookie, and the target's number in each packet header.  Without
the last two, no flow finds its target.
"""

from msgspec import Struct

__all__ = ["Mechanisms"]


class Mechanisms(Struct, frozen=True, forbid_unknown_fields=True):
    """Which mechanisms are enabled.

    Attributes
    ----------
    own_zone_first : bool
        New flows go to targets of the instance's own zone while it has slots for them;
        if disabled, to the targets of all zones alike.
    zone_headroom : bool
        A zone with slightly fewer slots than its share still keeps all its flows.
    spill_when_busy : bool
        New flows may leave the zone while all its targets are busy.
    busy_flows_weigh : bool
        A flow with a request in progress counts as more load than an idle one.
    cold_capacity : bool
        A target that has just started counts with only a part of its slots.
    copies_elsewhere : bool
        A copy of an opening packet goes to a target that has not got one yet.
    probe_repetition : bool
        A target is suspected and probed when its callers retransmit data.
    probe_silent_openings : bool
        A target is probed when no packet follows an opening packet.
    probe_silent_zone : bool
        When a target becomes silent, the other targets of its zone are probed.
    hints : bool
        Peers are told of a target that was found dead.
    tell_silence : bool
        Instances of a zone tell each other which of its targets became silent.
    reset_unreachable : bool
        Flows of dead and silent targets are reset before their registry entries are
        given up.
    judge_targets : bool
        Outlier detection: request outcomes are recorded, baselines are learnt from
        them, and new flows avoid targets that are alive but fail requests.
    reset_impaired : bool
        Flows of ejected targets are reset once the fault is confirmed: idle flows and,
        if the target leaves requests unanswered, flows with an overdue idempotent
        request.
    trickle : bool
        A target on probation gets few new flows.
    lapse_grace : bool
        A target whose entry was removed while it was ready is used for a grace period.
    entry_return : bool
        After an outage of the store, entries that expired in it are given time to
        return.
    hold_packets : bool
        Packets are held while their target or all routes are being read.
    told_changes : bool
        Feeders send the changes of a configuration, so that it is not read again.
    greet_neighbours : bool
        Feeders and the instances that they feed greet each other after a silence.
    breaker : bool
        One feed of an instance retries an unavailable store for the other feeds.
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
