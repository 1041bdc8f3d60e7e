"""Fragmentation and reassembly of large handover messages.

A single message of many megabytes would delay all other messages to the same peer,
including probes, and would break slow connections.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.core.flow_table import Identity
from endivepick.core.packet_codec import decode_struct, encode_struct
from endivepick.core.peer_messages import HandOver, HandOverPiece
from endivepick.errors import PacketInvalidError

__all__ = ["PieceAssembler", "PieceSender", "split_into_pieces"]

UNACKNOWLEDGED_PIECES_MAX = 8
"""Largest number of unacknowledged pieces of one transfer."""
PARTIAL_TRANSFERS_MAX = 8
"""Largest number of partial transfers kept for one source."""
PARTIAL_TRANSFER_TIMEOUT_S = 120.0
"""Time without a new piece after which a partial transfer is dropped, in seconds.

The source of such a transfer is gone.
"""

_Key = tuple[Identity, int]


def split_into_pieces(message: HandOver, size_bytes: int) -> tuple[HandOverPiece, ...]:
    """Split an encoded message into pieces.

    Parameters
    ----------
    message : HandOver
        Message to split.
    size_bytes : int
        Size of one piece, in bytes; the last one may be smaller.

    Returns
    -------
    tuple of HandOverPiece
        Pieces in order.

    Examples
    --------
    >>> pieces = split_into_pieces(HandOver(1, 2, []), size_bytes=3)
    >>> [(piece.index, piece.count) for piece in pieces]
    [(0, 2), (1, 2)]
    """
    data = encode_struct(message)
    starts = range(0, len(data), size_bytes)
    return tuple(
        HandOverPiece(
            message.transfer_id,
            message.successor_incarnation,
            index,
            len(starts),
            data[start : start + size_bytes],
        )
        for index, start in enumerate(starts)
    )


@dataclass(slots=True)
class PieceSender:
    """Selects the pieces of one transfer to send or retransmit.

    Attributes
    ----------
    pieces : tuple of HandOverPiece
        All pieces in order.
    """

    pieces: tuple[HandOverPiece, ...]
    _next_index: int = 0
    _unacknowledged: set[int] = field(default_factory=set)

    def take_unsent(self) -> Iterator[HandOverPiece]:
        """Yield the next unsent pieces, up to the limit of unacknowledged ones."""
        while (
            self._next_index < len(self.pieces)
            and len(self._unacknowledged) < UNACKNOWLEDGED_PIECES_MAX
        ):
            self._unacknowledged.add(self._next_index)
            self._next_index += 1
            yield self.pieces[self._next_index - 1]

    def acknowledge(self, index: int) -> bool:
        """Record the receipt of a piece; False if it was not awaited."""
        if index not in self._unacknowledged:
            return False
        self._unacknowledged.remove(index)
        return True

    def unacknowledged(self) -> list[HandOverPiece]:
        """Return the pieces to retransmit.

        Once all are acknowledged, the last piece is sent again to obtain the answer
        to the transfer.
        """
        indexes = sorted(self._unacknowledged) or [len(self.pieces) - 1]
        return [self.pieces[index] for index in indexes]


@dataclass(slots=True)
class _PartialTransfer:
    count: int
    updated_at_s: float
    pieces: dict[int, bytes] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        return len(self.pieces) == self.count


@dataclass(slots=True)
class PieceAssembler:
    """Reassembles handover messages from their pieces."""

    _partial: dict[_Key, _PartialTransfer] = field(default_factory=dict)

    def add(self, source: Identity, piece: HandOverPiece, now_s: float) -> bool:
        """Store a piece.

        Parameters
        ----------
        source : Identity
            Instance that sent the piece.
        piece : HandOverPiece
            Received piece.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        bool
            False if the piece contradicts earlier ones, or if the source already
            has the maximum number of partial transfers.
        """
        self._drop_expired(now_s)
        key = (source, piece.transfer_id)
        transfer = self._partial.get(key)
        if transfer is None:
            if self._count(source) >= PARTIAL_TRANSFERS_MAX:
                return False
            transfer = self._partial[key] = _PartialTransfer(piece.count, now_s)
        if piece.count != transfer.count or not 0 <= piece.index < piece.count:
            return False
        transfer.updated_at_s = now_s
        transfer.pieces[piece.index] = piece.data
        return True

    def _count(self, source: Identity) -> int:
        return sum(sender == source for sender, _ in self._partial)

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - PARTIAL_TRANSFER_TIMEOUT_S
        for key, partial in list(self._partial.items()):
            if partial.updated_at_s < oldest_s:
                del self._partial[key]

    def assemble(self, source: Identity, transfer_id: int) -> HandOver | None:
        """Return the message of a transfer, or None until it is complete and valid."""
        transfer = self._partial.get((source, transfer_id))
        if transfer is None or not transfer.is_complete:
            return None
        data = b"".join(transfer.pieces[index] for index in range(transfer.count))
        try:
            return decode_struct(data, HandOver)
        except PacketInvalidError:
            self.drop(source, transfer_id)
            return None

    def drop(self, source: Identity, transfer_id: int) -> None:
        """Discard the pieces of a transfer."""
        self._partial.pop((source, transfer_id), None)
