"""Read a large JSON text in steps: the outer objects and arrays are walked, each item in them is read by the JSON library.

The values and the verdicts are those of `json.loads`.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from json import JSONDecodeError
from json.decoder import JSONDecoder, scanstring
from typing import Any

from mulleinhatch.steps import Steps

ITEMS_PER_STEP = 32
MIN_WALKED_BYTES = 1 << 14  # a shorter text is read at once
MAX_WALKED_DEPTH = 4  # list of patches, patch, `upsert`, list of items
WHITESPACE = re.compile(r"[ \t\n\r]*")
Pairs = list[tuple[str, Any]]
ObjectHook = Callable[[Pairs], dict[str, Any]] | None


def read_json_steps(body: bytes, object_hook: ObjectHook = None) -> Steps[Any]:
    """Return the value of a JSON text.

    Args:
        body: The text, in UTF-8, UTF-16 or UTF-32.
        object_hook: Makes an object of its pairs; None for the last value of each key.

    Raises:
        ValueError: It is no JSON, or the hook refused an object.
        RecursionError: It is nested too deeply.
    """
    if len(body) < MIN_WALKED_BYTES:
        return json.loads(body, object_pairs_hook=object_hook)
    text = body.decode(json.detect_encoding(body), "surrogatepass")
    yield
    if text.startswith("\ufeff"):
        raise JSONDecodeError("Unexpected UTF-8 BOM (decode using utf-8-sig)", text, 0)
    return (yield from _Reader(text, object_hook).read())


class _Reader:
    """Walks one text; positions are indexes of its characters."""

    def __init__(self, text: str, object_hook: ObjectHook) -> None:
        self._text, self._make_object = text, object_hook or dict
        self._scan = JSONDecoder(object_pairs_hook=object_hook).scan_once
        self._position = 0
        self._items = 0

    def read(self) -> Steps[Any]:
        value = yield from self._value(0)
        self._skip_whitespace()
        if self._position != len(self._text):
            raise JSONDecodeError("Extra data", self._text, self._position)
        return value

    def _value(self, depth: int) -> Steps[Any]:
        self._skip_whitespace()
        start = self._text[self._position : self._position + 1]
        if start == "{" and depth < MAX_WALKED_DEPTH:
            return (yield from self._object(depth))
        if start == "[" and depth < MAX_WALKED_DEPTH:
            return (yield from self._array(depth))
        return self._whole_value()

    def _whole_value(self) -> Any:
        try:
            value, self._position = self._scan(self._text, self._position)
        except StopIteration as end:
            raise JSONDecodeError("Expecting value", self._text, end.value) from None
        return value

    def _object(self, depth: int) -> Steps[dict[str, Any]]:
        pairs: Pairs = []
        self._position += 1
        if self._is_next("}"):
            return self._make_object(pairs)
        while True:
            if not self._is_next('"'):
                raise self._error("Expecting property name enclosed in double quotes")
            key, self._position = scanstring(self._text, self._position, True)
            if not self._is_next(":"):
                raise self._error("Expecting ':' delimiter")
            pairs.append((key, (yield from self._value(depth + 1))))
            if self._is_next("}"):
                return self._make_object(pairs)
            if not self._is_next(","):
                raise self._error("Expecting ',' delimiter")

    def _array(self, depth: int) -> Steps[list[Any]]:
        """Read an array. Only the outermost one holds objects to be walked: a list of patches."""
        items: list[Any] = []
        self._position += 1
        if self._is_next("]"):
            return items
        while True:
            if depth:
                self._skip_whitespace()
                items.append(self._whole_value())
            else:
                items.append((yield from self._value(1)))
            self._items += 1
            if self._items % ITEMS_PER_STEP == 0:
                yield
            if self._is_next("]"):
                return items
            if not self._is_next(","):
                raise self._error("Expecting ',' delimiter")

    def _is_next(self, character: str) -> bool:
        """Return whether a character follows, after whitespace; if so, go past it."""
        self._skip_whitespace()
        if not self._text.startswith(character, self._position):
            return False
        self._position += 1
        return True

    def _skip_whitespace(self) -> None:
        self._position = WHITESPACE.match(self._text, self._position).end()

    def _error(self, message: str) -> JSONDecodeError:
        return JSONDecodeError(message, self._text, self._position)
