"""What all groups of a settings file share: strictness and kinds of addresses."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Strict

from endivepick.addresses import parse_address

__all__ = [
    "Group",
    "ListenAddress",
    "OptionalAddress",
    "OptionalHost",
    "RemoteAddress",
    "RemoteAddresses",
]


def _check_listen_address(text: str) -> str:
    parse_address(text)
    return text


def _check_remote_address(text: str) -> str:
    _, port = parse_address(text)
    if port == 0:
        raise ValueError("use a port from 1 to 65535")
    return text


def _check_optional_host(text: str) -> str:
    if text:
        parse_address(f"{text}:0")
    return text


def _check_optional_address(text: str) -> str:
    return _check_remote_address(text) if text else text


ListenAddress = Annotated[str, AfterValidator(_check_listen_address)]
RemoteAddress = Annotated[str, AfterValidator(_check_remote_address)]
RemoteAddresses = Annotated[tuple[RemoteAddress, ...], Strict(False)]
"""Tuple made from the list of a file."""
OptionalHost = Annotated[str, AfterValidator(_check_optional_host)]
OptionalAddress = Annotated[str, AfterValidator(_check_optional_address)]


class Group(BaseModel):
    """Refuses unknown keys, converted types, infinities and NaN."""

    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)
