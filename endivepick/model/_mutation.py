"""A deliberate change of one rule."""

from dataclasses import dataclass

from endivepick.model.checker import Specification

__all__ = ["Mutation"]


@dataclass(frozen=True)
class Mutation:
    """A specification with one rule broken.

    Attributes
    ----------
    name : str
        What is broken.
    specification : Specification
        The specification with the broken rule; an invariant must fail.
    """

    name: str
    specification: Specification
