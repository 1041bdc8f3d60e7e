"""Run the command line with ``python -m endivepick.cli``."""

from endivepick.cli.main import main

main()
