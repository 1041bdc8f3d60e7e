"""Connections to an object API that several tasks share."""

from endivepick.store.connection import CallLimits, StoreCall, StoreConnection
from endivepick.store.outcomes import CallOutcome

__all__ = ["StorePool"]


class StorePool:
    """Gives each call a connection of its own and keeps some of them.

    All its callers have to be tasks of one thread.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    source_host : str
        IPv4 address that calls come from; empty lets the system choose.
    kept : int
        Number of idle connections kept open.
    """

    def __init__(self, address: str, source_host: str, kept: int) -> None:
        self._address = address
        self._source_host = source_host
        self._kept = kept
        self._idle: list[StoreConnection] = []

    def call(self, call: StoreCall, limits: CallLimits) -> CallOutcome:
        """Make one call; see `StoreConnection.call`."""
        connection = self._take()
        try:
            return connection.call(call, limits)
        finally:
            self._give_back(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _take(self) -> StoreConnection:
        if self._idle:
            return self._idle.pop()
        return StoreConnection(self._address, source_host=self._source_host)

    def _give_back(self, connection: StoreConnection) -> None:
        if connection.is_open and len(self._idle) < self._kept:
            self._idle.append(connection)
        else:
            connection.close()
