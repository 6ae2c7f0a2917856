"""What is kept of changes and leaves, whose word counts, and what a data plane believes, one by one."""

from __future__ import annotations

import asyncio
import json
import unittest
import zlib

from result import Err, Ok

from mulleinhatch.configuration.document import digest_of
from mulleinhatch.control_plane.peers import AUTHORITY_S, MISSED_S, Peers
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.data_plane.registry_snapshot import RegistrySnapshot
from mulleinhatch.messages.cluster import (
    Backend,
    Entry,
    HeartbeatResponse,
    Member,
    PollResponse,
    Snapshot,
    View,
)
from mulleinhatch.networking.http_client import HttpResponse
from mulleinhatch.process.settings import Bounds, Settings
from mulleinhatch.replication.state import DIGESTS_KEPT, LEFT_KEPT, RECENT_KEPT, ChangeOutcome, ControlState, EntryKind


def change(version: int, note: str = "") -> bytes:
    return json.dumps({"version": version, "routes": [], "services": [], "note": note}).encode()


def apply(state: ControlState, kind: EntryKind, body: bytes, method: str = "PUT") -> None:
    state.apply(Entry(index=state.index + 1, epoch=1, kind=kind, body=body, digest=digest_of(method, body)))


def restored(state: ControlState) -> ControlState:
    again = ControlState()
    again.restore(Snapshot().parse(bytes(state.snapshot())))
    return again


class Kept(unittest.TestCase):
    def test_of_twenty_thousand_changes_a_bounded_part_is_kept_and_none_is_ever_refused_that_was_taken(self):
        state = ControlState()
        for version in range(1, 20_001):
            apply(state, EntryKind.CONFIGURATION, change(version))
        self.assertEqual(len(state.digests), DIGESTS_KEPT)
        for one in (state, restored(state)):
            for version in range(1, 20_001, 7):
                verdict = one.check("PUT", version - 1, change(version)).err_value.verdict
                known = version > 20_000 - DIGESTS_KEPT
                self.assertIs(verdict, ChangeOutcome.ALREADY_APPLIED if known else ChangeOutcome.HISTORY_COMPACTED, version)
            self.assertIsInstance(one.check("PUT", 20_000, change(20_001)), Ok)

    def test_what_was_never_taken_is_refused_as_long_as_that_is_known(self):
        state = ControlState()
        for version in range(1, 10):
            apply(state, EntryKind.CONFIGURATION, change(version))
        self.assertIs(state.check("PUT", 3, change(4, "another")).err_value.verdict, ChangeOutcome.CONFLICT)
        self.assertIs(state.check("PUT", 9, change(9, "another")).err_value.verdict, ChangeOutcome.INVALID)

    def test_patches_for_data_planes_are_bounded(self):
        state = ControlState()
        apply(state, EntryKind.CONFIGURATION, change(1))
        for version in range(2, 500):
            body = json.dumps({"version": version, "upsert": {"services": [{"name": "s"}]}}).encode()
            apply(state, EntryKind.PATCH, body, "PATCH")
        self.assertEqual(len(state.recent), RECENT_KEPT)
        self.assertIsNone(state.patches_since(1))
        self.assertEqual(len(state.patches_since(498)), 1)

    def test_leaves_are_kept_in_their_order_with_a_bound(self):
        state = ControlState()
        for number in range(3 * LEFT_KEPT):
            apply(state, EntryKind.LEAVE, json.dumps([f"i-{number}"]).encode())
        for one in (state, restored(state)):
            self.assertEqual(len(one.left), LEFT_KEPT)
            self.assertEqual(one.left_since(state.index - 2), [f"i-{3 * LEFT_KEPT - 2}", f"i-{3 * LEFT_KEPT - 1}"])
            self.assertEqual(one.left_index, state.index)

    def test_a_leave_that_is_told_twice_keeps_its_first_place(self):
        state = ControlState()
        apply(state, EntryKind.LEAVE, b'["a"]')
        apply(state, EntryKind.LEAVE, b'["b", "a"]')
        self.assertEqual(state.left, {"a": 1, "b": 2})


class Word(unittest.TestCase):
    """Whose word counts: voters that say that our view is the newest, in answer to what was sent lately."""

    def setUp(self):
        self.own, self.second, self.third = (Member(identity=name, name=name, internal_address=f"{name}:2") for name in "abc")
        self.peers = Peers(self.own)
        members = [self.own, self.second, self.third]
        self.view = View(epoch=4, voters=members, chain=members)

    def test_a_voter_of_another_view_answers_and_confirms_nothing(self):
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=5, current=True), 1.0, 1.0)
        self.assertTrue(self.peers.reaches_majority(self.view, 1.1))
        self.assertFalse(self.peers.has_confirmed_majority(self.view, 1.1))

    def test_a_voter_that_accepted_a_later_view_confirms_nothing(self):
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=False), 1.0, 1.0)
        self.assertFalse(self.peers.has_confirmed_majority(self.view, 1.1))
        self.assertTrue(self.peers.has_undecided_successor(self.view, 1.1))

    def test_the_word_counts_from_when_it_was_asked_for(self):
        """An answer that was long under way, as to one that stood still, says nothing of now."""
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.0, 1.0)
        self.assertFalse(self.peers.has_confirmed_majority(self.view, 1.0 + AUTHORITY_S + 0.01))
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.1, 3.0)
        self.assertTrue(self.peers.has_confirmed_majority(self.view, 3.2))

    def test_a_late_answer_does_not_take_a_newer_one_back(self):
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.0, 2.9)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.1, 1.0)
        self.assertTrue(self.peers.has_confirmed_majority(self.view, 3.2))

    def test_who_has_not_answered_for_long_is_told_of(self):
        for member in (self.second, self.third):
            self.peers.add(member, 0.0)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.0, 3.0)
        self.assertEqual(self.peers.unresponsive_members(self.view, MISSED_S + 0.1), ["c"])
        self.assertEqual(self.peers.unresponsive_members(self.view, 1.0), [])

    def test_a_view_is_known_once_a_majority_of_its_voters_has_it(self):
        self.assertFalse(self.peers.is_known_to_majority(self.view))
        self.peers.record_response(HeartbeatResponse(sender=self.third, epoch=3), 1.0, 1.0)
        self.assertFalse(self.peers.is_known_to_majority(self.view))
        self.peers.record_response(HeartbeatResponse(sender=self.third, epoch=4), 1.0, 1.0)
        self.assertTrue(self.peers.is_known_to_majority(self.view))


class Left(unittest.TestCase):
    """A backend that left does not come back, whatever is told late."""

    def test_the_list_of_a_machine_that_started_anew_shows_it_as_leaving(self):
        registry = BackendRegistry(1.0, lambda backend_id: None, lambda backend_id: backend_id == "i-1")
        registry.restore(Backend(id="i-1", service="s", address="a:1", sequence=7), 0.0)
        registry.merge(Backend(id="i-1", service="s", address="a:1", sequence=9), 0.1)
        self.assertTrue(registry.entries["i-1"].backend.draining)

    def test_leaving_backends_are_kept_over_a_restart_as_leaving(self):
        registry = BackendRegistry(1.0, lambda backend_id: None)
        registry.merge(Backend(id="i-1", service="s", address="a:1", sequence=7, draining=True), 0.0)
        self.assertEqual([backend.draining for backend in registry.present_backends()], [True])

    def test_a_data_plane_keeps_it_leaving_when_another_source_knows_it_as_ready(self):
        ready = Backend(id="i-1", service="s", address="a:1", slots=4)
        for leaving in ([Backend(id="i-1", service="s", address="a:1", draining=True)], [Backend(id="i-1", gone=True)]):
            backends = RegistrySnapshot().updated([ready], True, 0.0).updated(leaving, False, 1.0)
            self.assertTrue(backends.updated([ready], True, 2.0).by_id["i-1"].draining)

    def test_a_data_plane_hears_of_a_leave_by_the_entries_of_the_chain(self):
        ready = Backend(id="i-1", service="s", address="a:1", slots=4)
        backends = RegistrySnapshot().updated([ready], True, 0.0).updated((), False, 1.0, ["i-1", "i-2"])
        self.assertTrue(backends.by_id["i-1"].draining)
        self.assertTrue(backends.updated([Backend(id="i-2", service="s", address="a:2")], False, 2.0).by_id["i-2"].draining)


def settings() -> Settings:
    return Settings(
        name="d",
        ip_address="10.0.0.9",
        zone="z",
        region="r",
        listen={},
        internal_address="10.0.0.9:7000",
        seeds=("10.0.0.1:80", "10.0.0.2:80"),
        first_start=False,
        counts_for_quorum=False,
        machines_tolerated=1,
        heartbeat_s=1.0,
        data_directory="",
        file_descriptors=100,
        memory_mb=100.0,
        regions_of_zones={},
        bounds=Bounds(),
    )


class Script:
    """Answers polls in the order of a script, on a clock of its own."""

    def __init__(self, answers: list[PollResponse]) -> None:
        self.answers, self.now = answers, 0.0

    def forget(self, address: str) -> None:
        """Nothing is kept."""

    async def request(self, *_: object) -> HttpResponse:
        return HttpResponse(200, None, bytes(self.answers.pop(0)))  # type: ignore[arg-type]


def told(version: int, authoritative: bool, epoch: int = 3) -> PollResponse:
    configuration = zlib.compress(json.dumps({"version": version, "routes": [], "services": []}).encode())
    answer = PollResponse(authoritative=authoritative, epoch=epoch, registry_source="s")
    answer.configuration_version, answer.configuration = version, configuration
    return answer


class Polled(unittest.TestCase):
    def versions(self, answers: list[PollResponse], at: list[float]) -> list[tuple[int, bool]]:
        """Version in force and whether its source is sure, after each answer."""
        script, seen = Script(answers), []
        link = ControlPlaneClient(settings(), script, lambda: script.now, lambda snapshot: None)  # type: ignore[arg-type]

        async def poll_all() -> None:
            for moment in at:
                script.now = moment
                polled = asyncio.ensure_future(link._poll("10.0.0.1:7000"))
                while link.snapshot is link_snapshot_before[0] and not polled.done():
                    await asyncio.sleep(0)
                polled.cancel()
                link_snapshot_before[0] = link.snapshot
                seen.append((link.snapshot.table.version, link.snapshot.authoritative))

        link_snapshot_before = [link.snapshot]
        asyncio.run(poll_all())
        return seen

    def test_the_first_configuration_is_not_taken_at_once_from_a_machine_that_is_not_sure_of_it(self):
        self.assertEqual(self.versions([told(4, False), told(9, True)], [0.0, 0.1]), [(0, False), (9, True)])

    def test_beside_a_core_without_a_majority_it_is_taken_after_a_while(self):
        self.assertEqual(self.versions([told(4, False), told(4, False)], [0.0, 5.1]), [(0, False), (4, False)])

    def test_a_machine_of_an_older_view_is_not_sure_of_anything(self):
        seen = self.versions([told(4, True, epoch=6), told(5, True, epoch=5)], [0.0, 0.1])
        self.assertEqual(seen, [(4, True), (5, False)])

    def test_an_older_configuration_is_never_taken(self):
        self.assertEqual(self.versions([told(9, True), told(4, True)], [0.0, 0.1]), [(9, True), (9, True)])


class Refusing(unittest.TestCase):
    def test_refusals_name_what_to_do(self):
        refusal = ControlState().check("PUT", None, change(1))
        self.assertIsInstance(refusal, Err)
        self.assertIn("If-Match", refusal.err_value.message)


if __name__ == "__main__":
    unittest.main()
