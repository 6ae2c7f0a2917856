"""The configuration of a soak of answers: routes of each kind, a service with models and one without."""

from __future__ import annotations

from typing import Any

HOST = "soak.example"
MODEL_SERVICE, PLAIN_SERVICE = "scribe", "lookup"
MODELS = tuple(f"model-{number}" for number in range(8))
MODEL_MB, BACKEND_MB, LOAD_S, ADAPTERS, ADAPTER_SLOTS = 60.0, 130.0, 0.6, 2, 4
TIMEOUT_MS = 5000
# By route: kind, service, whether its stream may be resumed.
ROUTES = {
    "draft": ("streaming", MODEL_SERVICE, False),
    "report": ("streaming", MODEL_SERVICE, True),
    "sign": ("unsafe", MODEL_SERVICE, False),
    "check": ("unsafe", PLAIN_SERVICE, False),
    "look": ("safe", PLAIN_SERVICE, False),
}
REPEATABLE_ROUTES = frozenset({"report", "look"})  # may be executed more than once


def configuration(version: int, slots: int, timeout_ms: int = TIMEOUT_MS) -> dict[str, Any]:
    """Return a configuration.

    Args:
        version: Its version.
        slots: Concurrent requests of a backend.
        timeout_ms: Timeout of each route.
    """
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 800,
            "priority": number,
            "service": service,
            "max_attempts": 2,
            "sticky": service == MODEL_SERVICE,
            "resumable": is_resumable,
            "gap_aim_ms": 400,
        }
        for number, (name, (kind, service, is_resumable)) in enumerate(ROUTES.items())
    ]
    sizes = {"weights_mb": MODEL_MB, "load_s": LOAD_S, "adapters": ADAPTERS, "adapter_size_mb": 1.0}
    engine = {
        "slots": slots,
        "models": [{"name": name, **sizes} for name in MODELS],
        "weights_mb": BACKEND_MB,
        "adapter_slots": ADAPTER_SLOTS,
        "loads_per_s": 4.0,
    }
    services = [{"name": MODEL_SERVICE, "connection_limit": 200, "engine": engine}, {"name": PLAIN_SERVICE}]
    return {"version": version, "routes": routes, "services": services, "limits": {}}
