"""Flow tokens: what the caller echoes on every packet."""

from typing import Protocol

import msgspec

from endivepick.errors import TokenInvalidError

__all__ = ["UNKNOWN_KEY", "FlowToken", "TokenCodec", "TokenKeys"]

MAC_SIZE_BYTES = 16
KEY_ID_SIZE_BYTES = 4
UNKNOWN_KEY = "unknown_key"
"""Reason of a token whose key has not reached this instance."""
_encoder = msgspec.msgpack.Encoder()


class FlowToken(msgspec.Struct, frozen=True, array_like=True):
    """Everything that a relay needs to know about a flow.

    Attributes
    ----------
    service : str
        Service that the flow was opened for.
    flow_id : int
        Random number of the flow, the same for all its tokens.
    binding : int
        Random number of the replay window that requests belong to.
    owner : str
        Name of the instance that holds the window.
    owner_incarnation : int
        Incarnation of that instance.
    target : str
        Target that the flow is pinned to; empty if it is pinned to none.
    issued_at_s : int
        Time of issue, in seconds since the epoch.
    drawn_by_relay : bool
        A relay drew the binding after the loss of an owner, so that the owner named
        here may see it for the first time in this token.
    """

    service: str
    flow_id: int
    binding: int
    owner: str
    owner_incarnation: int
    target: str
    issued_at_s: int
    drawn_by_relay: bool = False


_decoder = msgspec.msgpack.Decoder(FlowToken)


class TokenKeys(Protocol):
    """Keys that sign and verify; see `endivepick.core.keyring`."""

    def sign(self, data: bytes) -> tuple[int, bytes]:
        """Return the present key's id and the code of ``data``."""

    def verify(self, key_id: int, data: bytes, mac: bytes) -> bool:
        """Tell whether the code is right."""

    def has_key(self, key_id: int) -> bool:
        """Tell whether the key is known here."""


class TokenCodec:
    """Signs and verifies flow tokens.

    A token on the wire is the key id in four bytes, the MessagePack array and a
    16-byte message authentication code over the array.

    Parameters
    ----------
    keys : TokenKeys
        Present and earlier keys.
    lifetime_s : float
        Age at which a token expires, in seconds.
    """

    def __init__(self, keys: TokenKeys, lifetime_s: float) -> None:
        self.keys = keys
        self._lifetime_s = lifetime_s

    def seal(self, token: FlowToken) -> bytes:
        """Encode and sign a token."""
        payload = _encoder.encode(token)
        key_id, mac = self.keys.sign(payload)
        return key_id.to_bytes(KEY_ID_SIZE_BYTES, "big") + payload + mac

    def unseal(self, sealed: bytes, now_s: float) -> FlowToken:
        """Verify and decode a token.

        Raises
        ------
        TokenInvalidError
            If it is forged, cut off, expired or of an unknown key.
        """
        payload = sealed[KEY_ID_SIZE_BYTES:-MAC_SIZE_BYTES]
        if not payload:
            raise TokenInvalidError("malformed", "Echo the token unchanged.")
        key_id = int.from_bytes(sealed[:KEY_ID_SIZE_BYTES], "big")
        if not self.keys.has_key(key_id):
            raise TokenInvalidError(UNKNOWN_KEY, "Send the packet again after a while.")
        if not self.keys.verify(key_id, payload, sealed[-MAC_SIZE_BYTES:]):
            raise TokenInvalidError("forged", "Echo the token unchanged.")
        return self._decode(payload, now_s)

    def _decode(self, payload: bytes, now_s: float) -> FlowToken:
        try:
            token = _decoder.decode(payload)
        except msgspec.DecodeError as error:
            raise TokenInvalidError("malformed", "Open a new flow.") from error
        if now_s - token.issued_at_s > self._lifetime_s:
            raise TokenInvalidError("expired", "Open a new flow.")
        return token
