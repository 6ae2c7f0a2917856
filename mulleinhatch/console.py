"""Start the system's command line by the name that operators know: `python -m mulleinhatch.console COMMAND`."""

from mulleinhatch.cli.system.__main__ import main

if __name__ == "__main__":
    main()
