"""Stand-in for the fabric, which sprays caller datagrams over the instances.

Run it with ``python -m standins.fabric --settings FILE`` or with flags of the
same names as the fields of `FabricSettings`.  Callers send to one of the
``callers`` addresses.  Each datagram is sent to a random instance with a six-byte
prefix (IPv4 address and port of the caller, big endian).  A prefixed datagram
received at the ``instances`` address is sent to the caller from the address to
which the caller sent last.
"""

import collections
import random
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import fire
import gevent
import msgspec
import urllib3
from gevent import monkey
from gevent.socket import wait_read

from standins._delayqueue import DelayQueue
from standins._fabricsettings import DirectionFaults, FabricInstance, FabricSettings
from standins.control import (
    Address,
    Control,
    EventLog,
    format_address,
    json_server,
    load_settings,
    parse_address,
)
from standins.process import run_until_stopped

__all__ = ["Fabric", "main"]

PREFIX_BYTES = 6
"""Size of the caller prefix between fabric and instance."""
_PREFIX = struct.Struct("!4sH")
_MAX_DATAGRAM_BYTES = 65535
_BUFFER_BYTES = 4 * 1024 * 1024
_BATCH_DATAGRAMS = 64
_POLL_TIMEOUT_S = 2.0


def _udp_socket(listen: str) -> socket.socket:
    # The original socket class costs less per datagram than the patched one.
    plain_socket = monkey.get_original("socket", "socket")
    sock: socket.socket = plain_socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(parse_address(listen))
    return sock


class Fabric:
    """Sprays datagrams of callers over instances and returns the answers.

    Parameters
    ----------
    settings : FabricSettings
        Settings of the program.
    """

    def __init__(self, settings: FabricSettings) -> None:
        self.log = EventLog(settings.log_path)
        self.control = Control(settings.control, self.log, self._stats)
        self.control.on_change(self._update_targets)
        self.caller_sockets = [_udp_socket(listen) for listen in settings.callers]
        self.instance_socket = _udp_socket(settings.instances)
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._delayed = DelayQueue(self._send)
        self._counts: collections.Counter[str] = collections.Counter()
        self._per_instance: collections.Counter[Address] = collections.Counter()
        self._last_caller_socket: dict[bytes, socket.socket] = {}
        self._polled_instances: list[FabricInstance] = []
        self._targets: list[Address] = []
        self._cut_addresses: set[Address] = set()
        self._update_targets()

    def start(self) -> None:
        """Start the tasks of the fabric."""
        for sock in self.caller_sockets:
            gevent.spawn(self._receive, sock, self._from_caller)
        gevent.spawn(self._receive, self.instance_socket, self._from_instance)
        gevent.spawn(self._delayed.run)
        if self._settings.platform is not None:
            gevent.spawn(self._poll, self._settings.platform)

    def _receive(
        self,
        sock: socket.socket,
        handle: Callable[[socket.socket, bytes, Address], None],
    ) -> None:
        while True:
            # Waiting even after a full batch lets other tasks run.
            wait_read(sock.fileno())
            for _ in range(_BATCH_DATAGRAMS):
                try:
                    datagram, address = sock.recvfrom(_MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                handle(sock, datagram, address)

    def _from_caller(
        self, sock: socket.socket, datagram: bytes, caller: Address
    ) -> None:
        prefix = _PREFIX.pack(socket.inet_aton(caller[0]), caller[1])
        self._last_caller_socket[prefix] = sock
        if not self._targets:
            self._counts["no_instance"] += 1
            return
        target = self._targets[int(self._random.random() * len(self._targets))]
        if target in self._cut_addresses:
            self._counts["cut"] += 1
            return
        self._per_instance[target] += 1
        faults = self.control.current.to_instances
        self._send_with_faults(faults, self.instance_socket, prefix + datagram, target)

    def _from_instance(
        self, _sock: socket.socket, datagram: bytes, instance: Address
    ) -> None:
        if len(datagram) < PREFIX_BYTES:
            self._counts["malformed"] += 1
            return
        if instance in self._cut_addresses:
            self._counts["cut"] += 1
            return
        prefix = datagram[:PREFIX_BYTES]
        host, port = _PREFIX.unpack(prefix)
        sock = self._last_caller_socket.get(prefix, self.caller_sockets[0])
        caller = (socket.inet_ntoa(host), port)
        faults = self.control.current.to_callers
        self._send_with_faults(faults, sock, datagram[PREFIX_BYTES:], caller)

    def _send_with_faults(
        self,
        faults: DirectionFaults,
        sock: socket.socket,
        datagram: bytes,
        address: Address,
    ) -> None:
        """Send a datagram with loss, duplication and delay as configured."""
        if faults.has_no_effect():
            self._send(sock, datagram, address)
            return
        if self._random.random() < faults.loss:
            self._counts["lost"] += 1
            return
        self._send_delayed(faults, sock, datagram, address)
        if self._random.random() < faults.duplicate:
            self._counts["duplicated"] += 1
            self._send_delayed(faults, sock, datagram, address)

    def _send_delayed(
        self,
        faults: DirectionFaults,
        sock: socket.socket,
        datagram: bytes,
        address: Address,
    ) -> None:
        if not faults.delay_ms_max:
            self._send(sock, datagram, address)
            return
        delay_ms = self._random.uniform(faults.delay_ms_min, faults.delay_ms_max)
        due_s = time.monotonic() + delay_ms / 1000
        self._delayed.add(due_s, sock, datagram, address)

    def _send(self, sock: socket.socket, datagram: bytes, address: Address) -> None:
        try:
            sock.sendto(datagram, address)
            self._counts["sent"] += 1
        except OSError:
            # The datagram is lost if the buffer is full or the address is gone.
            self._counts["send_failed"] += 1

    def _poll(self, platform: str) -> None:
        pool = urllib3.PoolManager(timeout=_POLL_TIMEOUT_S, retries=False)
        url = f"http://{platform}/v1/instances"
        while True:
            try:
                answer = pool.request("GET", url)
                if answer.status == 200:
                    listed = msgspec.json.decode(answer.data)["instances"]
                    self._apply_instance_list(listed)
            except urllib3.exceptions.HTTPError:
                self._counts["poll_failed"] += 1
            gevent.sleep(self._settings.poll_interval_s)

    def _apply_instance_list(self, listed: list[Any]) -> None:
        polled = [FabricInstance.model_validate(entry) for entry in listed]
        if polled != self._polled_instances:
            self._polled_instances = polled
            self._update_targets()

    def _instances(self) -> list[FabricInstance]:
        fixed = self.control.current.instances
        return self._polled_instances if fixed is None else fixed

    def _update_targets(self) -> None:
        """Compute targets and cut addresses from instance list and control document."""
        control = self.control.current
        known = self._instances()
        cut = {
            instance.name
            for instance in known
            if instance.zone in control.cut_zones
            or instance.name in control.cut_instances
        }
        chosen = [
            instance
            for instance in known
            if (
                control.only_instances is None
                or instance.name in control.only_instances
            )
            and not (control.avoid_cut and instance.name in cut)
        ]
        addresses = {i.name: parse_address(i.data_address) for i in known}
        self._targets = [addresses[instance.name] for instance in chosen]
        self._cut_addresses = {addresses[name] for name in cut}
        self.log.append("spray", instances=[i.name for i in chosen], cut=sorted(cut))

    def _stats(self) -> dict[str, Any]:
        names = {parse_address(i.data_address): i.name for i in self._instances()}
        return {
            "counts": dict(self._counts),
            "instances": [instance.name for instance in self._instances()],
            "sent_to": {
                names.get(address, format_address(address)): count
                for address, count in self._per_instance.items()
            },
        }


def main(settings: str | None = None, **flags: Any) -> None:
    """Run the fabric stand-in until SIGTERM.

    Parameters
    ----------
    settings : str, optional
        Path of a settings file with the fields of `FabricSettings`.
    **flags
        Fields that override those of the file.
    """
    # urllib3 blocks on sockets; the patches make it wait in the event loop.
    monkey.patch_socket()
    monkey.patch_select()
    loaded = load_settings(FabricSettings, settings, flags)
    fabric = Fabric(loaded)
    fabric.start()
    control = json_server(loaded.control_listen, fabric.control.answer)
    addresses = {
        "callers": [format_address(s.getsockname()) for s in fabric.caller_sockets],
        "instances": format_address(fabric.instance_socket.getsockname()),
        "control": format_address(control.address),
    }
    run_until_stopped({"ready": True, "addresses": addresses}, loaded.max_life_s)


if __name__ == "__main__":
    fire.Fire(main)
