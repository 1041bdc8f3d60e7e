"""Conditional writes of the command line."""

import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from endivepick.cli.command_errors import CommandError, value_of
from endivepick.cli.exit_codes import ExitCode
from endivepick.errors import RecordConflictError
from endivepick.platform import PlatformClient
from endivepick.records import StoredObject

__all__ = ["ObjectName", "put_object", "read_object", "update_object"]

_UPDATE_ATTEMPTS = 5


@dataclass(frozen=True)
class ObjectName:
    """Kind and name of an object."""

    kind: str
    name: str


def read_object(client: PlatformClient, name: ObjectName) -> StoredObject:
    """Read an object that must exist."""
    stored = value_of(client.get(name.kind, name.name))
    if stored is None:
        message = f"There is no {name.kind} {name.name}. Look with: records list."
        raise CommandError(message, ExitCode.NOT_FOUND)
    return stored


def put_object(
    client: PlatformClient,
    name: ObjectName,
    body: Mapping[str, Any],
    base: StoredObject | None,
) -> StoredObject:
    """Write a body over the version that was read; None if there was no object."""
    content = {**body, "write_id": uuid.uuid4().hex}
    return value_of(
        client.put(
            name.kind,
            name.name,
            content,
            if_version=base.version if base else 0,
            base=base.body if base else None,
        )
    )


def update_object(
    client: PlatformClient,
    name: ObjectName,
    change: Callable[[StoredObject | None], Mapping[str, Any] | None],
) -> StoredObject | None:
    """Read, change and write; again if somebody else was first.

    Parameters
    ----------
    client : PlatformClient
        Connection.
    name : ObjectName
        The object.
    change : callable
        Gets what stands and gives the new body; None if nothing has to change.
        It must be right whatever others changed.

    Returns
    -------
    StoredObject or None
        The version written, or what stood if nothing had to change.
    """
    for attempt in range(_UPDATE_ATTEMPTS):
        current = value_of(client.get(name.kind, name.name))
        body = change(current)
        if body is None:
            return current
        try:
            return put_object(client, name, body, current)
        except RecordConflictError:
            if attempt == _UPDATE_ATTEMPTS - 1:
                raise
    raise AssertionError("The last attempt returns or raises.")
