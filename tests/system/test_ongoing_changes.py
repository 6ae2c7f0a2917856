"""A change that is sent again while it is under way: it is carried out once, and every request gets its outcome."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from mulleinhatch.control_plane.background_tasks import BackgroundTasks
from mulleinhatch.control_plane.configuration_changes import ConfigurationResult, ResultKind
from mulleinhatch.control_plane.ongoing_changes import MAX_ONGOING, ChangeKey, OngoingChanges
from mulleinhatch.replication import state as control_state
from mulleinhatch.replication.state import ChangeOutcome, ControlState
from mulleinhatch.simulation.control_plane import World, play_script
from mulleinhatch.simulation.control_plane.clients import Operator

SHORT_S, LONG_S = 0.01, 5.0


def key(number: int) -> ChangeKey:
    return ChangeKey(1, f"digest-{number}")


class Joining(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.changes: OngoingChanges[str] = OngoingChanges(BackgroundTasks())
        self.starts = 0
        self.end = asyncio.Event()

    async def work(self) -> str:
        self.starts += 1
        await self.end.wait()
        return "committed"

    # Guards against a repeated change that starts its check anew.
    async def test_a_change_that_is_sent_again_joins_the_one_under_way(self):
        waiting = [asyncio.create_task(self.changes.join(key(1), self.work, LONG_S)) for _ in range(3)]
        await asyncio.sleep(0)
        self.end.set()
        self.assertEqual(await asyncio.gather(*waiting), ["committed"] * 3)
        self.assertEqual(self.starts, 1)

    # Guards against work that is lost because its operator stopped waiting.
    async def test_a_change_goes_on_when_nobody_waits_for_it(self):
        self.assertIsNone(await self.changes.join(key(1), self.work, SHORT_S))
        again = asyncio.create_task(self.changes.join(key(1), self.work, LONG_S))
        await asyncio.sleep(0)
        self.end.set()
        self.assertEqual(await again, "committed")
        self.assertEqual(self.starts, 1)

    async def test_the_same_body_on_another_version_is_another_change(self):
        for base in (1, 2):
            await self.changes.join(ChangeKey(base, "digest"), self.work, SHORT_S)
        self.assertEqual(self.starts, 2)

    async def test_the_number_of_changes_under_way_is_bounded(self):
        for number in range(MAX_ONGOING + 1):
            self.assertIsNone(await self.changes.join(key(number), self.work, 0.0))
        await asyncio.sleep(0)
        self.assertEqual(self.starts, MAX_ONGOING)

    async def test_a_failure_reaches_every_request_and_the_next_one_starts_anew(self):
        async def fail() -> str:
            await self.end.wait()
            raise ValueError("a defect")

        waiting = [asyncio.create_task(self.changes.join(key(1), fail, LONG_S)) for _ in range(2)]
        await asyncio.sleep(0)
        self.end.set()
        for task in waiting:
            with self.assertRaises(ValueError):
                await task
        self.assertEqual(await self.changes.join(key(1), self.work, LONG_S), "committed")


class StaleBase(unittest.TestCase):
    # Guards against a change that is bound to be rejected and costs as much as one that is accepted.
    def test_a_change_on_another_version_is_rejected_without_being_read(self):
        with mock.patch.object(control_state, "read_object_steps") as read:
            rejection = ControlState().check("PATCH", 7, b'{"version": 8}' + b" " * 1000).err_value
        self.assertIs(rejection.outcome, ChangeOutcome.CONFLICT)
        read.assert_not_called()


class FormerHead(unittest.TestCase):
    # Guards against a machine that acknowledges a repeated change after it has left the head of the chain.
    def test_a_machine_that_lost_its_place_meanwhile_does_not_acknowledge_again(self):
        async def script(world: World) -> None:
            operator, node = Operator(world, "one"), world.machines[0].node
            sent = operator.change(0)
            await operator.send_until_answered(sent)
            repeated = sent.method, sent.base, sent.body
            self.assertIs((await node.change_configuration(*repeated)).kind, ResultKind.OK)
            with mock.patch.object(node.configuration_changes._gate, "can_accept_writes", side_effect=[True, False]):
                self.assertIs((await node.change_configuration(*repeated)).kind, ResultKind.RETRY)
            already = await node.slicer.run("check", node.state.check_steps(*repeated))
            with mock.patch.object(node.configuration_changes._gate, "can_accept_writes", return_value=False):
                self.assertIs((await node.configuration_changes._reject(already.err_value)).kind, ResultKind.RETRY)

        play_script(script)


class Claims(unittest.TestCase):
    # Guards against a check that keeps the placement without a leader until it ends.
    def test_the_leadership_is_claimed_while_a_change_is_checked(self):
        async def script(world: World) -> None:
            machine = world.machines[0]
            checking, end = asyncio.Event(), asyncio.Event()

            async def check(*_: object) -> ConfigurationResult:
                checking.set()
                await end.wait()
                return ConfigurationResult(ResultKind.RETRY)

            changes = machine.node.configuration_changes
            with mock.patch.object(changes._slicer, "run", check):
                operator = Operator(world, "one")
                world.loop.start(operator.send_until_answered(operator.change(0)))
                await checking.wait()
                async with asyncio.timeout(1.0):
                    self.assertGreater(await machine.node.claim_leadership(), 0)
                end.set()

        self.assertEqual(play_script(script).violations, [])


if __name__ == "__main__":
    unittest.main()
