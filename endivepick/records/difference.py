"""What changed between two bodies of an object."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["FieldDifference", "compare_bodies"]


@dataclass(frozen=True)
class FieldDifference:
    """One field that differs.

    Attributes
    ----------
    field : str
        Path of the field; list items with a name are given by it.
    before, after : object
        Values; None where the field is absent.
    """

    field: str
    before: Any
    after: Any

    def __str__(self) -> str:
        """Return one line for an operator."""
        return f"{self.field}: {self.before!r} -> {self.after!r}"


def compare_bodies(
    before: Mapping[str, Any] | None, after: Mapping[str, Any] | None
) -> tuple[FieldDifference, ...]:
    """Compare two bodies field by field.

    Parameters
    ----------
    before, after : mapping or None
        Bodies; None stands for an object that does not exist.

    Returns
    -------
    tuple of FieldDifference
        Ordered by field; the write id is left out.

    Examples
    --------
    >>> before = {"targets": [{"name": "a", "slots": 2}], "write_id": "x"}
    >>> after = {"targets": [{"name": "a", "slots": 3}], "write_id": "y"}
    >>> print(*compare_bodies(before, after))
    targets.a.slots: 2 -> 3
    """
    old = dict(_leaves("", before or {}))
    new = dict(_leaves("", after or {}))
    fields = sorted((old.keys() | new.keys()) - {"write_id"})
    pairs = ((field, old.get(field), new.get(field)) for field in fields)
    return tuple(FieldDifference(*pair) for pair in pairs if pair[1] != pair[2])


def _leaves(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    match value:
        case Mapping() if value or not path:
            for key, item in value.items():
                yield from _leaves(f"{path}.{key}" if path else str(key), item)
        case list() if value and all(_name_of(item) for item in value):
            for item in value:
                yield from _leaves(f"{path}.{_name_of(item)}", item)
        case _:
            yield path, value


def _name_of(item: Any) -> str:
    name = item.get("name", "") if isinstance(item, Mapping) else ""
    return name if isinstance(name, str) else ""
