"""Line numbers of the keys of a JSON5 text.

The json5 library does not report positions.  This module scans the tokens of a text
that json5 has accepted and finds the line of each key.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["KeyPath", "KeyPosition", "find_key_positions"]

KeyPath = tuple[str, ...]

_TOKEN = re.compile(
    r"""
    (?P<comment>//[^\n]*|/\*.*?\*/)
    | (?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    | (?P<mark>[{}\[\]:,])
    | (?P<word>[^\s{}\[\]:,"'/]+)
    """,
    re.VERBOSE | re.DOTALL,
)


@dataclass(frozen=True)
class KeyPosition:
    """Path of a key through its enclosing objects, and its line number from 1."""

    path: KeyPath
    line: int


def _iter_tokens(text: str) -> Iterator[tuple[str, int]]:
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "comment":
            yield match.group(), text.count("\n", 0, match.start()) + 1


def find_key_positions(text: str) -> list[KeyPosition]:
    r"""List the keys of a JSON5 text in order, including duplicates.

    Parameters
    ----------
    text : str
        Text that json5 accepts.

    Returns
    -------
    list of KeyPosition
        Escape sequences in keys are not decoded.

    Examples
    --------
    >>> find_key_positions('{\n  // Note\n  "a": {b: 1},\n}')
    [KeyPosition(path=('a',), line=3), KeyPosition(path=('a', 'b'), line=3)]
    """
    found = []
    parents: list[str] = []
    key = ""
    previous = ("", 0)
    for token, line in _iter_tokens(text):
        if token == ":":
            key = previous[0].strip("\"'")
            found.append(KeyPosition((*parents[1:], key), previous[1]))
        elif token in "{[":
            parents.append(key)
        elif token in "}]":
            parents.pop()
        previous = (token, line)
    return found
