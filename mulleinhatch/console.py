"""Entry point of the system's command line: `python -m mulleinhatch.console COMMAND`, the command that operators know."""

from mulleinhatch.cli.system.__main__ import main

if __name__ == "__main__":
    main()
