"""Answer of one request, split into numbered parts and buffered for the caller."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.core.messages import PART_SIZE_BYTES, AnswerHead, AnswerPart
from endivepick.core.packet_codec import encode_struct

__all__ = ["AnswerBuffer"]

WINDOW_PARTS_INITIAL = 64
WINDOW_PARTS_MAX = 512
INITIAL_RETRANSMISSION_PARTS_MAX = 32
"""Limit of parts retransmitted to a caller that has received none."""


@dataclass(slots=True)
class AnswerBuffer:
    """Answer parts that the caller has not acknowledged yet.

    The buffer has no timers: the caller requests retransmission of missing parts.

    Attributes
    ----------
    base_index : int
        Index of the first buffered part.
    sent_index : int
        Index below which every part was sent at least once.
    final : bool
        Whether the last part is in the buffer.
    window_parts : int
        Number of parts beyond the acknowledged ones that the caller accepts.
    size_bytes : int
        Size of the buffered parts.
    """

    base_index: int = 0
    sent_index: int = 0
    final: bool = False
    window_parts: int = WINDOW_PARTS_INITIAL
    size_bytes: int = 0
    parts: list[bytes] = field(default_factory=list)

    @property
    def next_index(self) -> int:
        """Index of the next part to append."""
        return self.base_index + len(self.parts)

    def begin(self, head: AnswerHead) -> None:
        """Append part 0, which holds the status and headers."""
        self._append(encode_struct(head))

    def extend(self, data: bytes) -> None:
        """Append body bytes, split into parts."""
        for start in range(0, len(data), PART_SIZE_BYTES):
            self._append(data[start : start + PART_SIZE_BYTES])

    def finish(self) -> None:
        """Mark the last part; append an empty one if all parts were sent already."""
        if self.sent_index >= self.next_index:
            self._append(b"")
        self.final = True

    def _append(self, part: bytes) -> None:
        self.parts.append(part)
        self.size_bytes += len(part)

    def acknowledge(
        self, next_index: int, missing: list[int], window_parts: int
    ) -> list[int]:
        """Process an acknowledgement of the caller.

        Parameters
        ----------
        next_index : int
            Index below which the caller has received every part.
        missing : list of int
            Later parts that the caller lacks.
        window_parts : int
            Number of parts beyond ``next_index`` that the caller accepts.

        Returns
        -------
        list of int
            Parts to retransmit.
        """
        self.window_parts = max(1, min(window_parts, WINDOW_PARTS_MAX))
        is_stale = next_index < self.base_index
        # After a handover the caller may have parts that this instance did not send.
        self._drop_below(min(next_index, self.next_index))
        self.sent_index = max(self.sent_index, self.base_index)
        if is_stale:
            return []
        if missing:
            wanted = missing[:WINDOW_PARTS_MAX]
            return [index for index in wanted if self._was_sent(index)]
        if next_index == 0 and self.sent_index:
            # A caller without any part cannot name the missing ones.
            return list(
                range(
                    self.base_index,
                    min(
                        self.sent_index,
                        self.base_index + INITIAL_RETRANSMISSION_PARTS_MAX,
                    ),
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
        """Yield the unsent parts that the window allows, and mark them as sent."""
        limit = min(self.next_index, self.base_index + self.window_parts)
        while self.sent_index < limit:
            self.sent_index += 1
            yield self.sent_index - 1

    def packet(self, flow_id: int, binding: int, seq: int, index: int) -> AnswerPart:
        """Return the packet of one part."""
        final = self.final and index == self.next_index - 1
        data = self.parts[index - self.base_index]
        return AnswerPart(flow_id, binding, seq, index, final, data)
