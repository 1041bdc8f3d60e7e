"""Options, checked before a command runs.

fire finds an option that a command does not have only after the command has run, and
gives an option without a value the value ``True``.
"""

import inspect
from collections.abc import Sequence
from itertools import takewhile, zip_longest
from typing import Any

from endivepick.cli.command_errors import CommandError
from endivepick.cli.exit_codes import ExitCode

__all__ = ["check_option_names"]

_HELP = ("help", "h")


def check_option_names(commands: object, words: Sequence[str]) -> None:
    """Refuse unknown options, and options that lack their value.

    Parameters
    ----------
    commands : object
        Commands as methods, groups of commands as properties.
    words : sequence of str
        Words of the command line.

    Raises
    ------
    CommandError
        If the command has no option of that name, with those that it has, or if
        the value is missing.
    """
    command, path, rest = _command_of(commands, words)
    if not callable(command):
        return
    parameters = inspect.signature(command).parameters
    # Words after "--" are meant for fire itself.
    own = list(takewhile(lambda word: word != "--", rest))
    for word, following in zip_longest(own, own[1:], fillvalue="--"):
        name = _option_name(word)
        if name and not _is_known(name, list(parameters)):
            raise CommandError(_unknown(word, path, command), ExitCode.USAGE)
        takes_text = name in parameters and parameters[name].annotation is str
        if takes_text and "=" not in word and _is_option(following):
            message = f"{word} needs a value. Write {word}=VALUE."
            raise CommandError(message, ExitCode.USAGE)


def _command_of(commands: object, words: Sequence[str]) -> tuple[Any, str, list[str]]:
    """Follow the words to a command; return it, its path and the words left."""
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


def _option_name(word: str) -> str:
    """Return the name if a word is an option, empty for values and numbers."""
    if not _is_option(word):
        return ""
    return word.lstrip("-").partition("=")[0].replace("-", "_")


def _is_option(word: str) -> bool:
    return word.startswith("--") or (word[:1] == "-" and word[1:2].isalpha())


def _is_known(name: str, known: Sequence[str]) -> bool:
    if name in known or name in _HELP or name.removeprefix("no") in known:
        return True
    return len(name) == 1 and sum(one.startswith(name) for one in known) == 1


def _unknown(word: str, path: str, command: Any) -> str:
    option = word.partition("=")[0]
    parameters = inspect.signature(command).parameters.values()
    named = [one.name for one in parameters if one.kind is not one.VAR_POSITIONAL]
    has = ", ".join(f"--{name}" for name in named) or "none"
    return f"There is no option {option}. Options of endivepick {path}: {has}."
