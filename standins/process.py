"""Starting and running of processes that report readiness in one line."""

import json
import os
import queue
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import gevent.event

__all__ = [
    "ChildProcess",
    "ProcessNotReadyError",
    "exit_on_signal",
    "run_until_stopped",
    "wait_until",
]

READY_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.02


class ProcessNotReadyError(Exception):
    """Process that ended or printed no ready line; see its error output."""


def run_until_stopped(ready: dict[str, Any], max_life_s: float) -> None:
    """Print the ready line, then block until SIGTERM, SIGINT or the time limit."""
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    print(json.dumps(ready), flush=True)
    stopped.wait(max_life_s)


@contextmanager
def exit_on_signal() -> Iterator[None]:
    """Make SIGTERM raise SystemExit, so that clean-up ends all processes."""

    def exit_process(_number: int, _frame: Any) -> None:
        sys.exit("ended by a signal")

    before = signal.signal(signal.SIGTERM, exit_process)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)


def wait_until(
    condition: Callable[[], Any], what: str, timeout_s: float = READY_TIMEOUT_S
) -> Any:
    """Poll ``condition`` until it is true and return its value.

    Raises
    ------
    TimeoutError
        If it is not true in time; the message contains ``what``.
    """
    end_s = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > end_s:
            raise TimeoutError(f"timed out after {timeout_s} s waiting for {what}")
        time.sleep(_POLL_INTERVAL_S)
    return value


class ChildProcess:
    """Child process that prints one JSON line when it listens.

    Parameters
    ----------
    name : str
        Name of the process in messages.
    module : str
        Module that ``python -m`` runs.
    arguments : list of str
        Command-line arguments.
    error_path : str
        File for its standard error output.
    code_folder : str
        Checkout whose code it runs; empty for that of this process.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        error_path: str,
        code_folder: str = "",
    ) -> None:
        self.name = name
        self.error_path = error_path
        self.ready: dict[str, Any] = {}
        with open(error_path, "ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=errors,
                # Python searches the current folder for modules first.
                cwd=code_folder or None,
            )
        self._lines: queue.Queue[bytes] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process is still running."""
        return self._process.poll() is None

    def _read(self) -> None:
        assert self._process.stdout is not None
        with self._process.stdout as lines:
            for line in lines:
                self._lines.put(line)
        self._lines.put(b"")

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> dict[str, Any]:
        """Return the ready line.

        Raises
        ------
        ProcessNotReadyError
            If the process ended or printed no line in time.
        """
        try:
            line = self._lines.get(timeout=timeout_s)
        except queue.Empty:
            line = b""
        if not line:
            raise ProcessNotReadyError(
                f"{self.name} printed no ready line; see {self.error_path}:\n"
                f"{self.error_tail()}"
            )
        self.ready = json.loads(line)
        return self.ready

    def error_tail(self, size_bytes: int = 4000) -> str:
        """Return the end of its standard error output."""
        with open(self.error_path, "rb") as errors:
            errors.seek(0, os.SEEK_END)
            errors.seek(max(0, errors.tell() - size_bytes))
            return errors.read().decode(errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> int:
        """Wait until it ends; returns the exit status or raises `TimeoutError`."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise TimeoutError(
                f"{self.name} is still running after {timeout_s} s"
            ) from error

    def terminate(self, timeout_s: float) -> int:
        """Send SIGTERM, kill after ``timeout_s``; returns the exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.wait(timeout_s)
        except TimeoutError:
            return self.kill()

    def kill(self) -> int:
        """Kill the process; returns the exit status."""
        self.signal(signal.SIGKILL)
        return self._process.wait()
