"""Run the command-line interface with ``python -m endivepick.cli``."""

from endivepick.cli.main import main

main()
