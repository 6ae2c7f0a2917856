"""A control plane of two versions: some nodes parse and encode only what the message classes of version 3fe6cd9 know.

In a virtual network, each message that such a node sends or receives is parsed and encoded again by an old class.
"""

from __future__ import annotations

import json
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest import mock

import betterproto
from data import messages_3fe6cd9 as old

from mulleinhatch.messages import cluster
from mulleinhatch.networking.http_client import HttpResponse
from mulleinhatch.simulation.control_plane import History, play, play_script, world
from mulleinhatch.simulation.control_plane import clients as simulated_clients
from mulleinhatch.simulation.control_plane.clients import Operator, Reader
from mulleinhatch.simulation.control_plane.machines import Machine
from mulleinhatch.simulation.control_plane.network import Network

PREFIX = "/internal/"
# The classes of request and response of each path in version 3fe6cd9.
OLD_CLASSES: dict[str, tuple[type[betterproto.Message], type[betterproto.Message]]] = {
    "heartbeat": (old.Heartbeat, old.HeartbeatAnswer),
    "prepare": (old.PrepareRequest, old.VoteAnswer),
    "accept": (old.AcceptRequest, old.VoteAnswer),
    "confirm": (old.ConfirmRequest, old.ConfirmAnswer),
    "append": (old.AppendRequest, old.AppendAnswer),
    "snapshot": (old.SnapshotRequest, old.SnapshotAnswer),
    "leave": (old.LeaveRequest, old.LeaveAnswer),
    "poll": (old.PollRequest, old.PollAnswer),
}
Transcode = Callable[[str, bool, bytes], bytes]  # path, whether it is the response, body


def transcode_by_old_classes(path: str, is_response: bool, body: bytes) -> bytes:
    """Return a message as a process of version 3fe6cd9 would parse and encode it."""
    message = OLD_CLASSES[path][is_response]().parse(body)
    message._unknown_fields = b""
    return bytes(message)


class MixedFleet:
    """A virtual network that transcodes what some machines send and receive, by a function for each machine."""

    def __init__(self, transcode_by_machine: dict[int, Transcode]) -> None:
        self._transcode_by_machine = transcode_by_machine
        self.carried: Counter[str] = Counter()  # requests with a response to or from those machines, by path

    def _transcode(self, places: tuple[Any, ...], path: str, is_response: bool, body: bytes) -> bytes:
        for place in places:
            if isinstance(place, Machine) and place.number in self._transcode_by_machine:
                body = self._transcode_by_machine[place.number](path, is_response, body)
                self.carried[path] += is_response
        return body

    def network_class(self) -> type[Network]:
        """Return the class that replaces `Network` where the world and its clients create one."""
        fleet = self

        class TranscodingNetwork(Network):
            def __init__(self, world: Any, place: Any, process: Any) -> None:
                super().__init__(world, place, process)
                self.world, self.place = world, place

            async def request(
                self, address: str, method: str, path: str, body: bytes, *more: Any, **named: Any
            ) -> HttpResponse:
                if not path.startswith(PREFIX):
                    return await super().request(address, method, path, body, *more, **named)
                name, target = path.removeprefix(PREFIX), self.world.machine_at(address)
                request_body = fleet._transcode((self.place, target), name, False, body)
                response = await super().request(address, method, path, request_body, *more, **named)
                if response.status != 200:
                    return response
                response_body = fleet._transcode((target, self.place), name, True, response.body)
                return HttpResponse(response.status, response.head, response_body)

        return TranscodingNetwork

    def play(self, run_history: Callable[[], History]) -> History:
        """Run a simulated history in this network."""
        network = self.network_class()
        with mock.patch.object(world, "Network", network), mock.patch.object(simulated_clients, "Network", network):
            return run_history()


def fleet_with(transcode: Transcode, machines: tuple[int, ...]) -> MixedFleet:
    """Return a fleet in which some machines use `transcode`."""
    return MixedFleet(dict.fromkeys(machines, transcode))


def _without_entries(path: str, is_response: bool, body: bytes) -> bytes:
    """A faulty encoding that loses the entries of an append."""
    if path != "append" or is_response:
        return transcode_by_old_classes(path, is_response, body)
    message = old.AppendRequest().parse(body)
    message.entries = []
    return bytes(message)


def _without_awaits_commit(path: str, is_response: bool, body: bytes) -> bytes:
    """The current encoding, except for the field of a snapshot request that version 3fe6cd9 does not have."""
    if path != "snapshot" or is_response:
        return body
    return bytes(cluster.SnapshotRequest(epoch=cluster.SnapshotRequest().parse(body).epoch))


class MixedEncodings(unittest.TestCase):
    def check(self, history: History, fleet: MixedFleet) -> None:
        self.assertEqual(history.violations, [], (history.seed, history.events))
        self.assertGreater(history.acknowledged, 5, (history.seed, history.events))
        self.assertGreater(history.reads, 5)
        self.assertGreater(history.connected_checks, 20)
        for path in ("heartbeat", "confirm", "append", "poll"):
            self.assertGreater(fleet.carried[path], 10, path)

    def test_histories_with_one_old_machine(self):
        carried = Counter[str]()
        for seed in (1000, 1009, 1012):
            fleet = fleet_with(transcode_by_old_classes, (0,))
            self.check(fleet.play(lambda seed=seed: play(seed)), fleet)
            carried += fleet.carried
        self.assertGreater(carried["prepare"] + carried["accept"], 0)
        self.assertGreater(carried["leave"], 0)

    def test_a_history_with_two_old_machines(self):
        fleet = fleet_with(transcode_by_old_classes, (1, 2))
        self.check(fleet.play(lambda: play(1001)), fleet)

    def test_the_old_encoding_changes_histories_only_by_its_missing_field(self):
        """A replica that can't tell what is committed rejects a snapshot request without `awaits_commit`."""
        for seed in (1000, 1001):
            fleet = fleet_with(transcode_by_old_classes, (0, 2))
            plain = fleet_with(_without_awaits_commit, (0, 2)).play(lambda seed=seed: play(seed))
            mixed = fleet.play(lambda seed=seed: play(seed))
            self.assertEqual(mixed.events, plain.events)
            self.assertEqual([sent.answers for sent in mixed.sent], [sent.answers for sent in plain.sent])
            self.assertGreater(fleet.carried["append"], 10)

    def _change_and_read(self, fleet: MixedFleet) -> tuple[History, list[int], list[int]]:
        """Send one change to random machines; return its response statuses and the versions read from each machine."""
        answers: list[int] = []
        versions: list[int] = []

        async def script(played: world.World) -> None:
            operator = Operator(played, "one")
            sent = operator.change(0)
            played.checker.record_submission(sent)
            await operator.send_until_answered(sent)
            answers.extend(sent.answers)
            for machine in played.machines:
                response = await simulated_clients.ControlApiClient(played).call(machine, "GET", "/configuration", b"")
                if response is not None and response.status == 200:
                    versions.append(json.loads(response.body)["version"] - sent.version)
            await Reader(played).read()

        return fleet.play(lambda: play_script(script)), answers, versions

    def test_a_change_is_acknowledged_and_read_at_every_machine(self):
        for machines in ((0,), (1,), (2,), (0, 1), (1, 2), (0, 1, 2)):
            fleet = fleet_with(transcode_by_old_classes, machines)
            history, answers, versions = self._change_and_read(fleet)
            self.assertEqual((history.violations, answers, versions), ([], [200], [0, 0, 0]), machines)
            self.assertGreater(fleet.carried["append"], 0)

    def test_an_encoding_that_loses_entries_is_detected(self):
        _, answers, versions = self._change_and_read(fleet_with(_without_entries, (1,)))
        self.assertEqual(answers, [])
        self.assertNotEqual(versions, [0, 0, 0])


if __name__ == "__main__":
    unittest.main()
