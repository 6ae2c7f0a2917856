"""Run the command line; `python -m mulleinhatch.console` and `python -m mulleinhatch.cli.system` start it."""

import json

import fire

from mulleinhatch.cli.system.commands import Console


def _serialize(value: object) -> object:
    return value if isinstance(value, str) or value is None else json.dumps(value, indent=2, sort_keys=True)


def main() -> None:
    """Run the command that the arguments name and print its result."""
    fire.Fire(Console, name="mulleinhatch-console", serialize=_serialize)


if __name__ == "__main__":
    main()
