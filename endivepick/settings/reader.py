"""Reading and validation of a settings file."""

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
from endivepick.settings._conflicts import find_conflicts
from endivepick.settings._positions import KeyPath, find_key_positions
from endivepick.settings.schema import SettingsModel

__all__ = ["load_settings", "parse_settings"]

_FIRST_LINE = 1


@dataclasses.dataclass(frozen=True)
class _ValidationIssue:
    """One validation error of a settings file."""

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
        Validated settings.

    Raises
    ------
    SettingsInvalidError
        If the file cannot be read or is invalid; the message has one line per error
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
    """Parse and validate the text of a settings file.

    Parameters
    ----------
    text : str
        JSON with comments.
    source : str
        File name for error messages.

    Returns
    -------
    Result of DaemonSettings or SettingsInvalidError
        The message of the error has one line per validation error.
    """
    try:
        tree = json5.loads(text)
    except (ValueError, RecursionError) as error:
        remedy = "Write JSON; comments and trailing commas are allowed."
        location = str(error).replace("<string>", source, 1)
        return Failure(SettingsInvalidError(f"{location}. {remedy}"))
    issues = _find_duplicate_keys(text) or _validate_model(text, tree)
    if issues:
        message = "\n".join(issue.text(source) for issue in issues)
        return Failure(SettingsInvalidError(message))
    return Success(_to_settings(SettingsModel.model_validate(tree)))


def _find_duplicate_keys(text: str) -> list[_ValidationIssue]:
    first_lines: dict[KeyPath, int] = {}
    issues = []
    for position in find_key_positions(text):
        if position.path not in first_lines:
            first_lines[position.path] = position.line
            continue
        problem = f"duplicate key; first defined in line {first_lines[position.path]}"
        issues.append(
            _ValidationIssue(position.line, position.path, problem, "Keep one of them.")
        )
    return issues


def _validate_model(text: str, tree: Any) -> list[_ValidationIssue]:
    lines = {position.path: position.line for position in find_key_positions(text)}
    try:
        checked = SettingsModel.model_validate(tree)
    except ValidationError as error:
        return [_to_issue(details, lines) for details in error.errors()]
    return [
        _ValidationIssue(
            _find_line(issue.path, lines), issue.path, issue.problem, issue.remedy
        )
        for issue in find_conflicts(_to_settings(checked))
    ]


def _find_line(path: KeyPath, lines: dict[KeyPath, int]) -> int:
    """Find the line of a key, or of its nearest enclosing group."""
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    return _FIRST_LINE


def _to_issue(details: ErrorDetails, lines: dict[KeyPath, int]) -> _ValidationIssue:
    path = tuple(str(part) for part in details["loc"])
    problem, remedy = _describe_issue(details, path)
    return _ValidationIssue(_find_line(path, lines), path, problem, remedy)


def _describe_issue(details: ErrorDetails, path: KeyPath) -> tuple[str, str]:
    context = details.get("ctx", {})
    match details["type"]:
        case "extra_forbidden":
            return "unknown key", _suggest_known_key(path)
        case "missing":
            return "the key is missing", f"Add it: {_find_description(path)}"
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
            return "the value is not allowed", f"Expected: {_find_description(path)}"
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


def _find_group(path: KeyPath) -> type[BaseModel] | None:
    group: type[BaseModel] = SettingsModel
    for name in path:
        field = group.model_fields.get(name)
        kind = field.annotation if field else None
        if not (isinstance(kind, type) and issubclass(kind, BaseModel)):
            return None
        group = kind
    return group


def _find_description(path: KeyPath) -> str:
    group = _find_group(path[:-1])
    field = group.model_fields.get(path[-1]) if group else None
    if field is not None and field.description:
        return field.description
    section = _find_group(path)
    return (section.__doc__ or "").strip() if section else "see settings --explain."


def _suggest_known_key(path: KeyPath) -> str:
    group = _find_group(path[:-1])
    known = list(group.model_fields) if group else []
    close_matches = difflib.get_close_matches(path[-1], known, n=1)
    if close_matches:
        return f"Did you mean {close_matches[0]}?"
    return f"Remove it, or use one of: {', '.join(known)}."


def _to_settings(checked: SettingsModel) -> model.DaemonSettings:
    """Convert the validated model to the internal data classes."""
    groups = {
        item.name: item.type(**getattr(checked, item.name).model_dump())
        for item in dataclasses.fields(model.DaemonSettings)
        if callable(item.type)
    }
    settings = model.DaemonSettings(**groups)
    # Handovers are kept as long as a valid token can refer to the source instance.
    membership = dataclasses.replace(
        settings.membership, departed_kept_s=settings.flow.token_lifetime_s
    )
    return dataclasses.replace(settings, membership=membership)
