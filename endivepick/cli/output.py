"""Output of text, JSON and tables to standard output."""

import json
import sys
from collections.abc import Sequence
from typing import Any

__all__ = ["print_json", "print_line", "print_table"]

_COLUMN_SEPARATOR = "  "


def print_line(text: str) -> None:
    """Write one line and flush it, so that the reader of a pipe receives it at once."""
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()


def print_json(value: Any, indent: int | None = 2) -> None:
    """Write a value as JSON."""
    print_line(json.dumps(value, indent=indent, default=str))


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Write aligned columns, or ``(none)`` if there are no rows."""
    if not rows:
        print_line("(none)")
        return
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print_line(_COLUMN_SEPARATOR.join(padded).rstrip())
