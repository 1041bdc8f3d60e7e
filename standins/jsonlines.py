"""Append-only logs with one JSON object per line.

Each line is written by a single system call, so that the lines written before
a process was killed are whole.
"""

import json
import os
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

__all__ = ["JsonLinesLog", "read_lines"]


class JsonLinesLog:
    """Log that appends one JSON object per line.

    Parameters
    ----------
    path : str
        File to append to; an empty string throws all lines away.
    **common : object
        Fields that every line carries.
    """

    def __init__(self, path: str, **common: Any) -> None:
        self._common = common
        self._file = os.open(
            path or os.devnull, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
        )

    def write(self, event: str, **fields: Any) -> None:
        """Append a line with the wall-clock time ``at_s`` and ``event``."""
        entry = {"at_s": time.time(), "event": event, **self._common, **fields}
        os.write(self._file, json.dumps(entry).encode() + b"\n")

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)


def read_lines(path: str | Path) -> Iterator[dict[str, Any]]:
    """Yield the objects of a log; a torn last line is left out."""
    if not Path(path).exists():
        return
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            if line.endswith("\n"):
                yield json.loads(line)
