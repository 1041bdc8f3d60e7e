"""Connection pool of an object API."""

from endivepick.store.connection import CallLimits, StoreCall, StoreConnection
from endivepick.store.outcomes import CallOutcome

__all__ = ["StorePool"]


class StorePool:
    """Pool that gives each call a connection of its own and keeps some of them open.

    Not thread-safe: all calls have to come from tasks of one thread.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    source_host : str
        Local IPv4 address of the connections; the system chooses if it is empty.
    max_idle : int
        Maximum number of idle connections that stay open.
    """

    def __init__(self, address: str, source_host: str, max_idle: int) -> None:
        self._address = address
        self._source_host = source_host
        self._max_idle = max_idle
        self._idle: list[StoreConnection] = []

    def call(self, call: StoreCall, limits: CallLimits) -> CallOutcome:
        """Make one call on a pooled connection; see `StoreConnection.call`."""
        connection = self._acquire()
        try:
            return connection.call(call, limits)
        finally:
            self._release(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _acquire(self) -> StoreConnection:
        if self._idle:
            return self._idle.pop()
        return StoreConnection(self._address, source_host=self._source_host)

    def _release(self, connection: StoreConnection) -> None:
        if connection.is_open and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()
