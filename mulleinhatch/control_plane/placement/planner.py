"""Which models and adapters should stand where: from what stubs hold and what is asked for to the next orders. Pure.

Each stub carries out one order at a time, so the plan names at most one order for each. A model that is wanted and stands
nowhere comes first, then further copies of busy ones; what makes room is what is worth least. Sizes in MB, times in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from mulleinhatch.configuration.routes import Engine, ModelFacts
from mulleinhatch.control_plane.placement.demand import Wanted
from mulleinhatch.control_plane.placement.holdings import Operation, Order, StubView, model_mb, used_adapters, used_mb
from mulleinhatch.control_plane.placement.value import HELD_VALUE, LEAST_RATE, ModelValue
from mulleinhatch.membership.rendezvous import weight

KEEP_ADVANTAGE = 3.0  # what stands is worth this much more than what would come: nothing comes and goes for noise
RESIDENCE_S = 1.5  # a model stays so long after its load, that who waited for it is served
WARM_S = 1.0  # a load from the stub's own disk, as far as is known
UNLOAD_S = 0.2  # that each unload before a load costs, in seconds
DISTURBANCE = 0.5  # seconds that a load is dearer for each request a second for adapters at that stub


class Planner:
    """One look at one service."""

    def __init__(
        self, engine: Engine, stubs: Sequence[StubView], wanted: Mapping[str, Wanted], now: float, store_room: int
    ) -> None:
        self.engine, self.wanted, self.now, self.store_room = engine, wanted, now, store_room
        self.stubs = [stub for stub in stubs if stub.serving]
        self.orders: list[Order] = []
        self._ordered: set[str] = set()
        self.value = ModelValue(self.stubs, wanted)
        self._adapters = {pair for stub in self.stubs for pair in stub.standing_adapters()}

    def plan(self) -> list[Order]:
        """At most one order for each stub."""
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
        for stub in self.stubs:
            facts = self.engine.models.get(stub.reserved)
            if facts is None or not stub.free or stub.reserved in stub.models:
                continue
            if self.store_room <= 0 and facts.name not in stub.held_before:
                continue
            victims = self._victims(stub, facts)
            if victims is not None:
                self._order_model(stub, facts, victims)

    def _place(self, model: str) -> None:
        facts = self.engine.models[model]
        best: tuple[float, float, StubView, list[str]] | None = None
        for stub in self.stubs:
            if not stub.free or stub.id in self._ordered or stub.reserved or model in stub.models or (model, "") in stub.coming:
                continue
            warm = model in stub.held_before
            if not warm and self.store_room <= 0:
                continue
            victims = self._victims(stub, facts)
            if victims is None:
                continue
            cost = self._cost(stub, facts, warm, victims)
            key = (cost, -weight(model, stub.address) / 2**64)
            if best is None or key < best[:2]:
                best = (*key, stub, victims)
        if best is not None:
            self._order_model(best[2], facts, best[3])

    def _cost(self, stub: StubView, facts: ModelFacts, warm: bool, victims: list[str]) -> float:
        """Of a placement at a stub: seconds until it stands, with what gives way and what is disturbed counted as such."""
        delay = (WARM_S if warm else facts.load_s) + UNLOAD_S * len(victims)
        return delay + sum(self.value.loss(victim) for victim in victims) + DISTURBANCE * self._adapter_rate(stub)

    def _order_model(self, stub: StubView, facts: ModelFacts, victims: list[str]) -> None:
        load = self._load(stub, facts)
        if not victims:
            self.store_room -= load.from_store
            self._add(load)
            return
        why = f"makes room for {facts.name}"
        then = load if len(victims) == 1 else None
        self._add(Order(stub.id, Operation.UNLOAD, victims[0], expected_s=0.1, why=why, reserve=facts.name, then=then))

    def _load(self, stub: StubView, facts: ModelFacts) -> Order:
        warm = facts.name in stub.held_before
        why = f"value {self.value.wanted(facts.name):.2f}, copies {self.value.copies(facts.name)}"
        expected_s = WARM_S if warm else facts.load_s
        return Order(stub.id, Operation.LOAD, facts.name, from_store=not warm, expected_s=expected_s, why=why)

    def _add(self, order: Order) -> None:
        self.orders.append(order)
        self._ordered.add(order.stub_id)
        if order.operation is Operation.UNLOAD and not order.adapter:
            self.value.gives_up(order.model)

    def _adapter_rate(self, stub: StubView) -> float:
        """Requests a second for adapters that may need an order at this stub."""
        return sum(
            sum(adapter.rate for adapter in self.wanted[model].adapters.values()) / max(1, self.value.copies(model))
            for model in stub.models
            if model in self.wanted
        )

    def _victims(self, stub: StubView, facts: ModelFacts) -> list[str] | None:
        """Models whose going makes room for one, cheapest first; None where that costs more than it brings."""
        room = self.engine.weights_mb - used_mb(stub, self.engine) - facts.weights_mb
        if room >= 0:
            return []
        victims, lost = [], 0.0
        gain = self.value.gain(facts.name, stub.reserved == facts.name)
        standing = sorted(
            (model for model in stub.models if (model, "") not in stub.leaving),
            key=lambda model: (self.value.loss(model), model),
        )
        for model in standing:
            holding, wanted = stub.models[model], self.wanted.get(model)
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
            stub
            for stub in self.stubs
            if model in stub.models and (model, "") not in stub.leaving and stub.free and stub.id not in self._ordered
        ]
        if facts is None or not hosts:
            return
        roomy = [
            stub
            for stub in hosts
            if used_adapters(stub) < self.engine.adapter_slots
            and used_mb(stub, self.engine) + facts.adapter_size_mb <= self.engine.weights_mb
        ]
        if roomy:
            stub = min(roomy, key=lambda stub: (used_adapters(stub), -weight(f"{model}/{adapter}", stub.address)))
            self._add(Order(stub.id, Operation.LOAD, model, adapter, expected_s=0.05, why="adapter wanted"))
            return
        self._make_adapter_room(hosts, model, adapter)

    def _make_adapter_room(self, hosts: Iterable[StubView], model: str, adapter: str) -> None:
        gain = self._adapter_value(model, adapter)
        best: tuple[float, StubView, str, str] | None = None
        for stub in hosts:
            for other, holding in stub.models.items():
                for name in holding.adapters:
                    lost = self._adapter_value(other, name)
                    if best is None or lost < best[0]:
                        best = (lost, stub, other, name)
        if best is not None and KEEP_ADVANTAGE * best[0] < gain:
            self._add(
                Order(best[1].id, Operation.UNLOAD, best[2], best[3], expected_s=0.05, why=f"makes room for {model}/{adapter}")
            )

    def _adapter_value(self, model: str, adapter: str) -> float:
        wanted = self.wanted.get(model)
        demand = wanted.adapters.get(adapter) if wanted is not None else None
        return demand.worth + HELD_VALUE * demand.held if demand is not None else 0.0
