"""Flow tokens, which a caller includes in every packet of a flow."""

from typing import Protocol

import msgspec

from endivepick.errors import TokenInvalidError

__all__ = ["UNKNOWN_KEY", "FlowToken", "TokenCodec", "TokenKeys"]

MAC_SIZE_BYTES = 16
KEY_ID_SIZE_BYTES = 4
UNKNOWN_KEY = "unknown_key"
"""Reason for rejecting a token whose key this instance does not have yet."""
_encoder = msgspec.msgpack.Encoder()


class FlowToken(msgspec.Struct, frozen=True, array_like=True):
    """Information that a relay needs about a flow.

    Attributes
    ----------
    service : str
        Service that the flow was opened for.
    flow_id : int
        Random number of the flow, the same for all its tokens.
    binding : int
        Random number of the replay window that covers the requests.
    owner : str
        Name of the instance that holds the replay window.
    owner_incarnation : int
        Incarnation of that instance.
    target : str
        Target that the flow is pinned to; empty if it is not pinned.
    issued_at_s : int
        Time of issue, in seconds since the epoch.
    drawn_by_relay : bool
        Whether a relay generated the binding after the loss of an owner.  The owner
        named here may then first learn of the binding from this token.
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
    """Keys to sign and verify tokens; see `endivepick.core.keyring`."""

    def sign(self, data: bytes) -> tuple[int, bytes]:
        """Return the id of the current key and the authentication code of ``data``."""

    def verify(self, key_id: int, data: bytes, mac: bytes) -> bool:
        """Tell whether the authentication code matches ``data``."""

    def has_key(self, key_id: int) -> bool:
        """Tell whether this instance has the key."""


class TokenCodec:
    """Signs and verifies flow tokens.

    An encoded token consists of the key id in four bytes, the MessagePack array and
    a 16-byte message authentication code over the array.

    Parameters
    ----------
    keys : TokenKeys
        Current and earlier keys.
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
            If the token is forged, truncated, expired or signed with an unknown key.
        """
        payload = sealed[KEY_ID_SIZE_BYTES:-MAC_SIZE_BYTES]
        if not payload:
            raise TokenInvalidError("malformed", "Return the token unchanged.")
        key_id = int.from_bytes(sealed[:KEY_ID_SIZE_BYTES], "big")
        if not self.keys.has_key(key_id):
            raise TokenInvalidError(UNKNOWN_KEY, "Retry the packet later.")
        if not self.keys.verify(key_id, payload, sealed[-MAC_SIZE_BYTES:]):
            raise TokenInvalidError("forged", "Return the token unchanged.")
        return self._decode(payload, now_s)

    def _decode(self, payload: bytes, now_s: float) -> FlowToken:
        try:
            token = _decoder.decode(payload)
        except msgspec.DecodeError as error:
            raise TokenInvalidError("malformed", "Open a new flow.") from error
        if now_s - token.issued_at_s > self._lifetime_s:
            raise TokenInvalidError("expired", "Open a new flow.")
        return token
