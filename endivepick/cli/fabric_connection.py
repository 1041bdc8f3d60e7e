"""Address of the fabric for the commands that act as a caller."""

import os

from endivepick.addresses import parse_address
from endivepick.cli.command_errors import CommandError, option_values
from endivepick.cli.exit_codes import ExitCode

__all__ = ["FABRIC_VARIABLE", "fabric_address"]

FABRIC_VARIABLE = "ENDIVEPICK_FABRIC"
"""Environment variable that names the fabric."""


def fabric_address(option: str) -> str:
    """Check the option, or take the address from the environment.

    Raises
    ------
    CommandError
        If no valid address is given.
    """
    address = option or os.environ.get(FABRIC_VARIABLE, "")
    if not address:
        message = f"No fabric named. Use --fabric host:port or {FABRIC_VARIABLE}."
        raise CommandError(message, ExitCode.USAGE)
    with option_values("--fabric"):
        parse_address(address)
    return address
