"""Run the command line; `python -m mulleinhatch.console` and `python -m mulleinhatch.cli.system` start it."""

import inspect
import json
import sys

import fire

from mulleinhatch.cli.system.commands import Console

PROGRAM = "mulleinhatch-console"
EXIT_USAGE = 2


def _serialize(value: object) -> object:
    return value if isinstance(value, str) or value is None else json.dumps(value, indent=2, sort_keys=True)


def usage() -> str:
    """Return the commands with their parameters and the first line of their descriptions."""
    lines = [f"usage: {PROGRAM} COMMAND [ARGUMENT ...]", ""]
    for name, command in inspect.getmembers(Console, inspect.isfunction):
        if not name.startswith("_"):
            parameters = " ".join(parameter.upper() for parameter in list(inspect.signature(command).parameters)[1:])
            summary = (inspect.getdoc(command) or "").partition("\n")[0]
            lines += [f"  {name} {parameters}".rstrip(), f"      {summary}"]
    return "\n".join([*lines, "", f"{PROGRAM} COMMAND --help describes one command."])


def main() -> None:
    """Run the command that the arguments name and print its result; without one, print the commands and exit with 2."""
    if len(sys.argv) < 2:
        print(usage(), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    fire.Fire(Console, name=PROGRAM, serialize=_serialize)


if __name__ == "__main__":
    main()
