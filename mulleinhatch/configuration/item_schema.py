"""The schema of a configuration's items, applied field by field.

Most values stand in many items: timeouts, kinds, traffic splits. `schema` judges each of them once. An item that is not
accepted this way is judged as a whole, which gives the error message.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

from schema import Optional, Schema

MAX_REMEMBERED_VALUES = 4096  # when so many are remembered, all are forgotten
SCALARS = (str, int, float, bool, type(None))


class ItemSchema:
    """The schema of the objects in one list of a configuration.

    Args:
        fields: The schema of each field that has one; other fields may have any value.
        required: Names of the fields that must be present.
        unique: Names of the fields whose values are hardly ever the same in two items: they are not remembered.
    """

    def __init__(self, fields: Mapping[str, Any], required: frozenset[str], unique: frozenset[str]) -> None:
        self._required, self._unique = required, unique
        self._field_schemas = {name: Schema(field) for name, field in fields.items()}
        item = {name if name in required else Optional(name): field for name, field in fields.items()}
        self._schema = Schema({**item, Optional(str): object})
        self._accepted: set[tuple[str, type, Any]] = set()

    def validate(self, item: Any) -> None:
        """Check an item.

        Raises:
            schema.SchemaError: The item does not satisfy the schema.
        """
        if not self._is_accepted_by_fields(item):
            self._schema.validate(item)

    def _is_accepted_by_fields(self, item: Any) -> bool:
        return (
            isinstance(item, dict)
            and self._required <= item.keys()
            and all(isinstance(name, str) and self._is_field_accepted(name, value) for name, value in item.items())
        )

    def _is_field_accepted(self, name: str, value: Any) -> bool:
        field_schema = self._field_schemas.get(name)
        if field_schema is None:
            return True
        if name in self._unique:
            return field_schema.is_valid(value)
        key = name, type(value), value if isinstance(value, SCALARS) else _digest(value)
        if key in self._accepted:
            return True
        if not field_schema.is_valid(value):
            return False
        if len(self._accepted) >= MAX_REMEMBERED_VALUES:
            self._accepted.clear()
        self._accepted.add(key)
        return True


def _digest(value: Any) -> bytes:
    """Return a digest of a JSON array or object; 1, 1.0 and true differ in it."""
    return hashlib.blake2b(repr(value).encode("utf-8", "surrogatepass"), digest_size=16).digest()
