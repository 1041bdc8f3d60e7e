"""Reading and checking a settings file."""

import dataclasses
import difflib
from pathlib import Path
from typing import Any

import json5
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from endivepick.errors import SettingsInvalidError
from endivepick.settings import model
from endivepick.settings._conflicts import combination_faults
from endivepick.settings._positions import KeyPath, key_positions
from endivepick.settings.schema import SettingsModel

__all__ = ["load_settings", "parse_settings"]

_FIRST_LINE = 1


@dataclasses.dataclass(frozen=True)
class _Fault:
    """One reason to refuse a file."""

    line: int
    path: KeyPath
    problem: str
    remedy: str

    def text(self, source: str) -> str:
        key = ".".join(self.path) or "the whole file"
        return f"{source}:{self.line}: {key}: {self.problem}. {self.remedy}"


def load_settings(path: str | Path) -> model.DaemonSettings:
    """Read a settings file.

    Parameters
    ----------
    path : str or Path
        File in JSON with comments.

    Returns
    -------
    DaemonSettings
        Checked settings.

    Raises
    ------
    SettingsInvalidError
        If the file cannot be read or is refused; the message has one line per fault
        with line number, key and remedy.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError(
            f"{path}: cannot be read ({error}). Name a readable UTF-8 file."
        ) from error
    match parse_settings(text, str(path)):
        case Success(settings):
            return settings
        case Failure(failure):
            raise failure
    raise AssertionError("A result is a success or a failure.")


def parse_settings(
    text: str, source: str = "settings"
) -> Result[model.DaemonSettings, SettingsInvalidError]:
    """Check the text of a settings file.

    Parameters
    ----------
    text : str
        JSON with comments.
    source : str
        Name of the file for messages.

    Returns
    -------
    Result of DaemonSettings or SettingsInvalidError
        The error's message has one line per fault.
    """
    try:
        tree = json5.loads(text)
    except (ValueError, RecursionError) as error:
        remedy = "Write JSON; comments and trailing commas are allowed."
        place = str(error).replace("<string>", source, 1)
        return Failure(SettingsInvalidError(f"{place}. {remedy}"))
    faults = _duplicate_faults(text) or _model_faults(text, tree)
    if faults:
        message = "\n".join(fault.text(source) for fault in faults)
        return Failure(SettingsInvalidError(message))
    return Success(_to_settings(SettingsModel.model_validate(tree)))


def _duplicate_faults(text: str) -> list[_Fault]:
    first_lines: dict[KeyPath, int] = {}
    faults = []
    for position in key_positions(text):
        if position.path not in first_lines:
            first_lines[position.path] = position.line
            continue
        problem = f"the key stands already in line {first_lines[position.path]}"
        faults.append(
            _Fault(position.line, position.path, problem, "Keep one of them.")
        )
    return faults


def _model_faults(text: str, tree: Any) -> list[_Fault]:
    lines = {position.path: position.line for position in key_positions(text)}
    try:
        checked = SettingsModel.model_validate(tree)
    except ValidationError as error:
        return [_model_fault(details, lines) for details in error.errors()]
    return [
        _Fault(_line_of(fault.path, lines), fault.path, fault.problem, fault.remedy)
        for fault in combination_faults(_to_settings(checked))
    ]


def _line_of(path: KeyPath, lines: dict[KeyPath, int]) -> int:
    """Find the line of a key, or of the nearest group around it."""
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    return _FIRST_LINE


def _model_fault(details: ErrorDetails, lines: dict[KeyPath, int]) -> _Fault:
    path = tuple(str(part) for part in details["loc"])
    problem, remedy = _explain_fault(details, path)
    return _Fault(_line_of(path, lines), path, problem, remedy)


def _explain_fault(details: ErrorDetails, path: KeyPath) -> tuple[str, str]:
    context = details.get("ctx", {})
    match details["type"]:
        case "extra_forbidden":
            return "unknown key", _remedy_for_unknown(path)
        case "missing":
            return "the key is missing", f"Add it: {_description(path)}"
        case "greater_than":
            return "the value is too small", f"Use more than {context['gt']:g}."
        case "less_than":
            return "the value is too large", f"Use less than {context['lt']:g}."
        case "greater_than_equal":
            return "the value is too small", f"Use at least {context['ge']:g}."
        case "less_than_equal":
            return "the value is too large", f"Use at most {context['le']:g}."
        case "value_error":
            reason = str(context["error"])
            return "the value is not allowed", f"{reason[:1].upper()}{reason[1:]}."
        case "string_pattern_mismatch":
            return "the value is not allowed", f"Expected: {_description(path)}"
        case "literal_error":
            return "the value is not allowed", f"Use {context['expected']}."
        case "model_type":
            found = type(details["input"]).__name__
            return f"wrong type ({found})", "Write an object: {key: value, ...}."
        case "tuple_type":
            found = type(details["input"]).__name__
            return f"wrong type ({found})", "Write a list: [value, ...]."
        case "finite_number":
            return "the value is not finite", "Use a finite number."
    wanted = details["msg"].removeprefix("Input should be ")
    found = type(details["input"]).__name__
    return f"wrong type ({found})", f"Write {wanted}."


def _group_at(path: KeyPath) -> type[BaseModel] | None:
    group: type[BaseModel] = SettingsModel
    for name in path:
        field = group.model_fields.get(name)
        kind = field.annotation if field else None
        if not (isinstance(kind, type) and issubclass(kind, BaseModel)):
            return None
        group = kind
    return group


def _description(path: KeyPath) -> str:
    group = _group_at(path[:-1])
    field = group.model_fields.get(path[-1]) if group else None
    if field is not None and field.description:
        return field.description
    section = _group_at(path)
    return (section.__doc__ or "").strip() if section else "see settings --explain."


def _remedy_for_unknown(path: KeyPath) -> str:
    group = _group_at(path[:-1])
    known = list(group.model_fields) if group else []
    near = difflib.get_close_matches(path[-1], known, n=1)
    if near:
        return f"Did you mean {near[0]}?"
    return f"Remove it, or use one of: {', '.join(known)}."


def _to_settings(checked: SettingsModel) -> model.DaemonSettings:
    """Convert the border model into the classes used inside."""
    groups = {
        item.name: item.type(**getattr(checked, item.name).model_dump())
        for item in dataclasses.fields(model.DaemonSettings)
        if callable(item.type)
    }
    settings = model.DaemonSettings(**groups)
    # Hand-overs have to be remembered while a token can name the giver.
    membership = dataclasses.replace(
        settings.membership, departed_kept_s=settings.flow.token_lifetime_s
    )
    return dataclasses.replace(settings, membership=membership)
