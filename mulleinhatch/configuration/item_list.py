"""Immutable lists of configuration items with unique names, in order. A list shares what did not change with the one before.

A change of a few items costs the same however many there are: the items are kept in chunks, found by a persistent hash map,
and a list remembers what the last changes before it were.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import Any

from immutables import Map

from mulleinhatch.steps import Steps, complete

Item = Mapping[str, Any]
ITEMS_PER_CHUNK = 64
ITEMS_PER_STEP = 256
MAX_RECENT_CHANGES = 64  # as many as a replica or a data plane may be behind
MAX_RECENT_NAMES = 8192  # beyond this, comparing two lists costs less than the memory


class ItemList(Sequence[Item]):
    """Items with unique names, in order. `ItemList()` is empty; `item_list_steps` makes one of other items."""

    __slots__ = ("_chunk_numbers", "_chunks", "_entries", "_identity", "_recent_changes")

    def __init__(
        self,
        chunk_numbers: tuple[int, ...] = (),
        chunks: tuple[tuple[Item, ...], ...] = (),
        entries: Map[str, tuple[int, Item]] = Map(),  # noqa: B008 (immutable)
        recent_changes: tuple[tuple[object, tuple[str, ...]], ...] = (),
    ) -> None:
        self._chunk_numbers, self._chunks = chunk_numbers, chunks  # ascending numbers, and the chunks that have them
        self._entries = entries  # by name: the number of the item's chunk, and the item
        self._identity = object()
        self._recent_changes = recent_changes  # identities of former lists, oldest first, with the names changed after each

    # Reading.

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Item]:
        for chunk in self._chunks:
            yield from chunk

    def __getitem__(self, index: Any) -> Any:
        return list(self)[index]

    def __contains__(self, item: object) -> bool:
        return any(item == other for other in self)

    def __eq__(self, other: object) -> bool:
        return list(self) == list(other) if isinstance(other, (ItemList, list, tuple)) else NotImplemented

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        return f"ItemList({len(self)} items)"

    def get(self, name: str) -> Item | None:
        """Return the item of a name, or None."""
        entry = self._entries.get(name)
        return None if entry is None else entry[1]

    def has_name(self, name: object) -> bool:
        """Return whether an item has a name."""
        return name in self._entries

    def chunks(self) -> Iterator[Sequence[Item]]:
        """Yield the items in chunks of at most `ITEMS_PER_CHUNK`."""
        return iter(self._chunks)

    # Changing.

    def patched_steps(self, upsert: Sequence[Item], remove: Iterable[str] = ()) -> Steps[ItemList]:
        """Return the list without the removed names, then with added and replaced items.

        A replaced item keeps its place; others are appended. Of two items with the same name, the later one counts.

        Raises:
            KeyError, TypeError: An item is not a mapping, has no name, or its name is not hashable.
        """
        change = _ListChange(self._entries)
        for number, name in enumerate(remove):
            if number % ITEMS_PER_STEP == ITEMS_PER_STEP - 1:
                yield
            change.remove(name)
        for number, item in enumerate(upsert):
            if number % ITEMS_PER_STEP == ITEMS_PER_STEP - 1:
                yield
            change.upsert(item)
        chunk_numbers, chunks = list(self._chunk_numbers), list(self._chunks)
        for number, (chunk_number, replacements) in enumerate(change.replacements.items()):
            if number % ITEMS_PER_STEP == ITEMS_PER_STEP - 1:
                yield
            position = bisect_left(chunk_numbers, chunk_number)
            chunks[position] = _changed_chunk(chunks[position], replacements)
        if change.removes:
            chunk_numbers = [number for number, chunk in zip(chunk_numbers, chunks) if chunk]
            chunks = [chunk for chunk in chunks if chunk]
        yield from _append_steps(change, chunk_numbers, chunks)
        recent_changes = _bounded((*self._recent_changes, (self._identity, tuple(change.names))))
        return ItemList(tuple(chunk_numbers), tuple(chunks), change.entries.finish(), recent_changes)

    def patched(self, upsert: Sequence[Item], remove: Iterable[str] = ()) -> ItemList:
        """Return the list after a change at once; see `patched_steps`."""
        return complete(self.patched_steps(upsert, remove))

    # Comparing.

    def changed_names_steps(self, former: ItemList) -> Steps[Collection[str]]:
        """Return the names whose items differ from those of a former list by identity: added, replaced or removed.

        An item that was replaced and put back since may be among them.
        """
        if former is self:
            return ()
        for position, (identity, _) in enumerate(self._recent_changes):
            if identity is former._identity:
                return (yield from _union_steps([names for _, names in self._recent_changes[position:]]))
        return (yield from self._compared_steps(former))

    def _compared_steps(self, former: ItemList) -> Steps[Collection[str]]:
        shared = {id(chunk) for chunk in self._chunks} & {id(chunk) for chunk in former._chunks}
        names: dict[str, None] = {}
        for first, second in ((self, former), (former, self)):
            for chunk in first._chunks:
                if id(chunk) in shared:
                    continue
                yield
                names.update((item["name"], None) for item in chunk if second.get(item["name"]) is not item)
        return names


class _ListChange:
    """Collects a change of a list.

    Attributes:
        entries: The list's entries, being changed; those of appended items have no chunk number yet.
        replacements: By chunk number: the new items by name, None for a removed one.
        appended: The appended items by name, in order.
        names: The names that were changed.
        removes: Whether an item was removed.
    """

    def __init__(self, entries: Map[str, tuple[int, Item]]) -> None:
        self.entries = entries.mutate()
        self.replacements: dict[int, dict[str, Item | None]] = {}
        self.appended: dict[str, Item] = {}
        self.names: dict[str, None] = {}  # in the order of the change
        self.removes = False

    def remove(self, name: str) -> None:
        """Remove the item of a name, if there is one."""
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.names[name] = None
            self.removes = True
            self.replacements.setdefault(entry[0], {})[name] = None

    def upsert(self, item: Item) -> None:
        """Replace the item of the same name, or append the item."""
        name = item["name"]
        entry = self.entries.get(name)
        self.names[name] = None
        if entry is None:
            self.appended[name] = item
        else:
            self.replacements.setdefault(entry[0], {})[name] = item
            self.entries[name] = (entry[0], item)


def _changed_chunk(chunk: Sequence[Item], replacements: Mapping[str, Item | None]) -> tuple[Item, ...]:
    changed = (replacements.get(item["name"], item) for item in chunk)
    return tuple(item for item in changed if item is not None)


def _append_steps(change: _ListChange, chunk_numbers: list[int], chunks: list[tuple[Item, ...]]) -> Steps[None]:
    """Append items, at first to the last chunk while it has room."""
    appended = list(change.appended.values())
    start = 0
    while start < len(appended):
        if not chunks or len(chunks[-1]) >= ITEMS_PER_CHUNK:
            chunk_numbers.append(chunk_numbers[-1] + 1 if chunk_numbers else 0)
            chunks.append(())
        room = ITEMS_PER_CHUNK - len(chunks[-1])
        added = appended[start : start + room]
        chunks[-1] = (*chunks[-1], *added)
        for item in added:
            change.entries[item["name"]] = (chunk_numbers[-1], item)
        start += room
        yield


def _union_steps(changes: Sequence[Collection[str]]) -> Steps[Collection[str]]:
    if len(changes) == 1:
        return changes[0]
    names: dict[str, None] = {}
    for changed in changes:
        yield
        names.update(dict.fromkeys(changed))
    return names


def _bounded(recent_changes: Sequence[tuple[object, tuple[str, ...]]]) -> tuple[tuple[object, tuple[str, ...]], ...]:
    """Return the newest changes that fit within the bounds."""
    kept, names = 0, 0
    for _, changed in reversed(recent_changes[-MAX_RECENT_CHANGES:]):
        names += len(changed)
        if names > MAX_RECENT_NAMES:
            break
        kept += 1
    return tuple(recent_changes[len(recent_changes) - kept :])


EMPTY_ITEMS = ItemList()


def item_list_steps(items: Sequence[Item]) -> Steps[ItemList]:
    """Return items as an `ItemList`, the same object if they are one.

    Raises:
        KeyError, TypeError: As `ItemList.patched_steps`.
    """
    if isinstance(items, ItemList):
        return items
    return (yield from EMPTY_ITEMS.patched_steps(items)) if items else EMPTY_ITEMS
