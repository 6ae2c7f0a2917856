"""The operator of a soak: draws configuration changes, sends each until it is answered, and records the outcome."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from typing import Any

from benchmarks.soak_parts.configuration_calls import call_configuration
from benchmarks.soak_parts.records import Observations, Version
from mulleinhatch.networking.http_client import HttpClient

HOST = "soak.example"
SERVICE = "writer"
CALL_TIMEOUT_S = 1.0
RETRY_S = 0.1
MAX_ROUTES = 12
MANY_ROUTES = (400, 1600)
EXTRA_PREFIX, MANY_PREFIX = "extra-", "many-"
MIN_KEYS, MAX_KEYS = 1, 4
KEY_BYTES = 12
PLAIN_TOKENS = 150
LIMITS = {"hot": (1500, 1500), "small": (400, 800), "steady": (0, 0)}
KINDS = {"once": "unsafe", "read": "safe", "write": "streaming", "talk": "streaming", "open": "safe"}


def new_key() -> str:
    """Return a new API key. It does not depend on the seed, so that no two runs share a key."""
    return f"key-{secrets.token_hex(KEY_BYTES)}"


def route(name: str, kind: str, timeout_ms: int = 5000, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    defaults = {"target_latency_ms": 1000, "priority": 0, "service": SERVICE, "max_attempts": 2}
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms, **defaults, **more}


def tenant(name: str, keys: list[str], rate_per_s: float, burst: float, priority: int = 1) -> dict[str, Any]:
    """Return a tenant of the configuration."""
    quota = {"rate_per_s": rate_per_s, "burst": burst, "unit": "token_count", "plain_tokens": PLAIN_TOKENS}
    return {"name": name, "api_keys": keys, "priority": priority, **quota}


def initial_document() -> dict[str, Any]:
    """Return the initial configuration: routes of every kind, one of them public, and three tenants with two keys each."""
    more: dict[str, dict[str, Any]] = {"write": {"resumable": True, "gap_aim_ms": 400}, "open": {"public": True}}
    return {
        "version": 1,
        "routes": [route(name, kind, **more.get(name, {})) for name, kind in KINDS.items()],
        "services": [{"name": SERVICE, "connection_limit": 200}],
        "limits": {},
        "tenants": [tenant(name, [new_key(), new_key()], *limit) for name, limit in LIMITS.items()],
    }


def _remove_key(tenants: list[dict[str, Any]], random_source: random.Random) -> dict[str, Any] | None:
    """Return a tenant that has several keys, without its oldest key, or None if there is none."""
    candidates = [item for item in tenants if len(item["api_keys"]) > MIN_KEYS]
    if not candidates:
        return None
    chosen = random_source.choice(candidates)
    return {**chosen, "api_keys": chosen["api_keys"][1:]}


def _add_key(tenants: list[dict[str, Any]], random_source: random.Random) -> dict[str, Any] | None:
    candidates = [item for item in tenants if len(item["api_keys"]) < MAX_KEYS]
    if not candidates:
        return None
    chosen = random_source.choice(candidates)
    return {**chosen, "api_keys": [*chosen["api_keys"], new_key()]}


def _change_limit(tenants: list[dict[str, Any]], random_source: random.Random) -> dict[str, Any]:
    chosen = random_source.choice([item for item in tenants if item["rate_per_s"]])
    factor = random_source.choice([0.5, 0.75, 1.0, 1.5, 2.0])
    rate, burst = LIMITS.get(chosen["name"], (800, 800))
    return {**chosen, "rate_per_s": rate * factor, "burst": burst * factor}


def draw_patch(document: dict[str, Any], number: int, random_source: random.Random) -> dict[str, Any]:
    """Return the `upsert` and `remove` lists of a change to a document.

    Args:
        document: The newest acknowledged configuration.
        number: Number of the change; new names contain it.
        random_source: Source of the draws.
    """
    tenants = document["tenants"]
    many = [item for item in document["routes"] if item["name"].startswith(MANY_PREFIX)]
    extra = [item for item in document["routes"] if item["name"].startswith(EXTRA_PREFIX)]
    kinds = ["take", "take", "add", "add", "limit", "limit", "tenant", "route", "drop", "time-out", "many", "many"]
    kind = random_source.choice(kinds)
    if kind == "take" and (item := _remove_key(tenants, random_source)):
        return {"upsert": {"tenants": [item]}}
    if kind == "limit":
        return {"upsert": {"tenants": [_change_limit(tenants, random_source)]}}
    if kind == "tenant":
        return _replace_tenant(tenants, number)
    if kind == "route" and len(extra) < MAX_ROUTES:
        return {"upsert": {"routes": [route(f"{EXTRA_PREFIX}{number}", "safe")]}}
    if kind == "drop" and extra:
        return {"remove": {"routes": [random_source.choice(extra)["name"]]}}
    if kind == "many":
        return _replace_many(many, number, random_source)
    if kind == "add" and (item := _add_key(tenants, random_source)):
        return {"upsert": {"tenants": [item]}}
    read_route = next(item for item in document["routes"] if item["name"] == "read")
    return {"upsert": {"routes": [{**read_route, "timeout_ms": random_source.choice([3000, 4000, 5000, 6000])}]}}


def _replace_many(many: list[dict[str, Any]], number: int, random_source: random.Random) -> dict[str, Any]:
    """Return a patch that adds many routes, or removes those that an earlier one added."""
    if many:
        return {"remove": {"routes": [item["name"] for item in many]}}
    count = random_source.randint(*MANY_ROUTES)
    return {"upsert": {"routes": [route(f"{MANY_PREFIX}{number}-{index}", "safe") for index in range(count)]}}


def _replace_tenant(tenants: list[dict[str, Any]], number: int) -> dict[str, Any]:
    """Return a patch that adds a tenant with a new name and removes the tenant that was added before."""
    old = [item["name"] for item in tenants if item["name"] not in LIMITS]
    patch: dict[str, Any] = {"upsert": {"tenants": [tenant(f"guest-{number}", [new_key()], 800, 800)]}}
    return {**patch, "remove": {"tenants": old}} if old else patch


def apply_patch(document: dict[str, Any], patch: dict[str, Any], version: int) -> dict[str, Any]:
    """Return the configuration that results from a patch."""
    changed = {**document, "version": version}  # items are replaced, never modified
    for kind in ("routes", "tenants"):
        named = {item["name"]: item for item in changed[kind]}
        for name in patch.get("remove", {}).get(kind, ()):
            named.pop(name, None)
        named.update({item["name"]: item for item in patch.get("upsert", {}).get(kind, ())})
        changed[kind] = list(named.values())
    return changed


class Operator:
    """Sends changes one after another, each unchanged until it is acknowledged or refused.

    Args:
        control_addresses: Control addresses of all control-plane nodes.
        observations: Receives the versions, and the rejections of valid changes.
        random_source: Source of the draws.
    """

    def __init__(self, control_addresses: list[str], observations: Observations, random_source: random.Random) -> None:
        self._addresses, self._observations, self._random = control_addresses, observations, random_source
        self._client = HttpClient()
        self.changes = 0

    @property
    def document(self) -> dict[str, Any]:
        """Return the newest acknowledged configuration, empty before the first."""
        acknowledged = [version for version in self._observations.versions if version.acknowledged_at < float("inf")]
        return dict(acknowledged[-1].document) if acknowledged else {}

    async def put(self, document: dict[str, Any]) -> bool:
        """Send an initial configuration until it is answered; return whether it was acknowledged."""
        return await self._send_until_answered("PUT", 0, document, document)

    async def change(self) -> bool:
        """Draw a change and send it until it is answered; return whether it was acknowledged."""
        return await self.apply(draw_patch(self.document, self.changes, self._random))

    async def remove_key(self) -> bool:
        """Remove a key; return whether the change was acknowledged."""
        item = _remove_key(self.document["tenants"], self._random)
        return await self.apply({"upsert": {"tenants": [item]}} if item else {"upsert": {}})

    async def apply(self, patch: dict[str, Any]) -> bool:
        """Send a patch based on the newest acknowledged configuration; return whether it was acknowledged."""
        self.changes += 1
        base = self.document
        version = base["version"] + self._random.randrange(1, 4)
        return await self._send_until_answered(
            "PATCH", base["version"], {"version": version, **patch}, apply_patch(base, patch, version)
        )

    async def read(self) -> dict[str, Any] | None:
        """Return the configuration from any control-plane node, or None if none returns it."""
        for address in self._shuffled():
            answer = await call_configuration(self._client, address, "GET", b"", (), CALL_TIMEOUT_S)
            if answer is not None and answer.status == 200:
                return json.loads(answer.body)
        return None

    async def _send_until_answered(self, method: str, base: int, body: dict[str, Any], document: dict[str, Any]) -> bool:
        loop = asyncio.get_running_loop()
        version = Version(document["version"], document, loop.time())
        self._observations.versions.append(version)
        data, fields = json.dumps(body).encode(), ((b"If-Match", b"%d" % base),)
        while True:
            for address in self._shuffled():
                answer = await call_configuration(self._client, address, method, data, fields, CALL_TIMEOUT_S)
                if answer is not None and answer.status == 200:
                    version.acknowledged_at = loop.time()
                    return True
                if answer is not None and answer.status in (400, 404, 405, 409, 412, 413, 422):
                    self._observations.operator_failures.append(
                        f"valid change to {document['version']} based on {base} rejected: {answer.status} {answer.body[:200]!r}"
                    )
                    return False
            await asyncio.sleep(RETRY_S)

    def _shuffled(self) -> list[str]:
        return self._random.sample(self._addresses, len(self._addresses))
