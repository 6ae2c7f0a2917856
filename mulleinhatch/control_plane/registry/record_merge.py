"""Merges two records of one backend, and compares the fields that data planes use. Pure.

Records of one backend arrive out of order and from several sources: the backend, other control-plane nodes, and the placement
leader. A backend orders its own records by `sequence`; the placement leader orders the loads and unloads it publishes by
`order_revision`. `merge_records` decides each field of the result by these rules:

========================================  =============================================================================
Field                                     Taken from the update when
========================================  =============================================================================
service, address, zone, version, slots,   its `sequence` is higher
cold_remaining_ms, remaining_ms, age_ms,
sequence
models                                    its `sequence` is higher, or its `order_revision` is higher
loads, unloads, order_revision            its `order_revision` is higher
draining                                  its `sequence` is higher, but true never turns false
gone                                      always; true never turns false, as each start of a backend has a new id
silent                                    never: each node decides it; a higher `sequence` makes it false
========================================  =============================================================================
"""

from __future__ import annotations

from dataclasses import replace

from mulleinhatch.messages.cluster import Backend


def published_fields(backend: Backend) -> tuple:
    """Return the fields of a record that data planes use; while these are equal, no data plane needs an update.

    Remaining times count only as present or absent, because their values change with every heartbeat.
    """
    return (
        backend.service,
        backend.address,
        backend.zone,
        backend.slots,
        backend.draining,
        backend.gone,
        backend.silent,
        tuple((model.name, model.version, tuple(sorted(model.adapters))) for model in backend.models),
        tuple((load.model, load.adapter) for load in backend.loads),
        tuple((load.model, load.adapter) for load in backend.unloads),
        backend.cold_remaining_ms > 0,
        backend.remaining_ms > 0,
    )


def merge_records(current: Backend, update: Backend) -> Backend:
    """Return the merged record, or `current` itself if the update contains nothing newer."""
    merged = current
    if update.sequence > current.sequence:
        merged = replace(
            update,
            silent=False,
            draining=update.draining or current.draining,
            loads=current.loads,
            unloads=current.unloads,
            order_revision=current.order_revision,
        )
    if update.order_revision > current.order_revision:
        merged = replace(
            merged, models=update.models, loads=update.loads, unloads=update.unloads, order_revision=update.order_revision
        )
    if update.gone:
        merged = replace(merged, gone=True)
    return merged
