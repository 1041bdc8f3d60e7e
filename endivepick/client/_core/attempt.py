"""One attempt of a request: its number, its parts and its answer's parts."""

import math
from collections.abc import Iterable

from endivepick.client._core.actions import RequestCall
from endivepick.client._core.answer_window import AnswerWindow
from endivepick.client._core.flow_context import FlowContext, Repeat
from endivepick.client._core.receiver import PartReceiver
from endivepick.client._core.sender import PartSender
from endivepick.core.messages import (
    Acknowledge,
    Cancel,
    RequestHead,
    RequestPart,
    RequestProgress,
)
from endivepick.core.packet_codec import encode_struct

__all__ = ["Attempt"]

LONGEST_DEADLINE_MS = 7 * 24 * 3600 * 1000


class Attempt:
    """Sends the packets of one attempt.

    Parameters
    ----------
    call : RequestCall
        What the program wants.
    head : RequestHead
        What to send.
    context : FlowContext
        What the flow's requests share.

    Attributes
    ----------
    seq : int
        Number of the attempt, 0 before it starts.
    receiver : PartReceiver
        Parts of the answer.
    payload_bytes : int
        Size of the encoded request.
    """

    def __init__(
        self, call: RequestCall, head: RequestHead, context: FlowContext
    ) -> None:
        payload = encode_struct(head)
        settings = context.settings
        largest = settings.answer_window_max_parts
        window = AnswerWindow(min(settings.answer_window_parts, largest), largest)
        self.seq = 0
        self.payload_bytes = len(payload)
        self.receiver = PartReceiver(window)
        self._call = call
        self._context = context
        self._sender = PartSender(payload)
        self._clean_since_s = 0.0

    def send_all(self, now_s: float) -> None:
        """Send the parts that the window allows, from the first one."""
        self._sender.restart()
        self._clean_since_s = now_s if self._sender.fits_window else 0.0
        self._send(self._sender.take_new(now_s), now_s)

    def forget_confirmed(self) -> None:
        """Take all parts for missing again."""
        self._sender.restart()

    def resend(self, now_s: float) -> None:
        """Send again what is not confirmed."""
        self.spoil_round_trip()
        self._send(self._sender.take_unconfirmed(now_s), now_s)
        self._send(self._sender.take_new(now_s), now_s)

    def on_progress(self, packet: RequestProgress, now_s: float) -> bool:
        """Send what the owner misses; True if more parts are confirmed."""
        before = self._sender.next_index
        resend_s = self._context.round_trip.resend_s
        wanted = self._sender.report(packet.next_index, packet.missing, now_s, resend_s)
        self._send(wanted, now_s)
        self._send(self._sender.take_new(now_s), now_s)
        return self._sender.next_index > before

    def spoil_round_trip(self) -> None:
        """Note that the time until `on_accepted` is not a round trip."""
        self._clean_since_s = 0.0

    def on_accepted(self, now_s: float) -> None:
        """Take the time since the parts were sent as a round trip."""
        if self._clean_since_s:
            self._context.round_trip.sample(now_s - self._clean_since_s)

    def _send(self, indexes: Iterable[int], now_s: float) -> None:
        for index in indexes:
            self._context.outbox.send(self._part(index, now_s))

    def _part(self, index: int, now_s: float) -> RequestPart:
        left_ms = math.ceil((self._call.deadline_at_s - now_s) * 1000)
        return RequestPart(
            token=self._context.token,
            seq=self.seq,
            index=index,
            count=self._sender.count,
            idempotent=self._call.idempotent,
            deadline_ms=min(max(left_ms, 1), LONGEST_DEADLINE_MS),
            data=self._sender.data(index),
        )

    def acknowledge(self, missing: list[int]) -> None:
        """Report what arrived and ask for ``missing`` and what comes next."""
        self._acknowledge(missing, done=False)

    def acknowledge_end(self) -> None:
        """Tell the owner that it may forget the request."""
        self._acknowledge([], done=True)

    def _acknowledge(self, missing: list[int], done: bool) -> None:
        packet = Acknowledge(
            token=self._context.token,
            seq=self.seq,
            next_index=self.receiver.next_index,
            missing=missing,
            window=self.receiver.window.size_parts,
            done=done,
        )
        self._context.outbox.send(packet)

    def cancel(self, now_s: float) -> None:
        """Tell the owner that the request is given up."""
        packet = Cancel(self._context.token, self.seq)
        repeat = Repeat(packet, self._context.outbox, now_s)
        self._context.timers.update(repeat)
