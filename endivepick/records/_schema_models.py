"""Validation models of service records, one per schema version."""

import ipaddress
import re
from typing import Annotated, Literal, Self

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
TARGET_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,62}$"
MAX_TARGETS = 1000
MAX_PORT = 65535


def _check_name(value: str) -> str:
    if NAME_PATTERN.fullmatch(value) is None:
        raise ValueError(
            "use 1 to 63 lower-case letters, digits or '-', "
            "starting with a letter or digit"
        )
    return value


def _check_zone(value: str) -> str:
    return value if value == "" else _check_name(value)


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(
            "write an IPv4 address and a port, for example 10.0.0.1:80"
        ) from None
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError("write a port from 1 to 65535, for example 10.0.0.1:80")
    return f"{host}:{int(port)}"


Name = Annotated[str, AfterValidator(_check_name)]
Zone = Annotated[str, AfterValidator(_check_zone)]
Address = Annotated[str, AfterValidator(_check_address)]
Slots = Annotated[int, Field(ge=1, le=10_000)]
Connections = Annotated[int, Field(ge=1, le=1_000_000)]
WriteId = Annotated[str, Field(max_length=64)]


def _check_unique(field: str, values: list[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise ValueError(
                f"{field} {value} is used by two targets; "
                f"give each target its own {field}"
            )
        seen.add(value)


class _Body(BaseModel):
    """Base model that rejects unknown fields and values of another JSON type."""

    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class ServiceBody(_Body):
    """Fields that all schemas share."""

    schema_version: int
    write_id: WriteId = ""


class ServiceBodyV1(ServiceBody):
    """Schema 1: all targets have the same settings and are named by their address."""

    schema_version: Literal[1]
    sticky: bool = True
    timeout_ms: int = Field(default=30_000, ge=1, le=86_400_000)
    zone: Zone = ""
    slots: Slots
    connections: Connections
    targets: list[Address] = Field(min_length=1, max_length=MAX_TARGETS)
    drain: list[Address] = Field(default_factory=list)

    @model_validator(mode="after")
    def _check_targets(self) -> Self:
        _check_unique("address", self.targets)
        for address in self.drain:
            if address not in self.targets:
                raise ValueError(
                    f"drain lists {address}, which is not in targets; "
                    "add it to targets or remove it from drain"
                )
        return self


class TargetBodyV2(_Body):
    """Target in schema 2."""

    name: Annotated[str, Field(pattern=TARGET_NAME_PATTERN)]
    zone: Zone
    address: Address
    slots: Slots
    connections: Connections
    draining: bool = False


class ServiceBodyV2(ServiceBody):
    """Schema 2: each target has its own zone, slots and connections."""

    schema_version: Literal[2]
    affinity: Literal["flow", "request"]
    request_timeout_s: float = Field(default=30.0, gt=0, le=86_400)
    waiting_per_slot: int = Field(default=8, ge=0, le=1000)
    spill_share: float = Field(default=1.0, ge=0, le=1)
    targets: list[TargetBodyV2] = Field(min_length=1, max_length=MAX_TARGETS)

    @model_validator(mode="after")
    def _check_targets(self) -> Self:
        _check_unique("name", [target.name for target in self.targets])
        _check_unique("address", [target.address for target in self.targets])
        return self
