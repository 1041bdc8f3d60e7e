"""Decoding of messages of other instances, whatever they contain."""

from typing import TypeVar

import msgspec

from endivepick.errors import MessageInvalidError

__all__ = ["decode_message"]

_Message = TypeVar("_Message")


def decode_message(decoder: msgspec.json.Decoder[_Message], body: bytes) -> _Message:
    """Decode a message.

    Parameters
    ----------
    decoder : msgspec.json.Decoder
        Decoder of the expected type.
    body : bytes
        The message.

    Raises
    ------
    MessageInvalidError
        If the message is not valid.

    Examples
    --------
    >>> decode_message(msgspec.json.Decoder(list[str]), b'["10.0.0.1:7000"]')
    ['10.0.0.1:7000']
    """
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        # RecursionError is raised for values nested too deep, also in unknown fields.
        raise MessageInvalidError(
            f"Message of another instance is not valid ({error}). "
            "Check its address, and that both run builds that know each other."
        ) from None
