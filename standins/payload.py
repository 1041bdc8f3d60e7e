"""Answers and events with digests, so that a reader can verify them."""

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
    """Return an answer: a JSON line with ``echo`` and digest, followed by filler.

    Parameters
    ----------
    echo : str
        Identifier of the request, which the answer repeats.
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

    ``"torn"`` means that the answer is corrupt, ``"crossed"`` that it is the answer
    to a request other than ``echo``.
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
    """Return an event of a stream with its ``id:`` line."""
    data = {"echo": echo, "number": number}
    data["digest"] = _digest(echo, str(number).encode())
    return f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()


def verify_event(data: str, echo: str, number: int) -> bool:
    """Return whether ``data`` is the data of event ``number`` of stream ``echo``."""
    try:
        event = json.loads(data)
    except ValueError:
        return False
    expected = _digest(echo, str(number).encode())
    return event == {"echo": echo, "number": number, "digest": expected}
