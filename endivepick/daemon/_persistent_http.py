"""Kept HTTP/1.1 connection for small, frequent questions."""

from http.client import HTTPConnection, HTTPException

__all__ = ["AnswerError", "KeptHttp"]

ANSWER_SIZE_BYTES_MAX = 1 << 20


class AnswerError(Exception):
    """The other side's answer is no HTTP, too long or cut off."""


class KeptHttp:
    """One connection, opened when it is needed and kept while it works.

    It never sends a request again by itself.

    Parameters
    ----------
    address : tuple of (str, int)
        IPv4 number and port to connect to.
    source : tuple of (str, int)
        IPv4 number and port to connect from.
    timeout_s : float
        Longest wait for the connection and for each read, in seconds.
    """

    def __init__(
        self, address: tuple[str, int], source: tuple[str, int], timeout_s: float
    ) -> None:
        self._connection = HTTPConnection(
            *address, timeout=timeout_s, source_address=source
        )
        # A kept connection is opened by us alone, so that its age is known.
        self._connection.auto_open = 0

    @property
    def is_open(self) -> bool:
        """Whether a connection of an earlier question is kept."""
        return self._connection.sock is not None

    def get(self, path: str) -> bytes:
        """Return the body of the answer, whatever its status.

        Raises
        ------
        OSError
            If there is no connection or it breaks.
        AnswerError
            If the answer cannot be read.
        """
        if not self.is_open:
            self._connection.connect()
        try:
            self._connection.request("GET", path)
            response = self._connection.getresponse()
            body = response.read(ANSWER_SIZE_BYTES_MAX + 1)
        except ConnectionError:
            raise
        except HTTPException as error:
            raise AnswerError(str(error)) from error
        if len(body) > ANSWER_SIZE_BYTES_MAX:
            raise AnswerError("The answer is longer than a megabyte.")
        if not response.isclosed():
            response.close()
            self.close()
        return body

    def close(self) -> None:
        """Close the connection; the next question opens another."""
        self._connection.close()
