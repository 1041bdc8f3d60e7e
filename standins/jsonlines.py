"""Reading of logs with one JSON object per line."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

__all__ = ["read_lines"]


def read_lines(path: str | Path) -> Iterator[dict[str, Any]]:
    """Yield the objects of a log; a torn last line is left out."""
    if not Path(path).exists():
        return
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            if not line.endswith("\n"):
                # What is written meanwhile would come as a line of its own.
                return
            yield json.loads(line)
