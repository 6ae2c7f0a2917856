"""A cold instance bears what all that hand ops over to it send together, however many they are and whatever they know of it."""

from __future__ import annotations

import pytest

from mulleinhatch.admission.interface import Effect
from mulleinhatch.instance.request_state_machine.reducer import Happening, Reducer
from mulleinhatch.simulation.gossip_world import Plan
from mulleinhatch.simulation.load_balancing_world import Load, SpreadWorld

STATED = (1.5, 5.0)  # seconds: the times over which settings count


@pytest.mark.parametrize(
    "senders, cold, joining, load, until",
    [(1, 3, 0, 0.9, 16.0), (5, 3, 0, 0.9, 16.0), (20, 3, 0, 1.1, 14.0), (30, 4, 5, 1.1, 13.0)],
)
def test_what_peers_send_to_cold_ones_stays_within_the_ramp(
    senders: int, cold: int, joining: int, load: float, until: float
) -> None:
    """Several come back cold at once, after reports of their former lives; some senders join while they warm up."""
    script = "\n".join(
        [f"at 6 kill {place} for 1" for place in range(senders, senders + cold)]
        + [f"at {4 + place} kill {place} for 4" for place in range(joining)]
    )
    world = SpreadWorld(
        Plan(senders + cold, script, until=until, seed=2),
        Load(load, callers=max(4, senders), busy_callers=senders, cold_speed=0.25, cold_for=12.0),
        "spread",
    ).play()
    for window in STATED:
        over, came = world.over_ramp(window)
        assert came > 10 and over <= 0.0, (window, over, came)


def test_room_follows_the_ramp_and_is_told_to_nobody_who_would_guess_by_it() -> None:
    deployment = {"op_types": [{"effect": Effect.RETRYABLE}], "cores": 8, "cold_for": 10.0, "cold_speed": 0.25}
    reducer = Reducer(deployment, ["read"], [], 7)
    reducer.reduce(0.0, Happening.LINK_OPENED)
    reducer.reduce(0.0, Happening.INTERPRETER_UP, True, 0.0)
    assert [reducer.room(at) for at in (0.0, 5.0, 10.0)] == [2, 5, 8]
    assert [reducer.room_told(at) for at in (0.0, 9.9, 10.0)] == [0, 0, 8]
