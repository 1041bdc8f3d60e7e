"""Service records and token keys in force at this instance."""

from collections.abc import Iterator
from dataclasses import dataclass

from endivepick.core.actions import Action, Log
from endivepick.core.keyring import Keyring, keyring_from_body
from endivepick.errors import RecordInvalidError
from endivepick.records.active_records import (
    ActiveRecords,
    ServiceChange,
    ServiceChanged,
    ServiceRefused,
    ServiceRemoved,
)
from endivepick.records.cache import Change
from endivepick.records.model import ServiceRecord
from endivepick.records.objects import KEYRING_KIND, KEYRING_NAME, StoredObject

__all__ = ["Catalog", "ActiveKeyring"]


@dataclass
class ActiveKeyring:
    """Token keys in force, replaced as a whole when the keyring changes.

    Attributes
    ----------
    keyring : Keyring or None
        Current keyring; None until the first one has been received.
    version : int
        Version of the stored object that the keyring was read from; 0 before
        the first keyring.
    """

    keyring: Keyring | None = None
    version: int = 0

    def set_keyring(self, keyring: Keyring, version: int) -> None:
        """Replace the keyring and its version."""
        self.keyring = keyring
        self.version = version

    def sign(self, data: bytes) -> tuple[int, bytes]:
        """Return the id of the current key and its MAC of ``data``."""
        assert self.keyring is not None, (
            "Signing requires a keyring; wait until the instance is ready."
        )
        return self.keyring.sign(data)

    def verify(self, key_id: int, data: bytes, mac: bytes) -> bool:
        """Return whether the MAC of ``data`` is valid; False without a keyring."""
        return self.keyring is not None and self.keyring.verify(key_id, data, mac)

    def has_key(self, key_id: int) -> bool:
        """Return whether this instance has the key."""
        return self.keyring is not None and self.keyring.has_key(key_id)


class Catalog:
    """Last valid record of each service, and the keyring.

    Attributes
    ----------
    service_records : ActiveRecords
        Service records in force and rejected record versions.
    keys : ActiveKeyring
        Keys that sign and verify flow tokens.
    """

    def __init__(self) -> None:
        self.service_records = ActiveRecords()
        self.keys = ActiveKeyring()

    def service(self, name: str) -> ServiceRecord | None:
        """Return the record in force of a service, or None if it is unknown."""
        return self.service_records.get(name)

    def zones(self, name: str) -> frozenset[str]:
        """Return the zones of a service's targets; empty if it is unknown."""
        record = self.service_records.get(name)
        if record is None:
            return frozenset()
        return frozenset(target.zone for target in record.targets)

    def versions(self) -> Iterator[tuple[str, int]]:
        """Yield the name and the version in force of each service."""
        for record in self.service_records.records():
            yield record.name, record.version

    def apply(self, changes: tuple[Change, ...]) -> tuple[list[str], list[Action]]:
        """Apply changes of stored objects.

        Valid records and keyrings replace the ones in force; invalid ones are
        rejected and leave the earlier ones in place.

        Parameters
        ----------
        changes : tuple of Change
            Changes accepted by the record cache.

        Returns
        -------
        list of str, list of Action
            Names of the services whose record in force changed, and log actions.
        """
        actions: list[Action] = []
        for change in changes:
            if change.after.kind == KEYRING_KIND:
                actions += self._apply_keyring(change.after)
        changed: list[str] = []
        for applied in self.service_records.apply(changes):
            name, log = _describe_change(applied)
            if not isinstance(applied, ServiceRefused):
                changed.append(name)
            actions.append(log)
        return changed, actions

    def _apply_keyring(self, stored: StoredObject) -> list[Action]:
        ids = {"record": stored.name, "version": stored.version}
        if stored.name != KEYRING_NAME:
            reason = {
                **ids,
                "reason": f"The keyring is not named {KEYRING_NAME}. Rename it.",
            }
            return [Log("keys", "keyring_refused", "keyring refused", reason)]
        if stored.body is None:
            # Keep the last keyring, so that tokens of existing flows stay valid until
            # a new keyring arrives.
            return [
                Log(
                    "keys",
                    "keyring_deleted",
                    "keyring deleted; keeping the last one",
                    ids,
                )
            ]
        try:
            self.keys.set_keyring(keyring_from_body(stored.body), stored.version)
        except RecordInvalidError as error:
            reason = {**ids, "reason": str(error)}
            return [Log("keys", "keyring_refused", "keyring refused", reason)]
        return [Log("keys", "keyring_in_force", "keyring in force", ids)]


def _describe_change(change: ServiceChange) -> tuple[str, Action]:
    match change:
        case ServiceChanged(record=record):
            ids = {"record": record.name, "version": record.version}
            log = Log("records", "record_in_force", "record in force", ids)
            return record.name, log
        case ServiceRemoved(before=before):
            ids = {"record": before.name, "version": before.version}
            log = Log("records", "record_deleted", "record deleted", ids)
            return before.name, log
        case ServiceRefused(refused=refused):
            ids = {
                "record": refused.name,
                "version": refused.version,
                "in_force": refused.in_force,
                "reason": refused.reason,
            }
            text = "record refused; keeping the earlier version"
            return refused.name, Log("records", "record_refused", text, ids)
