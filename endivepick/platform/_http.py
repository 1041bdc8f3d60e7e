"""HTTP transport of the object API client."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

from endivepick.platform.settings import PlatformSettings
from endivepick.store import CallLimits, CallOutcome, StoreCall, StorePool

__all__ = ["HttpTransport"]


class HttpTransport:
    """Sends calls with path, query and JSON body to the object API.

    Parameters
    ----------
    settings : PlatformSettings
        Address and timeouts.
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
        """Make one call; ``wait_s`` is how long the platform may delay its answer."""
        request_body = b"" if body is None else json.dumps(body).encode()
        timeout_s = self._settings.call_timeout_s + wait_s
        # The total timeout ends a call whose answer arrives in small pieces.
        limits = CallLimits(
            first_byte_s=timeout_s,
            read_s=timeout_s,
            connect_s=self._settings.connect_timeout_s,
            total_s=timeout_s,
        )
        return self._pool.call(
            StoreCall(method, _build_path(path, query), request_body), limits
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


def _build_path(path: list[str], query: Mapping[str, Any] | None) -> str:
    parts = "/".join(quote(part, safe="") for part in path)
    suffix = f"?{urlencode(query)}" if query else ""
    return f"/v1/{parts}{suffix}"
