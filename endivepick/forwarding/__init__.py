"""Packet forwarding of flows whose packets carry a cookie of their target."""

from endivepick.forwarding.actions import (
    DecisionRecord,
    Drop,
    DropReason,
    Effect,
    FaultConfirmed,
    Forward,
    Hold,
    OpeningRejected,
    OverloadChanged,
    ProbeCause,
    ProbeOutcome,
    ProbeResult,
    ProbeTarget,
    ReadRegistry,
    Release,
    Reset,
    ResetReason,
    Verdict,
)
from endivepick.forwarding.belief import (
    BeliefChange,
    Fitness,
    Reachability,
    TargetBelief,
    TargetState,
)
from endivepick.forwarding.configuration_changes import (
    ConfigurationChange,
    apply_change,
)
from endivepick.forwarding.configuration_checks import check_configuration
from endivepick.forwarding.evacuations import (
    EvacuatedZone,
    EvacuatedZones,
    EvacuationChange,
    EvacuationSnapshot,
)
from endivepick.forwarding.fitness_reports import FitnessReport, merge_reports
from endivepick.forwarding.forwarder import ForwardingCore
from endivepick.forwarding.model import (
    ColdStart,
    Configuration,
    FlowKey,
    Packet,
    Route,
    RouteKind,
    ServiceShare,
    Target,
    TargetPhase,
)
from endivepick.forwarding.registry_news import RegistryNews, RemovedTarget
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.target_checks import check_target, parse_target_number

__all__ = [
    "BeliefChange",
    "ColdStart",
    "Configuration",
    "ConfigurationChange",
    "Drop",
    "DropReason",
    "Effect",
    "EvacuatedZone",
    "EvacuatedZones",
    "EvacuationChange",
    "EvacuationSnapshot",
    "FaultConfirmed",
    "Fitness",
    "FitnessReport",
    "FlowKey",
    "Forward",
    "ForwardingCore",
    "ForwardingSettings",
    "Hold",
    "DecisionRecord",
    "OpeningRejected",
    "OverloadChanged",
    "Packet",
    "ProbeCause",
    "ProbeOutcome",
    "ProbeResult",
    "ProbeTarget",
    "Reachability",
    "ReadRegistry",
    "RegistryNews",
    "Release",
    "RemovedTarget",
    "Reset",
    "ResetReason",
    "Route",
    "RouteKind",
    "ServiceShare",
    "Target",
    "TargetBelief",
    "TargetPhase",
    "TargetState",
    "Verdict",
    "apply_change",
    "check_configuration",
    "check_target",
    "merge_reports",
    "parse_target_number",
]
