"""Slopes of the sockets: connections to peers, and probes of targets."""

import json
import os
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import fire
import gevent
import zmq

from endivepick.bench._processes import rss_bytes
from endivepick.bench._slopes import Measured, measure
from endivepick.core.peer_messages import HandOverAccepted
from endivepick.daemon.peers import derive_curve_keys, peer_task
from endivepick.settings import parse_settings
from endivepick.settings.model import DaemonSettings
from endivepick.timeline.clock import HybridClock

__all__ = ["bench_settings", "measure_connections"]

MODULE = "endivepick.bench._peer_slopes"
CONNECTION_SIZES = (16, 64, 256, 512)
IDLE_S = 3.0
CONNECT_LIMIT_S = 20.0
_SECRET_HEX = "000102030405060708090a0b0c0d0e0f"
_TCP_INFO_BYTES = 256
_BYTES_ACKED_OFFSET = 120
"""Of ``tcpi_bytes_acked`` and ``tcpi_bytes_received`` in ``struct tcp_info``."""
_US = 1e6


def bench_settings() -> DaemonSettings:
    """Return the settings of an instance that stands alone."""
    text = (
        '{instance: {name: "entry-1", zone: "z"},'
        ' listen: {data_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"},'
        ' platform: {address: "127.0.0.1:1"},'
        ' secrets: {peer_secret_hex: "%s"}}'
    )
    return parse_settings(text % _SECRET_HEX).unwrap()


def serve_peers(count: int) -> None:
    """Stand for many peers until the standard input is closed."""
    context = zmq.Context()
    keys = derive_curve_keys(bytes.fromhex(_SECRET_HEX))
    routers = []
    for _ in range(count):
        router = context.socket(zmq.ROUTER)
        router.curve_publickey, router.curve_secretkey = keys
        router.curve_server = True
        router.bind("tcp://127.0.0.1:*")
        routers.append(router)
    endpoints = [r.getsockopt_string(zmq.LAST_ENDPOINT) for r in routers]
    print(json.dumps([e.removeprefix("tcp://") for e in endpoints]), flush=True)
    sys.stdin.read()
    context.destroy(linger=0)


@contextmanager
def _peers(count: int) -> Iterator[list[str]]:
    """Run a process that stands for many peers; yields their addresses."""
    command = [sys.executable, "-m", MODULE, "serve", str(count)]
    pipe = subprocess.PIPE
    # At the end its input is closed, which ends it.
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as process:
        assert process.stdout is not None
        yield json.loads(process.stdout.readline())


def _tcp_bytes() -> int:
    """Return the bytes sent and received on all open TCP connections here."""
    total = 0
    for number in os.listdir("/proc/self/fd"):
        try:
            duplicate = os.dup(int(number))
        except OSError:
            continue
        try:
            with socket.socket(fileno=duplicate) as opened:
                if opened.family == socket.AF_INET:
                    total += _payload_bytes(opened)
        except OSError:
            os.close(duplicate)
    return total


def _payload_bytes(opened: socket.socket) -> int:
    info = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    sent, received = struct.unpack_from("QQ", info, _BYTES_ACKED_OFFSET)
    return int(sent + received)


def connect_peers(count: int) -> None:
    """Connect to many peers, and print what that cost as JSON."""
    with (
        _peers(count) as addresses,
        peer_task(bench_settings(), 1, HybridClock(), lambda message: None) as task,
    ):
        waiting = dict.fromkeys(addresses)
        rss_before, busy_before = rss_bytes(os.getpid()), time.process_time()
        end_s = time.monotonic() + CONNECT_LIMIT_S
        while waiting and time.monotonic() < end_s:
            for address in list(waiting):
                if task.send(address, address, HandOverAccepted(1)):
                    del waiting[address]
            gevent.sleep(0.05)
        gevent.sleep(0.5)
        setup_us = (time.process_time() - busy_before) * _US
        rss = rss_bytes(os.getpid()) - rss_before
        setup_bytes, busy_before = _tcp_bytes(), time.process_time()
        gevent.sleep(IDLE_S)
        idle_us = (time.process_time() - busy_before) * _US
        found = {
            "connection_memory_bytes": float(rss),
            "connection_setup_us": setup_us,
            "connection_setup_bytes": float(setup_bytes),
            "connection_idle_us_per_s": idle_us / IDLE_S,
            "connection_idle_bytes_per_s": (_tcp_bytes() - setup_bytes) / IDLE_S,
        }
        print(json.dumps(found), flush=True)


def _connections_once(count: int) -> dict[str, float]:
    """Connect in a new process: memory freed earlier would hide what is used."""
    command = [sys.executable, "-m", MODULE, "connect", str(count)]
    done = subprocess.run(command, capture_output=True, check=True, text=True)
    found: dict[str, float] = json.loads(done.stdout)
    return found


def measure_connections(
    sizes: Sequence[int] = CONNECTION_SIZES, repeats: int = 2
) -> dict[str, Measured]:
    """Measure what connections to peers cost the connecting side.

    Bytes are those that TCP carries in both directions, without its headers;
    memory is the growth of the process's resident set.
    """
    units = {
        "connection_memory_bytes": "B",
        "connection_setup_us": "us",
        "connection_setup_bytes": "B",
        "connection_idle_us_per_s": "us/s",
        "connection_idle_bytes_per_s": "B/s",
    }
    return measure("connection", sizes, units, _connections_once, repeats)


if __name__ == "__main__":
    fire.Fire({"serve": serve_peers, "connect": connect_peers})
