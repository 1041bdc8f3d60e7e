"""Validation of options before a command runs.

fire reports an unknown option only after the command has run, and gives an option
without a value the value ``True``.
"""

import inspect
from collections.abc import Sequence
from itertools import takewhile, zip_longest
from typing import Any

from endivepick.cli.command_errors import CommandError
from endivepick.cli.exit_codes import ExitCode

__all__ = ["check_option_names"]

_HELP_OPTIONS = ("help", "h")


def check_option_names(commands: object, words: Sequence[str]) -> None:
    """Reject unknown options and options without their value.

    Parameters
    ----------
    commands : object
        Object with commands as methods and groups of commands as properties.
    words : sequence of str
        Words of the command line.

    Raises
    ------
    CommandError
        If the command has no option of that name, or if the value is missing.  The
        message for an unknown option lists the options of the command.
    """
    command, path, rest = _resolve_command(commands, words)
    if not callable(command):
        return
    parameters = inspect.signature(command).parameters
    # Words after "--" are options of fire itself.
    command_words = list(takewhile(lambda word: word != "--", rest))
    for word, following in zip_longest(
        command_words, command_words[1:], fillvalue="--"
    ):
        name = _parse_option_name(word)
        if name and not _is_known(name, list(parameters)):
            raise CommandError(
                _unknown_option_message(word, path, command), ExitCode.USAGE
            )
        takes_text = name in parameters and parameters[name].annotation is str
        if takes_text and "=" not in word and _is_option(following):
            message = f"{word} needs a value. Write {word}=VALUE."
            raise CommandError(message, ExitCode.USAGE)


def _resolve_command(
    commands: object, words: Sequence[str]
) -> tuple[Any, str, list[str]]:
    """Return the command that the words name, its path and the remaining words."""
    component: Any = commands
    path = []
    left = list(words)
    while left and not callable(component):
        member = getattr(component, left[0].replace("-", "_"), None)
        if left[0].startswith(("-", "_")) or member is None:
            break
        component = member
        path.append(left.pop(0))
    return component, " ".join(path), left


def _parse_option_name(word: str) -> str:
    """Return the name of an option; empty for values and negative numbers."""
    if not _is_option(word):
        return ""
    return word.lstrip("-").partition("=")[0].replace("-", "_")


def _is_option(word: str) -> bool:
    return word.startswith("--") or (word[:1] == "-" and word[1:2].isalpha())


def _is_known(name: str, known: Sequence[str]) -> bool:
    if name in known or name in _HELP_OPTIONS or name.removeprefix("no") in known:
        return True
    return (
        len(name) == 1 and sum(parameter.startswith(name) for parameter in known) == 1
    )


def _unknown_option_message(word: str, path: str, command: Any) -> str:
    option = word.partition("=")[0]
    parameters = inspect.signature(command).parameters.values()
    named = [
        parameter.name
        for parameter in parameters
        if parameter.kind is not parameter.VAR_POSITIONAL
    ]
    has = ", ".join(f"--{name}" for name in named) or "none"
    return f"Unknown option {option}. Options of endivepick {path}: {has}."
