"""One attempt of a request: its number, its parts and the parts of its answer."""

import math
from collections.abc import Iterable

from endivepick.client._core.actions import RequestCall
from endivepick.client._core.answer_window import AnswerWindow
from endivepick.client._core.flow_context import FlowContext, RepeatedPacket
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

MAX_DEADLINE_MS = 7 * 24 * 3600 * 1000


class Attempt:
    """Sends the packets of one attempt of a request.

    Parameters
    ----------
    call : RequestCall
        Request of the program.
    head : RequestHead
        Method, path, headers and body to send.
    context : FlowContext
        State shared by the requests of the flow.

    Attributes
    ----------
    seq : int
        Request number of the attempt; 0 before it starts.
    receiver : PartReceiver
        Reassembles the parts of the answer.
    payload_bytes : int
        Size of the encoded request.
    """

    def __init__(
        self, call: RequestCall, head: RequestHead, context: FlowContext
    ) -> None:
        payload = encode_struct(head)
        settings = context.settings
        max_parts = settings.answer_window_max_parts
        window = AnswerWindow(min(settings.answer_window_parts, max_parts), max_parts)
        self.seq = 0
        self.payload_bytes = len(payload)
        self.receiver = PartReceiver(window)
        self._call = call
        self._context = context
        self._sender = PartSender(payload)
        self._round_trip_start_s = 0.0

    def send_all(self, now_s: float) -> None:
        """Send the parts that the window allows, starting with the first."""
        self._sender.restart()
        self._round_trip_start_s = now_s if self._sender.fits_window else 0.0
        self._send(self._sender.take_new(now_s), now_s)

    def reset_confirmations(self) -> None:
        """Treat all parts as unconfirmed."""
        self._sender.restart()

    def resend(self, now_s: float) -> None:
        """Retransmit the unconfirmed parts."""
        self.invalidate_round_trip()
        self._send(self._sender.take_unconfirmed(now_s), now_s)
        self._send(self._sender.take_new(now_s), now_s)

    def on_progress(self, packet: RequestProgress, now_s: float) -> bool:
        """Send the parts that the owner lacks; return True if more are confirmed."""
        before = self._sender.next_index
        resend_s = self._context.round_trip.resend_s
        wanted = self._sender.on_report(
            packet.next_index, packet.missing, now_s, resend_s
        )
        self._send(wanted, now_s)
        self._send(self._sender.take_new(now_s), now_s)
        return self._sender.next_index > before

    def invalidate_round_trip(self) -> None:
        """Exclude the time until `on_accepted` from the round trip estimate."""
        self._round_trip_start_s = 0.0

    def on_accepted(self, now_s: float) -> None:
        """Add the time since the parts were sent as a round trip sample."""
        if self._round_trip_start_s:
            self._context.round_trip.add_sample(now_s - self._round_trip_start_s)

    def _send(self, indexes: Iterable[int], now_s: float) -> None:
        for index in indexes:
            self._context.outbox.send(self._part(index, now_s))

    def _part(self, index: int, now_s: float) -> RequestPart:
        remaining_ms = math.ceil((self._call.deadline_at_s - now_s) * 1000)
        return RequestPart(
            token=self._context.token,
            seq=self.seq,
            index=index,
            count=self._sender.count,
            idempotent=self._call.idempotent,
            deadline_ms=min(max(remaining_ms, 1), MAX_DEADLINE_MS),
            data=self._sender.get_part_data(index),
        )

    def acknowledge(self, missing: list[int]) -> None:
        """Acknowledge the received parts and request ``missing`` and later ones."""
        self._acknowledge(missing, done=False)

    def acknowledge_end(self) -> None:
        """Notify the owner that it may delete the request."""
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
        """Notify the owner that the request is abandoned."""
        packet = Cancel(self._context.token, self.seq)
        repeat = RepeatedPacket(packet, self._context.outbox, now_s)
        self._context.timers.update(repeat)
