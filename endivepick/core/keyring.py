"""Keys for flow tokens.

A key passes through three stages: *pending* (held, verifies, does not sign),
*current* (signs), *earlier* (verifies until no token of it can be valid);
see `endivepick.core.key_rotation`.

Examples
--------
>>> from endivepick.core.keyring import first_keyring
>>> keyring = first_keyring(bytes(range(32)), now_s=100.0)
>>> key_id, mac = keyring.sign(b"flow")
>>> key_id, keyring.verify(key_id, b"flow", mac), keyring.verify(1, b"other", mac)
(1, True, False)
"""

import hmac
from collections.abc import Mapping
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any

import pydantic

from endivepick.errors import RecordInvalidError

__all__ = [
    "KEY_SIZE_BYTES",
    "Keyring",
    "MAC_SIZE_BYTES",
    "TokenKey",
    "add_pending",
    "first_keyring",
    "keyring_from_body",
    "keyring_to_body",
]

KEY_SIZE_BYTES = 32
MAC_SIZE_BYTES = 16
SCHEMA_VERSION = 1


@dataclass(frozen=True)
class TokenKey:
    """One secret key.

    Attributes
    ----------
    key_id : int
        Number of the key; grows with each key.
    secret : bytes
        Secret, ``KEY_SIZE_BYTES`` long; not shown in logs.
    created_at_s : float
        When it was made, in seconds since the epoch.
    replaced_at_s : float or None
        When a later key became current, in seconds since the epoch.
    """

    key_id: int
    secret: bytes
    created_at_s: float
    replaced_at_s: float | None = None

    def __repr__(self) -> str:
        return f"TokenKey(key_id={self.key_id}, created_at_s={self.created_at_s})"


@dataclass(frozen=True)
class Keyring:
    """All keys that an instance holds.

    Attributes
    ----------
    current : int
        Number of the key that signs.
    keys : mapping of int to TokenKey
        Keys by their number; numbers above ``current`` are pending.
    """

    current: int
    keys: Mapping[int, TokenKey]

    def sign(self, data: bytes) -> tuple[int, bytes]:
        """Return the number of the current key and its MAC of the data."""
        return self.current, _mac(self.keys[self.current].secret, data)

    def verify(self, key_id: int, data: bytes, mac: bytes) -> bool:
        """Tell whether a MAC is genuine, in constant time.

        An unknown ``key_id`` gives False; ask ``holds`` first to tell it from a
        forged token.
        """
        key = self.keys.get(key_id)
        if key is None:
            return False
        return hmac.compare_digest(_mac(key.secret, data), mac)

    def has_key(self, key_id: int) -> bool:
        """Tell whether the key is here; a missing one may exist elsewhere."""
        return key_id in self.keys

    @property
    def pending(self) -> TokenKey | None:
        """Newest key that does not sign yet, or None."""
        newest = max(self.keys)
        return self.keys[newest] if newest > self.current else None


def _mac(secret: bytes, data: bytes) -> bytes:
    return blake2b(data, digest_size=MAC_SIZE_BYTES, key=secret).digest()


def first_keyring(random_bytes: bytes, now_s: float) -> Keyring:
    """Make a keyring with one key that signs at once.

    Parameters
    ----------
    random_bytes : bytes
        ``KEY_SIZE_BYTES`` from a cryptographic source.
    now_s : float
        Present time, in seconds since the epoch.
    """
    key = _new_key(1, random_bytes, now_s)
    return Keyring(current=1, keys={1: key})


def _new_key(key_id: int, random_bytes: bytes, now_s: float) -> TokenKey:
    if len(random_bytes) != KEY_SIZE_BYTES:
        raise ValueError(f"Pass {KEY_SIZE_BYTES} random bytes.")
    return TokenKey(key_id, random_bytes, now_s)


def add_pending(keyring: Keyring, random_bytes: bytes, now_s: float) -> Keyring:
    """Return the keyring with one more key that verifies but does not sign.

    A keyring that has a pending key already is returned unchanged, so that two
    racing rotations make one key.
    """
    if keyring.pending is not None:
        return keyring
    key = _new_key(max(keyring.keys) + 1, random_bytes, now_s)
    return replace(keyring, keys={**keyring.keys, key.key_id: key})


class _KeyBody(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    key_id: int = pydantic.Field(ge=1, lt=2**32)
    secret_hex: str = pydantic.Field(pattern=rf"^[0-9a-f]{{{2 * KEY_SIZE_BYTES}}}$")
    created_at_s: float = pydantic.Field(ge=0, allow_inf_nan=False)
    replaced_at_s: float | None = pydantic.Field(None, ge=0, allow_inf_nan=False)


class _KeyringBody(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    schema_version: int = pydantic.Field(ge=SCHEMA_VERSION, le=SCHEMA_VERSION)
    write_id: str = pydantic.Field("", max_length=64)
    current: int
    keys: list[_KeyBody] = pydantic.Field(min_length=1, max_length=1000)


def keyring_from_body(body: Mapping[str, Any]) -> Keyring:
    """Convert the body of the platform's keyring object.

    Raises
    ------
    RecordInvalidError
        If a field is missing, unknown or of a bad value.
    """
    try:
        model = _KeyringBody.model_validate(body)
    except pydantic.ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        raise RecordInvalidError(
            f"Correct the field {field} of the keyring: {first['msg']}."
        ) from None
    keys = {
        key.key_id: TokenKey(
            key.key_id,
            bytes.fromhex(key.secret_hex),
            key.created_at_s,
            key.replaced_at_s,
        )
        for key in model.keys
    }
    if len(keys) != len(model.keys):
        raise RecordInvalidError("Give each key of the keyring its own key_id.")
    if model.current not in keys:
        raise RecordInvalidError("Set the keyring's current to one of its key_ids.")
    return Keyring(current=model.current, keys=keys)


def keyring_to_body(keyring: Keyring) -> dict[str, Any]:
    """Convert a keyring to the body of the platform's object."""
    return {
        "schema_version": SCHEMA_VERSION,
        "current": keyring.current,
        "keys": [_key_to_body(keyring.keys[key_id]) for key_id in sorted(keyring.keys)],
    }


def _key_to_body(key: TokenKey) -> dict[str, Any]:
    body = {
        "key_id": key.key_id,
        "secret_hex": key.secret.hex(),
        "created_at_s": key.created_at_s,
    }
    if key.replaced_at_s is not None:
        body["replaced_at_s"] = key.replaced_at_s
    return body
