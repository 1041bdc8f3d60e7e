"""Services and keys in force at this instance."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from returns.result import Failure, Success

from endivepick.core.actions import Action, Log
from endivepick.core.keyring import Keyring, keyring_from_body
from endivepick.errors import RecordInvalidError
from endivepick.records.cache import Change
from endivepick.records.model import ServiceRecord
from endivepick.records.objects import KEYRING_KIND, SERVICE_KIND, StoredObject
from endivepick.records.schema import parse_service

__all__ = ["Catalog", "HeldKeys"]


@dataclass
class HeldKeys:
    """Keys in force; replaced whole when the keyring changes.

    Attributes
    ----------
    keyring : Keyring or None
        None until the first keyring is here.
    """

    keyring: Keyring | None = None

    def sign(self, data: bytes) -> tuple[int, bytes]:
        """Return the present key's id and the code of ``data``."""
        assert self.keyring is not None, "Wait until the instance is ready."
        return self.keyring.sign(data)

    def verify(self, key_id: int, data: bytes, mac: bytes) -> bool:
        """Tell whether the code is right."""
        return self.keyring is not None and self.keyring.verify(key_id, data, mac)

    def holds(self, key_id: int) -> bool:
        """Tell whether the key is known here."""
        return self.keyring is not None and self.keyring.holds(key_id)


@dataclass
class Catalog:
    """Last valid record of each service, and the keyring.

    Attributes
    ----------
    services : dict
        Records by service name.
    keys : HeldKeys
        Keys for flow tokens.
    refused : dict
        Versions that were refused, with the reason, by service name.
    """

    services: dict[str, ServiceRecord] = field(default_factory=dict)
    keys: HeldKeys = field(default_factory=HeldKeys)
    refused: dict[str, tuple[int, str]] = field(default_factory=dict)

    def versions(self) -> Iterator[tuple[str, int]]:
        """Yield name and version in force of each service."""
        for name, record in self.services.items():
            yield name, record.version

    def apply(self, changes: Iterable[Change]) -> tuple[list[str], list[Action]]:
        """Bring accepted changes into force.

        Returns
        -------
        list of str, list of Action
            Names of the services that changed, and log entries.
        """
        changed: list[str] = []
        actions: list[Action] = []
        for change in changes:
            stored = change.after
            if stored.kind == KEYRING_KIND:
                actions += self._apply_keyring(stored)
            elif stored.kind == SERVICE_KIND:
                changed.append(stored.name)
                actions.append(self._apply_service(stored))
        return changed, actions

    def _apply_service(self, stored: StoredObject) -> Action:
        ids = {"record": stored.name, "version": stored.version}
        if stored.body is None:
            self.services.pop(stored.name, None)
            return Log("records", "record_deleted", "record deleted", ids)
        match parse_service(stored.name, stored.version, stored.body):
            case Success(record):
                self.services[stored.name] = record
                self.refused.pop(stored.name, None)
                return Log("records", "record_in_force", "record in force", ids)
            case Failure(error):
                # The last valid version stays in force.
                self.refused[stored.name] = (stored.version, str(error))
                return Log(
                    "records",
                    "record_refused",
                    "record refused, earlier version stays",
                    {**ids, "reason": str(error)},
                )
        raise AssertionError("parse_service returns a Result")

    def _apply_keyring(self, stored: StoredObject) -> list[Action]:
        ids = {"record": stored.name, "version": stored.version}
        if stored.body is None:
            # Flows live on: the keys held stay valid until a new keyring comes.
            return [Log("keys", "keyring_deleted", "keyring deleted, kept here", ids)]
        try:
            self.keys.keyring = keyring_from_body(stored.body)
        except RecordInvalidError as error:
            reason = {**ids, "reason": str(error)}
            return [Log("keys", "keyring_refused", "keyring refused", reason)]
        return [Log("keys", "keyring_in_force", "keyring in force", ids)]
