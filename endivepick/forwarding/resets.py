"""Resets of flows, in answer to a packet of their caller or without one."""

from endivepick.forwarding.actions import (
    Decision,
    DecisionRecord,
    Reset,
    ResetReason,
)
from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.model import Packet
from endivepick.forwarding.routes import RouteTable

__all__ = ["reset_flow", "reset_packet"]


def reset_packet(
    packet: Packet, reason: ResetReason, target: str, routes: RouteTable, now_s: float
) -> Decision:
    """Return the reset of a packet's flow, and its record.

    Parameters
    ----------
    packet : Packet
        The caller's packet.
    reason : ResetReason
        Why its flow is reset.
    target : str
        Target of the flow, "" if it has none.
    routes : RouteTable
        Routes of the configuration in force.
    now_s : float
        Current time, in seconds.
    """
    sequence = 0 if packet.opening else packet.acknowledged
    record = DecisionRecord(
        "flow_reset",
        packet.flow,
        target,
        reason.value,
        version=routes.version,
        age_s=now_s - routes.since_s,
    )
    return Decision(Reset(packet.flow, sequence, reason, target), [record])


def reset_flow(
    flows: FlowTable,
    flow: ObservedFlow,
    reason: ResetReason,
    evidence_since_s: float,
    now_s: float,
) -> Reset:
    """Remove a flow of which no packet is in transit, and return its reset.

    Parameters
    ----------
    flows : FlowTable
        Flows of this instance.
    flow : ObservedFlow
        The flow.
    reason : ResetReason
        Why it is reset.
    evidence_since_s : float
        When the evidence against its target was obtained, in seconds.
    now_s : float
        Present time, in seconds.
    """
    flows.end(flow.key)
    return Reset(
        flow.key,
        flow.acknowledged,
        reason,
        flow.belief.name,
        quiet_s=now_s - flow.seen_s,
        evidence_age_s=now_s - evidence_since_s,
    )
