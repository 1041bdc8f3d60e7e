"""Mutation: a specification in which one rule is deliberately broken."""

from dataclasses import dataclass

from endivepick.model.checker import Specification

__all__ = ["Mutation"]


@dataclass(frozen=True)
class Mutation:
    """A specification with one rule broken.

    Attributes
    ----------
    name : str
        Description of the broken rule.
    specification : Specification
        Specification with the broken rule; an invariant must fail.
    """

    name: str
    specification: Specification
