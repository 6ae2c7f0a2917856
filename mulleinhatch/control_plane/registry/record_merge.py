"""Merge two records of one backend, and compare what data planes see of them. Pure."""

from __future__ import annotations

from dataclasses import replace

from mulleinhatch.messages.cluster import Backend


def published_fields(backend: Backend) -> tuple:
    """What of a record matters to data planes."""
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
    """What the backend says is ordered by its `sequence`, what was ordered of it by `order_revision`."""
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
