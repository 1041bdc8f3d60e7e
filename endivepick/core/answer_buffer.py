"""Answer of one request, cut into numbered parts that wait for the caller."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.core.messages import PART_SIZE_BYTES, AnswerHead, AnswerPart
from endivepick.core.packet_codec import encode_struct

__all__ = ["AnswerBuffer"]

INITIAL_WINDOW_PARTS = 64
LARGEST_WINDOW_PARTS = 512
TAIL_REPEAT_PARTS = 32
"""Parts sent again when the caller asks and has none."""


@dataclass(slots=True)
class AnswerBuffer:
    """Parts that the caller has not acknowledged yet.

    The buffer has no timers: the caller asks for what is missing.

    Attributes
    ----------
    base_index : int
        Number of the first part held.
    sent_index : int
        Parts below this number were sent at least once.
    final : bool
        The last part is in.
    window_parts : int
        How far beyond the acknowledged part the caller accepts parts.
    size_bytes : int
        Size of the parts held.
    """

    base_index: int = 0
    sent_index: int = 0
    final: bool = False
    window_parts: int = INITIAL_WINDOW_PARTS
    size_bytes: int = 0
    parts: list[bytes] = field(default_factory=list)

    @property
    def next_index(self) -> int:
        """Number that the next part will get."""
        return self.base_index + len(self.parts)

    def begin(self, head: AnswerHead) -> None:
        """Append part 0, the status and headers."""
        self._append(encode_struct(head))

    def extend(self, data: bytes) -> None:
        """Append body bytes."""
        for start in range(0, len(data), PART_SIZE_BYTES):
            self._append(data[start : start + PART_SIZE_BYTES])

    def finish(self) -> None:
        """Mark the last part; an empty one if the last has been sent already."""
        if self.sent_index >= self.next_index:
            self._append(b"")
        self.final = True

    def _append(self, part: bytes) -> None:
        self.parts.append(part)
        self.size_bytes += len(part)

    def acknowledge(
        self, next_index: int, missing: list[int], window_parts: int
    ) -> list[int]:
        """Take the caller's report.

        Parameters
        ----------
        next_index : int
            All parts below this number arrived.
        missing : list of int
            Later parts that did not arrive.
        window_parts : int
            How many parts beyond ``next_index`` the caller accepts.

        Returns
        -------
        list of int
            Parts to send again.
        """
        self.window_parts = max(1, min(window_parts, LARGEST_WINDOW_PARTS))
        overtaken = next_index < self.base_index
        # After a hand-over the caller may be ahead of what was sent from here.
        self._drop_below(min(next_index, self.next_index))
        self.sent_index = max(self.sent_index, self.base_index)
        if overtaken:
            return []
        if missing:
            wanted = missing[:LARGEST_WINDOW_PARTS]
            return [index for index in wanted if self._was_sent(index)]
        if next_index == 0 and self.sent_index:
            # The caller has nothing yet, so it cannot name what is missing.
            return list(
                range(
                    self.base_index,
                    min(self.sent_index, self.base_index + TAIL_REPEAT_PARTS),
                )
            )
        return []

    def _was_sent(self, index: int) -> bool:
        return self.base_index <= index < self.sent_index

    def _drop_below(self, index: int) -> None:
        count = index - self.base_index
        if count <= 0:
            return
        self.size_bytes -= sum(len(part) for part in self.parts[:count])
        del self.parts[:count]
        self.base_index = index

    def unsent(self) -> Iterator[int]:
        """Yield the parts that the window allows to send for the first time."""
        limit = min(self.next_index, self.base_index + self.window_parts)
        while self.sent_index < limit:
            self.sent_index += 1
            yield self.sent_index - 1

    def packet(self, flow_id: int, binding: int, seq: int, index: int) -> AnswerPart:
        """Build the packet of one part."""
        final = self.final and index == self.next_index - 1
        data = self.parts[index - self.base_index]
        return AnswerPart(flow_id, binding, seq, index, final, data)
