"""Installations of real processes: stand-ins, targets and instances.

The only scaffolding of demo, integration tests and benches::

    with cluster(ClusterSettings(SMALL)) as running:
        running.drain_target("sessions", "sessions-1")

Everything that was started is ended when the block is left.
"""

import signal
import tempfile
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from standins.addressblock import address_block
from standins.clustersettings import (
    ClusterSettings,
    Endpoints,
    InstanceAddresses,
    daemon_settings,
    keyring_body,
    record_body,
    target_arguments,
)
from standins.endpoint import call_ok
from standins.faultproxy_handle import PLATFORM_ZONE, FaultsHandle
from standins.launcher import Launcher
from standins.nodes import Instance, Target
from standins.platform_handle import ListedInstance, PlatformHandle
from standins.process import ChildProcess, wait_until
from standins.shapes import InstancePlan, ServicePlan, TargetPlan

__all__ = ["Cluster", "ClusterSettings", "cluster"]

_STOP_TIMEOUT_S = 90.0
_NO_ADDRESS = "127.0.0.1:1"
"""Where a route leads until its instance listens; nothing does there."""


class Cluster:
    """Operations on a running installation; made by `cluster`.

    Attributes
    ----------
    shape : Shape
        What runs, with the addresses that it uses.
    launcher : Launcher
        Starts further processes, such as callers, and names all logs.
    platform : PlatformHandle
        Platform stand-in.
    instances : dict of str to Instance
        Running instances by name.
    targets : dict of str to Target
        Running targets by name.
    faults : FaultsHandle or None
        Fault proxy, if the settings ask for it.
    builds : dict of str to str
        Checkout that each instance runs from its next start on.
    """

    def __init__(
        self, settings: ClusterSettings, launcher: Launcher, block: int
    ) -> None:
        self.settings = settings
        self.shape = settings.shape.in_block(block)
        self.launcher = launcher
        self.instances: dict[str, Instance] = {}
        self.targets: dict[str, Target] = {}
        self.faults: FaultsHandle | None = None
        self.builds = dict(settings.builds)
        self._leaving: set[str] = set()
        self._peer_addresses: dict[str, str] = {}
        self._last_ready: dict[str, dict[str, Any]] = {}

    def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        platform = self.launcher.spawn_standin("platform", {})
        targets = [
            self._spawn_target(p) for s in self.shape.services for p in s.targets
        ]
        platform.wait_ready()
        self.platform = PlatformHandle(platform)
        self._start_network()
        self._take_targets(targets)
        self.platform.put("keyring", "tokens", keyring_body(self.settings))
        for service in self.shape.services:
            self.write_record(service)
        self.start_instances(plan.name for plan in self.shape.instances)

    def _start_network(self) -> None:
        settings = {"platform": self.platform.api, "seed": self.settings.seed}
        self.fabric = self.launcher.spawn_standin("fabric", settings)
        if self.settings.faults:
            proxy = self.launcher.spawn_standin("faultproxy", {})
            proxy.wait_ready()
            self.faults = FaultsHandle(proxy, self.shape)
            for plan in self.shape.instances:
                self._peer_route(plan, _NO_ADDRESS)
        self.fabric.wait_ready()
        self._endpoints = Endpoints(
            platform=self._route("platform", PLATFORM_ZONE, self.platform.api),
            fabric_return=self.fabric.ready["addresses"]["instances"],
        )

    def _route(self, name: str, zone: str, address: str) -> str:
        """Return the address by which instances reach ``address``."""
        if self.faults is None:
            return address
        return self.faults.add_route(name, zone, address)

    # Network.

    def control_fabric(self, **change: Any) -> None:
        """Switch faults of the fabric; see ``standins.fabric.FabricControl``."""
        address = self.fabric.ready["addresses"]["control"]
        call_ok(address, "PUT", "/control", change)

    def cut_zone(
        self,
        zone: str,
        platform: bool = True,
        callers: bool = False,
        action: str = "cut",
    ) -> None:
        """Cut a zone off from the others.

        Parameters
        ----------
        zone : str
            The zone.
        platform : bool
            Cut it off from the platform, too.
        callers : bool
            Cut it off from callers, too.
        action : str
            ``"cut"`` resets connections, ``"blackhole"`` holds everything back.
        """
        if self.faults is None:
            raise RuntimeError("start the cluster with faults=True to cut zones")
        self.faults.cut_zone(zone, platform, action)
        if callers:
            self.control_fabric(cut_zones=[zone])

    def heal(self) -> None:
        """Take back all cuts."""
        if self.faults is not None:
            self.faults.heal()
        self.control_fabric(cut_zones=[], cut_instances=[])

    # Instances.

    @property
    def leaving(self) -> set[str]:
        """Instances whose planned stop has begun and was not waited for."""
        return set(self._leaving)

    @property
    def fabric_address(self) -> str:
        """Address that callers send to."""
        return str(self.fabric.ready["addresses"]["callers"][0])

    def start_instances(self, names: Iterable[str], same_ports: bool = False) -> None:
        """Start instances of the shape at once and wait until all are ready.

        Parameters
        ----------
        names : iterable of str
            Names of the instances.
        same_ports : bool
            Bind the addresses of their last run, so that whoever knew them finds
            them without the platform's list.
        """
        wanted = set(names)
        plans = [plan for plan in self.shape.instances if plan.name in wanted]
        spawned = [(plan, *self._spawn_instance(plan, same_ports)) for plan in plans]
        for plan, process, log in spawned:
            self._last_ready[plan.name] = process.wait_ready()
            listed = self._listed(plan, process)
            self.instances[plan.name] = Instance(plan, process, listed, log)
            self._leaving.discard(plan.name)
        self._publish_list()
        for plan in plans:
            self.wait_instance_ready(plan.name)

    def start_instance(self, name: str) -> Instance:
        """Start one instance of the shape and wait until it is ready."""
        self.start_instances([name])
        return self.instances[name]

    def wait_instance_ready(self, name: str) -> None:
        """Wait until an instance says that it is ready."""
        instance = self.instances[name]
        wait_until(lambda: instance.is_ready, f"{name} to be ready")

    def stop_instance(self, name: str) -> int:
        """Stop an instance as planned; returns its exit status."""
        self.begin_stop(name)
        return self.finish_stop(name)

    def begin_stop(self, name: str) -> None:
        """Mark an instance as leaving and send it SIGTERM."""
        self._leaving.add(name)
        self._publish_list()
        self.instances[name].process.signal(signal.SIGTERM)

    def finish_stop(self, name: str) -> int:
        """Wait for the end of a planned stop; returns the exit status."""
        status = self.instances[name].process.wait(_STOP_TIMEOUT_S)
        self.unlist_instance(name)
        return status

    def kill_instance(self, name: str, listed: bool = False) -> None:
        """Kill an instance; ``listed`` leaves it in the platform's list."""
        self.instances[name].process.kill()
        if not listed:
            self.unlist_instance(name)

    def freeze_instance(self, name: str) -> None:
        """Pause an instance."""
        self.instances[name].process.signal(signal.SIGSTOP)

    def thaw_instance(self, name: str) -> None:
        """Let a paused instance go on."""
        self.instances[name].process.signal(signal.SIGCONT)

    def unlist_instance(self, name: str) -> None:
        """Take an instance that has ended off the platform's list."""
        del self.instances[name]
        self._leaving.discard(name)
        self._publish_list()

    def _publish_list(self) -> None:
        listed = []
        for name, instance in self.instances.items():
            state = "leaving" if name in self._leaving else "live"
            listed.append(replace(instance.listed, state=state))
        self.platform.list_instances(listed)

    def _spawn_instance(
        self, plan: InstancePlan, same_ports: bool
    ) -> tuple[ChildProcess, Path]:
        log = self.launcher.log_path("instances", plan.name)
        addresses = self._addresses_of(plan, same_ports)
        settings = daemon_settings(self.settings, plan, self._endpoints, log, addresses)
        path = self.launcher.write_settings(plan.name, settings)
        process = self.launcher.spawn(
            plan.name,
            "endivepick.daemon",
            [f"--settings={path}"],
            self.builds.get(plan.name, ""),
        )
        return process, log

    def _addresses_of(self, plan: InstancePlan, same_ports: bool) -> InstanceAddresses:
        last = self._last_ready.get(plan.name, {}) if same_ports else {}
        seeds = [a for n, a in self._peer_addresses.items() if n != plan.name]
        return InstanceAddresses(
            data=last.get("data_address", ""),
            peer=last.get("peer_address", ""),
            # Its peers have to be told the proxy's address from the first message on.
            advertised=self._peer_addresses[plan.name] if self.faults else "",
            seeds=tuple(seeds),
        )

    def _peer_route(self, plan: InstancePlan, address: str) -> str:
        """Return where peers connect to so that they reach ``address``."""
        route = self._route(f"peer:{plan.name}", plan.zone, address)
        self._peer_addresses[plan.name] = route
        return route

    def _listed(self, plan: InstancePlan, process: ChildProcess) -> ListedInstance:
        peer_address = process.ready["peer_address"]
        return ListedInstance(
            plan.name,
            plan.zone,
            self._peer_route(plan, peer_address),
            process.ready["data_address"],
        )

    # Targets and records.

    def start_target(self, plan: TargetPlan) -> Target:
        """Start a target; the record does not change."""
        self._take_targets([self._spawn_target(plan)])
        return self.targets[plan.name]

    def kill_target(self, name: str) -> None:
        """Kill a target; the record does not change."""
        self.targets[name].process.kill()

    def service_targets(self, service: str) -> list[Target]:
        """Return the targets of a service, sorted by name."""
        found = [t for t in self.targets.values() if t.plan.service == service]
        return sorted(found, key=lambda target: target.plan.name)

    def write_record(self, service: ServicePlan) -> dict[str, Any]:
        """Write the record of a service from the running targets."""
        targets = self.service_targets(service.name)
        body = record_body(self.settings, service, targets)
        return self.platform.put("service", service.name, body)

    def drain_target(self, service: str, target: str) -> dict[str, Any]:
        """Mark a target as draining in its record; returns the object."""

        def change(body: dict[str, Any]) -> None:
            entry = next(e for e in body["targets"] if e["name"] == target)
            entry["draining"] = True

        return self.platform.change_record(service, change)

    def _spawn_target(self, plan: TargetPlan) -> tuple[TargetPlan, ChildProcess, Path]:
        log = self.launcher.log_path("targets", plan.name)
        arguments = target_arguments(self.settings, plan, log)
        return plan, self.launcher.spawn(plan.name, "standins.target", arguments), log

    def _take_targets(
        self, spawned: list[tuple[TargetPlan, ChildProcess, Path]]
    ) -> None:
        for plan, process, log in spawned:
            listening = process.wait_ready()["address"]
            address = self._route(f"target:{plan.name}", plan.zone, listening)
            self.targets[plan.name] = Target(plan, process, address, log)


@contextmanager
def cluster(settings: ClusterSettings) -> Iterator[Cluster]:
    """Start an installation and end it when the block is left.

    Parameters
    ----------
    settings : ClusterSettings
        What to start.
    """
    with ExitStack() as stack:
        folder = settings.folder
        if not folder:
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="cluster-"))
        launcher = Launcher(Path(folder))
        block = stack.enter_context(address_block())
        # Held until all processes have ended.
        stack.callback(launcher.end)
        running = Cluster(settings, launcher, block)
        running.start()
        yield running
