"""Reloads the settings of a running forwarder."""

import os
from collections.abc import Callable

import gevent

from endivepick.errors import SettingsInvalidError
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.settings import ForwarderSettings

__all__ = ["CHECK_PERIOD_S", "SettingsLoader", "SettingsReload"]

CHECK_PERIOD_S = 2.0
"""Period at which the file is checked; it may change without a signal."""

SettingsLoader = Callable[[str], ForwarderSettings]


class SettingsReload:
    """Reads the settings file again and logs the differences.

    Addresses, zone and name are fixed for the lifetime of a process, which holds its
    sockets and the flows of its callers. A change of them takes effect at the next
    start and is logged.

    Parameters
    ----------
    path : str
        Settings file.
    load : callable
        Reads and validates the file.
    settings : ForwarderSettings
        Settings in force.
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
        """Read the file each time that it has changed."""
        while True:
            gevent.sleep(CHECK_PERIOD_S)
            stamp = _stamp(self._path)
            if stamp != self._stamp:
                self._stamp = stamp
                self.read("file changed")

    def read(self, cause: str) -> None:
        """Read the file now; invalid settings change nothing."""
        self._stamp = _stamp(self._path)
        try:
            settings = self._load(self._path)
        except SettingsInvalidError as error:
            self._log.warning(
                "settings",
                "settings_refused",
                "new settings are invalid; the old ones stay in force",
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
            "settings read",
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
