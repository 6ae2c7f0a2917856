"""The operator's configuration as an immutable document: reading, patching, digests.

Errors are `ConfigurationError` in a `Result`; the message names the item, the key and the remedy. What takes long is offered as
`Steps`, for an event loop, and at once.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from mulleinhatch.configuration.encoding import json_chunks
from mulleinhatch.configuration.item_list import EMPTY_ITEMS, ITEMS_PER_STEP, Item, ItemList, item_list_steps
from mulleinhatch.configuration.json_reader import read_json_steps
from mulleinhatch.configuration.tenants import TENANTS, check_shared_keys, check_tenants
from mulleinhatch.configuration.validation import (
    ITEM_KINDS,
    check_items,
    check_limits,
    check_proposed_version,
    check_references,
    check_version,
)
from mulleinhatch.errors import ConfigurationError
from mulleinhatch.steps import Steps, complete


@dataclass(frozen=True)
class Document:
    """A complete configuration that passed all checks.

    Attributes:
        version: The version; 0 before the first configuration.
        value: The JSON object, its lists of items as `ItemList`. It must not be modified. It holds the tenants' keys, so `repr`
            leaves it out.
    """

    version: int
    value: Mapping[str, Any] = field(repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "value", complete(with_item_lists_steps(self.value)))

    def to_json(self) -> bytes:
        """Return the configuration as compact JSON."""
        return b"".join(json_chunks(self.value))


PATCH_KINDS = (*ITEM_KINDS, TENANTS)


def with_item_lists_steps(value: Any) -> Steps[Any]:
    """Return a configuration with its lists of items as `ItemList`, the same object if they are or if it is no object.

    A list whose items can't be told apart by a name stays as it is: an earlier version accepted any tenants.
    """
    lists: dict[str, ItemList] = {}
    if not isinstance(value, Mapping):
        return value
    for kind in PATCH_KINDS:
        items = value.get(kind)
        if not isinstance(items, list):
            continue
        try:
            lists[kind] = yield from item_list_steps(items)
        except (KeyError, TypeError):
            continue
    return {**value, **lists} if lists else value


EMPTY = Document(0, {"version": 0, "routes": [], "services": []})


def change_digest(method: str, body: bytes) -> str:
    """Return the digest that identifies a change when it is sent again."""
    return hashlib.sha256(method.encode() + b" " + body).hexdigest()[:32]


def read_json(body: bytes) -> Result[dict[str, Any], ConfigurationError]:
    """Parse a JSON object at once; see `read_object_steps`."""
    return complete(read_object_steps(body))


def read_object_steps(body: bytes) -> Steps[Result[dict[str, Any], ConfigurationError]]:
    """Parse a JSON object; a key that occurs twice in an object is an error."""
    try:
        value = yield from read_json_steps(body, _reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        return Err(ConfigurationError(f"the body is no JSON that can be read whole ({error}); send it again complete"))
    if not isinstance(value, dict):
        return Err(ConfigurationError("the body must be one JSON object"))
    return Ok(value)


def read_complete(value: dict[str, Any], current: int) -> Result[Document, ConfigurationError]:
    """Validate a complete configuration at once; see `read_complete_steps`."""
    return complete(read_complete_steps(value, current))


def read_complete_steps(value: dict[str, Any], current: int) -> Steps[Result[Document, ConfigurationError]]:
    """Validate a complete configuration.

    Args:
        value: The JSON object.
        current: The version that it replaces; the new version must be higher.
    """
    if isinstance(version := check_proposed_version(value, current), Err):
        return version
    if isinstance(limits := check_limits(value), Err):
        return limits
    with_lists = _with_all_lists(value)
    if not all(isinstance(with_lists[kind], list) for kind in ITEM_KINDS):
        return Err(ConfigurationError("routes and services must be lists"))
    for kind in ITEM_KINDS:
        if isinstance(items := (yield from check_items(kind, with_lists[kind])), Err):
            return items
    if isinstance(tenants := (yield from _check_all_tenants(value)), Err):
        return tenants
    if isinstance(references := (yield from check_references(with_lists)), Err):
        return references
    return Ok(Document(version.ok_value, (yield from with_item_lists_steps(with_lists))))


def accept_complete(value: dict[str, Any], current: int) -> Result[Document, ConfigurationError]:
    """Return a complete configuration that was validated when it was proposed; only its version is checked again."""
    if isinstance(version := check_version(value, current), Err):
        return version
    return Ok(Document(version.ok_value, _with_all_lists(value)))


def check_patch_steps(document: Document, value: dict[str, Any]) -> Steps[Result[Document, ConfigurationError]]:
    """Validate a patch except for its references, and return the configuration after it.

    Args:
        document: The current configuration; it is not modified.
        value: The patch. `upsert` adds or replaces items by name, `remove` drops names, `limits` replaces the limits.
    """
    if isinstance(version := check_proposed_version(value, document.version), Err):
        return version
    if isinstance(upsert := _check_patch_lists(value, "upsert"), Err):
        return upsert
    if isinstance(remove := _check_patch_lists(value, "remove"), Err):
        return remove
    for kind, items in upsert.ok_value.items():
        check = check_tenants(items) if kind == TENANTS else check_items(kind, items)
        if isinstance(checked := (yield from check), Err):
            return checked
    if isinstance(limits := check_limits(value), Err):
        return limits
    return Ok((yield from _patched_steps(document, value, version.ok_value)))


def patch_lists(value: Mapping[str, Any], kind: str) -> tuple[Sequence[dict[str, Any]], Sequence[str]]:
    """Return the items that a patch adds or replaces in one list, and the names that it removes from it."""
    return value.get("upsert", {}).get(kind, ()), value.get("remove", {}).get(kind, ())


def accept_patch(document: Document, value: dict[str, Any]) -> Result[Document, ConfigurationError]:
    """Return the configuration after a patch at once; see `accept_patch_steps`."""
    return complete(accept_patch_steps(document, value))


def accept_patch_steps(document: Document, value: dict[str, Any]) -> Steps[Result[Document, ConfigurationError]]:
    """Return the configuration after a patch that was validated when it was proposed.

    Validating by the schema again would cost every replica and every data plane a third of a millisecond per item.

    Args:
        document: The configuration that the patch was validated against; it is not modified.
        value: The patch, as for `check_patch_steps`.
    """
    if isinstance(version := check_version(value, document.version), Err):
        return version
    return Ok((yield from _patched_steps(document, value, version.ok_value)))


def replaced_items_steps(former: Document, document: Document) -> Steps[list[Item]]:
    """Return the items of a former configuration that another one no longer has, in any order.

    Whoever replaces a large configuration holds them, and drops them in steps once the former one is gone.
    """
    replaced: list[Item] = []
    for kind in PATCH_KINDS:
        items, former_items = document.value.get(kind, EMPTY_ITEMS), former.value.get(kind, EMPTY_ITEMS)
        if not isinstance(items, ItemList) or not isinstance(former_items, ItemList):
            continue
        for number, name in enumerate((yield from items.changed_names_steps(former_items))):
            if number % ITEMS_PER_STEP == ITEMS_PER_STEP - 1:
                yield
            if former_items.has_name(name):
                replaced.append(former_items.get(name))
    return replaced


def _with_all_lists(value: Mapping[str, Any]) -> dict[str, Any]:
    return {**value, **{kind: value.get(kind, []) for kind in ITEM_KINDS}}


def _patched_steps(document: Document, value: Mapping[str, Any], version: int) -> Steps[Document]:
    lists = {}
    for kind in PATCH_KINDS:
        upsert, remove = patch_lists(value, kind)
        if upsert or remove:  # otherwise the list stays the same object, or absent
            items = yield from item_list_steps(document.value.get(kind, EMPTY_ITEMS))
            lists[kind] = yield from items.patched_steps(upsert, remove)
    patched = {**document.value, **lists, "version": version}
    if "limits" in value:
        patched["limits"] = value["limits"]
    return Document(version, patched)


def _check_all_tenants(value: Mapping[str, Any]) -> Steps[Result[None, ConfigurationError]]:
    if TENANTS not in value:
        return Ok(None)
    if isinstance(checked := (yield from check_tenants(value[TENANTS])), Err):
        return checked
    return (yield from check_shared_keys(value[TENANTS]))


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("a key stands twice in one object")
    return value


def _check_patch_lists(value: Mapping[str, Any], key: str) -> Result[dict[str, list[Any]], ConfigurationError]:
    lists = value.get(key, {})
    if not isinstance(lists, dict) or not all(kind in PATCH_KINDS and isinstance(items, list) for kind, items in lists.items()):
        return Err(ConfigurationError(f"{key} must hold lists under routes, services and tenants"))
    if key == "remove" and not all(isinstance(name, str) for names in lists.values() for name in names):
        return Err(ConfigurationError("remove must hold lists of names"))
    return Ok(lists)
