"""Calls to the object API by their paths and contents."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

from endivepick.platform.settings import PlatformSettings
from endivepick.store import CallLimits, CallOutcome, StoreCall, StorePool

__all__ = ["HttpCaller"]


class HttpCaller:
    """Paths, queries and bodies of the object API.

    Parameters
    ----------
    settings : PlatformSettings
        Address and limits.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._pool = StorePool(
            settings.address, settings.source_host, settings.connections
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
        data = b"" if body is None else json.dumps(body).encode()
        limit_s = self._settings.call_timeout_s + wait_s
        # An answer that drips in must not hold the task for ever.
        limits = CallLimits(
            first_byte_s=limit_s,
            read_s=limit_s,
            connect_s=self._settings.connect_timeout_s,
            total_s=limit_s,
        )
        return self._pool.call(StoreCall(method, _path(path, query), data), limits)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


def _path(path: list[str], query: Mapping[str, Any] | None) -> str:
    parts = "/".join(quote(part, safe="") for part in path)
    suffix = f"?{urlencode(query)}" if query else ""
    return f"/v1/{parts}{suffix}"
