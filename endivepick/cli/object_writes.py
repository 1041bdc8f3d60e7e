"""Conditional writes of the commands."""

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
    """Kind and name that identify an object."""

    kind: str
    name: str


def read_object(client: PlatformClient, name: ObjectName) -> StoredObject:
    """Read an object; raise CommandError if it does not exist."""
    stored = value_of(client.get(name.kind, name.name))
    if stored is None:
        message = (
            f"There is no {name.kind} {name.name}. List records with: records list."
        )
        raise CommandError(message, ExitCode.NOT_FOUND)
    return stored


def put_object(
    client: PlatformClient,
    name: ObjectName,
    body: Mapping[str, Any],
    base: StoredObject | None,
) -> StoredObject:
    """Replace the version ``base`` by a body; None creates the object."""
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
    """Read, change and write an object; retry after a conflict with another writer.

    Parameters
    ----------
    client : PlatformClient
        Client of the object API.
    name : ObjectName
        Kind and name of the object.
    change : callable
        Takes the stored object and returns the new body, or None if no change is
        needed.  It must be valid for any change that other writers made.

    Returns
    -------
    StoredObject or None
        The written version, or the stored object if no change was needed.
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
    raise AssertionError("the last attempt returned no result and raised no conflict")
