"""Objects built from the items of a list in successive configurations; an item that did not change is not built again."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from immutables import Map

from mulleinhatch.configuration.item_list import EMPTY_ITEMS, Item, item_list_steps
from mulleinhatch.steps import Steps

Built = TypeVar("Built")
BUILT_PER_STEP = 32


@dataclass(frozen=True)
class ItemChanges(Generic[Built]):
    """How the built objects differ from those of the configuration before.

    Attributes:
        by_name: All objects.
        added: The objects of items that are new or were replaced.
        removed: The former objects of items that were replaced or are gone.
    """

    by_name: Map[str, Built]
    added: list[Built]
    removed: list[Built]


class BuiltItems(Generic[Built]):
    """The objects of one list of items, by name. Items are compared by identity: a patch keeps those that it does not change.

    Args:
        build: Makes the object of an item; None leaves the item out.
    """

    def __init__(self, build: Callable[[Item], Built | None]) -> None:
        self._build = build
        self._items = EMPTY_ITEMS
        self._by_name: Map[str, Built] = Map()

    def update_steps(self, items: Sequence[Item]) -> Steps[ItemChanges[Built]]:
        """Follow a new list of items.

        Raises:
            Exception: Whatever `build` raises; the former list stays.
        """
        items = yield from item_list_steps(items)
        by_name = self._by_name.mutate()
        added, removed = [], []
        for number, name in enumerate((yield from items.changed_names_steps(self._items))):
            if number % BUILT_PER_STEP == 0:
                yield
            former = by_name.pop(name, None)
            if former is not None:
                removed.append(former)
            item = items.get(name)
            built = None if item is None else self._build(item)
            if built is not None:
                by_name[name] = built
                added.append(built)
        if added or removed:
            self._by_name = by_name.finish()
        self._items = items
        return ItemChanges(self._by_name, added, removed)
