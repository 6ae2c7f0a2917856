"""Tenants in a configuration: their validation, and the table by which a data plane recognises their keys.

No message contains a value of a tenant except its name: a key may be in the wrong field.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from mulleinhatch.configuration.validation import ITEMS_PER_STEP, is_number
from mulleinhatch.errors import ConfigurationError
from mulleinhatch.steps import Steps
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


def tenants_by_name(value: Mapping[str, Any]) -> dict[str, Tenant]:
    """Return the tenants of an accepted configuration by name, without their keys; an invalid tenant is left out.

    Such a tenant was accepted by a process that runs a version without the checks of this module.
    """
    return {item["name"]: build_tenant(item) for item in tenants_of(value) if not _find_error(item)}


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
                return _shared_key_error(owners[key], name)
    return Ok(None)


def check_changed_keys(
    items: Iterable[Mapping[str, Any]], changed: Sequence[Mapping[str, Any]]
) -> Steps[Result[None, ConfigurationError]]:
    """Check that no tenant shares a key with a changed one; the others were checked before.

    Args:
        items: All tenants after the change.
        changed: The tenants that the change adds or replaces.
    """
    if isinstance(checked := (yield from check_shared_keys(changed)), Err):
        return checked
    owners = {key: item["name"] for item in changed for key in item["api_keys"]}
    if not owners:
        return Ok(None)
    new_keys = owners.keys()
    for number, item in enumerate(items):
        if number % ITEMS_PER_STEP == 0:
            yield
        if not new_keys.isdisjoint(item["api_keys"]):
            name = item["name"]
            other = next((owners[key] for key in item["api_keys"] if owners.get(key, name) != name), name)
            if other != name:
                return _shared_key_error(name, other)
    return Ok(None)


def _shared_key_error(first: str, second: str) -> Err[ConfigurationError]:
    return Err(ConfigurationError(f"tenants: {first!r} and {second!r} share a key in api_keys; a key belongs to one tenant"))


@dataclass(frozen=True, slots=True)
class _Record:
    """A built tenant, with the item that it was built from. `repr` shows neither its keys nor their digests."""

    item: Mapping[str, Any] = field(repr=False)
    tenant: Tenant
    digests: tuple[bytes, ...] = field(repr=False)


class TenantTableBuilder:
    """Builds the tables of successive configurations, and computes digests only for tenants that have changed.

    Args:
        digester: Computes the digests of keys.
    """

    def __init__(self, digester: KeyDigester) -> None:
        self._digester = digester
        self._items: Sequence[Mapping[str, Any]] = ()
        self._records: dict[str, _Record] = {}
        self._by_digest: dict[bytes, tuple[bytes, Tenant]] = {}
        self._table = NO_TENANTS

    def build(self, value: Mapping[str, Any]) -> TenantTable:
        """Return the table of a configuration; the previous table if the list of tenants is the same object.

        Args:
            value: A validated configuration.
        """
        items = tenants_of(value)
        if items is self._items:
            return self._table
        changed = [item for item in items if (known := self._records.get(item["name"])) is None or known.item is not item]
        gone = self._records.keys() - {item["name"] for item in items}
        records, by_digest = dict(self._records), dict(self._by_digest)
        for name in (*gone, *(item["name"] for item in changed)):
            if (record := records.pop(name, None)) is not None:
                for digest in record.digests:
                    by_digest.pop(digest, None)
        for item in changed:  # after all removals: a key may have moved from one tenant to another
            records[item["name"]] = record = self._record(item)
            by_digest.update((digest, (digest, record.tenant)) for digest in record.digests)
        self._items, self._records, self._by_digest = items, records, by_digest
        by_name = {name: record.tenant for name, record in records.items()}
        self._table = TenantTable(self._digester, by_name, by_digest, requires_keys=True) if records else NO_TENANTS
        return self._table

    def _record(self, item: Mapping[str, Any]) -> _Record:
        if fault := _find_error(item):  # a version without these checks accepted the configuration
            raise ValueError(f"tenants: {fault}")
        digests = tuple(self._digester.digest(Secret(key.encode("utf-8", "surrogatepass"))) for key in item["api_keys"])
        return _Record(item, build_tenant(item), digests)


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
