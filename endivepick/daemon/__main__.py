"""Start one instance: ``python -m endivepick.daemon --settings FILE``."""

# ruff: noqa: E402
from gevent import monkey

# HTTP libraries bind the socket classes at import, so sockets are patched first.
monkey.patch_all()

import sys

import fire

from endivepick.cli.exit_codes import exit_code_of
from endivepick.daemon.run import run
from endivepick.errors import SettingsInvalidError
from endivepick.settings import load_settings


def main(settings: str) -> None:
    """Run an instance.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    try:
        loaded = load_settings(settings)
    except SettingsInvalidError as error:
        print(error, file=sys.stderr)
        sys.exit(exit_code_of(error))
    sys.exit(run(loaded))


if __name__ == "__main__":
    fire.Fire(main)
