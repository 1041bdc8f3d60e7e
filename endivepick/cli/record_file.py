"""Record files: JSON with comments, one record per file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import json5

from endivepick.errors import RecordInvalidError
from endivepick.records import parse_service

__all__ = ["RecordFile", "read_record_file"]

_FILE_KEYS = ("name", "version", "write_id")


@dataclass(frozen=True)
class RecordFile:
    """Content of a record file.

    Attributes
    ----------
    name : str
        Name of the service.
    version : int or None
        Version that the file is based on; None if the file has no version.
    body : dict
        Body for the object API, without write id.
    """

    name: str
    version: int | None
    body: dict[str, Any]


def read_record_file(path: str) -> RecordFile:
    """Read and validate a record file.

    Raises
    ------
    RecordInvalidError
        If the file cannot be read or the record is invalid.
    """
    content = _load_object(path)
    name, version = content.get("name"), content.get("version")
    if not isinstance(name, str):
        raise RecordInvalidError(f"{path}: field name: add the service's name.", "name")
    if version is not None and (type(version) is not int or version < 0):
        message = f"{path}: field version: write a whole number or remove it."
        raise RecordInvalidError(message, "version")
    body = {key: value for key, value in content.items() if key not in _FILE_KEYS}
    error = parse_service(name, version or 0, body).swap().value_or(None)
    if error is not None:
        raise RecordInvalidError(f"{path}: {error}", error.field)
    return RecordFile(name, version, body)


def _load_object(path: str) -> dict[str, Any]:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: cannot be read ({error}). Name a readable UTF-8 file."
        raise RecordInvalidError(message) from error
    try:
        content = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        location = str(error).replace("<string>", path, 1)
        message = f"{path}: {location}. Write JSON; comments are allowed."
        raise RecordInvalidError(message) from error
    if not isinstance(content, dict):
        raise RecordInvalidError(f"{path}: write one JSON object per file.")
    return content
