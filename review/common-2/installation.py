"""An installation: store, router, forwarders as processes, targets and clients."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

from object_store import ObjectStore, end_tasks

ROOT = Path(__file__).resolve().parents[2]
LOCK_PORT = 7001
PORTS = (10_000, 30_000)
"""Below the ports that the system gives to outgoing connections."""
READY_PERIOD_S = 0.5
MISSES = 2
LONGEST_S = 105.0
CANNOT_RUN, HELD, BROKEN = 2, 0, 1
_PLACEHOLDER = re.compile(r"\{\{([^{}]+?)\}\}")
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, by time."""

    def __init__(self):
        self.began_s = time.monotonic()
        self.lines = []
        self.openings = []
        self.runs = {}
        self.resets = []
        self.opened_at = {}
        self.faults = []

    def add(self, text, /, **fields):
        """Add a line."""
        at_s = time.monotonic() - self.began_s
        shown = " ".join(f"{key}={value}" for key, value in fields.items())
        self.lines.append(f"{at_s:9.3f} s  {text} {shown}".rstrip())

    def opening(self, target, key):
        """Record that a target took an opening packet."""
        self.openings.append((time.monotonic(), target, key))
        self.add("opening at", target=target.name, client=key[1])

    def opened(self, target, key):
        """Record that a flow is open: its target has the end of the handshake."""
        self.opened_at[key] = target
        self.add("flow open at", target=target.name, client=key[1])

    def ran(self, target, key, request):
        """Record that a target began to work on a request."""
        self.runs.setdefault(request, []).append(target.name)
        self.add("run", request=request, target=target.name, client=key[1])

    def reset(self, flow, ignored):
        """Record a reset of the system's own on an open flow."""
        self.resets.append((time.monotonic(), flow, ignored))
        self.add("reset by a machine", client=flow.sport, ignored=ignored)

    def write(self, folder):
        """Write all lines to ``record.txt``."""
        path = Path(folder) / "record.txt"
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Node:
    """A machine with one forwarder process."""

    def __init__(self, world, name, zone, host):
        self.world = world
        self.name = name
        self.zone = zone
        self.host = host
        self.misses = MISSES
        self.process = None
        self.folder = Path(world.folder) / name
        self.folder.mkdir()

    @property
    def in_rotation(self):
        """Whether the router sends packets here."""
        return self.misses < MISSES

    def start(self):
        """Start the forwarder with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["forwarder"]
        template = (ROOT / role["template"]).read_text()
        settings = self.folder / "settings"
        settings.write_text(render(template, self.world.make_fields(self)))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ENDIVEPICK_BOOT": str(settings),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.world.record.add("started", node=self.name, pid=self.process.pid)

    def signal(self, number):
        """Send a signal to the forwarder's process."""
        self.process.send_signal(number)
        name = signal.Signals(number).name
        self.world.record.add("signal", node=self.name, signal=name)

    async def join(self):
        """Wait until the process has ended; kill it after the grace period."""
        until_s = time.monotonic() + self.world.bounds["grace_s"]
        while self.process.poll() is None:
            if time.monotonic() > until_s:
                self.process.kill()
            await asyncio.sleep(0.02)
        self.world.record.add("ended", node=self.name, status=self.process.returncode)

    async def restart(self):
        """Stop the process as planned, and start it again."""
        self.signal(signal.SIGTERM)
        await self.join()
        await asyncio.sleep(0.3)
        self.start()

    def end(self):
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Router:
    """Selects the machine of each packet by a steady hash over those in rotation."""

    def __init__(self, nodes):
        self._nodes = nodes

    def select(self, zone, key):
        """Return the machine for a flow's packet from a client's zone."""
        own = [node for node in self._nodes if node.zone == zone]
        usable = [node for node in own if node.in_rotation]
        if not usable:
            usable = [node for node in self._nodes if node.in_rotation] or own
        elif 2 * len(usable) < len(own):
            usable = own
        return max(usable, key=lambda n: zlib.crc32(repr((n.name, key)).encode()))

    async def check(self, node):
        """Ask a machine for its readiness twice a second."""
        while True:
            answer = await ask(node.host, node.world.ready_port, "/v1/readiness")
            was_used = node.in_rotation
            node.misses = 0 if answer == 200 else node.misses + 1
            if node.in_rotation != was_used:
                node.world.record.add("rotation", node=node.name, used=not was_used)
            await asyncio.sleep(READY_PERIOD_S)


async def ask(host, port, path):
    """Return the status of a GET call, 0 without an answer within half a second."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
                line = await reader.readline()
                return int(line.split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


class World:
    """Everything that a case needs; ``run`` starts and ends it."""

    work_s = 0.03
    heartbeat_s = 1.2
    config_version = 7
    contracts = (
        *("base", "drain", "config", "cost", "recover", "health"),
        *("flows", "places", "pressure", "platform"),
    )
    bounds = {
        "seed_lag_s": 3,
        "addr_reuse_s": 2,
        "stable_window_ms": 5000,
        "ack_ms": 8000,
        "catch_up_s": 6,
        "drain_ms": 5000,
        "grace_s": 6,
        "loss_slack_ms": 200,
        "config_apply_ms": 5000,
        "rollback_slack_ms": 250,
        "max_stretch_ms": 15000,
        "cold_overage": 1.5,
        "cold_slack": 5,
        "evacuate_ms": 5000,
        "recovery_s": 15,
        "reorder_ms": 2000,
        "max_flow_s": 60,
    }

    def __init__(self, zones=("norte-a", "norte-b")):
        self.zones = zones
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record()
        self.store = ObjectStore()
        self.store_address = ""
        self.nodes = []
        self.targets = []
        self.clients = []
        self.router = Router(self.nodes)
        self.folder = tempfile.mkdtemp(prefix="review-")
        # The bound socket keeps other runs from these addresses.
        self._lock, self._block = reserve_addresses()
        self.data_port = find_free_port()
        self.ready_port = find_free_port()
        self.control_port = find_free_port()
        self.metrics_port = find_free_port()
        self._hosts = 0
        self._tasks = []

    def new_host(self):
        """Return a loopback address that no other part has."""
        self._hosts += 1
        return f"127.{self._block}.{self._hosts // 250}.{self._hosts % 250 + 1}"

    def add_node(self, zone):
        """Add a machine."""
        name = f"front-{zone}-{len(self.nodes) + 1}"
        node = Node(self, name, zone, self.new_host())
        self.nodes.append(node)
        return node

    def start_checks(self):
        """Start the router's readiness checks."""
        for node in self.nodes:
            self.spawn(self.router.check(node))

    def make_fields(self, node):
        """Return the settings of a machine, by the names of the pages."""
        return {
            "node_name": node.name,
            "zone": node.zone,
            "zones": dict.fromkeys(self.zones, "norte"),
            "region": "norte",
            "ip": node.host,
            "listen": {
                "datagram_addr": f"{node.host}:{self.data_port}",
                "ready": f"{node.host}:{self.ready_port}",
                "control": f"{node.host}:{self.control_port}",
            },
            "internal_ports": [self.metrics_port, self.metrics_port + 15],
            "seeds": [f"{n.host}:{self.control_port}" for n in self.nodes[:3]],
            "limits": {"link_mbps": 100.0, "memory_mb": 296, "max_fds": 8192},
            "contracts": list(self.contracts),
            "bounds": self.bounds,
            "hash": "steady",
            "forwarding_mode": "echo",
            "platform": {"address": self.store_address},
        }

    def put_config(self, routes, services):
        """Write a config; ``routes`` are tuples of name, host, port, type, service."""
        self.config_version += 3
        spec = {
            "version": self.config_version,
            "routes": [
                {
                    "name": name,
                    "host": host,
                    "path_prefix": f"/{port}/",
                    "route_type": kind,
                    "timeout_ms": 3000,
                    "aim_ms": 400,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                }
                for name, host, port, kind, service in routes
            ],
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_flows": 2000,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 2.0,
                    "cold_per_s": 0.0,
                }
                for name in services
            ],
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.put("config", "main", spec)
        self.record.add("config acknowledged", version=self.config_version)

    def spawn(self, work):
        """Run a task until the case ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task

    def count_live_resets(self):
        """Return how many open flows a machine reset while their targets lived."""
        broken = 0
        for at_s, flow, ignored in self.record.resets:
            target = self.record.opened_at.get(flow.key)
            if target is None or not target.alive:
                continue
            broken += 1
            age_s = round(at_s - flow.opened_at_s, 1)
            self.record.add(
                "reset though its target lives",
                target=target.name,
                client=flow.sport,
                flow_age_s=age_s,
                outside_the_range=ignored,
            )
        return broken

    async def stop(self):
        """End all processes, tasks and sockets that the case started."""
        for node in self.nodes:
            node.end()
        await end_tasks(self._tasks)
        for client in self.clients:
            client.stop()
        for target in self.targets:
            await target.stop()
        await self.store.stop()
        self._lock.close()

    def show_logs(self):
        """Add the last lines of each forwarder's log to the record."""
        for node in self.nodes:
            lines = (node.folder / "log").read_text(errors="replace").splitlines()
            for line in lines[-6:]:
                self.record.lines.append(f"log of {node.name}: {line[:300]}")


def reserve_addresses():
    """Return a bound socket and the second number of the addresses it reserves."""
    numbers = list(range(16, 250))
    random.shuffle(numbers)
    for number in numbers:
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((f"127.{number}.255.254", LOCK_PORT))
            return lock, number
        except OSError:
            lock.close()
    raise CannotRunError("no loopback addresses are free")


def find_free_port():
    """Return a port that is free for TCP and UDP at all addresses."""
    while True:
        port = random.randint(*PORTS)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("0.0.0.0", port))
            return port
        except OSError:
            continue


def render(template, fields):
    """Fill in a template for settings."""

    def fill_section(match):
        value = find(fields, match[1])
        if value is None or value is False:
            return ""
        if not isinstance(value, (list, dict)):
            return render(match[2], fields)
        parts = []
        for index, key in enumerate(value):
            entry = value[key] if isinstance(value, dict) else key
            text = match[2].replace(
                "{{@}}", str(key if isinstance(value, dict) else index)
            )
            text = text.replace("{{,}}", "," if index < len(value) - 1 else "")
            scope = {**fields, ".": entry}
            parts.append(render(text, scope))
        return "".join(parts)

    def fill(match):
        name, _, form = match[1].partition("|")
        value = find(fields, name)
        if form == "json" or isinstance(value, dict):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return _PLACEHOLDER.sub(fill, _SECTION.sub(fill_section, template))


def find(fields, name):
    """Return the value of a dotted name, None if there is none."""
    if name == ".":
        return fields.get(".")
    value = fields
    for part in name.split("."):
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, TypeError, ValueError):
            return None
    return value


def play(case, folder):
    """Run a case and return its exit status; its record goes to the folder.

    Parameters
    ----------
    case : callable
        Called with a ``World``; returns whether the rule was broken.
    folder : str
        Folder of the case.
    """

    async def run():
        world = World()
        try:
            world.store_address = await world.store.start(world.new_host())
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
            async with asyncio.timeout(LONGEST_S):
                broken = await case(world)
            world.record.add("verdict", broken=broken, trouble=world.trouble)
            return BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as error:
            # A fault of the case itself is no verdict on the rule.
            world.record.add("cannot run", error=repr(error))
            print(f"cannot run: {error!r}")
            return CANNOT_RUN
        finally:
            await world.stop()
            world.show_logs()
            world.record.write(folder)
            shutil.rmtree(world.folder, ignore_errors=True)

    if not (ROOT / "target/app/platform/serve.py").exists():
        print("the build of the deploy file is missing")
        return CANNOT_RUN
    return asyncio.run(run())
