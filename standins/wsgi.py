"""Helpers for WSGI requests and responses."""

import json
from collections.abc import Callable, Iterable
from typing import Any

__all__ = [
    "STATUS_LINES",
    "Body",
    "Environ",
    "StartResponse",
    "read_body",
    "reply",
]

_MAX_BODY_BYTES = 2**20
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    499: "499 Cancelled",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
"""Status lines by status code."""

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Body = Iterable[bytes]


def read_body(environ: Environ) -> bytes:
    """Return the body of a request; raises ValueError if it is too long."""
    if int(environ.get("CONTENT_LENGTH") or 0) > _MAX_BODY_BYTES:
        raise ValueError(f"send at most {_MAX_BODY_BYTES} bytes")
    body: bytes = environ["wsgi.input"].read(_MAX_BODY_BYTES)
    return body


def reply(
    start_response: StartResponse,
    status: int,
    value: dict[str, Any],
    headers: Iterable[tuple[str, str]] = (),
) -> Body:
    """Send a response with a JSON body."""
    body = json.dumps(value).encode()
    common = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(STATUS_LINES[status], common + list(headers))
    return [body]
