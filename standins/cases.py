"""Selection of measurement cases and shapes by their command-line names."""

import sys
from collections.abc import Sequence
from typing import Protocol, TypeVar

from standins.shapes import SHAPES, Shape

__all__ = ["choose_cases", "choose_shape"]


class Named(Protocol):
    """Object with a name."""

    @property
    def name(self) -> str:
        """Name on the command line."""


_Case = TypeVar("_Case", bound=Named)


def choose_shape(name: str) -> Shape:
    """Return the shape of a name; exits the program if the name is unknown."""
    if name not in SHAPES:
        sys.exit(f"There is no shape {name!r}. Use one of: {', '.join(SHAPES)}.")
    return SHAPES[name]


def choose_cases(names: str | Sequence[str], cases: Sequence[_Case]) -> list[_Case]:
    """Return the cases with these names, or all cases if no name is given.

    Parameters
    ----------
    names : str or sequence of str
        Names separated by commas; the command line may already split them.
    cases : sequence
        All cases.
    """
    wanted = names.split(",") if isinstance(names, str) else list(names)
    known = {case.name: case for case in cases}
    unknown = [name for name in wanted if name and name not in known]
    if unknown:
        sys.exit(f"There is no case {unknown[0]!r}. Use: {', '.join(known)}.")
    return [known[name] for name in wanted if name] or list(cases)
