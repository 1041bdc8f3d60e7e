"""Calls of HTTP endpoints with JSON bodies."""

import http.client
import json
from dataclasses import dataclass
from typing import Any

from standins.control import parse_address

__all__ = ["EndpointError", "Reply", "call", "call_ok"]

_TIMEOUT_S = 30.0


class EndpointError(Exception):
    """Call that an endpoint refused; the message contains the response."""


@dataclass(frozen=True)
class Reply:
    """Response to a call; ``body`` is None if it is not valid JSON."""

    status: int
    body: Any


def call(address: str, method: str, path: str, body: Any = None) -> Reply:
    """Make one call.

    Raises
    ------
    OSError, http.client.HTTPException
        If no response was received.
    """
    connection = http.client.HTTPConnection(*parse_address(address), timeout=_TIMEOUT_S)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        text = answer.read()
    finally:
        connection.close()
    try:
        return Reply(answer.status, json.loads(text))
    except ValueError:
        return Reply(answer.status, None)


def call_ok(address: str, method: str, path: str, body: Any = None) -> Any:
    """Make one call and return the body of the response.

    Raises
    ------
    EndpointError
        If the status is not 200.
    """
    reply = call(address, method, path, body)
    if reply.status != 200:
        raise EndpointError(f"{method} {path}: {reply.status} {reply.body}")
    return reply.body
