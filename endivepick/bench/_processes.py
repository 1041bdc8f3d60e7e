"""Processor time and memory of processes, read from ``/proc``."""

import os
from pathlib import Path

__all__ = ["read_cpu_s", "read_rss_bytes"]

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_FIELD = 11
"""Index of the user time in ``/proc/<pid>/stat``, counted after the name."""


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    user, system = fields[_USER_FIELD], fields[_USER_FIELD + 1]
    return (int(user) + int(system)) / _TICKS_PER_S
