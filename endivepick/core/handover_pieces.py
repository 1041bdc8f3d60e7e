"""Hand-overs too large for one message, cut into pieces.

One message of many megabytes would hold up whatever else goes to the same peer, the
probes among it, and would break connections that are slow.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.core.flow_table import Identity
from endivepick.core.packet_codec import decode_struct, encode_struct
from endivepick.core.peer_messages import HandOver, HandOverPiece
from endivepick.errors import PacketInvalidError

__all__ = ["PieceCollector", "PieceSender", "cut_into_pieces"]

OPEN_PIECES_MAX = 8
"""Pieces of one transfer that are under way at once."""
OPEN_COLLECTIONS_MAX = 8
"""Transfers of one giver that are collected at once."""
KEPT_S = 120.0
"""Silence after which the pieces of a giver that is gone are dropped, in seconds."""

_Key = tuple[Identity, int]


def cut_into_pieces(message: HandOver, size_bytes: int) -> tuple[HandOverPiece, ...]:
    """Cut a message.

    Parameters
    ----------
    message : HandOver
        The message.
    size_bytes : int
        Size of one piece, in bytes.

    Examples
    --------
    >>> pieces = cut_into_pieces(HandOver(1, 2, []), size_bytes=3)
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
    """Decides which pieces of one transfer to send.

    Attributes
    ----------
    pieces : tuple of HandOverPiece
        All pieces.
    """

    pieces: tuple[HandOverPiece, ...]
    _next_index: int = 0
    _open: set[int] = field(default_factory=set)

    def take_new(self) -> Iterator[HandOverPiece]:
        """Yield the pieces that may be sent for the first time."""
        while self._next_index < len(self.pieces) and len(self._open) < OPEN_PIECES_MAX:
            self._open.add(self._next_index)
            self._next_index += 1
            yield self.pieces[self._next_index - 1]

    def taken(self, index: int) -> bool:
        """Note that a piece has arrived; False if that is no news."""
        if index not in self._open:
            return False
        self._open.remove(index)
        return True

    def again(self) -> list[HandOverPiece]:
        """Return the pieces to send again; the last one asks for the final answer."""
        indexes = sorted(self._open) or [len(self.pieces) - 1]
        return [self.pieces[index] for index in indexes]


@dataclass(slots=True)
class _Collection:
    count: int
    touched_at_s: float
    pieces: dict[int, bytes] = field(default_factory=dict)

    @property
    def complete(self) -> bool:
        return len(self.pieces) == self.count


@dataclass(slots=True)
class PieceCollector:
    """Puts the pieces of hand-overs together."""

    _collections: dict[_Key, _Collection] = field(default_factory=dict)

    def add(self, giver: Identity, piece: HandOverPiece, now_s: float) -> bool:
        """Take a piece; False if it makes no sense or there are too many.

        Parameters
        ----------
        giver : Identity
            Who sent it.
        piece : HandOverPiece
            The piece.
        now_s : float
            Present time, in seconds.
        """
        self._drop_old(now_s)
        key = (giver, piece.transfer_id)
        known = self._collections.get(key)
        if known is None:
            if self._count(giver) >= OPEN_COLLECTIONS_MAX:
                return False
            known = self._collections[key] = _Collection(piece.count, now_s)
        if piece.count != known.count or not 0 <= piece.index < piece.count:
            return False
        known.touched_at_s = now_s
        known.pieces[piece.index] = piece.data
        return True

    def _count(self, giver: Identity) -> int:
        return sum(holder == giver for holder, _ in self._collections)

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - KEPT_S
        for key, collection in list(self._collections.items()):
            if collection.touched_at_s < oldest_s:
                del self._collections[key]

    def message(self, giver: Identity, transfer_id: int) -> HandOver | None:
        """Return the message of a transfer once all its pieces make one."""
        known = self._collections.get((giver, transfer_id))
        if known is None or not known.complete:
            return None
        data = b"".join(known.pieces[index] for index in range(known.count))
        try:
            return decode_struct(data, HandOver)
        except PacketInvalidError:
            self.drop(giver, transfer_id)
            return None

    def drop(self, giver: Identity, transfer_id: int) -> None:
        """Forget the pieces of a transfer."""
        self._collections.pop((giver, transfer_id), None)
