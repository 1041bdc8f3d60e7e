"""A small deployment: store, machines, targets, clients; one scenario at a time."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from common.endpoints import Client, Router, Target
from common.store import Store
from common.template import render

__all__ = ["HOLDS", "BROKEN", "NOT_RUN", "CaseNotRun", "Machine", "World", "main"]

ROOT = Path(__file__).resolve().parents[2]
HOLDS, BROKEN, NOT_RUN = 0, 1, 2
ZONES = {"fukuoka-hall": 3, "kumamoto-hall": 2, "kagoshima-hall": 2}
"""Machines of each zone, as in the smallest deployment."""
REGION = "kyushu"
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "reorder_ms": 2000,
    "max_flow_s": 60,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "flows", "platform"]
PASSED_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
TIME_LIMIT_S = 117.0
PORT_NAMES = ("data", "ready", "control", "metrics", "store")


class CaseNotRun(Exception):
    """The case could not be brought about."""


class Machine:
    """A machine with one process, started as the deploy file says."""

    def __init__(self, world, name, zone, host):
        self.world, self.name, self.zone, self.host = world, name, zone, host
        self.process = None
        self.starts = 0

    def settings_text(self):
        """Return the settings file that the platform writes for the machine."""
        world = self.world
        seeds = [f"{each.host}:{world.control_port}" for each in world.machines[:3]]
        fields = {
            "node_name": self.name,
            "ip": self.host,
            "zone": self.zone,
            "region": REGION,
            "zones": dict.fromkeys(world.zones, REGION),
            "listen": {
                "datagram_addr": f"{self.host}:{world.data_port}",
                "ready": f"{self.host}:{world.ready_port}",
                "control": f"{self.host}:{world.control_port}",
            },
            "internal_ports": [world.metrics_port, world.metrics_port + 15],
            "seeds": seeds,
            "platform": {"address": f"{world.store_host}:{world.store_port}"},
            "bounds": BOUNDS,
            "contracts": CONTRACTS,
            "limits": {"link_mbps": 1000.0},
        }
        return render(world.template, fields)

    def start(self):
        """Start the process."""
        path = self.world.folder / f"{self.name}.json"
        path.write_text(self.settings_text())
        environment = {
            key: os.environ[key] for key in PASSED_VARIABLES if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ENDIVEPICK_BOOT"] = str(path)
        self.starts += 1
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.world.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.world.record(f"{self.name} started")

    def send_signal(self, number):
        """Send a signal to the process."""
        self.world.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        """End the process, also one that is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def events(self, name):
        """Return the lines of an event in the process's log."""
        text = (self.world.folder / f"{self.name}.log").read_text()
        lines = [json.loads(x) for x in text.splitlines() if x.startswith("{")]
        return [line for line in lines if line["event"] == name]


class World:
    """Everything that a case starts; all of it ends with `close`."""

    def __init__(self, lines, folder, zones=None):
        self._lines = lines
        self._began_s = time.monotonic()
        self.folder = folder
        self.zones = zones or ZONES
        self.forged = 0
        self.openings = []
        """Opening packets that targets took: target, flow, machine, time."""
        self.opened = {}
        """Target that has the end of the handshake, by flow."""
        self.runs = {}
        """Runs of each request: target, service, time."""
        self.names = {}
        self.machines, self.targets, self.clients = [], [], []
        self._tasks = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["forwarder"]
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        self.store = Store(self.record)
        self.router = Router(self)
        self._find_addresses()

    def _find_addresses(self):
        for attempt in range(100):
            self.net = f"127.{(os.getpid() + 7 * attempt) % 200 + 20}"
            self.store_host = f"{self.net}.250.1"
            ports = _find_ports(self.store_host)
            if ports is not None:
                break
        else:
            raise CaseNotRun("found no free ports")
        self.data_port, self.ready_port, self.control_port, self.metrics_port, port = (
            ports[name] for name in PORT_NAMES
        )
        self.store_port = port
        for number, (zone, count) in enumerate(self.zones.items(), 1):
            for index in range(1, count + 1):
                self.add_machine(f"front-{zone}-{index}", zone, number, index)

    def add_machine(self, name, zone, number, index):
        """Add a machine without starting it."""
        machine = Machine(self, name, zone, f"{self.net}.{number}.{index}")
        self.machines.append(machine)
        self.names[machine.host] = name
        return machine

    def record(self, text):
        """Add a line to the record."""
        self._lines.append(f"{time.monotonic() - self._began_s:9.3f} {text}")

    def at(self, when_s):
        """Return a time as the record shows it."""
        return f"{when_s - self._began_s:.3f}"

    async def start(self, services):
        """Start the store, the targets (services to names by zone) and clients."""
        await self.store.start(self.store_host, self.store_port)
        number = 0x51A7_0000
        for service, per_zone in services.items():
            for index, zone in enumerate(self.zones, 1):
                for _ in range(per_zone):
                    number += 1
                    host = f"{self.net}.{100 + index}.{number % 250 + 1}"
                    target = Target(
                        self, f"i-{number:08x}", service, zone, host, self.data_port
                    )
                    self.names[host] = target.name
                    self.targets.append(target)
                    await target.start()
        for index, zone in enumerate(self.zones, 1):
            client = Client(self, zone, f"{self.net}.200.{index}")
            self.clients.append(client)
            await client.start()

    async def start_machines(self):
        """Start all machines and wait until all are in rotation and feeders known."""
        for machine in self.machines:
            machine.start()
            self.spawn(self.router.watch(machine))
        await self.wait_for(
            lambda: all(self.router.in_rotation.get(m.name) for m in self.machines),
            30.0,
            "all machines in rotation",
        )

    async def configure(self, version, routes, services):
        """Write a version of the configuration; return the time of the answer."""
        spec = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_flows": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        acknowledged_s = await self.store.put("config", "main", spec)
        self.record(f"operator: version {version} is acknowledged")
        return acknowledged_s

    def spawn(self, work):
        """Run a task until the world is closed."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def wait_for(self, holds, limit_s, what):
        """Wait for a condition; the case can't run without it."""
        end_s = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > end_s:
                raise CaseNotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.02)

    def on_opening(self, target, flow, machine):
        """Note an opening packet that a target took."""
        name = self.names.get(machine, machine)
        self.openings.append((target, flow, name, time.monotonic()))

    def on_flow_open(self, target, flow):
        """Note that a target has the end of a handshake."""
        self.opened[flow] = target

    def on_run(self, target, request):
        """Note a run of a request."""
        run = (target, target.service, time.monotonic())
        self.runs.setdefault(request, []).append(run)

    async def close(self):
        """End everything."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()
        for target in self.targets:
            target.end()
        for client in self.clients:
            client.stop()
        self.store.stop()


def make_route(name, host, port, kind, service):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": host,
        "path_prefix": f"/{port}/",
        "route_type": kind,
        "timeout_ms": 1000,
        "aim_ms": 150,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def _find_ports(host):
    """Return free ports of one host, None if they can't be had."""
    ports = {}
    with contextlib.ExitStack() as stack:
        for name in PORT_NAMES:
            kind = socket.SOCK_DGRAM if name == "data" else socket.SOCK_STREAM
            holder = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                holder.bind((host, 0))
            except OSError:
                return None
            ports[name] = holder.getsockname()[1]
    return ports


def main(case_folder, scenario, zones=None):
    """Run a scenario, write its record, and exit with the verdict.

    Parameters
    ----------
    case_folder : Path
        Folder of the case; the record is written there.
    scenario : callable
        Coroutine function of the world and whether there is trouble; it returns
        whether the rule held.
    zones : dict of str to int, optional
        Machines of each zone.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lines = [f"trouble: {'yes' if trouble else 'no'}"]

    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.call_later(TIME_LIMIT_S, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            world = World(lines, Path(folder), zones)
            try:
                return BROKEN if not await scenario(world, trouble) else HOLDS
            finally:
                await world.close()
                if keep := os.environ.get("KEEP_LOGS"):
                    for log in Path(folder).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())

    try:
        verdict = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # Whatever goes wrong in a stand-in says nothing about the rule.
        lines.append(f"the case could not run: {error!r}")
        verdict = NOT_RUN
    words = {HOLDS: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    lines.append(f"verdict: {words[verdict]}")
    (case_folder / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-12:]))
    sys.exit(verdict)
