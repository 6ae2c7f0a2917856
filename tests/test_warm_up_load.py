"""An instance that warms up gets no more handed-over requests than it can serve, however many peers send them."""

from __future__ import annotations

import pytest

from mulleinhatch.admission.interface import Effect
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.simulation.gossip_world import Plan
from mulleinhatch.simulation.load_balancing_world import Load, LoadBalancingWorld

WINDOWS_S = (1.5, 5.0)  # windows over which the settings limit what peers send


@pytest.mark.parametrize(
    "senders, warming, joining, load, until",
    [(1, 3, 0, 0.9, 16.0), (5, 3, 0, 0.9, 16.0), (20, 3, 0, 1.1, 14.0), (30, 4, 5, 1.1, 13.0)],
)
def test_handed_over_requests_stay_within_the_warm_up_ramp(
    senders: int, warming: int, joining: int, load: float, until: float
) -> None:
    """Several instances restart at once, and peers still have their earlier reports; some senders join during the warm-up."""
    script = "\n".join(
        [f"at 6 kill {place} for 1" for place in range(senders, senders + warming)]
        + [f"at {4 + place} kill {place} for 4" for place in range(joining)]
    )
    world = LoadBalancingWorld(
        Plan(senders + warming, script, until=until, seed=2),
        Load(load, callers=max(4, senders), busy_callers=senders, cold_speed=0.25, cold_for=12.0),
        "spread",
    ).play()
    for window in WINDOWS_S:
        excess, received = world.ramp_excess(window)
        assert received > 10 and excess <= 0.0, (window, excess, received)


def test_free_capacity_follows_the_ramp_and_is_not_reported_while_warming_up() -> None:
    deployment = {"op_types": [{"effect": Effect.RETRYABLE}], "cores": 8, "cold_for": 10.0, "cold_speed": 0.25}
    reducer = Reducer(deployment, ["read"], [], 7)
    reducer.reduce(0.0, Event.LINK_OPENED)
    reducer.reduce(0.0, Event.INTERPRETER_READY, True, 0.0)
    assert [reducer.free_capacity(at) for at in (0.0, 5.0, 10.0)] == [2, 5, 8]
    assert [reducer.advertised_capacity(at) for at in (0.0, 9.9, 10.0)] == [0, 0, 8]
