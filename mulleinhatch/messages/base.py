"""The base class of the internal messages: betterproto's, with what depends on the class alone computed once.

betterproto 1 looks up the type hints of a class again for each of its fields, and each field's default again for each message.
The encoding and the parser are betterproto's own; `tests/system/test_message_base.py` compares both base classes.
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
    """Return the name of each field with what makes its default value.

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


class Message(betterproto.Message):
    """A protobuf message without one-of groups."""

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
