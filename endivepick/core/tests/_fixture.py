"""An owner with one service, driven without sockets."""

from itertools import count

from endivepick.core.actions import Action, SendToCaller, StartAttempt
from endivepick.core.dispatch import (
    DispatchSettings,
    ProbeResult,
    ServiceDispatcher,
    TargetHealth,
)
from endivepick.core.events import AttemptAnswered
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_owner import FlowOwner
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.keyring import first_keyring
from endivepick.core.messages import Opened, RequestHead, RequestPart
from endivepick.core.packet_codec import encode_struct
from endivepick.core.settings import FlowSettings
from endivepick.core.token import FlowToken, TokenCodec
from endivepick.records.model import Affinity, ServiceRecord, TargetRecord

CALLER = ("127.0.0.1", 4000)
SERVICE = "notes"
NOW_S = 1000.0
_KEYRING = first_keyring(bytes(range(32)), 0.0)


def record(targets: int = 2, affinity: Affinity = Affinity.FLOW) -> ServiceRecord:
    return ServiceRecord(
        name=SERVICE,
        version=1,
        schema_version=2,
        write_id="w",
        affinity=affinity,
        targets=tuple(
            TargetRecord(f"t{number}", "z1", f"127.0.0.1:{9000 + number}", 2, 100)
            for number in range(targets)
        ),
    )


class OwnerFixture:
    """One instance's owner with a probed dispatcher."""

    def __init__(self, name: str = "a", first_id: int = 1) -> None:
        ids = count(first_id)
        self.settings = FlowSettings()
        self.me = Identity(name, 7_000_000 + first_id)
        self.new_id = lambda: next(ids)
        self.codec = TokenCodec(_KEYRING, self.settings.token_lifetime_s)
        self.table = FlowTable(self.settings, self.me, self.new_id)
        self.executor = RequestExecutor(self.settings, self.table, lambda: 0.5)
        self.owner = FlowOwner(
            self.settings, self.table, self.codec, self.executor, lambda: 0.5
        )
        self.reset_dispatcher()
        self.probe_targets()

    def reset_dispatcher(self) -> None:
        dispatcher = ServiceDispatcher(DispatchSettings(), record(), "z1", NOW_S)
        self.executor.dispatchers[SERVICE] = dispatcher

    def probe_targets(
        self, state: TargetHealth = TargetHealth.READY, incarnation: int = 77
    ) -> list[Action]:
        dispatcher = self.executor.dispatchers[SERVICE]
        probe = ProbeResult(state, SERVICE, incarnation, slots=2)
        decisions = []
        for name in ("t0", "t1"):
            decisions += dispatcher.on_probe(name, NOW_S, probe)
        return self.executor.apply_decisions(decisions, NOW_S)

    def open(self) -> tuple[FlowToken, bytes]:
        actions = self.owner.open_flow(SERVICE, 1, CALLER, NOW_S)
        [opened] = packets(actions, Opened)
        return self.codec.unseal(opened.token, NOW_S), opened.token

    def flow(self, token: FlowToken):
        return self.owner.find_flow(token, CALLER, NOW_S)

    def send(self, token: FlowToken, packet, now_s: float = NOW_S) -> list[Action]:
        return self.owner.handle(self.flow(token), packet, CALLER, now_s)

    def request(
        self, token: FlowToken, seq: int, stream: bool = False, now_s: float = NOW_S
    ) -> list[Action]:
        return self.send(token, request_part(seq, stream), now_s)

    def answer(self, start: StartAttempt, body: bytes = b"ok") -> list[Action]:
        event = AttemptAnswered(start.request_id, start.attempt, 200, [], body, 0.01)
        return self.executor.answered(event, NOW_S)


def request_part(seq: int, stream: bool = False) -> RequestPart:
    head = RequestHead("POST", "/work", [], b"", stream)
    return RequestPart(b"", seq, 0, 1, stream, 10_000, encode_struct(head))


def packets(actions: list[Action], kind: type) -> list:
    sent = [action.packet for action in actions if isinstance(action, SendToCaller)]
    return [packet for packet in sent if isinstance(packet, kind)]


def starts(actions: list[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]
