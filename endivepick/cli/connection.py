"""Connection of the command line to the platform's object API."""

import os
import random
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager

from endivepick.addresses import parse_address
from endivepick.cli.command_errors import CommandError, option_values
from endivepick.cli.exit_codes import ExitCode
from endivepick.platform import PlatformClient, PlatformSettings

__all__ = ["PLATFORM_VARIABLE", "platform_client"]

PLATFORM_VARIABLE = "ENDIVEPICK_PLATFORM"
"""Environment variable that names the object API."""


@contextmanager
def platform_client(address: str) -> Iterator[PlatformClient]:
    """Open a client.

    Parameters
    ----------
    address : str
        ``host:port``; empty to take it from the environment.

    Raises
    ------
    CommandError
        If no valid address is given.
    """
    chosen = address or os.environ.get(PLATFORM_VARIABLE, "")
    if not chosen:
        message = (
            f"No object API named. Use --platform host:port or {PLATFORM_VARIABLE}."
        )
        raise CommandError(message, ExitCode.USAGE)
    with option_values("--platform"):
        parse_address(chosen)
    client = PlatformClient(PlatformSettings(chosen), time.sleep, random.random)
    with closing(client):
        yield client
