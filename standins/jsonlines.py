"""Reading of logs with one JSON object per line."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

__all__ = ["read_lines"]


def read_lines(path: str | Path) -> Iterator[dict[str, Any]]:
    """Yield the objects of a log; skips an incomplete last line."""
    if not Path(path).exists():
        return
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            if not line.endswith("\n"):
                # Reading on would return the rest of the line as a separate line.
                return
            yield json.loads(line)
