"""Incidents of users, scripted in virtual time: isolated machines, concurrent and repeated changes, failures right
after a repair, and members that restart after hundreds of changes."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from mulleinhatch.control_plane import shutdown
from mulleinhatch.messages.cluster import PollRequest, PollResponse
from mulleinhatch.networking.http_server import HttpServerRequest
from mulleinhatch.simulation.control_plane import Defect, History, World, play_script
from mulleinhatch.simulation.control_plane.clients import ControlApiClient, Operator, Reader, SubmittedChange, tenant_of
from mulleinhatch.simulation.control_plane.fault_actions import CATCH_UP_S
from mulleinhatch.simulation.control_plane.machines import Machine

CONFIRMATION_VALID_S = 1.0
Script = Callable[[World], Coroutine[Any, Any, None]]


def send_request(machine: Machine, method: str, path: str, body: bytes = b"", base: int | None = None) -> asyncio.Future:
    """Send a request to one machine without following redirects."""
    headers = {} if base is None else {"if-match": str(base)}
    loop = asyncio.get_running_loop()
    return loop.start(machine.control.handle_request(HttpServerRequest(method, path, headers, body)), machine.process)


async def change(world: World, operator: Operator | None = None) -> SubmittedChange:
    """Send changes until one is acknowledged."""
    operator = operator or Operator(world, "op")
    for _ in range(12):
        sent = operator.change(world.checker.assumed_version)
        world.checker.record_submission(sent)
        await operator.send_until_answered(sent)
        if sent.acknowledged_at >= 0:
            return sent
        await asyncio.sleep(0.2)
    raise AssertionError(f"no change was acknowledged by {world.loop.time():.2f}")


async def disconnect(world: World, machine: Machine) -> None:
    for other in world.machines:
        if other is not machine:
            world.links.disconnect(machine, other)


def stop(world: World, machine: Machine, wipe: bool = False) -> None:
    machine.stop(wipe)
    machine.lost_until = 1e9
    world.record_fault_event()


def start(world: World, machine: Machine) -> None:
    machine.start()
    machine.lost_until = world.loop.time() + CATCH_UP_S
    world.record_fault_event()


def head(world: World) -> Machine:
    newest = max(
        (machine for machine in world.machines if machine.node is not None), key=lambda machine: machine.node.view.epoch
    )
    return next(
        machine for machine in world.machines if machine.node and machine.node.member.identity == newest.node.head.identity
    )


def backend_record(state: str, sequence: int) -> bytes:
    return json.dumps({"service": "s", "address": "10.9.0.1:1", "state": state, "sequence": sequence}).encode()


class ScriptedHistory(unittest.TestCase):
    def play_checked(self, script: Script, machines: int = 3, tolerated: int = 1) -> History:
        history = play_script(script, 1, machines, tolerated)
        self.assertEqual(history.violations, [])
        return history


class IsolatedMachine(ScriptedHistory):
    """Incident 1: a control-plane node was isolated for about twenty seconds."""

    def test_neither_acknowledges_nor_rejects_nor_reads(self):
        async def script(world: World) -> None:
            await change(world)
            for machine in (head(world), world.machines[-1]):
                await disconnect(world, machine)
                started_at = world.loop.time()
                base = world.checker.assumed_version
                while world.loop.time() < started_at + 20.0:
                    stale = json.dumps({"version": base + 1, "routes": [], "services": []}).encode()
                    for method, body, on in (
                        ("PUT", stale, base),  # would be valid
                        ("PUT", stale, base + 7),  # would be rejected: builds on another version
                        ("PUT", b"{", base),  # would be rejected: can't be parsed
                        ("GET", b"", None),
                    ):
                        answer = await send_request(machine, method, "/configuration", body, on)
                        self.assertIn(answer.status, (503, 307), (method, body, world.loop.time() - started_at))
                    if world.loop.time() > started_at + 3.0:
                        await change(world)
                    await asyncio.sleep(0.7)
                world.links.clear()
                await asyncio.sleep(CATCH_UP_S)
                self.assertGreater(world.checker.assumed_version, base)

        self.play_checked(script)

    def test_acknowledges_no_departure_right_after_isolation(self):
        """Regression: 0.1 s and 5 s after isolation, departures were acknowledged though no other machine knew of them."""

        async def script(world: World) -> None:
            for machine in (head(world), world.machines[1], world.machines[2]):
                for at, wait_s in enumerate((0.0, 0.1, 5.0)):
                    name = f"/instances/i-{machine.number}-{at}"
                    ready = await send_request(machine, "PUT", name, backend_record("ready", 1))
                    self.assertEqual(ready.status, 200)
                    await disconnect(world, machine)
                    await asyncio.sleep(wait_s)
                    leaving = await send_request(machine, "PUT", name, backend_record("draining", 2))
                    gone = await send_request(machine, "DELETE", name)
                    self.assertEqual((leaving.status, gone.status), (503, 503), (machine.number, wait_s))
                    world.links.clear()
                    await asyncio.sleep(CATCH_UP_S)

        self.play_checked(script)

    def test_answers_polls_without_authority(self):
        async def script(world: World) -> None:
            for machine in (head(world), world.machines[-1]):
                await disconnect(world, machine)
                await asyncio.sleep(CONFIRMATION_VALID_S + 0.1)
                body = bytes(PollRequest(node="d", wait_ms=0))
                handled = world.loop.start(
                    machine.internal_api.handle_request(HttpServerRequest("POST", "/internal/poll", {}, body)), machine.process
                )
                self.assertFalse(PollResponse().parse((await handled).body).authoritative)
                world.links.clear()
                await asyncio.sleep(CATCH_UP_S)

        self.play_checked(script)

    def test_has_no_majority_contact_while_its_disk_refuses_the_view(self):
        """Regression: with a full disk the machine stayed in the former view for 17 s, and data planes used its responses."""

        async def script(world: World) -> None:
            former = head(world)
            epoch = former.node.view.epoch
            former.full = True
            for _ in range(12):
                await change(world)
                await asyncio.sleep(0.3)
                if former.node.view.epoch == epoch and head(world) is not former and world.loop.time() > 6.0:
                    self.assertFalse(former.node.has_majority_contact())
            former.full = False
            await asyncio.sleep(CATCH_UP_S)
            self.assertEqual(former.node.view.epoch, head(world).node.view.epoch)
            self.assertTrue(former.node.has_majority_contact())
            self.assertEqual(former.node.state.document.version, world.checker.newest_acknowledged)

        self.play_checked(script)

    def test_serves_no_old_state_after_a_pause(self):
        async def script(world: World) -> None:
            former = head(world)
            former.process.frozen = True
            await asyncio.sleep(3.0)
            await change(world)
            world.loop.thaw(former.process)
            self.assertFalse(former.node.has_majority_contact())
            answer = await send_request(former, "GET", "/configuration")
            self.assertNotEqual(answer.status, 200)

        self.play_checked(script)

    def test_a_data_plane_follows_the_newest_view(self):
        async def script(world: World) -> None:
            plane = world.planes[0]
            await change(world)
            await asyncio.sleep(1.0)
            self.assertTrue(plane.snapshot.authoritative)
            self.assertEqual(plane.snapshot.table.version, world.checker.assumed_version)

        self.play_checked(script)


def configuration(version: int, note: str) -> dict[str, Any]:
    """Return a configuration whose service and tenant identify the change, as the checks of each read expect."""
    return {"version": version, "routes": [], "services": [{"name": "noted", "note": note}], "tenants": [tenant_of(note)]}


class Operators(ScriptedHistory):
    """Incident 2: two changes on one version were both acknowledged; a repeated change was rejected."""

    def test_of_two_changes_on_one_version_one_is_acknowledged(self):
        async def script(world: World) -> None:
            caller = ControlApiClient(world)
            for number in range(30):
                base = world.checker.assumed_version
                bodies = [json.dumps(configuration(base + 1, f"{operator}{number}")) for operator in "ab"]
                answers = await asyncio.gather(
                    *(
                        caller.call(world.rng.choice(world.machines), "PUT", "/configuration", body.encode(), base)
                        for body in bodies
                    )
                )
                statuses = [answer.status for answer in answers if answer is not None]
                self.assertLessEqual(statuses.count(200), 1)
                taken.append(200 in statuses)
                await asyncio.sleep(1.0)
                while not await Reader(world).read():
                    await asyncio.sleep(0.1)

        taken: list[bool] = []
        self.play_checked(script)
        self.assertGreater(sum(taken), 10)

    def test_an_acknowledged_change_is_acknowledged_again_after_newer_ones_by_any_machine(self):
        async def script(world: World) -> None:
            first = await change(world)
            for _ in range(40):
                await change(world)
            for machine in world.machines:
                answer = await ControlApiClient(world).call(machine, first.method, "/configuration", first.body, first.base)
                self.assertEqual(answer.status, 200)

        self.play_checked(script)

    def test_the_next_head_acknowledges_a_change_whose_response_was_lost(self):
        async def script(world: World) -> None:
            sent = await change(world)
            former = head(world)
            stop(world, former)
            await asyncio.sleep(3.0)
            answer = await ControlApiClient(world).call(head(world), sent.method, "/configuration", sent.body, sent.base)
            self.assertEqual(answer.status, 200)

        self.play_checked(script)


class Losses(ScriptedHistory):
    """Incident 3: a second loss right after a repair left no majority, or a leaving machine had the only replica."""

    def test_three_replacements_each_as_soon_as_the_tolerance_allows(self):
        """Regression: after three replacements, each 5.2 s after the last, no change was acknowledged."""
        for wait_s in (0.2, 1.0, 3.0):

            async def script(world: World, wait_s: float = wait_s) -> None:
                await change(world)
                for _ in range(3):
                    machine = head(world)
                    stop(world, machine, wipe=True)
                    machine.removed = True
                    await asyncio.sleep(wait_s)
                    world.add_machine(machine)
                    await asyncio.sleep(CATCH_UP_S)
                    self.assertEqual(world.lost(), 0)
                    await change(world)

            self.play_checked(script)

    def test_five_machines_repeatedly_lose_two_at_once(self):
        async def script(world: World) -> None:
            await asyncio.sleep(CATCH_UP_S)
            await change(world)
            for _ in range(3):
                for machine in [head(world), next(other for other in world.machines if other is not head(world))]:
                    stop(world, machine, wipe=True)
                    machine.removed = True
                    world.add_machine(machine)
                await asyncio.sleep(CATCH_UP_S)
                await change(world)

        self.play_checked(script, 5, 2)

    def test_a_planned_replacement_transfers_the_vote_before_the_old_machine_ends(self):
        async def script(world: World) -> None:
            await change(world)
            for _ in range(3):
                former = head(world)
                world.add_machine(former)
                await asyncio.sleep(CATCH_UP_S)
                voting = {member.identity for member in head(world).node.view.voters}
                self.assertIn(former.node.member.identity, voting)
                await world.loop.start(shutdown.leave(former.node, 8.0), former.process)
                voting = {member.identity for member in former.node.view.voters}
                self.assertNotIn(former.node.member.identity, voting)
                self.assertEqual(len(voting), 3)
                stop(world, former)
                former.removed, former.records = True, []
                world.remove(former)
                await change(world)

        self.play_checked(script)

    def test_a_leaving_machine_with_the_only_complete_replica_stays_for_its_grace_period(self):
        async def script(world: World) -> None:
            await change(world)
            last_replica = head(world)
            others = [machine for machine in world.machines if machine is not last_replica]
            for machine in others:
                stop(world, machine)
            leaving = world.loop.start(shutdown.leave(last_replica.node, 8.0), last_replica.process)
            started_at = world.loop.time()
            await asyncio.sleep(4.0)
            self.assertFalse(leaving.done())
            for machine in others:
                start(world, machine)
            await leaving
            self.assertLess(world.loop.time() - started_at, 8.0)
            stop(world, last_replica, wipe=True)
            await change(world)

        self.play_checked(script)

    def test_acknowledges_no_change_that_the_tolerated_losses_could_destroy(self):
        """One machine loses power while another leaves: the leaving one still votes, but the chain would be the head alone."""

        async def script(world: World) -> None:
            await change(world)
            leaver, next_lost = (machine for machine in world.machines if machine is not head(world))
            world.loop.start(shutdown.leave(leaver.node, 8.0), leaver.process)
            await asyncio.sleep(0.3)
            stop(world, next_lost)
            end = world.loop.time() + 6.0
            while world.loop.time() < end:
                await asyncio.wait([asyncio.ensure_future(change(world))], timeout=1.0)
            leaver.node.leaving = False  # the shutdown was cancelled
            start(world, next_lost)
            await asyncio.sleep(CATCH_UP_S)
            await change(world)

        self.play_checked(script)
        self.assertTrue(play_script(script, defect=Defect.SHORT_CHAIN).violations)

    def test_completes_a_decided_view_whose_proposer_failed(self):
        """Regression: a majority had accepted a view whose proposer lost power before it announced the decision.

        Nothing in the view in force called for a new proposal, and reads were no longer answered.
        """

        async def script(world: World) -> None:
            await change(world)
            second, third = world.machines[1], world.machines[2]
            view = second.node.view
            wanted = type(view)(epoch=view.epoch + 1, voters=view.voters, chain=view.chain[1:])
            for machine in (second, third):
                votes = machine.node.view_changer
                proposal_number = type(votes.state.promised)(number=9, proposer=second.node.member.identity)
                accept = _accept(view, proposal_number, wanted)
                answer = await world.loop.start(votes.on_accept(accept), machine.process)
                self.assertTrue(answer.granted)
            await asyncio.sleep(2.0)
            await change(world)
            self.assertGreater(head(world).node.view.epoch, view.epoch)

        self.play_checked(script)

    def test_loss_of_one_disk_and_of_all_power_right_after_an_acknowledgement(self):
        async def script(world: World) -> None:
            for lost in range(3):
                sent = await change(world)
                for machine in world.machines:
                    stop(world, machine, wipe=machine.number == lost)
                for plane in world.planes:
                    plane.stop()
                await asyncio.sleep(0.5)
                for machine in world.machines:
                    start(world, machine)
                for plane in world.planes:
                    plane.start()
                await asyncio.sleep(CATCH_UP_S + 1.0)
                answer = await ControlApiClient(world).call(world.machines[0], "GET", "/configuration", b"")
                self.assertEqual(json.loads(answer.body)["version"], sent.version)
                await asyncio.sleep(CATCH_UP_S)

        self.play_checked(script)


def _accept(base: Any, proposal_number: Any, proposed: Any) -> Any:
    from mulleinhatch.messages.cluster import AcceptRequest

    return AcceptRequest(base=base, proposal_number=proposal_number, proposed=proposed)


class ProcessorQuota(ScriptedHistory):
    """A CPU quota lets a process run at full speed until it is used up, then stops it for the rest of each 100 ms period."""

    QUOTA_PERIOD_S, RUNNING_S = 0.1, 0.02

    async def limit(self, world: World, machine: Machine, until: float) -> None:
        process = machine.process
        while world.loop.time() < until:
            await asyncio.sleep(self.RUNNING_S)
            process.frozen = True
            await asyncio.sleep(self.QUOTA_PERIOD_S - self.RUNNING_S)
            world.loop.thaw(process)

    def test_no_machine_treats_the_pauses_as_a_failure_of_a_peer(self):
        async def script(world: World) -> None:
            await change(world)
            epoch, until = head(world).node.view.epoch, world.loop.time() + 20.0
            limits = [asyncio.ensure_future(self.limit(world, machine, until)) for machine in world.machines]
            while world.loop.time() < until:
                started_at = world.loop.time()
                await change(world)
                self.assertLess(world.loop.time() - started_at, 4.0)
                await asyncio.sleep(0.5)
            await asyncio.gather(*limits)
            self.assertEqual(head(world).node.view.epoch, epoch)

        for machines, tolerated in ((3, 1), (5, 2)):
            self.play_checked(script, machines, tolerated)


class HundredsOfChanges(ScriptedHistory):
    """Incident 4: after hundreds of changes, a restarted member never caught up, or became head with old state."""

    def test_a_member_that_missed_five_hundred_changes_catches_up_and_becomes_head_with_the_newest(self):
        async def script(world: World) -> None:
            operator = Operator(world, "storm")
            await change(world, operator)
            late = world.machines[2]
            stop(world, late)
            for _ in range(500):
                await change(world, operator)
            start(world, late)
            await asyncio.sleep(CATCH_UP_S)
            self.assertGreaterEqual(late.node.replica.position, 0)
            self.assertTrue(late.node.replica.is_current)
            for machine in world.machines[:2]:
                stop(world, machine)
                await asyncio.sleep(3.0)
                start(world, machine)
                await asyncio.sleep(CATCH_UP_S)
            self.assertEqual(late.node.state.document.version, world.checker.newest_acknowledged)
            self.assertIs(head(world), late)
            await change(world, operator)

        history = self.play_checked(script)
        self.assertGreater(history.acknowledged, 500)

    def test_a_member_that_restarts_during_changes_never_becomes_head_with_old_state(self):
        async def script(world: World) -> None:
            operator = Operator(world, "storm")
            for number in range(8):
                machine = world.machines[number % 3]
                stop(world, machine)
                for _ in range(40):
                    await change(world, operator)
                start(world, machine)
                await asyncio.sleep(CATCH_UP_S)

        self.play_checked(script)


if __name__ == "__main__":
    unittest.main()
