"""One HTTP call to the object API over a pool of connections."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

import gevent
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from endivepick.platform.settings import PlatformSettings
from endivepick.store_calls import (
    Answer,
    AnswerLost,
    CallOutcome,
    NotSent,
    retry_after_s,
)


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
        wait_s = retry_after_s(response.headers.get("Retry-After"))
        return Answer(response.status, response.data, wait_s)
