"""Test the bounds of the control state, confirmation by a majority, departures, and what a data plane accepts."""

from __future__ import annotations

import asyncio
import json
import unittest
import zlib
from unittest import mock

from result import Err, Ok

from mulleinhatch.configuration import document
from mulleinhatch.configuration.document import change_digest
from mulleinhatch.control_plane.peers import AUTHORITY_S, UNRESPONSIVE_AFTER_S, Peers
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.data_plane.registry_snapshot import RegistrySnapshot
from mulleinhatch.errors import ReplicationError
from mulleinhatch.messages.cluster import (
    Backend,
    Entry,
    HeartbeatResponse,
    Member,
    PollRequest,
    PollResponse,
    Snapshot,
    View,
)
from mulleinhatch.networking.http_client import HttpResponse
from mulleinhatch.process.settings import Bounds, Settings
from mulleinhatch.replication import state as state_module
from mulleinhatch.replication.state import (
    MAX_DEPARTED_BACKENDS,
    MAX_DIGESTS,
    MAX_RECENT_PATCHES,
    ChangeOutcome,
    ControlState,
    EntryKind,
)
from mulleinhatch.simulation.control_plane.clients import routes_of
from mulleinhatch.steps import complete


def change(version: int, comment: str = "") -> bytes:
    return json.dumps({"version": version, "routes": [], "services": [], "note": comment}).encode()


def apply(state: ControlState, kind: EntryKind, body: bytes, method: str = "PUT") -> None:
    state.apply(Entry(index=state.index + 1, epoch=1, kind=kind, body=body, digest=change_digest(method, body)))


def change_entry(index: int, kind: EntryKind, value: dict) -> Entry:
    return Entry(index=index, epoch=1, kind=kind, body=json.dumps(value).encode(), digest=f"digest-{index}")


def restored(state: ControlState) -> ControlState:
    again = ControlState()
    again.restore(Snapshot().parse(bytes(state.snapshot())))
    return again


class BoundedHistoryTest(unittest.TestCase):
    def test_digests_are_bounded_and_no_applied_change_is_reported_as_conflict(self):
        state = ControlState()
        for version in range(1, 20_001):
            apply(state, EntryKind.CONFIGURATION, change(version))
        self.assertEqual(len(state.digests), MAX_DIGESTS)
        for checked in (state, restored(state)):
            for version in range(1, 20_001, 7):
                outcome = checked.check("PUT", version - 1, change(version)).err_value.outcome
                known = version > 20_000 - MAX_DIGESTS
                self.assertIs(outcome, ChangeOutcome.ALREADY_APPLIED if known else ChangeOutcome.HISTORY_COMPACTED, version)
            self.assertIsInstance(checked.check("PUT", 20_000, change(20_001)), Ok)

    def test_unapplied_change_is_rejected_within_the_known_history(self):
        state = ControlState()
        for version in range(1, 10):
            apply(state, EntryKind.CONFIGURATION, change(version))
        self.assertIs(state.check("PUT", 3, change(4, "another")).err_value.outcome, ChangeOutcome.CONFLICT)
        self.assertIs(state.check("PUT", 9, change(9, "another")).err_value.outcome, ChangeOutcome.INVALID)

    def test_recent_patches_are_bounded(self):
        state = ControlState()
        apply(state, EntryKind.CONFIGURATION, change(1))
        for version in range(2, 500):
            body = json.dumps({"version": version, "upsert": {"services": [{"name": "s"}]}}).encode()
            apply(state, EntryKind.PATCH, body, "PATCH")
        self.assertEqual(len(state.recent), MAX_RECENT_PATCHES)
        self.assertIsNone(state.patches_since(1))
        self.assertEqual(len(state.patches_since(498)), 1)

    def test_departures_are_ordered_and_bounded(self):
        state = ControlState()
        for number in range(3 * MAX_DEPARTED_BACKENDS):
            apply(state, EntryKind.DEPARTURE, json.dumps([f"i-{number}"]).encode())
        for checked in (state, restored(state)):
            self.assertEqual(len(checked.departed_backends), MAX_DEPARTED_BACKENDS)
            self.assertEqual(
                checked.departed_since(state.index - 2),
                [f"i-{3 * MAX_DEPARTED_BACKENDS - 2}", f"i-{3 * MAX_DEPARTED_BACKENDS - 1}"],
            )
            self.assertEqual(checked.departure_index, state.index)

    def test_repeated_departure_keeps_its_first_index(self):
        state = ControlState()
        apply(state, EntryKind.DEPARTURE, b'["a"]')
        apply(state, EntryKind.DEPARTURE, b'["b", "a"]')
        self.assertEqual(state.departed_backends, {"a": 1, "b": 2})


class PreparedChangeTest(unittest.TestCase):
    """Guards against a large committed change that is read and merged in one turn of the event loop."""

    def setUp(self):
        self.state = ControlState()
        self.state.apply(
            change_entry(1, EntryKind.CONFIGURATION, {"version": 1, "routes": [], "services": [{"name": "noted"}]})
        )
        self.entry = change_entry(2, EntryKind.PATCH, {"version": 2, "upsert": {"routes": routes_of(1600)}})

    def apply_counting_builds(self, entry: Entry) -> int:
        with mock.patch.object(state_module, "accept_patch_steps", wraps=state_module.accept_patch_steps) as builds:
            self.state.apply(entry)
        return builds.call_count

    def test_a_change_that_was_checked_here_is_applied_without_building_it_again(self):
        self.assertIsInstance(self.state.check("PATCH", 1, self.entry.body), Ok)
        self.assertEqual(self.apply_counting_builds(self.entry), 0)
        self.assertEqual((self.state.document.version, len(self.state.document.value["routes"])), (2, 1600))

    def test_a_replica_prepares_a_change_in_steps_before_it_is_committed(self):
        self.assertGreater(sum(1 for _ in self.state.prepare_steps(self.entry)), 50)
        self.assertEqual(self.apply_counting_builds(self.entry), 0)
        self.assertEqual((self.state.document.version, len(self.state.document.value["routes"])), (2, 1600))

    def test_a_change_that_was_prepared_on_another_configuration_is_built_anew(self):
        complete(self.state.prepare_steps(self.entry))
        self.state.apply(change_entry(2, EntryKind.PATCH, {"version": 2, "upsert": {"services": [{"name": "other"}]}}))
        body = json.loads(self.entry.body) | {"version": 3}
        self.assertEqual(self.apply_counting_builds(change_entry(3, EntryKind.PATCH, body)), 1)
        self.assertEqual(len(self.state.document.value["services"]), 2)
        self.assertEqual(len(self.state.document.value["routes"]), 1600)

    def test_the_lists_of_a_snapshot_are_prepared_in_steps(self):
        self.state.apply(self.entry)
        snapshot, replica = self.state.snapshot(), ControlState()
        complete(replica.parsed_bodies.read_steps(snapshot.configuration))
        with mock.patch.object(document, "item_list_steps", wraps=document.item_list_steps) as builds:
            replica.restore(snapshot)
        self.assertEqual(builds.call_count, 0)
        self.assertEqual(replica.document, self.state.document)


class MajorityConfirmationTest(unittest.TestCase):
    """A voter counts if it confirmed this node's view as the newest, in response to a recent request."""

    def setUp(self):
        self.own, self.second, self.third = (Member(identity=name, name=name, internal_address=f"{name}:2") for name in "abc")
        self.peers = Peers(self.own)
        members = [self.own, self.second, self.third]
        self.view = View(epoch=4, voters=members, chain=members)

    def test_voter_in_another_view_does_not_confirm(self):
        self.peers.record_own_confirmation(4, 1.0)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=5, current=True), 1.0, 1.0)
        self.assertTrue(self.peers.reaches_majority(self.view, 1.1))
        self.assertFalse(self.peers.has_confirmed_majority(self.view, 1.1))

    def test_voter_that_accepted_a_later_view_does_not_confirm(self):
        self.peers.record_own_confirmation(4, 1.0)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=False), 1.0, 1.0)
        self.assertFalse(self.peers.has_confirmed_majority(self.view, 1.1))
        self.assertTrue(self.peers.has_undecided_successor(self.view, 1.1))

    # Guards against two authoritative nodes: after accepting a later view, a node counted its own confirmation forever.
    def test_own_confirmation_expires_like_that_of_a_peer_after_a_later_view_was_accepted(self):
        self.peers.record_own_confirmation(4, 1.0)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 2.2, 2.2)
        self.assertTrue(self.peers.has_confirmed_majority(self.view, 1.0 + AUTHORITY_S - 0.01))
        self.assertFalse(self.peers.has_confirmed_majority(self.view, 1.0 + AUTHORITY_S + 0.01))
        self.peers.record_own_confirmation(5, 2.2)
        self.assertFalse(self.peers.has_confirmed_majority(self.view, 2.2))

    def test_confirmation_counts_from_the_time_of_the_request(self):
        """A response that was delayed, for example by a paused process, says nothing about the present."""
        self.peers.record_own_confirmation(4, 3.1)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.0, 1.0)
        self.assertFalse(self.peers.has_confirmed_majority(self.view, 1.0 + AUTHORITY_S + 0.01))
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.1, 3.0)
        self.assertTrue(self.peers.has_confirmed_majority(self.view, 3.2))

    def test_late_response_does_not_revoke_a_newer_one(self):
        self.peers.record_own_confirmation(4, 3.1)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.0, 2.9)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.1, 1.0)
        self.assertTrue(self.peers.has_confirmed_majority(self.view, 3.2))

    def test_unresponsive_member_is_reported(self):
        for member in (self.second, self.third):
            self.peers.add(member, 0.0)
        self.peers.record_response(HeartbeatResponse(sender=self.second, epoch=4, current=True), 3.0, 3.0)
        self.assertEqual(self.peers.unresponsive_members(self.view, UNRESPONSIVE_AFTER_S + 0.1), ["c"])
        self.assertEqual(self.peers.unresponsive_members(self.view, 1.0), [])

    def test_view_is_known_once_a_majority_of_its_voters_has_it(self):
        self.assertFalse(self.peers.is_known_to_majority(self.view))
        self.peers.record_response(HeartbeatResponse(sender=self.third, epoch=3), 1.0, 1.0)
        self.assertFalse(self.peers.is_known_to_majority(self.view))
        self.peers.record_response(HeartbeatResponse(sender=self.third, epoch=4), 1.0, 1.0)
        self.assertTrue(self.peers.is_known_to_majority(self.view))


class DepartureTest(unittest.TestCase):
    """A late report does not bring back a departed backend."""

    def test_restored_backend_list_shows_it_as_draining(self):
        registry = BackendRegistry(1.0, lambda backend_id: None, lambda backend_id: backend_id == "i-1")
        registry.restore(Backend(id="i-1", service="s", address="a:1", sequence=7), 0.0)
        registry.merge(Backend(id="i-1", service="s", address="a:1", sequence=9), 0.1)
        self.assertTrue(registry.entries["i-1"].backend.draining)

    def test_draining_backend_is_stored_as_draining(self):
        registry = BackendRegistry(1.0, lambda backend_id: None)
        registry.merge(Backend(id="i-1", service="s", address="a:1", sequence=7, draining=True), 0.0)
        self.assertEqual([backend.draining for backend in registry.present_backends()], [True])

    def test_data_plane_keeps_it_draining_when_another_source_reports_it_ready(self):
        ready = Backend(id="i-1", service="s", address="a:1", slots=4)
        for leaving in ([Backend(id="i-1", service="s", address="a:1", draining=True)], [Backend(id="i-1", gone=True)]):
            backends = RegistrySnapshot().updated([ready], True, 0.0).updated(leaving, False, 1.0)
            self.assertTrue(backends.updated([ready], True, 2.0).by_id["i-1"].draining)

    def test_data_plane_learns_of_a_departure_from_the_log(self):
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
        zones_tolerated=0,
        regions_tolerated=0,
        heartbeat_s=1.0,
        data_directory="",
        file_descriptors=100,
        memory_mb=100.0,
        regions_of_zones={},
        bounds=Bounds(),
    )


class ScriptedControlPlane:
    """Responds to polls with the given responses in order; the test sets its clock."""

    def __init__(self, responses: list[PollResponse]) -> None:
        self.responses, self.now = responses, 0.0

    def forget(self, address: str) -> None:
        """Do nothing: there is no connection to drop."""

    async def request(self, *_: object) -> HttpResponse:
        return HttpResponse(200, None, bytes(self.responses.pop(0)))  # type: ignore[arg-type]


def poll_response(version: int, authoritative: bool, epoch: int = 3) -> PollResponse:
    configuration = zlib.compress(json.dumps({"version": version, "routes": [], "services": []}).encode())
    response = PollResponse(authoritative=authoritative, epoch=epoch, registry_source="s")
    response.configuration_version, response.configuration = version, configuration
    return response


class PolledConfigurationTest(unittest.TestCase):
    def versions(self, responses: list[PollResponse], at: list[float]) -> list[tuple[int, bool]]:
        """Return the version in force and whether its source is authoritative, after each response."""
        script, seen = ScriptedControlPlane(responses), []
        link = ControlPlaneClient(settings(), script, lambda: script.now, lambda snapshot: None)  # type: ignore[arg-type]

        async def poll_all() -> None:
            for moment in at:
                script.now = moment
                polled = asyncio.ensure_future(link._poll_round(["10.0.0.1:7000"]))
                while link.snapshot is link_snapshot_before[0] and not polled.done():
                    await asyncio.sleep(0)
                polled.cancel()
                link_snapshot_before[0] = link.snapshot
                seen.append((link.snapshot.table.version, link.snapshot.authoritative))

        link_snapshot_before = [link.snapshot]
        asyncio.run(poll_all())
        return seen

    def test_first_configuration_waits_for_an_authoritative_source(self):
        self.assertEqual(self.versions([poll_response(4, False), poll_response(9, True)], [0.0, 0.1]), [(0, False), (9, True)])

    def test_first_configuration_is_accepted_without_a_majority_after_a_delay(self):
        self.assertEqual(
            self.versions([poll_response(4, False), poll_response(4, False)], [0.0, 5.1]), [(0, False), (4, False)]
        )

    def test_node_with_an_older_view_is_not_authoritative(self):
        seen = self.versions([poll_response(4, True, epoch=6), poll_response(5, True, epoch=5)], [0.0, 0.1])
        self.assertEqual(seen, [(4, True), (5, False)])

    def test_older_configuration_is_never_accepted(self):
        self.assertEqual(self.versions([poll_response(9, True), poll_response(4, True)], [0.0, 0.1]), [(9, True), (9, True)])


def patch_response(base: int, version: int, patch: bytes) -> PollResponse:
    """Return a poll response whose patch leads from one version to another."""
    response = poll_response(version, True)
    response.base_version, response.configuration = base, zlib.compress(b"[" + patch + b"]")
    return response


class RecordedPolls(ScriptedControlPlane):
    """Records the requests that were sent."""

    def __init__(self, responses: list[PollResponse | bytes]) -> None:
        super().__init__(responses)  # type: ignore[arg-type]
        self.requests: list[PollRequest] = []

    async def request(self, *arguments: object) -> HttpResponse:
        self.requests.append(PollRequest().parse(arguments[3]))  # type: ignore[arg-type]
        return await super().request(*arguments)


class UnusableUpdateTest(unittest.IsolatedAsyncioTestCase):
    """After an update that can't be applied, the configuration in force stays until a usable complete one arrives."""

    GAP = b'{"version": 12, "upsert": {"routes": [{"name": "r"}]}}'  # a route without the fields that it needs

    async def poll_all(self, *responses: PollResponse | bytes) -> tuple[ControlPlaneClient, RecordedPolls, list[int]]:
        script, versions = RecordedPolls(list(responses)), []
        link = ControlPlaneClient(settings(), script, lambda: script.now, lambda snapshot: None)  # type: ignore[arg-type]
        with self.assertLogs("mulleinhatch.data_plane.control_plane_client"), mock.patch("asyncio.sleep", mock.AsyncMock()):
            for _ in responses:
                await link._poll_round(["10.0.0.1:7000"])
                versions.append(link.snapshot.table.version)
        return link, script, versions

    async def test_an_older_complete_configuration_is_not_accepted_afterwards(self):
        answers = [poll_response(9, True), patch_response(9, 12, self.GAP), poll_response(5, True), poll_response(12, True)]
        _, script, versions = await self.poll_all(*answers)
        self.assertEqual(versions, [9, 9, 9, 12])
        self.assertEqual([request.configuration_version for request in script.requests], [0, 9, 0, 0])

    async def test_unreadable_bytes_leave_the_configuration_in_force(self):
        for broken in (b"", b"\x00garbage", zlib.compress(b"{"), zlib.compress(b"[1]"), zlib.compress(b'{"routes": [{}]}')):
            with self.subTest(broken):
                damaged = poll_response(12, True)
                damaged.configuration = broken or b"\xff"
                _, _, versions = await self.poll_all(poll_response(9, True), damaged, poll_response(12, True))
                self.assertEqual(versions, [9, 9, 12])

    async def test_the_version_in_force_is_accepted_again_as_a_complete_configuration(self):
        answers = [poll_response(9, True), patch_response(9, 12, self.GAP), poll_response(9, True), poll_response(9, True)]
        _, script, versions = await self.poll_all(*answers)
        self.assertEqual(versions, [9, 9, 9, 9])
        self.assertEqual([request.configuration_version for request in script.requests], [0, 9, 0, 9])

    async def test_a_response_that_cannot_be_parsed_leaves_the_configuration_in_force(self):
        _, _, versions = await self.poll_all(poll_response(9, True), b"\x0a\xff\xff", poll_response(10, True))
        self.assertEqual(versions, [9, 9, 10])


class FailingPollTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a round of polls that waits for ever for a poll that ended by an unexpected error.
    async def test_a_poll_that_fails_unexpectedly_does_not_end_the_polling(self):
        class Failing(ScriptedControlPlane):
            async def request(self, address: str, *arguments: object) -> HttpResponse:
                if address == "10.0.0.1:7000":
                    raise RuntimeError("unexpected")
                return await super().request(address, *arguments)

        script = Failing([poll_response(4, True)])
        link = ControlPlaneClient(settings(), script, lambda: script.now, lambda snapshot: None)  # type: ignore[arg-type]
        with self.assertLogs("mulleinhatch.data_plane.control_plane_client", "ERROR"):
            async with asyncio.timeout(5.0):
                self.assertFalse(await link._poll_round(["10.0.0.1:7000"]))
                self.assertTrue(await link._poll_round(["10.0.0.1:7000", "10.0.0.2:7000"]))
        self.assertEqual(link.snapshot.table.version, 4)


class RejectionTest(unittest.TestCase):
    def test_rejection_names_the_remedy(self):
        rejection = ControlState().check("PUT", None, change(1))
        self.assertIsInstance(rejection, Err)
        self.assertIn("If-Match", rejection.err_value.message)

    def test_an_entry_after_a_gap_is_not_applied(self):
        state = ControlState()
        with self.assertRaisesRegex(ReplicationError, "entry 2 does not follow"):
            state.apply(Entry(index=2, kind=int(EntryKind.LEADER), body=b"a"))
        self.assertEqual((state.index, state.leader), (0, ""))


if __name__ == "__main__":
    unittest.main()
