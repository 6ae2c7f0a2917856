"""The status page of a data plane. Its keys are part of the operators' interface."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from mulleinhatch.data_plane.admission_queue import ModelQueue
from mulleinhatch.data_plane.backend_health import BackendHealthTracker
from mulleinhatch.data_plane.poll_targets import TargetStatus
from mulleinhatch.data_plane.registry_snapshot import RegisteredBackend
from mulleinhatch.data_plane.router import Router
from mulleinhatch.process.loop_watch import LoopWatch, turn_status
from mulleinhatch.process.time_slices import TimeSlicer


def status_of(
    data_plane_name: str,
    is_ready: bool,
    leader: str,
    control_planes: Mapping[str, TargetStatus],
    router: Router,
    watch: LoopWatch,
    slicer: TimeSlicer,
    now: float,
) -> dict[str, Any]:
    """Return the content of the status page.

    Args:
        data_plane_name: Name of this data plane.
        is_ready: Whether it accepts connections.
        leader: Address of the placement leader, empty if unknown.
        control_planes: The control-plane nodes that it may poll, by address.
        router: Provides the current snapshot, counters, queues and backends.
        watch: Provides the longest turn of the event loop.
        slicer: Provides the calculations that are under way.
        now: Loop time in seconds.
    """
    snapshot = router.snapshot
    is_confirmed = snapshot.confirmed_at > -math.inf
    confirmed_s_ago = round(now - snapshot.confirmed_at, 2) if is_confirmed else None
    return {
        "name": data_plane_name,
        "version": snapshot.table.version,
        "ready": is_ready,
        "authoritative": snapshot.authoritative,
        "control_plane": snapshot.source,
        "control_planes": control_planes,
        "control_epoch": snapshot.control_epoch,
        "confirmed_s_ago": confirmed_s_ago,
        "data_planes": snapshot.data_planes,
        "holder": leader,
        "counters": router.request_log.counters,
        "stubs": {backend.id: _backend_status(backend, router.health) for backend in snapshot.backends.by_id.values()},
        "refused": list(router.request_log.recent_rejections),
        "quotas": router.quotas.status(),
        "longest_turn": turn_status(watch),
        "calculations": slicer.status(),
        "groups": [_queue_status(queue) for queue in router.queue.by_model.values()],
    }


def _backend_status(backend: RegisteredBackend, health: BackendHealthTracker) -> dict[str, Any]:
    return {
        "address": backend.address,
        "draining": backend.draining,
        "silent": backend.silent,
        "running": health.of(backend.id).running,
        "models": sorted(backend.models),
    }


def _queue_status(queue: ModelQueue) -> dict[str, Any]:
    return {
        "service": queue.model_key.service,
        "model": queue.model_key.model,
        "adapter": queue.model_key.adapter,
        "held": len(queue.waiting),
        "running": queue.running,
        "limit": round(queue.limit, 1),
        "mu": round(queue.service_rate, 2),
    }
