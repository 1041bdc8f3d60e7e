"""Cluster membership by gossip, direct probes and the platform's instance list."""

from endivepick.membership.actions import (
    Action,
    LeaveRequested,
    Log,
    PeerChanged,
    PeerProbeAnsweredLate,
    PeerProbeFailed,
    Send,
    SendToSeed,
    Superseded,
)
from endivepick.membership.core import Membership
from endivepick.membership.peer_messages import MembershipMessage
from endivepick.membership.settings import MembershipSettings
from endivepick.membership.view import InstanceView, ListedInstance, PeerState

__all__ = [
    "Action",
    "InstanceView",
    "LeaveRequested",
    "ListedInstance",
    "Log",
    "Membership",
    "MembershipMessage",
    "MembershipSettings",
    "PeerChanged",
    "PeerProbeAnsweredLate",
    "PeerProbeFailed",
    "PeerState",
    "Send",
    "SendToSeed",
    "Superseded",
]
