"""Owner of flows: the one place where their requests are accepted."""

from collections.abc import Callable

from endivepick.core.actions import Action, Count, Log, SendToCaller
from endivepick.core.caller_timeout import SilenceWatch
from endivepick.core.delivery import AnswerDelivery
from endivepick.core.dispatch import FlowActivity
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow
from endivepick.core.flow_table import FlowTable
from endivepick.core.intake import RequestIntake
from endivepick.core.messages import (
    Acknowledge,
    CallerAddress,
    Cancel,
    FlowClosed,
    Opened,
    Reissued,
    Renew,
    RequestPart,
)
from endivepick.core.replies import come_back
from endivepick.core.settings import FlowSettings
from endivepick.core.token import FlowToken, TokenCodec

__all__ = ["FlowOwner", "TokenPacket"]

TokenPacket = RequestPart | Acknowledge | Cancel | Renew | FlowClosed


class FlowOwner:
    """Handles the packets of flows whose window this instance holds.

    Parameters
    ----------
    settings : FlowSettings
        Limits and times.
    table : FlowTable
        Flows of this instance.
    codec : TokenCodec
        Signs tokens.
    executor : RequestExecutor
        Runs complete requests.
    random_number : callable
        Returns a float from 0 up to 1.
    """

    def __init__(
        self,
        settings: FlowSettings,
        table: FlowTable,
        codec: TokenCodec,
        executor: RequestExecutor,
        random_number: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._table = table
        self._codec = codec
        self._executor = executor
        self._random_number = random_number
        self._intake = RequestIntake(settings, table, executor)
        self._delivery = AnswerDelivery(settings, executor)
        self._silence = SilenceWatch(settings, table, executor)

    @property
    def leaving(self) -> bool:
        """Whether a planned stop has begun: no new flow is opened here."""
        return self._intake.leaving

    def begin_leaving(self, now_s: float, last_deadline_s: float) -> None:
        """Take no new flow, and requests only of flows that cannot go yet.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        last_deadline_s : float
            Requests that may run longer are left to the successor, in seconds.
        """
        self._intake.begin_leaving(now_s, last_deadline_s)

    @property
    def renew_after_s(self) -> float:
        """When a caller should ask for a new token, in seconds after the last."""
        return self._settings.token_lifetime_s * self._settings.renew_share

    def open_flow(
        self, service: str, open_id: int, caller: CallerAddress, now_s: float
    ) -> list[Action]:
        """Open a flow to a service whose dispatcher is here."""
        dispatcher = self._executor.dispatchers[service]
        activity = FlowActivity()
        target = dispatcher.place_flow(activity, now_s, self._random_number())
        # All flows share the record's text, not each the one of its packet.
        flow = self._table.open(dispatcher.record.name, target, caller, now_s)
        flow.activity = activity
        sealed = self._codec.seal(self._table.token(flow, now_s))
        return [
            Count("flows_opened", service),
            Log(
                "owner",
                "flow_opened",
                "flow opened",
                {
                    "flow": flow.flow_id,
                    "binding": flow.binding,
                    "service": service,
                    "target": target,
                },
            ),
            SendToCaller(
                caller,
                Opened(open_id, flow.flow_id, sealed, self.renew_after_s, flow.binding),
            ),
        ]

    def find_flow(
        self, token: FlowToken, caller: CallerAddress, now_s: float
    ) -> OwnedFlow:
        """Return the flow of a token that names this incarnation as its owner."""
        flow = self._table.get(token.binding)
        if flow is None:
            flow = self._table.adopt(token, caller, now_s)
            self._executor.register_flow(flow, now_s)
        return flow

    def handle(
        self,
        flow: OwnedFlow,
        packet: TokenPacket,
        caller: CallerAddress,
        now_s: float,
    ) -> list[Action]:
        """Handle a packet of a flow that is held here."""
        if flow.frozen:
            return [come_back(flow, getattr(packet, "seq", 0), caller)]
        flow.caller = caller
        flow.heard_at_s = now_s
        match packet:
            case RequestPart():
                return self._intake.take(flow, packet, now_s)
            case Acknowledge():
                return self._delivery.acknowledged(flow, packet, now_s)
            case Cancel(seq=seq):
                return self._cancel(flow, seq, now_s)
            case Renew():
                return [self.reissue(flow, now_s)]
            case FlowClosed():
                return self._close(flow, now_s)

    def reissue(self, flow: OwnedFlow, now_s: float) -> Action:
        """Send a new token that names this instance and the same binding."""
        sealed = self._codec.seal(self._table.token(flow, now_s))
        packet = Reissued(
            flow.flow_id, flow.binding, sealed, flow.binding, True, self.renew_after_s
        )
        return SendToCaller(flow.caller, packet)

    def _cancel(self, flow: OwnedFlow, seq: int, now_s: float) -> list[Action]:
        request = flow.requests.get(seq)
        # A cancellation that overtakes its request must stop the later parts.
        flow.window.claim(seq)
        if request is None:
            return []
        return self._executor.cancel(flow, request, now_s)

    def _close(self, flow: OwnedFlow, now_s: float) -> list[Action]:
        self._executor.unregister_flow(flow, now_s)
        self._table.note_closed(flow, now_s)
        actions: list[Action] = []
        for request in list(flow.requests.values()):
            flow.window.claim(request.seq)
            actions += self._executor.cancel(flow, request, now_s)
        flow.requests.clear()
        return actions

    def tick(self, now_s: float) -> list[Action]:
        """Stop work that nobody awaits and forget answers that nobody fetches."""
        return self._silence.tick(now_s)
