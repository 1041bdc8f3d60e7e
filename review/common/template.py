"""Fills in the settings template of the deploy folder as the platform does."""

import json
import re

__all__ = ["render"]

_TAG = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


def render(text, fields):
    """Return the template's text with all placeholders and sections filled in."""
    rendered, rest = _render(text, [fields], {})
    assert not rest, rest[:80]
    return rendered


def _find(name, scopes, item):
    if name in item:
        return item[name]
    head, *path = name.split(".")
    for scope in reversed(scopes):
        if isinstance(scope, dict) and head in scope:
            value = scope[head]
            for part in path:
                value = value[int(part)] if isinstance(value, list) else value.get(part)
            return value
    return None


def _render(text, scopes, item, end=None):
    """Render up to the end tag of a section; return the result and the rest."""
    done = ""
    while True:
        found = _TAG.search(text)
        if found is None:
            return done + text, ""
        done += text[: found.start()]
        text = text[found.end() :]
        sign, name, as_json = found.groups()
        if sign == "/":
            assert name == end, (name, end)
            return done, text
        if sign:
            section, text = _cut_section(text, name)
            done += _render_section(sign, section, _find(name, scopes, item), scopes)
        else:
            done += _format(_find(name, scopes, item), bool(as_json))


def _cut_section(text, name):
    close = f"{{{{/{name}}}}}"
    section, _, rest = text.partition(close)
    return section, rest


def _render_section(sign, section, value, scopes):
    if sign == "^":
        return "" if value else _render(section, scopes, {})[0]
    if value is None or value is False:
        return ""
    if isinstance(value, dict):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = list(enumerate(value))
    else:
        return _render(section, scopes, {})[0]
    done = ""
    for index, (key, each) in enumerate(entries):
        comma = "," if index + 1 < len(entries) else ""
        item = {"@": key, ".": each, ",": comma}
        done += _render(section, [*scopes, each], item)[0]
    return done


def _format(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)
