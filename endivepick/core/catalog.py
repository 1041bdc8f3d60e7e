"""Services and keys in force at this instance."""

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
    """Keys in force; replaced whole when the keyring changes.

    Attributes
    ----------
    keyring : Keyring or None
        None until the first keyring is here.
    version : int
        Version of the stored object that it came from; 0 before the first.
    """

    keyring: Keyring | None = None
    version: int = 0

    def hold(self, keyring: Keyring, version: int) -> None:
        """Replace the keys."""
        self.keyring = keyring
        self.version = version

    def sign(self, data: bytes) -> tuple[int, bytes]:
        """Return the present key's id and the code of ``data``."""
        assert self.keyring is not None, "Wait until the instance is ready."
        return self.keyring.sign(data)

    def verify(self, key_id: int, data: bytes, mac: bytes) -> bool:
        """Tell whether the code is right."""
        return self.keyring is not None and self.keyring.verify(key_id, data, mac)

    def has_key(self, key_id: int) -> bool:
        """Tell whether the key is known here."""
        return self.keyring is not None and self.keyring.has_key(key_id)


class Catalog:
    """Last valid record of each service, and the keyring.

    Attributes
    ----------
    book : ServiceBook
        Records in force, and refused versions.
    keys : HeldKeys
        Keys for flow tokens.
    """

    def __init__(self) -> None:
        self.service_records = ActiveRecords()
        self.keys = ActiveKeyring()

    def service(self, name: str) -> ServiceRecord | None:
        """Return the record in force of a service, or None."""
        return self.service_records.get(name)

    def zones(self, name: str) -> frozenset[str]:
        """Return the zones of a service's targets, empty if it is unknown."""
        record = self.service_records.get(name)
        if record is None:
            return frozenset()
        return frozenset(target.zone for target in record.targets)

    def versions(self) -> Iterator[tuple[str, int]]:
        """Yield name and version in force of each service."""
        for record in self.service_records.records():
            yield record.name, record.version

    def apply(self, changes: tuple[Change, ...]) -> tuple[list[str], list[Action]]:
        """Bring accepted changes into force.

        Returns
        -------
        list of str, list of Action
            Names of the services whose record in force changed, and log entries.
        """
        actions: list[Action] = []
        for change in changes:
            if change.after.kind == KEYRING_KIND:
                actions += self._apply_keyring(change.after)
        changed: list[str] = []
        for applied in self.service_records.apply(changes):
            name, log = _describe(applied)
            if not isinstance(applied, ServiceRefused):
                changed.append(name)
            actions.append(log)
        return changed, actions

    def _apply_keyring(self, stored: StoredObject) -> list[Action]:
        ids = {"record": stored.name, "version": stored.version}
        if stored.name != KEYRING_NAME:
            reason = {**ids, "reason": f"Name the keyring {KEYRING_NAME}."}
            return [Log("keys", "keyring_refused", "keyring refused", reason)]
        if stored.body is None:
            # Flows live on: the keys held stay valid until a new keyring comes.
            return [Log("keys", "keyring_deleted", "keyring deleted, kept here", ids)]
        try:
            self.keys.hold(keyring_from_body(stored.body), stored.version)
        except RecordInvalidError as error:
            reason = {**ids, "reason": str(error)}
            return [Log("keys", "keyring_refused", "keyring refused", reason)]
        return [Log("keys", "keyring_in_force", "keyring in force", ids)]


def _describe(change: ServiceChange) -> tuple[str, Action]:
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
            text = "record refused, earlier version stays"
            return refused.name, Log("records", "record_refused", text, ids)
