"""Placement, admission, retries and target states at a service's owner."""

from endivepick.core.dispatch.dispatcher import ServiceDispatcher
from endivepick.core.dispatch.flow_activity import FlowActivity
from endivepick.core.dispatch.messages import (
    CancelRunning,
    CostClass,
    Decision,
    Fail,
    FailReason,
    FinishKind,
    ProbeFailed,
    ProbeOutcome,
    ProbeResult,
    Queued,
    RefusalReason,
    Refuse,
    Repin,
    RequestIntent,
    Start,
    TargetHealth,
)
from endivepick.core.dispatch.retry_budget import RetryBudget
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.snapshot import DispatchSnapshot, TargetSnapshot
from endivepick.core.dispatch.waiting_allowance import WaitingAllowance

__all__ = [
    "CancelRunning",
    "CostClass",
    "Decision",
    "DispatchSettings",
    "DispatchSnapshot",
    "Fail",
    "FailReason",
    "FinishKind",
    "FlowActivity",
    "ProbeFailed",
    "ProbeOutcome",
    "ProbeResult",
    "Queued",
    "RefusalReason",
    "Refuse",
    "Repin",
    "RequestIntent",
    "RetryBudget",
    "ServiceDispatcher",
    "Start",
    "TargetHealth",
    "TargetSnapshot",
    "WaitingAllowance",
]
