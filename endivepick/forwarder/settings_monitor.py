"""Validates a changed settings file of a running forwarder."""

import os
from collections.abc import Callable

import gevent

from endivepick.errors import SettingsInvalidError
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.settings import ForwarderSettings

__all__ = ["CHECK_PERIOD_S", "SettingsLoader", "SettingsFileMonitor"]

CHECK_PERIOD_S = 2.0
"""Period at which the file is checked; it may change without a signal."""

SettingsLoader = Callable[[str], ForwarderSettings]


class SettingsFileMonitor:
    """Validates a changed settings file and logs the differences.

    All changes take effect at the next start. In particular, addresses, zone and name
    are fixed for the lifetime of a process, which holds its sockets and the flows of
    its callers.

    Parameters
    ----------
    path : str
        Settings file.
    load : callable
        Reads and validates the file.
    settings : ForwarderSettings
        Settings in force, which stay unchanged.
    log : BoundedLog
        Log of the outcome.
    """

    def __init__(
        self,
        path: str,
        load: SettingsLoader,
        settings: ForwarderSettings,
        log: BoundedLog,
    ) -> None:
        self._path = path
        self._load = load
        self._settings = settings
        self._log = log
        self._stamp = _stamp(path)

    def watch_file(self) -> None:
        """Check the file periodically and read it when it has changed."""
        while True:
            gevent.sleep(CHECK_PERIOD_S)
            stamp = _stamp(self._path)
            if stamp != self._stamp:
                self._stamp = stamp
                self.read("file changed")

    def read(self, cause: str) -> None:
        """Validate the file now and log which settings differ from those in force."""
        self._stamp = _stamp(self._path)
        try:
            settings = self._load(self._path)
        except SettingsInvalidError as error:
            self._log.warning(
                "settings",
                "settings_refused",
                "changed settings are invalid; the current ones stay in force",
                error=str(error),
            )
            self._log.flush()
            return
        differing = [
            key
            for key in ForwarderSettings.__struct_fields__
            if getattr(settings, key) != getattr(self._settings, key)
        ]
        self._log.event(
            "settings",
            "settings_read",
            "settings validated; differences take effect at the next start",
            cause=cause,
            takes_effect_at_next_start=differing,
        )
        self._log.flush()


def _stamp(path: str) -> tuple[int, int]:
    """Return modification time and size of a file; zeros if there is none."""
    try:
        state = os.stat(path)
    except OSError:
        return (0, 0)
    return (state.st_mtime_ns, state.st_size)
