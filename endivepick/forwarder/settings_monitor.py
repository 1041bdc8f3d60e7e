"""Settings that change while a forwarder runs."""

import os
from collections.abc import Callable

import gevent

from endivepick.errors import SettingsInvalidError
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.settings import ForwarderSettings

__all__ = ["LOOK_EVERY_S", "SettingsLoader", "SettingsReload"]

LOOK_EVERY_S = 2.0
"""How often the file is looked at; it may change without a signal."""

SettingsLoader = Callable[[str], ForwarderSettings]


class SettingsReload:
    """Reads the settings file again and says what differs.

    Addresses, zone and name are fixed for the life of a process, which holds its
    sockets and the flows of its callers; a change of them waits for the next start
    and is said so.

    Parameters
    ----------
    path : str
        The file.
    load : callable
        Reads and checks it.
    settings : ForwarderSettings
        Settings in force.
    log : BoundedLog
        Where the outcome is written.
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

    def look_forever(self) -> None:
        """Read the file whenever it has changed."""
        while True:
            gevent.sleep(LOOK_EVERY_S)
            stamp = _stamp(self._path)
            if stamp != self._stamp:
                self._stamp = stamp
                self.read("file changed")

    def read(self, cause: str) -> None:
        """Read the file now; settings that are refused change nothing."""
        self._stamp = _stamp(self._path)
        try:
            settings = self._load(self._path)
        except SettingsInvalidError as error:
            self._log.warning(
                "settings", "settings_refused", "kept as they were", error=str(error)
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
            "read again",
            cause=cause,
            takes_effect_at_next_start=differing,
        )
        self._log.flush()


def _stamp(path: str) -> tuple[int, int]:
    """Return what changes with a file; zeros while there is none."""
    try:
        state = os.stat(path)
    except OSError:
        return (0, 0)
    return (state.st_mtime_ns, state.st_size)
