"""Processor time and memory of processes, from the kernel."""

import os
from pathlib import Path

__all__ = ["cpu_s", "rss_bytes"]

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_FIELD = 11
"""Of user time among the fields of ``/proc/<pid>/stat`` after the name."""


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    user, system = fields[_USER_FIELD], fields[_USER_FIELD + 1]
    return (int(user) + int(system)) / _TICKS_PER_S
