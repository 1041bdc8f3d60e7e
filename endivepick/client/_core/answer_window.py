"""How far ahead the owner may send the parts of an answer."""

from dataclasses import dataclass

__all__ = ["AnswerWindow"]

SMALLEST_WINDOW_PARTS = 16
CONGESTION_LOSS = 0.25
"""Share of lost parts above which the path counts as congested.

Losses below it are taken for a path that loses at random, which a smaller window
would not mend.
"""


@dataclass(slots=True)
class AnswerWindow:
    """Window that grows while parts arrive and halves on congestion.

    Parameters
    ----------
    size_parts : int
        Present size.
    largest_parts : int
        Largest size.
    """

    size_parts: int
    largest_parts: int
    _round_ends_at: int = 0
    _round_parts: int = 0
    _round_losses: int = 0

    def on_part(self, highest_index: int) -> None:
        """Count a part that arrived."""
        self._round_parts += 1
        if highest_index < self._round_ends_at:
            return
        self._adapt()
        self._round_ends_at = highest_index + self.size_parts
        self._round_parts = 0
        self._round_losses = 0

    def on_losses(self, count: int) -> None:
        """Count parts that were lost."""
        self._round_losses += count

    def on_false_loss(self) -> None:
        """Take a loss back: the part had only been late."""
        self._round_losses -= 1

    def _adapt(self) -> None:
        if self._round_losses > CONGESTION_LOSS * self._round_parts:
            self.size_parts = max(SMALLEST_WINDOW_PARTS, self.size_parts // 2)
            return
        grown = self.size_parts + max(8, self.size_parts // 4)
        self.size_parts = min(grown, self.largest_parts)
