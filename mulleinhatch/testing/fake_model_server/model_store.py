"""The models of a fake model server, and the orders that load and unload them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig

DISK_LOAD_FACTOR = 0.3  # factor of a load's duration if the model is on the backend's disk
ADAPTER_LOAD_S = 0.02
UNLOAD_POLL_S = 0.01  # interval between checks that the running requests have ended


class ModelStore:
    """Loaded models with their adapters, and at most one order in progress.

    Args:
        config: Sizes and durations.
        counters: Counts loads and capacity violations.
        models: Models that are loaded at the start, with their adapters.
        disk_models: Models on the backend's disk, shared with later incarnations; by default those that are loaded.
        count_running: Returns the number of running requests, which an unload waits for.
    """

    def __init__(
        self,
        config: FakeModelServerConfig,
        counters: Counters,
        models: dict[str, set[str]],
        disk_models: set[str] | None,
        count_running: Callable[[], int],
    ) -> None:
        self._config, self._counters, self._count_running = config, counters, count_running
        self.models = {name: set(adapters) for name, adapters in models.items()}
        self.disk_models = disk_models if disk_models is not None else set(self.models)
        self.revision = 0
        self.order: dict[str, Any] | None = None
        self._highest_fencing_token = 0

    def records(self) -> list[dict[str, Any]]:
        """Return the loaded models as heartbeats and reports list them."""
        return [{"name": name, "version": 1, "adapters": sorted(adapters)} for name, adapters in sorted(self.models.items())]

    def is_loaded(self, model: str, adapter: str) -> bool:
        """Return whether a model, and its adapter if one is named, is loaded."""
        return model in self.models and (not adapter or adapter in self.models[model])

    def is_unloading(self, model: str, adapter: str) -> bool:
        """Return whether the order in progress unloads a model or its adapter."""
        order = self.order
        return (
            order is not None
            and order["operation"] == "unload"
            and order["model"] == model
            and order.get("adapter", "") in ("", adapter)
        )

    def accept(self, order: dict[str, Any]) -> tuple[HTTPStatus, str, Coroutine[Any, Any, None] | None]:
        """Check an order.

        Returns:
            The status and message of the response, and the work to run in the background if the order was accepted.
        """
        if not order.get("holder") or not order.get("fence_token") or order.get("operation") not in ("load", "unload"):
            return HTTPStatus.BAD_REQUEST, "invalid order", None
        if order["fence_token"] < self._highest_fencing_token:
            return HTTPStatus.PRECONDITION_FAILED, "a higher fencing token was seen", None
        self._highest_fencing_token = order["fence_token"]
        self._counters.fencing_tokens.append((order["holder"], order["fence_token"]))
        if self.order is not None or order.get("if_revision", self.revision) != self.revision:
            return HTTPStatus.CONFLICT, "another order is in progress, or the revision differs", None
        model, adapter = order["model"], order.get("adapter", "")
        if self.is_loaded(model, adapter) is (order["operation"] == "load"):
            return HTTPStatus.OK, "already in the requested state", None
        self.revision += 1
        self.order = order
        return HTTPStatus.ACCEPTED, "in progress", self._execute(order["operation"], model, adapter)

    async def _execute(self, operation: str, model: str, adapter: str) -> None:
        if operation == "unload":
            await self._unload(model, adapter)
        elif adapter:
            await self._load_adapter(model, adapter)
        else:
            await self._load_model(model)
        self.order = None

    async def _unload(self, model: str, adapter: str) -> None:
        if adapter:
            self.models.get(model, set()).discard(adapter)
            return
        while self._count_running():
            await asyncio.sleep(UNLOAD_POLL_S)
        self.models.pop(model, None)

    async def _load_adapter(self, model: str, adapter: str) -> None:
        await asyncio.sleep(ADAPTER_LOAD_S)
        self._check_capacity(0.0, 1)
        self.models[model].add(adapter)

    async def _load_model(self, model: str) -> None:
        is_on_disk = model in self.disk_models
        self._counters.store_loads += not is_on_disk
        await asyncio.sleep(self._config.load_s * (DISK_LOAD_FACTOR if is_on_disk else 1.0))
        self._check_capacity(self._config.model_mb.get(model, 0.0), 0)
        self.models[model] = set()
        self.disk_models.add(model)

    def _check_capacity(self, added_mb: float, added_adapters: int) -> None:
        used_mb = sum(self._config.model_mb.get(name, 0.0) for name in self.models) + added_mb
        used_adapters = sum(len(adapters) for adapters in self.models.values()) + added_adapters
        if used_mb > self._config.weights_mb or used_adapters > self._config.adapter_slots:
            self._counters.capacity_violations += 1
