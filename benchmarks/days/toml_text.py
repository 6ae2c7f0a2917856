"""Format a day as TOML for the bench."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any


def value_text(value: Any) -> str:
    """Format a value as inline TOML.

    Raises:
        TypeError: If the type has no TOML form.

    >>> value_text({"at": 1.5, "how": "leader", "on": [1, True]})
    '{ at = 1.5, how = "leader", on = [1, true] }'
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, Mapping):
        return "{ " + ", ".join(f"{key} = {value_text(part)}" for key, part in value.items()) + " }"
    if isinstance(value, Sequence):
        return "[" + ", ".join(value_text(part) for part in value) + "]"
    raise TypeError(f"no TOML for {type(value).__name__}")


def day_text(day: Mapping[str, Any]) -> str:
    """Format a day with one line per key; each entry of a list of tables has its own line."""
    lines = []
    for key, value in day.items():
        if isinstance(value, list) and value and isinstance(value[0], Mapping):
            lines += [f"{key} = [", *(f"  {value_text(part)}," for part in value), "]"]
        else:
            lines.append(f"{key} = {value_text(value)}")
    return "\n".join(lines) + "\n"
