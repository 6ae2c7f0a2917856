"""Measure the work on one configuration: `python -m benchmarks.large_change_parts.measurements ROUTES TENANTS` prints JSON.

It also measures a checkout from before work was cut into steps: there, each piece of work is one turn of the loop.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import sys
import time
import zlib
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any
from unittest import mock

from mulleinhatch.control_plane import distribution
from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.messages.cluster import Entry, PollResponse
from mulleinhatch.process.settings import Bounds
from mulleinhatch.replication.state import ControlState, EntryKind

try:
    from mulleinhatch.process.time_slices import SLICE_S
except ImportError:  # a checkout from before
    SLICE_S = 0.0
try:
    from mulleinhatch.process.garbage_collection import GarbageCollection
    from mulleinhatch.process.loop_watch import LoopWatch
    from mulleinhatch.process.time_slices import LONG_CALCULATION_S
except ImportError:  # a checkout from before
    GarbageCollection, LONG_CALCULATION_S = None, 0.0
DATA_PLANE_SLICE_S = 0.001
SERVICES, MODELS_PER_SERVICE = 4, 143


@dataclass(frozen=True)
class Size:
    """Numbers of items in a configuration."""

    routes: int
    tenants: int


@dataclass(frozen=True)
class Measurement:
    """Processor time of one piece of work, in all and in its longest turn of the event loop."""

    plane: str
    work: str
    total_ms: float
    turn_ms: float


@dataclass(frozen=True)
class Bytes:
    """What a configuration and a change of one route in it take.

    Attributes:
        configuration: The configuration as JSON.
        one_route_in_a_poll: A poll response that brings one changed route.
        one_route_in_the_log: The log entry of that change.
        peak_memory: The most memory that this process held, with a control plane's state and a data plane's client.
    """

    configuration: int
    one_route_in_a_poll: int
    one_route_in_the_log: int
    peak_memory: int


@dataclass(frozen=True)
class Report:
    """All that was measured at one size."""

    work: list[Measurement]
    bytes: Bytes


def route(number: int) -> dict[str, Any]:
    """Return one route with the fields that operators set."""
    services = [{"service": f"s{number % SERVICES}", "weight": 90}, {"service": "s0", "weight": 10}]
    return {
        **{"name": f"r{number}", "host": f"h{number % 97}.example", "path_prefix": f"/p{number}/", "kind": "streaming"},
        **{"timeout_ms": 5000, "target_latency_ms": 1000, "priority": number % 3, "max_attempts": 2, "gap_aim_ms": 500},
        **{"sticky": True, "resumable": True, "traffic_split": services},
    }


def first_configuration(tenants: int) -> bytes:
    """Return a configuration of services and tenants, without routes."""
    models = [{"name": f"m{number}", "weights_mb": 100, "load_s": 1, "adapters": 3} for number in range(MODELS_PER_SERVICE)]
    services = [{"name": f"s{number}", "engine": {"slots": 4, "models": models}} for number in range(SERVICES)]
    items = [{"name": f"t{number}", "api_keys": [f"key-{number}"], "rate_per_s": 5, "burst": 10} for number in range(tenants)]
    value = {"version": 1, "routes": [], "services": services, **({"tenants": items} if items else {})}
    return json.dumps(value).encode()


class Meter:
    """Runs work and keeps the measurements."""

    def __init__(self) -> None:
        self.measurements: list[Measurement] = []
        self._collection = GarbageCollection(LoopWatch()) if GarbageCollection else None
        if self._collection:
            self._collection.start()

    def at_once(self, plane: str, work: str, run: Callable[[], Any]) -> Any:
        """Measure work that runs in one turn."""
        self._collect_before()
        began_at = time.thread_time()
        result = run()
        total_ms = 1000.0 * (time.thread_time() - began_at)
        self.measurements.append(Measurement(plane, work, total_ms, total_ms))
        return result

    def in_steps(self, plane: str, work: str, steps: Any, slice_s: float) -> Any:
        """Measure work that a `TimeSlicer` runs."""
        self._collect_before()
        longest_s = total_s = 0.0
        while True:
            began_at = time.thread_time()
            result, is_done = _run_slice(steps, began_at + slice_s)
            if is_done and self._collection and total_s >= LONG_CALCULATION_S:
                self._collection.exempt_old_objects()
            duration_s = time.thread_time() - began_at
            longest_s, total_s = max(longest_s, duration_s), total_s + duration_s
            if is_done:
                self.measurements.append(Measurement(plane, work, 1000.0 * total_s, 1000.0 * longest_s))
                return result

    def _collect_before(self) -> None:
        """Leave the work of a collection of earlier objects out of the measurement."""
        if self._collection:
            self._collection.exempt_old_objects()
        else:
            gc.collect()


def _run_slice(steps: Any, ends_at: float) -> tuple[Any, bool]:
    while time.thread_time() < ends_at:
        try:
            next(steps)
        except StopIteration as end:
            return end.value, True
    return None, False


class ControlPlane:
    """The replicated state of a head."""

    def __init__(self, meter: Meter, tenants: int) -> None:
        self._meter, self.state = meter, ControlState()
        self._apply(EntryKind.CONFIGURATION, first_configuration(tenants), "first")
        self.bodies: list[bytes] = []

    def change(self, name: str, upsert: dict[str, Any]) -> bytes:
        """Check and apply a patch, measured; return its body."""
        version = self.state.document.version
        body = json.dumps({"version": version + 1, "upsert": upsert}).encode()
        arguments = "PATCH", version, body
        if hasattr(self.state, "check_steps"):
            steps = self.state.check_steps(*arguments)
            checked = self._meter.in_steps("control plane", f"check of {name}", steps, SLICE_S)
        else:
            checked = self._meter.at_once("control plane", f"check of {name}", lambda: self.state.check(*arguments))
        digest = checked.ok_value.digest
        self._meter.at_once("control plane", f"applying {name}", lambda: self._apply(EntryKind.PATCH, body, digest))
        return body

    def _apply(self, kind: EntryKind, body: bytes, digest: str) -> None:
        self.state.apply(Entry(index=self.state.index + 1, epoch=1, kind=int(kind), body=body, digest=digest))

    def snapshot(self) -> None:
        """Encode a snapshot, measured."""
        if hasattr(self.state, "snapshot_steps"):
            self._meter.in_steps("control plane", "a snapshot", self.state.snapshot_steps(), SLICE_S)
        else:
            self._meter.at_once("control plane", "a snapshot", self.state.snapshot)

    def poll(self, body: bytes) -> None:
        """Encode a patch for one poll of a data plane, and the configuration for a new one, measured."""
        if hasattr(distribution, "ConfigurationEncoder"):
            from mulleinhatch.configuration.encoding import compressed, json_chunks, patch_list_chunks

            self._meter.in_steps("control plane", "the change for polls", compressed(patch_list_chunks([body])), SLICE_S)
            chunks = json_chunks(self.state.document.value)
            self._meter.in_steps("control plane", "the configuration for polls", compressed(chunks), SLICE_S)
        else:
            self._meter.at_once("control plane", "the change for polls", lambda: zlib.compress(b"[" + body + b"]"))
            self._meter.at_once(
                "control plane", "the configuration for polls", lambda: zlib.compress(self.state.document.to_json(), 6)
            )


class DataPlane:
    """The control-plane client of a data plane."""

    def __init__(self, meter: Meter) -> None:
        self._meter = meter
        settings = mock.Mock(seeds=(), internal_address="10.0.0.1:7000", bounds=Bounds())
        self._client = ControlPlaneClient(settings, None, lambda: 0.0, lambda snapshot: None)

    def take(self, name: str, update: PollResponse) -> None:
        """Apply an update, measured."""
        client = self._client
        if not asyncio.iscoroutinefunction(client._apply):
            self._meter.at_once("data plane", name, lambda: client._apply(update, 0.0))
            return
        client._slicer = slicer = _MeasuringSlicer(self._meter)
        asyncio.run(client._apply(update, 0.0))
        total_ms, turn_ms = sum(part.total_ms for part in slicer.parts), max(part.turn_ms for part in slicer.parts)
        self._meter.measurements.append(Measurement("data plane", name, total_ms, turn_ms))


class _MeasuringSlicer:
    """Measures what a `TimeSlicer` would run."""

    def __init__(self, meter: Meter) -> None:
        self._meter = meter
        self.parts: list[Measurement] = []

    async def run(self, activity: str, steps: Any) -> Any:
        result = self._meter.in_steps("data plane", activity, steps, DATA_PLANE_SLICE_S)
        self.parts.append(self._meter.measurements.pop())
        return result


def update_of(base_version: int, version: int, body: bytes) -> PollResponse:
    """Return the response to a poll that brings a patch or, with base 0, a complete configuration."""
    text = b"[" + body + b"]" if base_version else body
    return PollResponse(
        authoritative=True, epoch=1, base_version=base_version, configuration_version=version, configuration=zlib.compress(text)
    )


def measure(size: Size) -> Report:
    """Return the measurements of this checkout at one size."""
    meter = Meter()
    head, data_plane = ControlPlane(meter, size.tenants), DataPlane(Meter())
    data_plane.take("", update_of(0, 1, first_configuration(size.tenants)))
    data_plane._meter = meter
    large = head.change("a change of all routes", {"routes": [route(number) for number in range(size.routes)]})
    head.poll(large)
    head.snapshot()
    data_plane.take("a change of all routes", update_of(1, 2, large))
    head.change("one route, the first after it", {"routes": [route(size.routes)]})
    one = head.change("one route", {"routes": [{**route(0), "timeout_ms": 7000}]})
    two = json.dumps({"version": 3, "upsert": {"routes": [route(size.routes)]}}).encode()
    data_plane.take("one route, the first after it", update_of(2, 3, two))
    data_plane.take("one route", update_of(3, 4, one))
    text = head.state.document.to_json()
    data_plane.take("the whole configuration", update_of(0, 5, text))
    entry = Entry(index=9, epoch=1, kind=int(EntryKind.PATCH), body=one, digest="0" * 32)
    sizes = Bytes(len(text), len(bytes(update_of(3, 4, one))), len(bytes(entry)), peak_memory())
    return Report(meter.measurements, sizes)


def peak_memory() -> int:
    """Return the most memory that this process held, in bytes."""
    return 1024 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


if __name__ == "__main__":
    print(json.dumps(asdict(measure(Size(int(sys.argv[1]), int(sys.argv[2]))))))
