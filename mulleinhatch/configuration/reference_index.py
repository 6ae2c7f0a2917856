"""Check what a patch changes against an index of the configuration in force, instead of checking the whole result.

The index says who has an address, an API key or a service. A patch is valid if its own items refer to what is there
afterwards, and nothing else refers to what it removes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from mulleinhatch.configuration.document import PATCH_KINDS, Document, patch_lists
from mulleinhatch.configuration.item_list import EMPTY_ITEMS, Item, ItemList, item_list_steps
from mulleinhatch.configuration.tenants import TENANTS, api_keys_of, check_shared_keys, shared_key_error
from mulleinhatch.configuration.validation import (
    ITEMS_PER_STEP,
    check_route_services,
    route_address,
    shared_address_error,
    weighted_services,
)
from mulleinhatch.errors import ConfigurationError
from mulleinhatch.steps import Steps, release_steps

Address = tuple[str, str]


@dataclass(frozen=True)
class _ListPatch:
    """What a patch does to one list.

    Attributes:
        upserted: The items that it adds or replaces, by name.
        changed: Names of the items in force that it replaces or removes.
    """

    upserted: Mapping[str, Item]
    changed: Set[str]

    def removed(self) -> Iterable[str]:
        """Return the names of the items that are gone afterwards."""
        return self.changed - self.upserted.keys()


class _NamesAfter(Container[str]):
    """The names of a list after a patch."""

    def __init__(self, items: ItemList, patch: _ListPatch) -> None:
        self._items, self._patch = items, patch

    def __contains__(self, name: object) -> bool:
        return name in self._patch.upserted or (self._items.has_name(name) and name not in self._patch.changed)


class ReferenceIndex:
    """Follows the configuration in force."""

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self._document: Document | None = None
        self._lists: dict[str, ItemList] = dict.fromkeys(PATCH_KINDS, EMPTY_ITEMS)
        self._addresses: dict[Address, str] = {}  # the name of the route at each address
        self._service_uses: Counter[str] = Counter()  # how often routes name a service
        self._key_owners: dict[str, str] = {}  # the name of the tenant of each key

    def follow_steps(self, document: Document) -> Steps[None]:
        """Bring the index up to date with a valid configuration."""
        if document is self._document:
            return
        if self._document is None:  # not used before, or interrupted
            self._clear()
        self._document = None  # until all parts are up to date
        for kind in PATCH_KINDS:
            former = self._lists[kind]
            items = yield from item_list_steps(document.value.get(kind, EMPTY_ITEMS))
            replaced: list[Item | None] = []
            for number, name in enumerate((yield from items.changed_names_steps(former))):
                if number % ITEMS_PER_STEP == 0:
                    yield
                replaced.append(former.get(name))
                self._replace(kind, replaced[-1], items.get(name))
            self._lists[kind] = items
            del former
            yield from release_steps(replaced)
        self._document = document

    def _replace(self, kind: str, former: Item | None, item: Item | None) -> None:
        if former is not None:
            self._forget(kind, former)
        if item is not None:
            self._record(kind, item)

    def _forget(self, kind: str, item: Item) -> None:
        if kind == "routes":
            if self._addresses.get(route_address(item)) == item["name"]:
                del self._addresses[route_address(item)]
            self._service_uses.subtract(service for service, _ in weighted_services(item))
        elif kind == TENANTS:
            for key in api_keys_of(item):
                if self._key_owners.get(key) == item["name"]:
                    del self._key_owners[key]

    def _record(self, kind: str, item: Item) -> None:
        if kind == "routes":
            self._addresses[route_address(item)] = item["name"]
            self._service_uses.update(service for service, _ in weighted_services(item))
        elif kind == TENANTS:
            for key in api_keys_of(item):
                self._key_owners[key] = item["name"]

    def check_patch_steps(self, patch: Mapping[str, Any]) -> Steps[Result[None, ConfigurationError]]:
        """Check the references of a patch of the configuration in force, whose items are valid each by itself."""
        routes = yield from self._list_patch_steps(patch, "routes")
        services = yield from self._list_patch_steps(patch, "services")
        tenants = yield from self._list_patch_steps(patch, TENANTS)
        checks = (
            self._check_routes(routes, _NamesAfter(self._lists["services"], services)),
            self._check_removed_services(routes, services),
            self._check_keys(tenants),
        )
        for check in checks:
            if isinstance(checked := (yield from check), Err):
                return checked
        return Ok(None)

    def _list_patch_steps(self, patch: Mapping[str, Any], kind: str) -> Steps[_ListPatch]:
        upsert, remove = patch_lists(patch, kind)
        in_force = self._lists[kind]
        upserted, changed = {}, set()
        for number, item in enumerate(upsert):
            if number % ITEMS_PER_STEP == ITEMS_PER_STEP - 1:
                yield
            upserted[item["name"]] = item
            if in_force.has_name(item["name"]):
                changed.add(item["name"])
        yield
        changed.update(filter(in_force.has_name, remove))
        return _ListPatch(upserted, changed)

    def _check_routes(self, routes: _ListPatch, services: Container[str]) -> Steps[Result[None, ConfigurationError]]:
        taken: set[Address] = set()
        for number, route in enumerate(routes.upserted.values()):
            if number % ITEMS_PER_STEP == 0:
                yield
            if isinstance(checked := check_route_services(route, services), Err):
                return checked
            address = route_address(route)
            owner = self._addresses.get(address)
            if address in taken or (owner is not None and owner not in routes.changed):
                return shared_address_error(route)
            taken.add(address)
        return Ok(None)

    def _check_removed_services(self, routes: _ListPatch, services: _ListPatch) -> Steps[Result[None, ConfigurationError]]:
        removed = set(services.removed())
        if not removed:
            return Ok(None)
        uses = {service: self._service_uses[service] for service in removed}
        for number, name in enumerate(routes.changed):
            if number % ITEMS_PER_STEP == 0:
                yield
            for service, _ in weighted_services(self._lists["routes"].get(name) or {}):
                if service in uses:
                    uses[service] -= 1
        if not any(count > 0 for count in uses.values()):
            return Ok(None)
        return (yield from self._find_unknown_service(routes, _NamesAfter(self._lists["services"], services)))

    def _find_unknown_service(self, routes: _ListPatch, remaining: Container[str]) -> Steps[Result[None, ConfigurationError]]:
        for number, route in enumerate(self._lists["routes"]):
            if number % ITEMS_PER_STEP == 0:
                yield
            if route["name"] not in routes.changed and isinstance(checked := check_route_services(route, remaining), Err):
                return checked
        return Ok(None)

    def _check_keys(self, tenants: _ListPatch) -> Steps[Result[None, ConfigurationError]]:
        changed: Sequence[Item] = list(tenants.upserted.values())
        if isinstance(checked := (yield from check_shared_keys(changed)), Err):
            return checked
        for number, item in enumerate(changed):
            if number % ITEMS_PER_STEP == 0:
                yield
            for key in item["api_keys"]:
                owner = self._key_owners.get(key)
                if owner is not None and owner not in tenants.changed:
                    return shared_key_error(owner, item["name"])
        return Ok(None)
