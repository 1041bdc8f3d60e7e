"""Costs of target probes and platform calls, over real sockets."""

import json
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

import fire
import gevent

from endivepick.bench._peer_slopes import bench_settings
from endivepick.bench._slopes import Measurement, measure
from endivepick.core.actions import Probe
from endivepick.daemon.probes import probe_tasks
from endivepick.platform.client import PlatformClient
from endivepick.platform.settings import PlatformSettings

__all__ = ["measure_calls", "measure_probes"]

TARGET_SIZES = (7, 14, 28, 56)
BODY_SIZES = (1_000, 10_000, 100_000, 1_000_000)
PROBE_ROUNDS = 10
CALLS = 10
_HEALTH = (
    b'{"service":"s","target":"t","incarnation":9223372036854775809,"state":"ready"}'
)
_LOAD = b'{"in_progress":1,"waiting":0,"slots":2,"connections":9,"age_ms":0}'
_HEADER_END = b"\r\n\r\n"
_US = 1e6


class _Server:
    """HTTP server that counts the bytes of requests and responses."""

    def __init__(self) -> None:
        self.counted_bytes = 0

    def listen(self) -> str:
        """Listen at an additional address and return it."""
        listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return "{}:{}".format(*listener.getsockname())

    def _accept(self, listener: socket.socket) -> None:
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            waiting = b""
            while data := connection.recv(65_536):
                self.counted_bytes += len(data)
                waiting += data
                while _HEADER_END in waiting:
                    head, _, waiting = waiting.partition(_HEADER_END)
                    answer = _answer(head.split()[1].decode())
                    self.counted_bytes += len(answer)
                    connection.sendall(answer)


def _answer(path: str) -> bytes:
    match path.strip("/").split("/"):
        case ["health"]:
            body = _HEALTH
        case ["load"]:
            body = _LOAD
        case [*_, size]:
            stored = {"kind": "k", "name": "n", "version": 1}
            body = json.dumps({**stored, "body": {"x": "y" * int(size)}}).encode()
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}"
    )
    return head.encode() + _HEADER_END + body


def serve() -> None:
    """Serve, and print the counted bytes for each line of standard input."""
    server = _Server()
    print(json.dumps([server.listen() for _ in range(TARGET_SIZES[-1])]), flush=True)
    for _ in sys.stdin:
        print(server.counted_bytes, flush=True)


@dataclass(frozen=True)
class _ServerProcess:
    """Handle of a server process.

    Attributes
    ----------
    addresses : list of str
        ``host:port``, one for each target.
    process : subprocess.Popen
        Process.
    """

    addresses: list[str]
    process: "subprocess.Popen[str]"

    def counted_bytes(self) -> int:
        """Return the bytes of all requests and responses so far."""
        assert self.process.stdin is not None and self.process.stdout is not None
        print(file=self.process.stdin, flush=True)
        return int(self.process.stdout.readline())


@contextmanager
def _run_server() -> Iterator[_ServerProcess]:
    command = [sys.executable, "-m", __name__]
    pipe = subprocess.PIPE
    # Leaving the context closes standard input, which ends the process.
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as process:
        assert process.stdout is not None
        yield _ServerProcess(json.loads(process.stdout.readline()), process)


def _measure_probes_at(serving: _ServerProcess, targets: int) -> dict[str, float]:
    done: list[object] = []
    before = serving.counted_bytes()
    with probe_tasks(bench_settings(), done.append) as tasks:
        started_s = time.process_time()
        for probed in range(targets, (PROBE_ROUNDS + 1) * targets, targets):
            for number in range(targets):
                tasks.probe(Probe("s", f"t{number}", serving.addresses[number]))
            # A target with a probe in flight is not probed again.
            while len(done) < probed:
                gevent.sleep(0.005)
            gevent.sleep(0.05)
        busy_s = time.process_time() - started_s
    probes = PROBE_ROUNDS
    return {
        "probe_round_us": busy_s / probes * _US,
        "probe_round_bytes": (serving.counted_bytes() - before) / probes,
    }


def measure_probes(sizes: Sequence[int] = TARGET_SIZES) -> dict[str, Measurement]:
    """Measure one probe of each target against the number of targets.

    Bytes are the TCP payload in both directions.
    """
    units = {"probe_round_us": "us", "probe_round_bytes": "B"}
    with _run_server() as serving:
        return measure("target", sizes, units, lambda n: _measure_probes_at(serving, n))


def _measure_calls_at(serving: _ServerProcess, size: int) -> dict[str, float]:
    settings = PlatformSettings(serving.addresses[0])
    client = PlatformClient(settings, gevent.sleep, lambda: 0.5)
    client.get("k", str(size)).unwrap()
    before, started_s = serving.counted_bytes(), time.process_time()
    for _ in range(CALLS):
        client.get("k", str(size)).unwrap()
    busy_s = time.process_time() - started_s
    client.close()
    return {
        "platform_call_us": busy_s / CALLS * _US,
        "platform_call_bytes": (serving.counted_bytes() - before) / CALLS,
    }


def measure_calls(sizes: Sequence[int] = BODY_SIZES) -> dict[str, Measurement]:
    """Measure one read from the platform against the size of the object."""
    units = {"platform_call_us": "us", "platform_call_bytes": "B"}
    with _run_server() as serving:
        return measure("byte", sizes, units, lambda n: _measure_calls_at(serving, n))


if __name__ == "__main__":
    fire.Fire(serve)
