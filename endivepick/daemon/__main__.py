"""Start one instance: ``python -m endivepick.daemon --settings FILE``."""

# ruff: noqa: E402
from gevent import monkey

# The libraries for HTTP have to find gevent's sockets when they are imported.
monkey.patch_all()

import sys

import fire
from returns.result import Failure, Success

from endivepick.daemon.run import run
from endivepick.settings import load_settings

USAGE_STATUS = 2


def main(settings: str) -> None:
    """Run an instance.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    match load_settings(settings):
        case Success(loaded):
            sys.exit(run(loaded))
        case Failure(error):
            print(error, file=sys.stderr)
            sys.exit(USAGE_STATUS)


if __name__ == "__main__":
    fire.Fire(main)
