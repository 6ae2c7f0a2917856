"""Objects built from the items of a list in successive configurations; an item that did not change is not built again."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from mulleinhatch.steps import Steps

Item = Mapping[str, Any]
Built = TypeVar("Built")
COMPARED_PER_STEP = 1024
BUILT_PER_STEP = 32


@dataclass(frozen=True)
class ItemChanges(Generic[Built]):
    """How the built objects differ from those of the configuration before.

    Attributes:
        by_name: All objects.
        added: The objects of items that are new or were replaced.
        removed: The former objects of items that were replaced or are gone.
    """

    by_name: Mapping[str, Built]
    added: list[Built]
    removed: list[Built]


class BuiltItems(Generic[Built]):
    """The objects of one list of items, by name. Items are compared by identity: a patch keeps those that it does not change.

    Args:
        build: Makes the object of an item.
    """

    def __init__(self, build: Callable[[Item], Built]) -> None:
        self._build = build
        self._list: Sequence[Item] = ()
        self._items: dict[str, Item] = {}
        self._by_name: dict[str, Built] = {}

    def update_steps(self, items: Sequence[Item]) -> Steps[ItemChanges[Built]]:
        """Follow a new list of items.

        Raises:
            Exception: Whatever `build` raises; the former list stays.
        """
        if items is self._list:
            return ItemChanges(self._by_name, [], [])
        changed = yield from self._changed_items(items)
        gone = yield from self._gone_names(items, changed)
        known, by_name = dict(self._items), dict(self._by_name)
        removed = [by_name[name] for name in (*gone, *(item["name"] for item in changed)) if name in by_name]
        for name in gone:
            del known[name], by_name[name]
        added = []
        for number, item in enumerate(changed):
            if number % BUILT_PER_STEP == 0:
                yield
            name = item["name"]
            known[name] = item
            by_name[name] = built = self._build(item)
            added.append(built)
        self._list, self._items, self._by_name = items, known, by_name
        return ItemChanges(by_name, added, removed)

    def _changed_items(self, items: Sequence[Item]) -> Steps[list[Item]]:
        changed: list[Item] = []
        known = self._items
        for start in range(0, len(items), COMPARED_PER_STEP):
            yield
            changed += [item for item in items[start : start + COMPARED_PER_STEP] if known.get(item["name"]) is not item]
        return changed

    def _gone_names(self, items: Sequence[Item], changed: Sequence[Item]) -> Steps[set[str]]:
        new_count = sum(item["name"] not in self._items for item in changed)
        if len(items) == len(self._items) + new_count:
            return set()
        names: set[str] = set()
        for start in range(0, len(items), COMPARED_PER_STEP):
            yield
            names.update(item["name"] for item in items[start : start + COMPARED_PER_STEP])
        return self._items.keys() - names
