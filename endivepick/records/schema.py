"""Validation and conversion of service records between schema versions.

Schema 2 is the current one.  Schema 1 has a single zone, number of slots and
number of connections for all targets.  Both convert to ``ServiceRecord``.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from endivepick.errors import RecordInvalidError
from endivepick.records._schema_models import (
    NAME_PATTERN,
    ServiceBody,
    ServiceBodyV1,
    ServiceBodyV2,
    TargetBodyV2,
)
from endivepick.records.model import Affinity, ServiceRecord, TargetRecord

__all__ = [
    "NEWEST_SCHEMA_VERSION",
    "SCHEMA_VERSIONS",
    "ConvertedBody",
    "parse_service",
    "write_service",
]

_BODY_MODELS: dict[int, type[ServiceBody]] = {1: ServiceBodyV1, 2: ServiceBodyV2}
SCHEMA_VERSIONS = tuple(sorted(_BODY_MODELS))
"""Schema versions that this program supports."""
NEWEST_SCHEMA_VERSION = SCHEMA_VERSIONS[-1]


@dataclass(frozen=True)
class ConvertedBody:
    """Record converted to a given schema.

    Attributes
    ----------
    body : dict
        Content for the object API.
    lost : tuple of str
        Fields of the record that this schema cannot express, each with the value
        that replaces it.
    """

    body: dict[str, Any]
    lost: tuple[str, ...]


def parse_service(
    name: str, version: int, body: Mapping[str, Any]
) -> Result[ServiceRecord, RecordInvalidError]:
    """Validate a record and convert it to the internal representation.

    Parameters
    ----------
    name : str
        Name of the object.
    version : int
        Version of the object.
    body : mapping
        Content of the object, in any schema of ``SCHEMA_VERSIONS``.

    Returns
    -------
    Result of ServiceRecord
        A failure names the first invalid field and the remedy.

    Examples
    --------
    >>> body = {"schema_version": 2, "affinity": "flow", "targets": [
    ...     {"name": "a", "zone": "z", "address": "127.0.0.1:80", "slots": 2,
    ...      "connections": 2000}]}
    >>> parse_service("notes", 7, body).unwrap().targets[0].slots
    2
    >>> print(parse_service("notes", 8, body | {"affinty": "flow"}).failure())
    Record notes, field affinty: unknown field. Remove it or correct its name.
    """
    if NAME_PATTERN.fullmatch(name) is None:
        return _build_failure(
            name,
            "name",
            "use 1 to 63 lower-case letters, digits or '-', "
            "starting with a letter or digit",
        )
    if not isinstance(body, Mapping):
        return _build_failure(name, "body", "write a JSON object")
    schema_version = body.get("schema_version")
    if type(schema_version) is not int or schema_version not in _BODY_MODELS:
        return _build_failure(name, "schema_version", _schema_remedy(schema_version))
    try:
        checked = _BODY_MODELS[schema_version].model_validate(dict(body))
    except ValidationError as error:
        return _build_failure(name, *_first_error(error))
    return Success(_to_record(name, version, checked))


def write_service(record: ServiceRecord, schema_version: int) -> ConvertedBody:
    """Convert a record to the body of a given schema.

    Parameters
    ----------
    record : ServiceRecord
        Internal representation of the record.
    schema_version : int
        One of ``SCHEMA_VERSIONS``.

    Returns
    -------
    ConvertedBody
        Body, and the fields that an older schema cannot express.

    Raises
    ------
    RecordInvalidError
        If this program does not support the schema version.
    """
    match schema_version:
        case 1:
            return _write_v1(record)
        case 2:
            return ConvertedBody(_write_v2(record), ())
        case _:
            raise RecordInvalidError(
                f"Record {record.name}, field schema_version: "
                f"{_schema_remedy(schema_version)}.",
                "schema_version",
            )


def _build_failure(
    name: str, field: str, remedy: str
) -> Result[ServiceRecord, RecordInvalidError]:
    message = f"Record {name}, field {field}: {remedy}."
    return Failure(RecordInvalidError(message, field))


def _schema_remedy(schema_version: object) -> str:
    known = " or ".join(map(str, SCHEMA_VERSIONS))
    if type(schema_version) is int and schema_version > NEWEST_SCHEMA_VERSION:
        return (
            f"schema {schema_version} is newer than this program; upgrade all "
            f"instances first, or write schema {known}"
        )
    return f"missing or unsupported; write the whole number {known}"


def _first_error(error: ValidationError) -> tuple[str, str]:
    fault = error.errors(include_url=False)[0]
    field = ".".join(str(part) for part in fault["loc"]) or "body"
    match fault["type"]:
        case "extra_forbidden":
            return field, "unknown field. Remove it or correct its name"
        case "missing":
            return field, "missing. Add it"
        case "value_error":
            return field, str(fault["ctx"]["error"])
        case _:
            return field, f"{fault['msg']}, not {_shorten(fault['input'])}"


def _shorten(value: object, longest: int = 40) -> str:
    text = repr(value)
    return text if len(text) <= longest else text[: longest - 3] + "..."


def _to_record(name: str, version: int, body: ServiceBody) -> ServiceRecord:
    match body:
        case ServiceBodyV1():
            return _from_v1(name, version, body)
        case ServiceBodyV2():
            return _from_v2(name, version, body)
        case _:
            raise TypeError(f"No conversion for {type(body).__name__}.")


def _from_v1(name: str, version: int, body: ServiceBodyV1) -> ServiceRecord:
    targets = (
        TargetRecord(
            name=address,
            zone=body.zone,
            address=address,
            slots=body.slots,
            connections=body.connections,
            draining=address in body.drain,
        )
        for address in body.targets
    )
    return ServiceRecord(
        name=name,
        version=version,
        schema_version=1,
        write_id=body.write_id,
        affinity=Affinity.FLOW if body.sticky else Affinity.REQUEST,
        targets=_sort_by_name(targets),
        request_timeout_s=body.timeout_ms / 1000,
    )


def _from_v2(name: str, version: int, body: ServiceBodyV2) -> ServiceRecord:
    targets = (TargetRecord(**target.model_dump()) for target in body.targets)
    return ServiceRecord(
        name=name,
        version=version,
        schema_version=2,
        write_id=body.write_id,
        affinity=Affinity(body.affinity),
        targets=_sort_by_name(targets),
        waiting_per_slot=body.waiting_per_slot,
        request_timeout_s=body.request_timeout_s,
        spill_share=body.spill_share,
    )


def _sort_by_name(targets: Any) -> tuple[TargetRecord, ...]:
    return tuple(sorted(targets, key=lambda target: target.name))


def _write_v2(record: ServiceRecord) -> dict[str, Any]:
    targets = [
        TargetBodyV2(
            name=target.name,
            zone=target.zone,
            address=target.address,
            slots=target.slots,
            connections=target.connections,
            draining=target.draining,
        )
        for target in record.targets
    ]
    return ServiceBodyV2(
        schema_version=2,
        write_id=record.write_id,
        affinity=record.affinity.value,
        request_timeout_s=record.request_timeout_s,
        waiting_per_slot=record.waiting_per_slot,
        spill_share=record.spill_share,
        targets=targets,
    ).model_dump()


def _write_v1(record: ServiceRecord) -> ConvertedBody:
    targets = record.targets
    zones = {target.zone for target in targets}
    slots = min(target.slots for target in targets)
    connections = min(target.connections for target in targets)
    body = ServiceBodyV1(
        schema_version=1,
        write_id=record.write_id,
        sticky=record.affinity is Affinity.FLOW,
        timeout_ms=max(1, round(record.request_timeout_s * 1000)),
        zone=zones.pop() if len(zones) == 1 else "",
        slots=slots,
        connections=connections,
        targets=[target.address for target in targets],
        drain=[target.address for target in targets if target.draining],
    )
    return ConvertedBody(body.model_dump(), tuple(_lost_in_v1(record, body)))


def _lost_in_v1(record: ServiceRecord, body: ServiceBodyV1) -> list[str]:
    targets = record.targets
    lost = []
    if any(target.zone != body.zone for target in targets):
        lost.append("targets.zone: left empty, the targets are in several zones")
    if any(target.slots != body.slots for target in targets):
        lost.append(f"targets.slots: {body.slots}, the smallest, for all")
    if any(target.connections != body.connections for target in targets):
        lost.append(f"targets.connections: {body.connections}, the smallest, for all")
    if any(target.name != target.address for target in targets):
        lost.append("targets.name: replaced by the address")
    defaults = ServiceRecord("", 0, 1, "", record.affinity, ())
    for field in ("waiting_per_slot", "spill_share"):
        if getattr(record, field) != getattr(defaults, field):
            lost.append(f"{field}: the default, {getattr(defaults, field)}")
    return lost
