"""The base class of the internal messages: betterproto's, with per-class values computed only once.

betterproto 1 computes the type hints of a class anew for each of its fields, and each field's default anew for each message.
Encoding and parsing are those of betterproto; `tests/system/test_message_base.py` compares both base classes.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Callable
from functools import cache
from typing import Any

import betterproto


@cache
def _type_hints(message_type: type[Message]) -> dict[str, Any]:
    return typing.get_type_hints(message_type)


@cache
def _default_factories(message_type: type[Message]) -> tuple[tuple[str, Callable[[], Any]], ...]:
    """Return the name of each field and the factory of its default value.

    Raises:
        TypeError: The message has a one-of group, which this base class does not track.
    """
    factories = []
    for field in dataclasses.fields(message_type):
        metadata = betterproto.FieldMetadata.get(field)
        if metadata.group:
            raise TypeError(f"{message_type.__name__}.{field.name} is part of a one-of group")
        factories.append((field.name, message_type._get_field_default_gen(field, metadata)))
    return tuple(factories)


def _repr_without_bytes(value: Any) -> str:
    """Return the `repr` of a field's value, with the length of bytes instead of their content.

    >>> _repr_without_bytes([b"abc"]), _repr_without_bytes("abc")
    ('[<3 bytes>]', "'abc'")
    """
    if isinstance(value, list):
        return f"[{', '.join(map(_repr_without_bytes, value))}]"
    return f"<{len(value)} bytes>" if isinstance(value, bytes) else repr(value)


class Message(betterproto.Message):
    """A protobuf message without one-of groups. Its `repr` omits bytes, which may contain a configuration with API keys."""

    def __init_subclass__(cls, **options: Any) -> None:
        """Set `__repr__` on each message class; otherwise `dataclass` would generate one that shows all values."""
        super().__init_subclass__(**options)
        cls.__repr__ = Message.__repr__

    def __repr__(self) -> str:
        shown = (f"{field.name}={_repr_without_bytes(getattr(self, field.name))}" for field in dataclasses.fields(self))
        return f"{type(self).__qualname__}({', '.join(shown)})"

    @classmethod
    def _type_hint(cls, field_name: str) -> Any:
        return _type_hints(cls)[field_name]

    def __post_init__(self) -> None:
        values = self.__dict__
        is_default = True
        for name, make_default in _default_factories(type(self)):
            if values[name] is betterproto.PLACEHOLDER:
                values[name] = make_default()
            else:
                is_default = False
        values["_serialized_on_wire"] = not is_default
        values["_unknown_fields"] = b""
        values["_group_map"] = {}

    def __setattr__(self, name: str, value: Any) -> None:
        values = self.__dict__
        values[name] = value
        if name != "_serialized_on_wire":
            values["_serialized_on_wire"] = True
