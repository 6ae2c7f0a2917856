"""Entry point of the system's command line for operators: `python -m mulleinhatch.console COMMAND`."""

from mulleinhatch.cli.system.__main__ import main

if __name__ == "__main__":
    main()
