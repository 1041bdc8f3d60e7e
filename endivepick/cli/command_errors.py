"""Failures that the command line itself finds."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import TypeVar

from returns.result import Failure, Result, Success

from endivepick.cli.exit_codes import ExitCode
from endivepick.errors import EndivepickError

__all__ = ["CommandError", "option_values", "value_of"]

T = TypeVar("T")


class CommandError(EndivepickError):
    """A command cannot do its work.

    Parameters
    ----------
    message : str
        What is wrong and the remedy.
    code : ExitCode
        Exit code of the process.
    """

    def __init__(self, message: str, code: ExitCode) -> None:
        super().__init__(message)
        self.code = code


def value_of(result: Result[T, EndivepickError]) -> T:
    """Return the value of a result or raise its error."""
    match result:
        case Success(value):
            return value
        case Failure(error):
            raise error
    raise AssertionError("A result is a success or a failure.")


@contextmanager
def option_values(option: str) -> Iterator[None]:
    """Turn a ValueError into a usage error that names the option."""
    try:
        yield
    except ValueError as error:
        message = f"{option}: {error}. See endivepick --help."
        raise CommandError(message, ExitCode.USAGE) from error
