"""Tenants in a configuration: their validation, and the table by which a data plane recognises their keys.

No message contains a value of a tenant except its name: a key may be in the wrong field.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from immutables import Map
from result import Err, Ok, Result

from mulleinhatch.configuration.built_items import BuiltItems, ItemChanges
from mulleinhatch.configuration.validation import ITEMS_PER_STEP, is_number
from mulleinhatch.configuration.value_counts import ValueCounts
from mulleinhatch.errors import ConfigurationError
from mulleinhatch.steps import Steps, complete
from mulleinhatch.tenants.api_keys import KeyDigester, Secret
from mulleinhatch.tenants.tenant import QuotaLimit, QuotaUnit, Tenant
from mulleinhatch.tenants.tenant_table import NO_TENANTS, TenantTable

TENANTS = "tenants"  # the key of a configuration
UNITS = {None: QuotaUnit.REQUESTS, QuotaUnit.REQUESTS.value: QuotaUnit.REQUESTS, QuotaUnit.TOKENS.value: QuotaUnit.TOKENS}
NUMBER_KEYS = ("rate_per_s", "burst", "plain_tokens", "priority")
REMEDY = "correct it and send the change again"


def tenants_of(value: Mapping[str, Any]) -> Sequence[dict[str, Any]]:
    """Return the tenants of a configuration; one written before tenants existed has none."""
    return value.get(TENANTS, ())


def api_keys_of(item: Mapping[str, Any]) -> Sequence[str]:
    """Return the keys of a tenant in an accepted configuration; an invalid tenant, see `TenantBuilder`, has none."""
    return () if _find_error(item) else item["api_keys"]


def check_tenants(items: Any) -> Steps[Result[None, ConfigurationError]]:
    """Check tenants one by one: names, keys and numbers."""
    if not isinstance(items, list):
        return Err(ConfigurationError(f"tenants must be a list; {REMEDY}"))
    names: set[str] = set()
    for number, item in enumerate(items, 1):
        if number % ITEMS_PER_STEP == 0:
            yield
        fault = _find_error(item)
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            return Err(ConfigurationError(f"tenants: item {number}: {fault}; {REMEDY}"))
        if not fault and name in names:
            fault = "name occurs twice; give each tenant its own"
        if fault:
            return Err(ConfigurationError(f"tenants: item {name!r}: {fault}; {REMEDY}"))
        names.add(name)
    return Ok(None)


def _find_error(item: Any) -> str:
    """Return what is wrong with a tenant regardless of the others, empty for a valid one."""
    if not isinstance(item, dict):
        return "a tenant must be an object"
    name = item.get("name")
    if not isinstance(name, str) or not name or not name.isprintable():  # it is sent in a header field
        return "name must be a text of printable characters that is not empty"
    keys = item.get("api_keys")
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        return "api_keys must be a list of texts that are not empty"
    unit = item.get("unit")
    if not (unit is None or isinstance(unit, str)) or unit not in UNITS:
        return "unit must be token_count, or be left out where requests are counted"
    for number_key in NUMBER_KEYS:
        if not _is_optional_amount(item.get(number_key)):
            return f"{number_key} must be a finite number, 0 or more"
    return ""


def _is_optional_amount(value: Any) -> bool:
    return value is None or (is_number(value) and value >= 0)


def check_shared_keys(items: Iterable[Mapping[str, Any]]) -> Steps[Result[None, ConfigurationError]]:
    """Check that no two tenants of a complete configuration share a key."""
    owners: dict[str, str] = {}
    for number, item in enumerate(items):
        if number % ITEMS_PER_STEP == 0:
            yield
        name = item["name"]
        for key in item["api_keys"]:
            if owners.setdefault(key, name) != name:
                return shared_key_error(owners[key], name)
    return Ok(None)


def shared_key_error(first: str, second: str) -> Err[ConfigurationError]:
    """Return the error of two tenants that share a key; it does not contain the key."""
    return Err(ConfigurationError(f"tenants: {first!r} and {second!r} share a key in api_keys; a key belongs to one tenant"))


@dataclass(frozen=True, slots=True)
class _Record:
    """A built tenant. `repr` does not show the digests of its keys."""

    tenant: Tenant
    digests: tuple[bytes, ...] = field(repr=False)


class TenantTableBuilder:
    """Builds the tables of successive configurations, and computes digests only for tenants that have changed.

    Args:
        digester: Computes the digests of keys.

    Attributes:
        replaced: The tenants, with their digests, that the newest table replaced in the one before.
    """

    def __init__(self, digester: KeyDigester) -> None:
        self.replaced: list[Any] = []
        self._digester = digester
        self._items: Sequence[Mapping[str, Any]] = ()
        self._records: BuiltItems[_Record] = BuiltItems(self._build_record)
        self._table = NO_TENANTS
        self._by_digest: Map[bytes, tuple[bytes, Tenant]] = Map()
        self._by_name: Map[str, Tenant] = Map()
        self._priorities: ValueCounts[int | None] = ValueCounts()

    def build(self, value: Mapping[str, Any]) -> TenantTable:
        """Return the table of a configuration at once; see `build_steps`."""
        return complete(self.build_steps(value))

    def build_steps(self, value: Mapping[str, Any]) -> Steps[TenantTable]:
        """Return the table of a configuration; the previous table if the list of tenants is the same object.

        Args:
            value: A validated configuration.

        Raises:
            AttributeError, KeyError, TypeError, ValueError: It is not valid; a new builder is needed.
        """
        items = tenants_of(value)
        if items is self._items:
            self.replaced = []
            return self._table
        changes = yield from self._records.update_steps(items)
        self.replaced = changes.removed
        by_digest, by_name = self._by_digest.mutate(), self._by_name.mutate()
        for number, record in enumerate(changes.removed):
            if number % ITEMS_PER_STEP == 0:
                yield
            by_name.pop(record.tenant.name, None)
            for digest in record.digests:
                by_digest.pop(digest, None)
        for number, record in enumerate(changes.added):  # after all removals: a key may have moved between tenants
            if number % ITEMS_PER_STEP == 0:
                yield
            by_name[record.tenant.name] = record.tenant
            for digest in record.digests:
                by_digest[digest] = (digest, record.tenant)
        added, removed = map(_priority_of, changes.added), map(_priority_of, changes.removed)
        self._priorities = yield from self._priorities.adjusted_steps(added, removed)
        self._items, self._by_digest, self._by_name = items, by_digest.finish(), by_name.finish()
        if self._by_name:
            self._table = TenantTable(self._digester, self._by_name, self._by_digest, True, self._priorities)
        else:
            self._table = NO_TENANTS
        return self._table

    def _build_record(self, item: Mapping[str, Any]) -> _Record:
        if fault := _find_error(item):  # a version without these checks accepted the configuration
            raise ValueError(f"tenants: {fault}")
        digests = tuple(self._digester.digest(Secret(key.encode("utf-8", "surrogatepass"))) for key in item["api_keys"])
        return _Record(build_tenant(item), digests)


def _priority_of(record: _Record) -> int | None:
    return record.tenant.priority


class TenantBuilder:
    """Builds the tenants of successive configurations, without their keys; those that did not change are not built again.

    An invalid tenant is left out: it was accepted by a process that runs a version without the checks of this module.
    """

    def __init__(self) -> None:
        self._tenants: BuiltItems[Tenant] = BuiltItems(lambda item: None if _find_error(item) else build_tenant(item))

    def build(self, value: Mapping[str, Any]) -> ItemChanges[Tenant]:
        """Return the tenants of an accepted configuration at once; see `build_steps`."""
        return complete(self.build_steps(value))

    def build_steps(self, value: Mapping[str, Any]) -> Steps[ItemChanges[Tenant]]:
        """Return the tenants of an accepted configuration by name, and how they differ from those before."""
        return (yield from self._tenants.update_steps(tenants_of(value)))


def build_tenant(item: Mapping[str, Any]) -> Tenant:
    """Return a checked tenant without its keys."""
    rate_per_s = float(item.get("rate_per_s") or 0.0)
    priority = item.get("priority")
    return Tenant(
        name=item["name"],
        limit=QuotaLimit(rate_per_s, float(item.get("burst") or 0.0)) if rate_per_s else None,
        unit=UNITS[item.get("unit")],
        plain_tokens=math.ceil(item.get("plain_tokens") or 0),
        priority=None if priority is None else int(priority),
    )
