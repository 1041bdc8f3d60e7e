"""Running members of an installation: instances and targets."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.endpoint import call, call_ok
from standins.platform_handle import ListedInstance
from standins.process import ChildProcess
from standins.shapes import InstancePlan, TargetPlan

__all__ = ["Instance", "Target"]


@dataclass(frozen=True)
class Instance:
    """One running instance; addresses as others reach it."""

    plan: InstancePlan
    process: ChildProcess
    listed: ListedInstance
    log: Path

    @property
    def http_address(self) -> str:
        """Address of ``/metrics``, ``/healthz``, ``/readyz`` and ``/status``."""
        return str(self.process.ready["http_address"])

    @property
    def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        try:
            return call(self.http_address, "GET", "/readyz").status == 200
        except OSError:
            return False

    def status(self) -> dict[str, Any]:
        """Return what it shows of itself to operators."""
        status: dict[str, Any] = call_ok(self.http_address, "GET", "/status")
        return status


@dataclass(frozen=True)
class Target:
    """One running target; ``address`` as instances reach it."""

    plan: TargetPlan
    process: ChildProcess
    address: str
    log: Path

    def control(self, **change: Any) -> None:
        """Switch faults; see `standins.target_state.Control`."""
        call_ok(self.process.ready["address"], "PUT", "/control", change)

    def load(self) -> dict[str, Any]:
        """Return what it reports as its load."""
        load: dict[str, Any] = call_ok(self.process.ready["address"], "GET", "/load")
        return load

    def record_entry(self) -> dict[str, Any]:
        """Return its entry in the record of its service."""
        return {
            "name": self.plan.name,
            "zone": self.plan.zone,
            "address": self.address,
            "slots": self.plan.slots,
            "connections": self.plan.connections,
            "draining": False,
        }
