"""One HTTP call to the object API, with its failure told apart by effect."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import gevent
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from endivepick.errors import (
    EndivepickError,
    PlatformAnswerError,
    PlatformUnavailableError,
)
from endivepick.platform.settings import PlatformSettings


@dataclass(frozen=True)
class Answer:
    """The platform's whole answer."""

    status: int
    data: bytes
    retry_after_s: float | None


@dataclass(frozen=True)
class NotSent:
    """The call did not reach the platform: it has no effect."""

    reason: str


@dataclass(frozen=True)
class AnswerLost:
    """The call may have reached the platform: its effect is unknown."""

    reason: str


CallOutcome = Answer | NotSent | AnswerLost


class HttpCaller:
    """Connections to the object API, without any silent retry.

    Parameters
    ----------
    settings : PlatformSettings
        Address and limits.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        source = (settings.source_host, 0) if settings.source_host else None
        self._pool = urllib3.PoolManager(
            maxsize=settings.connections, retries=False, source_address=source
        )

    def call(
        self,
        method: str,
        path: list[str],
        query: Mapping[str, Any] | None = None,
        body: Any = None,
        wait_s: float = 0.0,
    ) -> CallOutcome:
        """Make one call; ``wait_s`` is how long the platform may hold it."""
        limit_s = self._settings.call_timeout_s + wait_s
        # Without a limit on the whole, an answer that drips in would hold the
        # task for ever: the library limits each read only.
        with gevent.Timeout(limit_s, False):
            return self._send(method, self._url(path, query), body, limit_s)
        return AnswerLost(f"no whole answer within {limit_s:g} s")

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def _url(self, path: list[str], query: Mapping[str, Any] | None) -> str:
        parts = "/".join(quote(part, safe="") for part in path)
        suffix = f"?{urlencode(query)}" if query else ""
        return f"http://{self._settings.address}/v1/{parts}{suffix}"

    def _send(self, method: str, url: str, body: Any, limit_s: float) -> CallOutcome:
        headers = {} if body is None else {"Content-Type": "application/json"}
        try:
            response = self._pool.request(
                method,
                url,
                body=None if body is None else json.dumps(body).encode(),
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self._settings.connect_timeout_s, read=limit_s
                ),
                retries=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return NotSent(str(error))
        except (HTTPError, OSError) as error:
            return AnswerLost(str(error))
        retry_after_s = _retry_after_s(response.headers.get("Retry-After"))
        return Answer(response.status, response.data, retry_after_s)


def _retry_after_s(header: str | None) -> float | None:
    # A date is allowed as well; the platform's contract gives seconds.
    if header is None or not header.isascii() or not header.isdigit():
        return None
    return float(header)


def call_error(outcome: CallOutcome) -> EndivepickError:
    """Return the typed error of a call that had no effect."""
    match outcome:
        case Answer(status=429 | 503 as status, retry_after_s=retry_after_s):
            return PlatformUnavailableError(
                f"The platform answered {status}. Try again later.", retry_after_s
            )
        case Answer(status=status) if status >= 500:
            return PlatformUnavailableError(
                f"The platform answered {status}. Try again later."
            )
        case Answer(status=status, data=data):
            text = data[:200].decode(errors="replace")
            return PlatformAnswerError(
                f"The platform refused the call with {status}: {text} "
                "Check the name and the size of the body (at most a megabyte)."
            )
        case NotSent(reason=reason) | AnswerLost(reason=reason):
            return PlatformUnavailableError(
                f"No answer from the platform ({reason}). Check platform.address "
                "and the network, or try again later."
            )
