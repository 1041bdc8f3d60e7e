"""Persistent HTTP/1.1 connection for small, frequent requests."""

from http.client import HTTPConnection, HTTPException

__all__ = ["HttpResponseError", "PersistentHttpConnection"]

RESPONSE_SIZE_BYTES_MAX = 1 << 20


class HttpResponseError(Exception):
    """The response is not valid HTTP, too large or incomplete."""


class PersistentHttpConnection:
    """Connection that is opened on demand and reused until it fails.

    Failed requests are not retried.

    Parameters
    ----------
    address : tuple of (str, int)
        IPv4 address and port to connect to.
    source : tuple of (str, int)
        IPv4 address and port to connect from.
    timeout_s : float
        Timeout of the connection attempt and of each read, in seconds.
    """

    def __init__(
        self, address: tuple[str, int], source: tuple[str, int], timeout_s: float
    ) -> None:
        self._connection = HTTPConnection(
            *address, timeout=timeout_s, source_address=source
        )
        # Only `get` opens the connection, so that the user of this class can track
        # its age.
        self._connection.auto_open = 0

    @property
    def is_open(self) -> bool:
        """Whether a connection from an earlier request is open."""
        return self._connection.sock is not None

    def get(self, path: str) -> bytes:
        """Return the body of the response, whatever its status.

        Raises
        ------
        OSError
            If the connection cannot be opened or breaks.
        HttpResponseError
            If the response cannot be read.
        """
        if not self.is_open:
            self._connection.connect()
        try:
            self._connection.request("GET", path)
            response = self._connection.getresponse()
            body = response.read(RESPONSE_SIZE_BYTES_MAX + 1)
        except ConnectionError:
            # RemoteDisconnected is also an HTTPException. It stays an OSError, so that
            # the probe is retried on a new connection.
            raise
        except HTTPException as error:
            raise HttpResponseError(str(error)) from error
        if len(body) > RESPONSE_SIZE_BYTES_MAX:
            raise HttpResponseError("Response body exceeds 1 MiB.")
        if not response.isclosed():
            response.close()
            self.close()
        return body

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        self._connection.close()
