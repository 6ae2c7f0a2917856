"""Large changes of the configuration on a control plane whose work takes processor time, in virtual time."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import replace
from multiprocessing import get_context
from typing import Any
from unittest import mock

import pytest

from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.simulation.control_plane import Defect, World, play_calm, play_script, play_throttled
from mulleinhatch.simulation.control_plane.clients import Operator, SubmittedChange, routes_of
from mulleinhatch.simulation.control_plane.machines import Machine

SHARE = 0.5  # of a core, for each control plane
ACKNOWLEDGE_S, ACKNOWLEDGE_PER_ROUTE_S = 5.0, 0.003  # the stated bound of an acknowledgement
ROUTES = 1600
MAX_HISTORIES = 5  # number of histories within which an injected defect must be found
SMALL_SHARE, LONG_CHECK_ROUTES, LONG_CHECK_S = 0.1, 12_000, 30.0  # a request is answered after 2.5 s at the latest
VIEW_CHANGE_S = 2.0  # from the loss of the head to the next one


@contextmanager
def kill_during_check(world: World, machine: Machine) -> Iterator[list[int]]:
    """Kill a machine's process in its first check of a change, and start it again a second later; yield who was killed."""
    killed: list[int] = []
    run, process = TimeSlicer.run, machine.process

    async def killing_run(self: TimeSlicer, name: str, steps: Any) -> Any:
        if not killed and self is machine.node.slicer and "check" in name:
            killed.append(machine.number)
            world.record_fault_event()
            world.loop.call_later(0.01, machine.stop)
            world.loop.call_later(1.0, machine.start)
        return await run(self, name, steps)

    assert process is not None
    with mock.patch.object(TimeSlicer, "run", killing_run):
        yield killed


async def first_change(world: World) -> SubmittedChange:
    """Send the first configuration, after the machines that joined are in the chain."""
    await asyncio.sleep(4.0)
    operator = Operator(world, "first")
    sent = operator.change(0)
    world.checker.record_submission(sent)
    await operator.send_until_answered(sent)
    return sent


async def send_for(world: World, operator: Operator, sent: SubmittedChange, bound_s: float) -> float:
    """Send a change until it is acknowledged or the bound is over; return the time that it took."""
    began_at = world.loop.time()
    world.checker.record_submission(sent)
    while sent.acknowledged_at < 0 and world.loop.time() < began_at + bound_s:
        await operator.send_until_answered(sent)
    return world.loop.time() - began_at


class LargeChanges(unittest.TestCase):
    def play_checked(self, script: Any, machines: int = 5, tolerated: int = 2) -> None:
        history = play_script(script, 1, machines, tolerated, processor_share=SHARE)
        self.assertEqual(history.violations, [])

    # Guards against SHORT on cts-hatch-grown: the check of a large change silenced each head in turn, and nobody committed it.
    def test_a_large_change_is_acknowledged_without_a_view_change(self):
        async def script(world: World) -> None:
            await first_change(world)
            epoch, operator = world.newest_epoch(), Operator(world, "large")
            sent = operator.large_change(world.checker.assumed_version, routes_of(ROUTES))
            bound_s = ACKNOWLEDGE_S + ROUTES * ACKNOWLEDGE_PER_ROUTE_S
            took_s = await send_for(world, operator, sent, bound_s)
            self.assertLess(took_s, bound_s)
            self.assertEqual(sent.answers[-1], 200)
            self.assertEqual(world.newest_epoch(), epoch)

        self.play_checked(script)

    def test_a_large_change_sent_at_three_machines_at_once_is_acknowledged_by_each(self):
        async def script(world: World) -> None:
            await first_change(world)
            epoch, operators = world.newest_epoch(), [Operator(world, f"large-{number}") for number in range(3)]
            sent = operators[0].large_change(world.checker.assumed_version, routes_of(ROUTES))
            copies = [replace(sent, answers=[]) for _ in operators]
            bound_s = ACKNOWLEDGE_S + ROUTES * ACKNOWLEDGE_PER_ROUTE_S
            await asyncio.gather(*(send_for(world, *pair, bound_s) for pair in zip(operators, copies, strict=True)))
            for copy in copies:
                self.assertEqual(copy.answers[-1], 200)
            self.assertEqual(world.newest_epoch(), epoch)

        self.play_checked(script)

    def test_a_large_change_is_acknowledged_after_a_kill_of_the_head_that_checks_it(self):
        async def script(world: World) -> None:
            await first_change(world)
            operator = Operator(world, "large")
            sent = operator.large_change(world.checker.assumed_version, routes_of(ROUTES))
            head = next(machine for machine in world.machines if machine.node.replica.is_head)
            with kill_during_check(world, head) as kills:
                bound_s = VIEW_CHANGE_S + ACKNOWLEDGE_S + ROUTES * ACKNOWLEDGE_PER_ROUTE_S
                self.assertLess(await send_for(world, operator, sent, bound_s), bound_s)
            self.assertEqual(kills, [head.number])
            self.assertEqual(sent.answers[-1], 200)

        self.play_checked(script)

    def test_a_large_change_that_is_refused_at_its_end_costs_no_view_change(self):
        async def script(world: World) -> None:
            await first_change(world)
            epoch, operator = world.newest_epoch(), Operator(world, "large")
            routes = [*routes_of(ROUTES), {**routes_of(1)[0], "name": "last", "timeout_ms": 0}]
            sent = operator.large_change(world.checker.assumed_version, routes)
            world.checker.record_submission(sent)
            await operator.send_until_answered(sent)
            self.assertEqual(sent.answers, [400])
            self.assertEqual(world.newest_epoch(), epoch)

        self.play_checked(script)


@pytest.mark.parametrize(("seed", "machines"), [(1, 3), (2, 3), (1, 5)])
def test_large_changes_without_a_fault_change_no_view(seed: int, machines: int) -> None:
    history = play_calm(seed, machines, machines // 2)
    assert history.violations == []
    assert any(sent.routes and 200 in sent.answers for sent in history.sent)


def test_work_in_one_piece_is_found_by_a_history_without_faults() -> None:
    assert play_calm(1, defect=Defect.WORK_IN_ONE_PIECE).violations


@pytest.mark.parametrize(("seed", "machines"), [(1, 3), (2, 5)])
def test_small_quotas_of_processor_time_change_no_view(seed: int, machines: int) -> None:
    history = play_throttled(seed, machines, machines // 2)
    assert history.violations == []


def violates_with_slow_taken_for_lost(seed: int) -> bool:
    """Return whether a history with this injected defect violates an invariant."""
    return bool(play_throttled(seed, defect=Defect.SLOW_IS_LOST).violations)


# The processor model counts calls, and caches that earlier tests filled save some: in a fresh process a seed is one history.
def test_a_detector_that_takes_slow_for_lost_is_found_by_a_history_on_small_quotas() -> None:
    with ProcessPoolExecutor(1, get_context("spawn"), max_tasks_per_child=1) as executor:
        assert any(executor.map(violates_with_slow_taken_for_lost, range(1, MAX_HISTORIES + 1)))


@pytest.mark.parametrize(("defect", "acknowledged"), [(Defect.NONE, True), (Defect.REPETITION_STARTS_ANEW, False)])
def test_a_change_whose_check_outlasts_every_request_is_acknowledged(defect: Defect, acknowledged: bool) -> None:
    """Guards against a change that is checked anew at each repetition, and never to its end."""
    sent: list[SubmittedChange] = []

    async def script(world: World) -> None:
        await first_change(world)
        operator = Operator(world, "large")
        sent.append(operator.large_change(world.checker.assumed_version, routes_of(LONG_CHECK_ROUTES)))
        await send_for(world, operator, sent[0], LONG_CHECK_S)

    play_script(script, processor_share=SMALL_SHARE, defect=defect)
    assert (sent[0].acknowledged_at >= 0) is acknowledged


if __name__ == "__main__":
    unittest.main()
