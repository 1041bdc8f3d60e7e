"""Starts processes, assigns their log files, and ends them."""

import json
import signal
from pathlib import Path
from typing import Any

from standins.process import ChildProcess

__all__ = ["Launcher"]


class Launcher:
    """Processes of one installation and the folder with their files.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings files, logs and standard error output.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._processes: list[ChildProcess] = []
        self._names: dict[tuple[str, str], int] = {}

    def spawn(
        self, name: str, module: str, arguments: list[str], code_folder: str = ""
    ) -> ChildProcess:
        """Start a process that ends with the cluster; does not wait for readiness."""
        errors = self.folder / self._unique_name(name, "err")
        process = ChildProcess(name, module, arguments, str(errors), code_folder)
        self._processes.append(process)
        return process

    def log_path(self, part: str, name: str) -> Path:
        """Return a new log path for a process of this part."""
        (self.folder / part).mkdir(exist_ok=True)
        return self.folder / part / self._unique_name(name, "jsonl")

    def logs(self, part: str) -> list[Path]:
        """Return the logs of a part: callers, targets, platform or instances."""
        return sorted((self.folder / part).glob("*.jsonl"))

    def _unique_name(self, name: str, suffix: str) -> str:
        key = (name, suffix)
        number = self._names[key] = self._names.get(key, 0) + 1
        return f"{name}.{number}.{suffix}"

    def write_settings(self, name: str, settings: dict[str, Any]) -> str:
        """Write a settings file and return its path."""
        path = self.folder / self._unique_name(name, "json")
        path.write_text("// Written by standins.cluster.\n" + json.dumps(settings))
        return str(path)

    def spawn_standin(self, part: str, settings: dict[str, Any]) -> ChildProcess:
        """Start ``standins.<part>`` with the settings and a log."""
        log = str(self.log_path(part, part))
        path = self.write_settings(part, {**settings, "log_path": log})
        return self.spawn(part, f"standins.{part}", [f"--settings={path}"])

    def end(self) -> None:
        """Kill all started processes; their logs are flushed after each line."""
        for process in self._processes:
            process.signal(signal.SIGKILL)
        for process in self._processes:
            process.kill()
