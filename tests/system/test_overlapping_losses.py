"""Overlapping failures, scripted in virtual time: a partition, then loss of the tolerated disks and power loss everywhere.

The surviving disks hold every acknowledged change, so the control plane must serve again, and must not serve an
older version meanwhile.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from mulleinhatch.control_plane.configuration_changes import ResultKind
from mulleinhatch.messages.cluster import SnapshotRequest
from mulleinhatch.simulation.control_plane import Defect, History, World, play_script
from mulleinhatch.simulation.control_plane.clients import Operator, SubmittedChange
from mulleinhatch.simulation.control_plane.fault_actions import CATCH_UP_S
from mulleinhatch.simulation.control_plane.machines import Machine
from mulleinhatch.simulation.control_plane.world import RECOVERY_S

Script = Callable[[World], Coroutine[Any, Any, None]]
VIEW_CHANGE_S = 2.0  # enough for the connected machines to form a view without the others
STEP_S = 0.001


async def change(world: World) -> SubmittedChange:
    """Send changes until one is acknowledged."""
    operator = Operator(world, f"op-{world.loop.time():.3f}")
    for _ in range(12):
        sent = operator.change(world.checker.assumed_version)
        world.checker.record_submission(sent)
        await operator.send_until_answered(sent)
        if sent.acknowledged_at >= 0:
            return sent
        await asyncio.sleep(0.2)
    raise AssertionError(f"no change was acknowledged by {world.loop.time():.2f}")


def disconnect_from_others(world: World, machines: list[Machine]) -> None:
    world.record_fault_event()
    for machine in machines:
        for other in world.machines:
            if other not in machines:
                world.links.disconnect(machine, other)


def power_off_all(world: World, wiped: list[Machine]) -> None:
    world.record_fault_event()
    for machine in world.machines:
        machine.stop(wipe=machine in wiped)
        machine.lost_until = 1e9
    for plane in world.planes:
        plane.stop()


def power_on_all(world: World) -> None:
    world.links.clear()
    for machine in world.machines:
        machine.start()
        machine.lost_until = world.loop.time() + CATCH_UP_S
    for plane in world.planes:
        plane.start()
    world.record_fault_event()


async def until(world: World, condition: Callable[[], bool], within_s: float = 5.0) -> None:
    end = world.loop.time() + within_s
    while not condition():
        assert world.loop.time() < end, f"the condition does not hold by {end:.2f}"
        await asyncio.sleep(STEP_S)


async def lose_all_but_one_replica(world: World, survivor: int = 0) -> SubmittedChange:
    """Disconnect as many machines as may be lost, commit a change without them, then lose all but one of its replicas' disks.

    The survivor has the complete log, but can't tell whether its last entry is committed: only the lost replicas knew it.
    """
    tolerated = world.plan.tolerated
    await change(world)
    disconnect_from_others(world, world.machines[-tolerated:])
    await asyncio.sleep(VIEW_CHANGE_S)
    sent = await change(world)
    replicas = world.machines[: tolerated + 1]
    power_off_all(world, [machine for machine in replicas if machine.number != survivor])
    await asyncio.sleep(0.5)
    power_on_all(world)
    return sent


class OverlappingLosses(unittest.TestCase):
    def play_checked(self, script: Script, machines: int = 3, tolerated: int = 1) -> History:
        history = play_script(script, 1, machines, tolerated)
        self.assertEqual(history.violations, [])
        return history

    async def check_serves_again(self, world: World, survivor: int = 0) -> None:
        sent = await lose_all_but_one_replica(world, survivor)
        await asyncio.sleep(CATCH_UP_S)
        self.assertEqual(world.machines[survivor].node.state.document.version, sent.version)
        await change(world)

    def test_serves_again_when_no_survivor_knows_what_was_committed(self):
        """Regression (seed 100128): the surviving replica served no snapshot until it knew what a lost one had committed."""
        self.play_checked(self.check_serves_again)

    def test_serves_again_after_the_loss_of_two_of_five(self):
        """Regression: as above with five machines, where the surviving replica was the head or in the middle of the chain."""
        for survivor in (0, 1, 2):
            self.play_checked(lambda world, survivor=survivor: self.check_serves_again(world, survivor), 5, 2)

    def test_a_joined_replica_serves_no_older_version(self):
        """Regression: a replica that joined by such a snapshot counted as current before it knew that the change was committed.

        Meanwhile its appends to the tail, which has joined too, get no response.
        """

        def check(machine: Machine, sent: SubmittedChange) -> None:
            if machine.node.has_majority_contact():
                self.assertGreaterEqual(machine.node.state.document.version, sent.version)

        async def script(world: World, check: Callable[[Machine, SubmittedChange], None] = check) -> None:
            sent = await lose_all_but_one_replica(world)
            await until(world, lambda: len(world.machines[0].node.view.chain) == 3)
            middle, tail = (
                next(machine for machine in world.machines if machine.node.member.identity == member.identity)
                for member in world.machines[0].node.view.chain[1:]
            )
            world.links.disconnect(middle, tail)
            world.record_fault_event()
            await until(world, lambda: middle.node.replica.log_complete)
            end = world.loop.time() + 3.0
            while world.loop.time() < end:
                check(middle, sent)
                await asyncio.sleep(STEP_S)
            world.links.clear()
            world.record_fault_event()
            await asyncio.sleep(CATCH_UP_S)
            await change(world)

        async def script_without_check(world: World) -> None:
            await script(world, lambda machine, sent: None)

        self.play_checked(script)
        self.assertTrue(play_script(script_without_check, defect=Defect.CURRENT_BEFORE_COMMIT).violations)

    def test_serves_no_snapshot_of_uncertain_state_to_an_earlier_version(self):
        """A process of such a version does not send `awaits_commit`, and would count as current at once."""

        async def script(world: World) -> None:
            await lose_all_but_one_replica(world)
            node = world.machines[0].node
            self.assertEqual((node.replica.log_complete, node.replica.is_current), (True, False))
            for awaits_commit in (False, True):
                request = SnapshotRequest(epoch=node.view.epoch, awaits_commit=awaits_commit)
                response = await node.snapshot_server.on_snapshot(request)
                self.assertIs(response.available, awaits_commit)
            await asyncio.sleep(CATCH_UP_S)
            response = await node.snapshot_server.on_snapshot(SnapshotRequest(epoch=node.view.epoch))
            self.assertTrue(response.available)

        self.play_checked(script)

    # Guards against a core that never answers again after a zone lost its disks while another zone was cut off.
    def test_serves_again_after_a_zone_is_lost_while_another_is_cut_off(self):
        async def script(world: World) -> None:
            await change(world)
            disconnect_from_others(world, [machine for machine in world.machines if machine.zone == "z1"])
            await asyncio.sleep(VIEW_CHANGE_S)
            lost = [machine for machine in world.machines if machine.zone == "z0"]
            for machine in lost:
                machine.stop(wipe=True)
            world.record_fault_event()
            await asyncio.sleep(0.5)
            world.links.clear()
            for machine in lost:
                machine.start()
            world.record_fault_event()
            await asyncio.sleep(RECOVERY_S)
            await change(world)

        play_script(script, machines=5, tolerated=1, zones=3, zones_tolerated=1)


class LostAppend(unittest.TestCase):
    def test_a_change_whose_append_is_lost_is_acknowledged_within_a_second(self):
        """Regression: it took 1.6 s until the append was sent again, and twice as long if that one was lost too."""

        async def script(world: World) -> None:
            await change(world)
            await asyncio.sleep(0.3)  # no append is in flight
            first, second, _ = world.machines
            operator = Operator(world, "lost")
            sent = operator.change(world.checker.assumed_version)
            world.links.disconnect(first, second, both=False)
            answer = world.loop.start(first.node.change_configuration(sent.method, sent.base, sent.body), first.process)
            sent_at = world.loop.time()
            await until(world, lambda: first.node.replica.last_index > second.node.replica.last_index)
            await asyncio.sleep(0.02)  # the append is lost
            world.links.reconnect(first, second, both=False)
            await until(world, answer.done)
            self.assertIs(answer.result().kind, ResultKind.OK)
            self.assertLess(world.loop.time() - sent_at, 1.0)

        play_script(script)

    def test_view_changes_in_quick_succession_cancel_a_wait_once(self):
        """A timeout that has expired must not be rescheduled before its wait has returned."""

        async def script(world: World) -> None:
            first, second, _ = world.machines
            world.links.disconnect(second, first, both=False)
            operator = Operator(world, "pending")
            pending = operator.change(world.checker.assumed_version)
            world.checker.record_submission(pending)
            world.loop.start(first.node.change_configuration(pending.method, pending.base, pending.body), first.process)
            replicator = first.node._log_replicator
            await until(world, lambda: replicator._awaited_append is not None)
            for _ in range(3):
                replicator.on_view_changed()
                await asyncio.sleep(0)
            world.links.clear()
            await operator.send_until_answered(pending)
            self.assertGreaterEqual(pending.acknowledged_at, 0.0)

        self.assertEqual(play_script(script).violations, [])


class Majority(unittest.TestCase):
    def test_a_machine_with_a_wiped_disk_counts_after_enough_time_in_contact(self):
        """The checker considered a control plane of one voter and one empty machine stable (seeds 100237, 730225)."""

        async def script(world: World) -> None:
            first, second, third = world.machines
            power_off_all(world, [third])
            await asyncio.sleep(0.5)
            self.assertFalse(world.majority.has_majority())
            power_on_all(world)
            await asyncio.sleep(1.0)
            self.assertTrue(world.majority.has_majority())
            self.assertFalse(world.majority.counts(third))
            disconnect_from_others(world, [second])
            await asyncio.sleep(CATCH_UP_S + 1.0)
            self.assertFalse(world.majority.has_majority(), "first and an empty machine")
            self.assertFalse(world.majority.counts(third), "no time counts without a majority")
            world.links.clear()
            await asyncio.sleep(CATCH_UP_S + 0.2)
            self.assertTrue(world.majority.counts(third))
            disconnect_from_others(world, [second])
            await asyncio.sleep(1.0)
            self.assertTrue(world.majority.has_majority(), "first and third")
            self.assertTrue(world.majority.has_majority_since(world.loop.time() - CATCH_UP_S))

        play_script(script)


class FormerHead(unittest.TestCase):
    def test_does_not_acknowledge_a_change_that_the_next_head_does_not_know_is_committed(self):
        """Regression (seeds 100886, 102475): a head left the chain while its change was pending, then acknowledged it.

        It had learned from a snapshot of the tail that the change was committed. The next head did not know it yet, as the
        responses to its appends were lost, and served the previous version.
        """

        async def script(world: World) -> None:
            await change(world)
            await asyncio.sleep(0.3)  # no append is in flight
            first, second, third = world.machines
            world.links.disconnect(third, second, both=False)
            operator = Operator(world, "pending")
            sent = operator.change(world.checker.assumed_version)
            world.checker.record_submission(sent)
            answer = world.loop.start(first.node.change_configuration(sent.method, sent.base, sent.body), first.process)
            await until(world, lambda: third.node.state.document.version == sent.version)
            first.node.leaving = True  # the next view has a chain without it
            await until(world, lambda: first.node.replica.position < 0)
            first.node.leaving = False
            await until(world, answer.done)
            await until(world, second.node.has_majority_contact)
            if answer.result().kind is ResultKind.OK:
                world.checker.record_answer(sent, 200)
            world.links.reconnect(third, second, both=False)
            await operator.send_until_answered(sent)
            await asyncio.sleep(CATCH_UP_S)
            await change(world)

        self.assertEqual(play_script(script).violations, [])
        self.assertTrue(play_script(script, defect=Defect.FORMER_HEAD_ACKNOWLEDGES).violations)


if __name__ == "__main__":
    unittest.main()
