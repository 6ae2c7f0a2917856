"""Configuration of a fake model server, and the counters that tests read."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class FakeModelServerConfig:
    """Properties of a fake model server.

    Attributes:
        service: The service that the backend belongs to.
        address: `host:port` to listen on.
        zone: Its failure domain.
        slots: Maximum number of concurrent requests.
        weights_mb: Memory for model weights in MB.
        adapter_slots: Maximum number of loaded adapters.
        model_mb: Memory of each model in MB.
        load_s: Duration of a load from the weight store in seconds.
        prompt_tokens_per_s: Rate at which a prompt is read.
        step_s: Seconds per token if no other request runs.
    """

    service: str
    address: str
    zone: str = "zone-1"
    slots: int = 16
    weights_mb: float = 200.0
    adapter_slots: int = 4
    model_mb: dict[str, float] = field(default_factory=dict)
    load_s: float = 1.0
    prompt_tokens_per_s: float = 20000.0
    step_s: float = 0.01


@dataclass
class Counters:
    """Counters that a test can check from outside the system.

    Attributes:
        runs: How often each request was executed, by Request-Id.
        store_loads: Loads from the weight store.
        capacity_violations: Orders that exceeded the memory or the adapter slots; must stay 0.
        fencing_tokens: Issuer and token of each order whose token was high enough.
    """

    runs: dict[str, int] = field(default_factory=dict)
    store_loads: int = 0
    capacity_violations: int = 0
    fencing_tokens: list[tuple[str, int]] = field(default_factory=list)
