"""Settings of a cluster and the files and records derived from them."""

import secrets
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.nodes import Target
from standins.shapes import InstancePlan, ServicePlan, Shape, TargetPlan

__all__ = [
    "ClusterSettings",
    "Endpoints",
    "InstanceAddresses",
    "daemon_settings",
    "keyring_body",
    "record_body",
    "target_arguments",
]

_SECRET_BYTES = 32


def _new_secret_hex() -> str:
    return secrets.token_hex(_SECRET_BYTES)


@dataclass(frozen=True)
class ClusterSettings:
    """Settings of an installation.

    Attributes
    ----------
    shape : Shape
        Zones, instances and targets.
    faults : bool
        Route all links between instances, to targets and to the platform through
        the fault proxy, so that zones can be cut off.
    folder : str
        Folder for logs and settings files; empty for a temporary directory.
    instance_settings : dict
        Merged into the settings file of each instance, group by group.
    record_settings : dict
        Merged into the record of each service.
    target_flags : dict
        Further command line flags of the targets.
    seed : int
        Seed of fabric and fault proxy.
    peer_secret_hex, key_secret_hex : str
        Secret of the instances and of the first key for tokens; random by
        default, since installations with the same secret would accept each
        other's messages.
    builds : dict of str to str
        Checkouts whose code instances and callers run, by name; the others run
        the code of this checkout.
    """

    shape: Shape
    faults: bool = False
    folder: str = ""
    instance_settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    record_settings: dict[str, Any] = field(default_factory=dict)
    target_flags: dict[str, Any] = field(default_factory=dict)
    seed: int = 1
    peer_secret_hex: str = field(default_factory=_new_secret_hex, repr=False)
    key_secret_hex: str = field(default_factory=_new_secret_hex, repr=False)
    builds: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Endpoints:
    """Addresses that all instances use."""

    platform: str
    fabric_return: str


@dataclass(frozen=True)
class InstanceAddresses:
    """Addresses of one instance; the system chooses empty ones.

    Attributes
    ----------
    data, peer : str
        Addresses to bind, taken from its previous run.
    advertised : str
        Address that peers connect to, if it is that of the fault proxy.
    seeds : tuple of str
        Known peer addresses of the other instances.
    """

    data: str = ""
    peer: str = ""
    advertised: str = ""
    seeds: tuple[str, ...] = ()


def daemon_settings(
    settings: ClusterSettings,
    plan: InstancePlan,
    endpoints: Endpoints,
    log: Path,
    addresses: "InstanceAddresses",
) -> dict[str, dict[str, Any]]:
    """Return the contents of the settings file of an instance."""
    groups: dict[str, dict[str, Any]] = {
        "instance": {"name": plan.name, "zone": plan.zone},
        "listen": {
            "data_address": addresses.data or f"{plan.host}:0",
            "peer_address": addresses.peer or f"{plan.host}:0",
            "http_address": f"{plan.host}:0",
            "advertised_peer_address": addresses.advertised,
        },
        "membership": {"seed_addresses": list(addresses.seeds)},
        "platform": {"address": endpoints.platform},
        "fabric": {"return_address": endpoints.fabric_return},
        "log": {"path": str(log)},
        "secrets": {"peer_secret_hex": settings.peer_secret_hex},
    }
    for group, values in settings.instance_settings.items():
        groups[group] = {**groups.get(group, {}), **values}
    return groups


def target_arguments(
    settings: ClusterSettings, plan: TargetPlan, log: Path
) -> list[str]:
    """Return the command-line arguments of a target."""
    flags = {
        "service": plan.service,
        "target": plan.name,
        "zone": plan.zone,
        "listen": f"{plan.host}:0",
        "slots": plan.slots,
        "connections": plan.connections,
        "log": log,
        **settings.target_flags,
    }
    return [f"--{name}={value}" for name, value in flags.items()]


def record_body(
    settings: ClusterSettings, service: ServicePlan, targets: list[Target]
) -> dict[str, Any]:
    """Return the record of a service with these targets."""
    return {
        "schema_version": 2,
        "write_id": str(uuid.uuid4()),
        "affinity": service.affinity,
        "request_timeout_s": 30,
        "waiting_per_slot": 8,
        "targets": [target.record_entry() for target in targets],
        **settings.record_settings,
    }


def keyring_body(settings: ClusterSettings) -> dict[str, Any]:
    """Return a keyring with one key."""
    key = {"key_id": 1, "secret_hex": settings.key_secret_hex, "created_at_s": 0}
    return {"schema_version": 1, "current": 1, "keys": [key]}
