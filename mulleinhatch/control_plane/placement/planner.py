"""Which models and adapters should stand where: from what backends hold and what is asked for to the next orders. Pure.

Each backend carries out one order at a time, so the plan names at most one order for each. A model that is wanted and stands
nowhere comes first, then further copies of busy ones; what makes room is what is worth least. Sizes in MB, times in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from mulleinhatch.configuration.routes import EngineSpec, ModelSpec
from mulleinhatch.control_plane.placement.demand import Wanted
from mulleinhatch.control_plane.placement.holdings import BackendView, Operation, Order, model_mb, used_adapters, used_mb
from mulleinhatch.control_plane.placement.value import HELD_VALUE, LEAST_RATE, ModelValue
from mulleinhatch.membership.rendezvous import rendezvous_weight

KEEP_ADVANTAGE = 3.0  # what stands is worth this much more than what would come: nothing comes and goes for noise
RESIDENCE_S = 1.5  # a model stays so long after its load, that who waited for it is served
WARM_S = 1.0  # a load from the backend's own disk, as far as is known
UNLOAD_S = 0.2  # that each unload before a load costs, in seconds
DISTURBANCE = 0.5  # seconds that a load is dearer for each request a second for adapters at that backend


class Planner:
    """One look at one service."""

    def __init__(
        self, engine: EngineSpec, backends: Sequence[BackendView], wanted: Mapping[str, Wanted], now: float, store_room: int
    ) -> None:
        self.engine, self.wanted, self.now, self.store_room = engine, wanted, now, store_room
        self.backends = [backend for backend in backends if backend.serving]
        self.orders: list[Order] = []
        self._ordered: set[str] = set()
        self.value = ModelValue(self.backends, wanted)
        self._adapters = {pair for backend in self.backends for pair in backend.standing_adapters()}

    def plan(self) -> list[Order]:
        """At most one order for each backend."""
        self._keep_reservations()
        self._plan_adapters()
        for model in self._missing():
            self._place(model)
        return self.orders

    def _missing(self) -> list[str]:
        """Models that need another copy: those that stand nowhere first, the most wanted first."""
        value = self.value
        missing = [model for model in self.wanted if model in self.engine.models and value.missing(model)]
        return sorted(missing, key=lambda model: (value.copies(model) > 0, -value.wanted(model), model))

    # Models.

    def _keep_reservations(self) -> None:
        """Where room was made for a model it is loaded next."""
        for backend in self.backends:
            facts = self.engine.models.get(backend.reserved)
            if facts is None or not backend.free or backend.reserved in backend.models:
                continue
            if self.store_room <= 0 and facts.name not in backend.held_before:
                continue
            victims = self._victims(backend, facts)
            if victims is not None:
                self._order_model(backend, facts, victims)

    def _place(self, model: str) -> None:
        facts = self.engine.models[model]
        best: tuple[float, float, BackendView, list[str]] | None = None
        for backend in self.backends:
            if (
                not backend.free
                or backend.id in self._ordered
                or backend.reserved
                or model in backend.models
                or (model, "") in backend.coming
            ):
                continue
            warm = model in backend.held_before
            if not warm and self.store_room <= 0:
                continue
            victims = self._victims(backend, facts)
            if victims is None:
                continue
            cost = self._cost(backend, facts, warm, victims)
            key = (cost, -rendezvous_weight(model, backend.address) / 2**64)
            if best is None or key < best[:2]:
                best = (*key, backend, victims)
        if best is not None:
            self._order_model(best[2], facts, best[3])

    def _cost(self, backend: BackendView, facts: ModelSpec, warm: bool, victims: list[str]) -> float:
        """Of a placement at a backend: seconds until it stands, with what gives way and what is disturbed counted as such."""
        delay = (WARM_S if warm else facts.load_s) + UNLOAD_S * len(victims)
        return delay + sum(self.value.loss(victim) for victim in victims) + DISTURBANCE * self._adapter_rate(backend)

    def _order_model(self, backend: BackendView, facts: ModelSpec, victims: list[str]) -> None:
        load = self._load(backend, facts)
        if not victims:
            self.store_room -= load.from_store
            self._add(load)
            return
        why = f"makes room for {facts.name}"
        then = load if len(victims) == 1 else None
        self._add(Order(backend.id, Operation.UNLOAD, victims[0], expected_s=0.1, why=why, reserve=facts.name, then=then))

    def _load(self, backend: BackendView, facts: ModelSpec) -> Order:
        warm = facts.name in backend.held_before
        why = f"value {self.value.wanted(facts.name):.2f}, copies {self.value.copies(facts.name)}"
        expected_s = WARM_S if warm else facts.load_s
        return Order(backend.id, Operation.LOAD, facts.name, from_store=not warm, expected_s=expected_s, why=why)

    def _add(self, order: Order) -> None:
        self.orders.append(order)
        self._ordered.add(order.backend_id)
        if order.operation is Operation.UNLOAD and not order.adapter:
            self.value.gives_up(order.model)

    def _adapter_rate(self, backend: BackendView) -> float:
        """Requests a second for adapters that may need an order at this backend."""
        return sum(
            sum(adapter.rate for adapter in self.wanted[model].adapters.values()) / max(1, self.value.copies(model))
            for model in backend.models
            if model in self.wanted
        )

    def _victims(self, backend: BackendView, facts: ModelSpec) -> list[str] | None:
        """Models whose going makes room for one, cheapest first; None where that costs more than it brings."""
        room = self.engine.weights_mb - used_mb(backend, self.engine) - facts.weights_mb
        if room >= 0:
            return []
        victims, lost = [], 0.0
        gain = self.value.gain(facts.name, backend.reserved == facts.name)
        standing = sorted(
            (model for model in backend.models if (model, "") not in backend.leaving),
            key=lambda model: (self.value.loss(model), model),
        )
        for model in standing:
            holding, wanted = backend.models[model], self.wanted.get(model)
            if wanted is not None and wanted.held and self.value.copies(model) <= 1:
                continue
            if self.now - holding.since < RESIDENCE_S:
                continue
            lost += self.value.loss(model)
            if KEEP_ADVANTAGE * lost > gain:
                return None
            victims.append(model)
            room += model_mb(model, holding, self.engine)
            if room >= 0:
                return victims
        return None

    # Adapters.

    def _plan_adapters(self) -> None:
        missing = []
        for model, wanted in self.wanted.items():
            for adapter, demand in wanted.adapters.items():
                if (demand.held or demand.rate >= LEAST_RATE) and not self._adapter_stands(model, adapter):
                    missing.append((-demand.held, -demand.worth, model, adapter))
        for _, _, model, adapter in sorted(missing):
            self._place_adapter(model, adapter)

    def _adapter_stands(self, model: str, adapter: str) -> bool:
        return (model, adapter) in self._adapters

    def _place_adapter(self, model: str, adapter: str) -> None:
        facts = self.engine.models.get(model)
        hosts = [
            backend
            for backend in self.backends
            if model in backend.models
            and (model, "") not in backend.leaving
            and backend.free
            and backend.id not in self._ordered
        ]
        if facts is None or not hosts:
            return
        roomy = [
            backend
            for backend in hosts
            if used_adapters(backend) < self.engine.adapter_slots
            and used_mb(backend, self.engine) + facts.adapter_size_mb <= self.engine.weights_mb
        ]
        if roomy:
            backend = min(
                roomy, key=lambda backend: (used_adapters(backend), -rendezvous_weight(f"{model}/{adapter}", backend.address))
            )
            self._add(Order(backend.id, Operation.LOAD, model, adapter, expected_s=0.05, why="adapter wanted"))
            return
        self._make_adapter_room(hosts, model, adapter)

    def _make_adapter_room(self, hosts: Iterable[BackendView], model: str, adapter: str) -> None:
        gain = self._adapter_value(model, adapter)
        best: tuple[float, BackendView, str, str] | None = None
        for backend in hosts:
            for other, holding in backend.models.items():
                for name in holding.adapters:
                    lost = self._adapter_value(other, name)
                    if best is None or lost < best[0]:
                        best = (lost, backend, other, name)
        if best is not None and KEEP_ADVANTAGE * best[0] < gain:
            self._add(
                Order(best[1].id, Operation.UNLOAD, best[2], best[3], expected_s=0.05, why=f"makes room for {model}/{adapter}")
            )

    def _adapter_value(self, model: str, adapter: str) -> float:
        wanted = self.wanted.get(model)
        demand = wanted.adapters.get(adapter) if wanted is not None else None
        return demand.worth + HELD_VALUE * demand.held if demand is not None else 0.0
