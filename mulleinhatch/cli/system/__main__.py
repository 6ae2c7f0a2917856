"""`python -m mulleinhatch.cli.system`: fire over `Console`."""

import json

import fire

from mulleinhatch.cli.system.commands import Console


def _shown(value: object) -> object:
    return value if isinstance(value, str) or value is None else json.dumps(value, indent=2, sort_keys=True)


if __name__ == "__main__":
    fire.Fire(Console, name="mulleinhatch-console", serialize=_shown)
