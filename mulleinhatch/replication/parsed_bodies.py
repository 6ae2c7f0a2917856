"""Values of large JSON bodies that were read in steps before they are needed at once."""

from __future__ import annotations

import json
from typing import Any

from mulleinhatch.configuration.document import with_item_lists_steps
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
        """Read a body that is a valid JSON object, and keep its value; its lists of items are `ItemList`."""
        if len(body) >= MIN_WALKED_BYTES and body not in self._values:
            value = yield from read_json_steps(body)
            self.keep(body, (yield from with_item_lists_steps(value)))

    def get(self, body: bytes) -> Any:
        """Return the value of a body, None for one that was not kept; it stays kept."""
        return self._values.get(body)

    def discard(self, body: bytes) -> None:
        """Forget the value of a body."""
        self._values.pop(body, None)

    def take(self, body: bytes) -> Any:
        """Return the value of a body; one that was not kept is read at once."""
        value = self._values.pop(body, None)
        return json.loads(body) if value is None else value
