"""A route of a configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from mulleinhatch.configuration.validation import weighted_services


@dataclass(frozen=True)
class Route:
    """One route.

    Attributes:
        name: The name in the configuration.
        host: The host that it matches, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: "safe", "unsafe" or "streaming".
        timeout_s: Seconds after which a request fails.
        target_latency_s: The target latency; the timeout where the configuration sets none.
        priority: A lower number is more important.
        max_attempts: How often a request may be sent to a backend, at least 1.
        is_resumable: Whether another backend can resume an event stream.
        target_gap_s: The target for the longest gap between two events of a stream, 0 for none.
        weighted_services: The services that receive the requests, with their weights.
        is_public: Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    is_resumable: bool
    target_gap_s: float
    weighted_services: tuple[tuple[str, float], ...]
    is_public: bool = False

    @property
    def is_streaming(self) -> bool:
        """Whether the response is an event stream."""
        return self.kind == "streaming"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or (self.is_streaming and self.is_resumable)


def build_route(item: Mapping[str, Any]) -> Route:
    """Return the route of a validated item."""
    timeout_s = item["timeout_ms"] / 1000.0
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        path_prefix=item["path_prefix"],
        kind=item.get("kind", "unsafe"),
        timeout_s=timeout_s,
        target_latency_s=item.get("target_latency_ms", 0) / 1000.0 or timeout_s,
        priority=int(item.get("priority", 0)),
        max_attempts=max(1, int(item.get("max_attempts", 1))),
        is_resumable=bool(item.get("resumable", False)),
        target_gap_s=item.get("gap_aim_ms", 0) / 1000.0,
        weighted_services=tuple(weighted_services(item)),
        is_public=item.get("public") is True,
    )
