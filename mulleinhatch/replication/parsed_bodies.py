"""Values of large JSON bodies that were read in steps before they are needed at once."""

from __future__ import annotations

import json
from typing import Any

from mulleinhatch.configuration.json_reader import MIN_WALKED_BYTES, read_json_steps
from mulleinhatch.steps import Steps

MAX_KEPT = 4  # changes are committed one at a time; a view change may leave some behind


class ParsedBodies:
    """Keeps the values of a few bodies until they are taken."""

    def __init__(self) -> None:
        self._values: dict[bytes, Any] = {}

    def keep(self, body: bytes, value: Any) -> None:
        """Keep the value of a body; a small body is not worth it."""
        if len(body) < MIN_WALKED_BYTES:
            return
        self._values[body] = value
        while len(self._values) > MAX_KEPT:
            del self._values[next(iter(self._values))]

    def read_steps(self, body: bytes) -> Steps[None]:
        """Read a body that is valid JSON, and keep its value."""
        if len(body) >= MIN_WALKED_BYTES and body not in self._values:
            self.keep(body, (yield from read_json_steps(body)))

    def take(self, body: bytes) -> Any:
        """Return the value of a body; one that was not kept is read at once."""
        value = self._values.pop(body, None)
        return json.loads(body) if value is None else value
