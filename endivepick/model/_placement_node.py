"""Owner of the placement model: the real dispatcher, executor and owner."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass

from endivepick.core.actions import Action, RequestId
from endivepick.core.dispatch import (
    DispatchSettings,
    FinishKind,
    ProbeResult,
    ServiceDispatcher,
    TargetHealth,
)
from endivepick.core.events import AttemptAnswered, AttemptFailed
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_owner import FlowOwner
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.messages import RequestHead, RequestPart
from endivepick.core.packet_codec import encode_struct
from endivepick.core.settings import FlowSettings
from endivepick.core.token import TokenCodec
from endivepick.model._flow_node import CODEC, NOW_S
from endivepick.model._freeze import freeze
from endivepick.records.model import Affinity, ServiceRecord, TargetRecord

__all__ = ["Copy", "Finished", "PlacementNode", "PlacementParts", "Probed", "SERVICE"]

SERVICE = "notes"
ZONE = "zone"
TARGETS = ("t0", "t1")
CALLER = ("127.0.0.1", 1)
TIE = 0.5
FLOW = FlowSettings()
DISPATCH = DispatchSettings(attempts=2)
RECORD = ServiceRecord(
    name=SERVICE,
    version=1,
    schema_version=2,
    write_id="",
    affinity=Affinity.REQUEST,
    targets=tuple(
        TargetRecord(name, ZONE, f"127.0.0.1:{index + 1}", 1, 10)
        for index, name in enumerate(TARGETS)
    ),
)
_NO_STATE = (FlowSettings, DispatchSettings, ServiceRecord, TokenCodec)


@dataclass(frozen=True)
class PlacementParts:
    """Classes that the owner is built of; a mutation replaces one."""

    dispatcher: Callable[..., ServiceDispatcher] = ServiceDispatcher
    executor: Callable[..., RequestExecutor] = RequestExecutor


@dataclass(frozen=True)
class Copy:
    """A copy of the one request arrives."""

    idempotent: bool


@dataclass(frozen=True)
class Finished:
    """An attempt ends."""

    request_id: RequestId
    attempt: int
    kind: FinishKind


@dataclass(frozen=True)
class Probed:
    """A target answers a probe."""

    target: str
    service: str
    incarnation: int


Event = Copy | Finished | Probed


class PlacementNode:
    """Owner of one flow to a service with two targets.

    Parameters
    ----------
    parts : PlacementParts
        Classes that it is built of.
    """

    def __init__(self, parts: PlacementParts) -> None:
        me = Identity("a", 1)
        self._table = FlowTable(FLOW, me, lambda: 7)
        self._executor = parts.executor(FLOW, self._table, lambda: TIE)
        self._dispatcher = parts.dispatcher(DISPATCH, RECORD, ZONE, NOW_S)
        self._executor.dispatchers[SERVICE] = self._dispatcher
        self._owner = FlowOwner(FLOW, self._table, CODEC, self._executor, lambda: TIE)
        self._owner.open_flow(SERVICE, 1, CALLER, NOW_S)

    def frozen(self) -> Hashable:
        """Return a picture of everything that later behaviour depends on."""
        parts = [self._table, vars(self._executor)]
        return freeze(parts, skip=_NO_STATE)

    def handle(self, event: Event) -> list[Action]:
        """Take one event."""
        match event:
            case Copy(idempotent=idempotent):
                return self._copy(idempotent)
            case Probed(target=target, service=service, incarnation=incarnation):
                outcome = ProbeResult(TargetHealth.READY, service, incarnation)
                decisions = self._dispatcher.on_probe(target, NOW_S, outcome)
                return self._executor.apply_decisions(decisions, NOW_S)
            case Finished(kind=FinishKind.OK):
                answer = AttemptAnswered(
                    event.request_id, event.attempt, 200, [], b"", 0.0
                )
                return self._executor.answered(answer, NOW_S)
            case Finished():
                failed = AttemptFailed(event.request_id, event.attempt, event.kind, 0.0)
                return self._executor.failed(failed, NOW_S)

    def _copy(self, idempotent: bool) -> list[Action]:
        flow = next(iter(self._table))
        data = encode_struct(RequestHead("POST", "/", [], b""))
        packet = RequestPart(b"", 1, 0, 1, idempotent, 30_000, data)
        return self._owner.handle(flow, packet, CALLER, NOW_S)
