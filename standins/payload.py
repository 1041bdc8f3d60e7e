"""Answers that a reader can verify: each carries a digest over itself."""

import hashlib
import json
from typing import Any

__all__ = ["make_answer", "make_event", "verify_answer", "verify_event"]

_DIGEST_CHARS = 32


def _digest(echo: str, body: bytes) -> str:
    return hashlib.sha256(echo.encode() + b"\n" + body).hexdigest()[:_DIGEST_CHARS]


def _filler(echo: str, size_bytes: int) -> bytes:
    block = hashlib.sha256(echo.encode()).hexdigest().encode()
    return (block * (size_bytes // len(block) + 1))[:size_bytes]


def make_answer(echo: str, size_bytes: int, **fields: Any) -> bytes:
    """Return an answer: a JSON line with ``echo`` and digest, then filler.

    Parameters
    ----------
    echo : str
        What the request asked to be sent back.
    size_bytes : int
        Size of the filler.
    **fields : object
        Further fields of the JSON line.
    """
    filler = _filler(echo, size_bytes)
    head = {**fields, "echo": echo, "size_bytes": size_bytes}
    head["digest"] = _digest(echo, filler)
    return json.dumps(head).encode() + b"\n" + filler


def verify_answer(body: bytes, echo: str) -> str:
    """Return ``"whole"``, ``"torn"`` or ``"crossed"``.

    ``"crossed"`` means that it answers another request than ``echo``.
    """
    line, _, filler = body.partition(b"\n")
    try:
        head = json.loads(line)
        answered, digest = head["echo"], head["digest"]
    except (ValueError, KeyError, TypeError):
        return "torn"
    if digest != _digest(answered, filler):
        return "torn"
    return "whole" if answered == echo else "crossed"


def make_event(echo: str, number: int) -> bytes:
    """Return the event of this number of a stream, with its ``id:`` line."""
    data = {"echo": echo, "number": number}
    data["digest"] = _digest(echo, str(number).encode())
    return f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()


def verify_event(data: str, echo: str, number: int) -> bool:
    """Say whether ``data`` is what event ``number`` of stream ``echo`` carries."""
    try:
        event = json.loads(data)
    except ValueError:
        return False
    expected = _digest(echo, str(number).encode())
    return event == {"echo": echo, "number": number, "digest": expected}
