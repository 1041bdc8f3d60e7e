"""Transmission of the parts of one request to the owner."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.core.messages import PART_SIZE_BYTES

__all__ = ["PartSender"]

SEND_WINDOW_PARTS = 32


@dataclass(slots=True)
class PartSender:
    """Decides which parts of a request to send.

    The send window allows ``SEND_WINDOW_PARTS`` parts, counted from the first part
    that the owner lacks.

    Parameters
    ----------
    payload : bytes
        Encoded request.

    Attributes
    ----------
    next_index : int
        Lowest part that is not confirmed.
    sent_index : int
        Lowest part that is not sent.

    Examples
    --------
    >>> sender = PartSender(b"x" * 1500)
    >>> sender.count, list(sender.take_new(now_s=0.0))
    (2, [0, 1])
    """

    payload: bytes
    next_index: int = 0
    sent_index: int = 0
    _confirmed_out_of_order: set[int] = field(default_factory=set)
    _sent_at_s: dict[int, float] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Number of parts."""
        return max(1, -(-len(self.payload) // PART_SIZE_BYTES))

    @property
    def fits_window(self) -> bool:
        """Whether all parts fit into the send window."""
        return self.count <= SEND_WINDOW_PARTS

    def get_part_data(self, index: int) -> bytes:
        """Return the data of one part."""
        start = index * PART_SIZE_BYTES
        return self.payload[start : start + PART_SIZE_BYTES]

    def take_new(self, now_s: float) -> Iterator[int]:
        """Yield the unsent parts that the window allows, and mark them as sent."""
        limit = min(self.count, self.next_index + SEND_WINDOW_PARTS)
        while self.sent_index < limit:
            index = self.sent_index
            self.sent_index += 1
            self._sent_at_s[index] = now_s
            yield index

    def take_unconfirmed(self, now_s: float) -> Iterator[int]:
        """Yield the parts that were sent but not confirmed."""
        for index in range(self.next_index, self.sent_index):
            if index not in self._confirmed_out_of_order:
                self._sent_at_s[index] = now_s
                yield index

    def on_report(
        self, next_index: int, missing: list[int], now_s: float, resend_s: float
    ) -> list[int]:
        """Process the owner's report and return the parts to retransmit.

        Parameters
        ----------
        next_index : int
            All parts with a lower index arrived.
        missing : list of int
            Later parts that did not arrive.
        now_s : float
            Current time, in seconds.
        resend_s : float
            Minimum time between two transmissions of a part, in seconds.
        """
        self._advance(next_index)
        wanted = {index for index in missing if self._is_outstanding(index)}
        if wanted:
            # The part `next_index` itself cannot have arrived.
            arrived = range(self.next_index + 1, max(wanted))
            self._confirmed_out_of_order.update(
                index for index in arrived if index not in wanted
            )
        return [
            index
            for index in sorted(wanted)
            if self._claim_resend(index, now_s, resend_s)
        ]

    def _is_outstanding(self, index: int) -> bool:
        return self.next_index <= index < self.sent_index

    def _advance(self, next_index: int) -> None:
        target = min(next_index, self.sent_index)
        if target < self.next_index:
            # The report is from a new owner or was delayed. The next report
            # corrects the effect of a delayed one.
            self._confirmed_out_of_order.clear()
            self.next_index = target
        for index in range(self.next_index, target):
            self._confirmed_out_of_order.discard(index)
            self._sent_at_s.pop(index, None)
        self.next_index = target

    def _claim_resend(self, index: int, now_s: float, resend_s: float) -> bool:
        if now_s - self._sent_at_s.get(index, -resend_s) < resend_s:
            return False
        self._sent_at_s[index] = now_s
        return True

    def restart(self) -> None:
        """Reset all confirmations, because the owner has none of the parts."""
        self.next_index = 0
        self._confirmed_out_of_order.clear()
        self._sent_at_s.clear()
        self.sent_index = 0
