"""Commands for the keys of flow tokens."""

import secrets
import time
from collections.abc import Mapping
from typing import Any

from endivepick.cli.connection import platform_client
from endivepick.cli.object_writes import ObjectName, read_object, update_object
from endivepick.cli.output import print_json, print_line, print_table
from endivepick.core.keyring import (
    KEY_SIZE_BYTES,
    Keyring,
    add_pending,
    first_keyring,
    keyring_from_body,
    keyring_to_body,
)
from endivepick.records import KEYRING_KIND, KEYRING_NAME, StoredObject

__all__ = ["KeyCommands"]

_KEYRING = ObjectName(KEYRING_KIND, KEYRING_NAME)


class KeyCommands:
    """Keys that sign flow tokens."""

    def rotate(self, platform: str = "") -> None:
        """Add a key; the first call makes the keyring.

        Instances sign with a new key only once all reachable ones hold it, and
        accept the old one until its last token has expired.

        Examples
        --------
        endivepick keys rotate

        Parameters
        ----------
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """
        with platform_client(platform) as client:
            stored = update_object(client, _KEYRING, _with_new_key)
        keyring = _keyring_of(stored)
        pending = keyring.pending
        if pending is None:
            print_line(f"key {keyring.current} made; it signs from now on")
        else:
            print_line(f"key {pending.key_id} is pending until all instances hold it")

    def list(self, platform: str = "", json: bool = False) -> None:
        """List the keys and their stages, without secrets.

        Examples
        --------
        endivepick keys list
        endivepick keys list --json

        Parameters
        ----------
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        json : bool
            Print JSON.
        """
        with platform_client(platform) as client:
            keyring = _keyring_of(read_object(client, _KEYRING))
        if json:
            print_json(
                [
                    {
                        "key": key_id,
                        "stage": _stage(keyring, key_id),
                        "created_at_s": key.created_at_s,
                    }
                    for key_id, key in sorted(keyring.keys.items())
                ]
            )
            return
        rows = [
            (key_id, _stage(keyring, key_id), _date(key.created_at_s))
            for key_id, key in sorted(keyring.keys.items())
        ]
        print_table(("key", "stage", "made"), rows)


def _with_new_key(stored: StoredObject | None) -> Mapping[str, Any] | None:
    random_bytes = secrets.token_bytes(KEY_SIZE_BYTES)
    if stored is None:
        return keyring_to_body(first_keyring(random_bytes, time.time()))
    keyring = _keyring_of(stored)
    if keyring.pending is not None:
        return None
    return keyring_to_body(add_pending(keyring, random_bytes, time.time()))


def _keyring_of(stored: StoredObject | None) -> Keyring:
    return keyring_from_body(stored.body if stored and stored.body else {})


def _stage(keyring: Keyring, key_id: int) -> str:
    if key_id == keyring.current:
        return "current"
    return "pending" if key_id > keyring.current else "earlier"


def _date(time_s: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M", time.gmtime(time_s))
