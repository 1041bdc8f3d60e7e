"""Commands that take a target or an instance out of service."""

import copy
from collections.abc import Mapping
from typing import Any

from endivepick.cli.command_errors import CommandError, value_of
from endivepick.cli.connection import platform_client
from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.object_writes import ObjectName, update_object
from endivepick.cli.output import print_line
from endivepick.records import INSTANCE_KIND, SERVICE_KIND, StoredObject

__all__ = ["DrainCommands"]

_INSTANCE_SCHEMA_VERSION = 1


class DrainCommands:
    """Take a target or an instance out of service without cutting a request."""

    def target(
        self, service: str, target: str, undo: bool = False, platform: str = ""
    ) -> None:
        """Give a target no new work; requests in progress end there.

        Examples
        --------
        endivepick drain target notes notes-3
        endivepick drain target notes notes-3 --undo

        Parameters
        ----------
        service : str
            Name of the service.
        target : str
            Name of the target in the record.
        undo : bool
            Put it back into service.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """

        def change(stored: StoredObject | None) -> Mapping[str, Any] | None:
            return _drained(service, stored, target, not undo)

        with platform_client(platform) as client:
            stored = update_object(client, ObjectName(SERVICE_KIND, service), change)
        state = "in service" if undo else "draining"
        version = stored.version if stored else 0
        print_line(f"{service}: {target} is {state}, version {version}")

    def instance(self, name: str, platform: str = "") -> None:
        """Ask an instance for its planned stop.

        It hands its flows over and ends; SIGTERM on its machine does the same.

        Examples
        --------
        endivepick drain instance entry-3

        Parameters
        ----------
        name : str
            Name of the instance.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """
        body = {"schema_version": _INSTANCE_SCHEMA_VERSION, "draining": True}
        with platform_client(platform) as client:
            listed = value_of(client.instances()).instances
            if name not in {instance.name for instance in listed}:
                known = ", ".join(sorted(instance.name for instance in listed))
                message = f"There is no instance {name}. Known: {known or 'none'}."
                raise CommandError(message, ExitCode.NOT_FOUND)
            update_object(client, ObjectName(INSTANCE_KIND, name), lambda _: body)
        print_line(f"{name}: asked to stop; see endivepick status")


def _drained(
    service: str, stored: StoredObject | None, target: str, draining: bool
) -> Mapping[str, Any] | None:
    """Return the changed body; fields that this program does not know stay."""
    if stored is None or stored.body is None:
        message = f"There is no service {service}. Look with: records list."
        raise CommandError(message, ExitCode.NOT_FOUND)
    body = copy.deepcopy(dict(stored.body))
    match body.get("schema_version"):
        case 1:
            return _drained_v1(body, target, draining)
        case 2:
            return _drained_v2(body, target, draining)
        case other:
            message = f"Record {service} has schema {other}. Update this program."
            raise CommandError(message, ExitCode.INVALID_RECORD)


def _drained_v1(
    body: dict[str, Any], target: str, draining: bool
) -> Mapping[str, Any] | None:
    _check_known(target, body["targets"])
    drain = set(body.get("drain", []))
    if (target in drain) == draining:
        return None
    return body | {"drain": sorted(drain ^ {target})}


def _drained_v2(
    body: dict[str, Any], target: str, draining: bool
) -> Mapping[str, Any] | None:
    entries = {entry["name"]: entry for entry in body["targets"]}
    _check_known(target, list(entries))
    if entries[target].get("draining", False) == draining:
        return None
    entries[target]["draining"] = draining
    return body


def _check_known(target: str, known: list[str]) -> None:
    if target not in known:
        message = f"The record has no target {target}. Known: {', '.join(known)}."
        raise CommandError(message, ExitCode.NOT_FOUND)
