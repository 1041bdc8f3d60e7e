"""Window that bounds how far ahead the owner may send the parts of an answer."""

from dataclasses import dataclass

__all__ = ["AnswerWindow"]

MIN_WINDOW_PARTS = 16
CONGESTION_LOSS_SHARE = 0.25
"""Share of lost parts above which the path counts as congested.

A lower loss is attributed to random loss on the path, which a smaller window would
not reduce.
"""


@dataclass(slots=True)
class AnswerWindow:
    """Window that grows while parts arrive and halves on congestion.

    The size is adapted after each round. A round spans one window of parts.

    Parameters
    ----------
    size_parts : int
        Current size, in parts.
    max_parts : int
        Maximum size, in parts.
    """

    size_parts: int
    max_parts: int
    _round_end_index: int = 0
    _round_parts: int = 0
    _round_losses: int = 0

    def on_part(self, highest_index: int) -> None:
        """Count a part that arrived."""
        self._round_parts += 1
        if highest_index < self._round_end_index:
            return
        self._adapt()
        self._round_end_index = highest_index + self.size_parts
        self._round_parts = 0
        self._round_losses = 0

    def on_losses(self, count: int) -> None:
        """Count parts that were reported as lost."""
        self._round_losses += count

    def on_spurious_loss(self) -> None:
        """Undo the count of a loss, because the part was only delayed."""
        self._round_losses -= 1

    def _adapt(self) -> None:
        if self._round_losses > CONGESTION_LOSS_SHARE * self._round_parts:
            self.size_parts = max(MIN_WINDOW_PARTS, self.size_parts // 2)
            return
        grown = self.size_parts + max(8, self.size_parts // 4)
        self.size_parts = min(grown, self.max_parts)
