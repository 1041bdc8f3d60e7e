"""Parts of one request on their way to the owner."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.core.messages import PART_SIZE_BYTES

__all__ = ["PartSender"]

SEND_WINDOW_PARTS = 32


@dataclass(slots=True)
class PartSender:
    """Decides which parts of a request to send.

    At most ``SEND_WINDOW_PARTS`` parts are under way beyond the first one that
    the owner misses.

    Parameters
    ----------
    payload : bytes
        The encoded request.

    Examples
    --------
    >>> sender = PartSender(b"x" * 1500)
    >>> sender.count, list(sender.take_new(now_s=0.0))
    (2, [0, 1])
    """

    payload: bytes
    next_index: int = 0
    sent_index: int = 0
    _held: set[int] = field(default_factory=set)
    _sent_at_s: dict[int, float] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Number of parts."""
        return max(1, -(-len(self.payload) // PART_SIZE_BYTES))

    @property
    def fits_window(self) -> bool:
        """Whether all parts are sent at once."""
        return self.count <= SEND_WINDOW_PARTS

    def data(self, index: int) -> bytes:
        """Return the bytes of one part."""
        start = index * PART_SIZE_BYTES
        return self.payload[start : start + PART_SIZE_BYTES]

    def take_new(self, now_s: float) -> Iterator[int]:
        """Yield the parts that may be sent for the first time."""
        limit = min(self.count, self.next_index + SEND_WINDOW_PARTS)
        while self.sent_index < limit:
            index = self.sent_index
            self.sent_index += 1
            self._sent_at_s[index] = now_s
            yield index

    def take_unconfirmed(self, now_s: float) -> Iterator[int]:
        """Yield the parts that were sent and not confirmed."""
        for index in range(self.next_index, self.sent_index):
            if index not in self._held:
                self._sent_at_s[index] = now_s
                yield index

    def report(
        self, next_index: int, missing: list[int], now_s: float, resend_s: float
    ) -> list[int]:
        """Take the owner's report and return the parts to send again.

        Parameters
        ----------
        next_index : int
            All parts below arrived.
        missing : list of int
            Later parts that did not.
        now_s : float
            Time, in seconds.
        resend_s : float
            A part sent more recently than this is not sent again.
        """
        self._advance(next_index)
        wanted = {index for index in missing if self._is_open(index)}
        if wanted:
            # The next part cannot have arrived, or it would not be the next.
            arrived = range(self.next_index + 1, max(wanted))
            self._held.update(index for index in arrived if index not in wanted)
        return [
            index for index in sorted(wanted) if self._retake(index, now_s, resend_s)
        ]

    def _is_open(self, index: int) -> bool:
        return self.next_index <= index < self.sent_index

    def _advance(self, next_index: int) -> None:
        target = min(next_index, self.sent_index)
        if target < self.next_index:
            # A new owner, or a late report, which the next one puts right.
            self._held.clear()
            self.next_index = target
        for index in range(self.next_index, target):
            self._held.discard(index)
            self._sent_at_s.pop(index, None)
        self.next_index = target

    def _retake(self, index: int, now_s: float, resend_s: float) -> bool:
        if now_s - self._sent_at_s.get(index, -resend_s) < resend_s:
            return False
        self._sent_at_s[index] = now_s
        return True

    def restart(self) -> None:
        """Forget what the owner confirmed: it holds nothing."""
        self.next_index = 0
        self._held.clear()
        self._sent_at_s.clear()
        self.sent_index = 0
