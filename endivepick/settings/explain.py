"""Reference documentation of all settings, generated from the validation models."""

from collections.abc import Iterator
from typing import Any, Literal, get_args, get_origin

import annotated_types
from pydantic.fields import FieldInfo

from endivepick.settings.schema import SettingsModel

__all__ = ["explain", "explain_markdown"]

_UNITS = {
    "_bytes_max": "bytes",
    "_bytes": "bytes",
    "_s": "seconds",
    "_ms": "milliseconds",
    "_per_s": "per second",
    "_bytes_per_s": "bytes per second",
    "_share": "share",
    "_share_limit": "share",
    "_hex": "hexadecimal digits",
    "_address": "host:port",
    "_addresses": "list of host:port",
}
_PAGE_HEADER = """# Settings

A settings file is JSON with comments. Unknown keys, wrong types, values outside
their range and impossible combinations are refused with line, key and remedy.
Check a file with `endivepick check-settings FILE`. This page is the output of
`endivepick settings --explain --markdown`.
"""


def _find_unit(name: str) -> str:
    suffixes = sorted(_UNITS, key=len, reverse=True)
    for suffix in suffixes:
        if f"_{name}".endswith(suffix):
            return _UNITS[suffix]
    return ""


def _format_range(field: FieldInfo) -> str:
    if get_origin(field.annotation) is Literal:
        return ", ".join(get_args(field.annotation))
    low, high = "", ""
    for constraint in field.metadata:
        match constraint:
            case annotated_types.Ge(ge=bound):
                low = f"{bound:.10g}"
            case annotated_types.Gt(gt=bound):
                low = f"more than {bound:.10g}"
            case annotated_types.Le(le=bound):
                high = f"{bound:.10g}"
            case annotated_types.Lt(lt=bound):
                high = f"less than {bound:.10g}"
    return f"{low} to {high}" if low else ""


def _format_default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    return _format_literal(field.default)


def _format_literal(value: Any) -> str:
    match value:
        case str():
            return f'"{value}"'
        case tuple():
            return f"[{', '.join(map(_format_literal, value))}]"
        case _:
            return f"{value:.10g}"


def _iter_sections() -> Iterator[tuple[str, Any]]:
    for name, field in SettingsModel.model_fields.items():
        yield name, field.annotation


def explain() -> str:
    """Describe meaning, unit, default and range of all keys as plain text."""
    lines = []
    for section, group in _iter_sections():
        lines.append(f"{section}: {(group.__doc__ or '').strip()}")
        for name, field in group.model_fields.items():
            facts = [f"default: {_format_default(field)}"]
            facts += [f"unit: {_find_unit(name)}"] if _find_unit(name) else []
            facts += [f"range: {_format_range(field)}"] if _format_range(field) else []
            lines.append(f"  {section}.{name} ({'; '.join(facts)})")
            lines.append(f"      {field.description}")
        lines.append("")
    return "\n".join(lines)


def explain_markdown() -> str:
    """Describe all keys as Markdown, the content of ``docs/operators/settings.md``."""
    lines = [_PAGE_HEADER]
    for section, group in _iter_sections():
        lines.append(f"## {section}\n\n{(group.__doc__ or '').strip()}\n")
        lines.append("| key | meaning | unit | default | range |")
        lines.append("| --- | --- | --- | --- | --- |")
        for name, field in group.model_fields.items():
            cells = (
                f"`{name}`",
                str(field.description),
                _find_unit(name),
                _format_default(field),
                _format_range(field),
            )
            lines.append(f"| {' | '.join(cells)} |")
        lines.append("")
    return "\n".join(lines)
