"""Test chain replication with scripted sequences of appends, losses, rejoins and view changes, and the control state."""

from __future__ import annotations

import json
import unittest

from result import Err, Ok

from mulleinhatch.messages.cluster import AppendRequest, Member, Snapshot, View
from mulleinhatch.replication.chain import LogWrite, Replica
from mulleinhatch.replication.state import ChangeOutcome, ControlState, EntryKind


def member(name: str) -> Member:
    return Member(identity=name, name=name)


def view(epoch: int, chain: str, voters: str = "abc") -> View:
    return View(epoch=epoch, voters=[member(name) for name in voters], chain=[member(name) for name in chain])


class Chain:
    """Replicas by name. The test decides when a message is delivered."""

    def __init__(self, names: str = "abc") -> None:
        self.replicas = {name: Replica(name) for name in names}
        self.adopt_view(1, names)
        for replica in self.replicas.values():
            replica.bootstrap()

    def adopt_view(self, epoch: int, chain: str, by: str = "") -> None:
        for name in by or chain:
            self.replicas[name].adopt_view(view(epoch, chain))

    def propose(self, name: str, body: bytes) -> None:
        replica = self.replicas[name]
        replica.on_persisted(replica.propose(int(EntryKind.CONFIGURATION), body, ""))

    def append(self, sender: str, receiver: str, successor_last_index: int | None = None) -> bool:
        """Deliver one append and its response; return whether it was accepted."""
        source, target = self.replicas[sender], self.replicas[receiver]
        request = AppendRequest().parse(
            bytes(source.build_append(target.last_index if successor_last_index is None else successor_last_index))
        )
        write = target.on_append(request)
        if write is None:
            return False
        target.on_persisted(write)
        target.on_append_persisted(request)
        source.commit_to(target.committed)
        return True

    def bodies(self, name: str) -> list[bytes]:
        return [entry.body for entry in self.replicas[name].entries]


class AppendTest(unittest.TestCase):
    def test_entry_is_committed_once_the_tail_persists_it(self):
        chain = Chain()
        chain.propose("a", b"1")
        chain.append("a", "b")
        self.assertEqual([chain.replicas[name].committed for name in "abc"], [0, 0, 0])
        chain.append("b", "c")
        self.assertEqual([chain.replicas[name].committed for name in "abc"], [0, 1, 1])
        chain.append("a", "b")
        self.assertEqual(chain.replicas["a"].committed, 1)

    def test_repeated_append_changes_nothing(self):
        chain = Chain()
        chain.propose("a", b"1")
        chain.append("a", "b", successor_last_index=0)
        chain.append("a", "b", successor_last_index=0)
        self.assertEqual(chain.bodies("b"), [b"1"])

    def test_append_with_a_gap_is_rejected(self):
        chain = Chain()
        for body in (b"1", b"2"):
            chain.propose("a", body)
        self.assertFalse(chain.append("a", "b", successor_last_index=1))
        self.assertTrue(chain.append("a", "b", successor_last_index=0))
        self.assertEqual(chain.bodies("b"), [b"1", b"2"])

    def test_append_of_another_epoch_or_sender_is_rejected(self):
        chain = Chain()
        chain.propose("a", b"1")
        request = chain.replicas["a"].build_append(0)
        self.assertIsNone(chain.replicas["c"].on_append(request))
        chain.adopt_view(2, "bc")
        self.assertIsNone(chain.replicas["b"].on_append(request))

    def test_replica_behind_the_log_start_gets_a_snapshot(self):
        chain = Chain()
        state = ControlState()
        for number in (1, 2, 3):
            chain.propose("a", json.dumps({"version": number, "routes": [], "services": []}).encode())
        chain.append("a", "b")
        chain.append("b", "c")
        chain.append("a", "b")
        for index in (1, 2):
            state.apply(chain.replicas["a"].entry_at(index))
        chain.replicas["a"].compact(state.snapshot())
        self.assertEqual(len(chain.replicas["a"].entries), 1)
        chain.replicas["d"] = Replica("d")
        chain.adopt_view(2, "ad")
        self.assertTrue(chain.append("a", "d", successor_last_index=0))
        self.assertEqual(
            (chain.replicas["d"].base.index, chain.replicas["d"].last_index, chain.replicas["a"].committed), (2, 3, 3)
        )


class ViewChangeTest(unittest.TestCase):
    def test_new_tail_commits_its_complete_log(self):
        chain = Chain()
        chain.propose("a", b"1")
        chain.append("a", "b")
        chain.adopt_view(2, "ab")
        chain.append("a", "b")
        self.assertEqual([chain.replicas[name].committed for name in "ab"], [1, 1])

    def test_committed_entries_survive_the_loss_of_the_head(self):
        chain = Chain()
        chain.propose("a", b"1")
        chain.append("a", "b")
        chain.append("b", "c")
        chain.propose("a", b"lost")
        chain.adopt_view(2, "bc")
        chain.propose("b", b"2")
        chain.append("b", "c")
        self.assertEqual(chain.bodies("c"), [b"1", b"2"])
        self.assertEqual(chain.replicas["b"].committed, 2)

    def test_returning_replica_drops_uncommitted_entries(self):
        chain = Chain()
        chain.propose("a", b"never committed")
        chain.adopt_view(2, "bc")
        chain.propose("b", json.dumps({"version": 1, "routes": [], "services": []}).encode())
        chain.append("b", "c")
        state = ControlState()
        state.apply(chain.replicas["b"].entry_at(1))
        returning = chain.replicas["a"]
        returning.adopt_view(view(2, "bc"))
        returning.on_persisted(LogWrite(snapshot=state.snapshot(), truncate_to=0))
        self.assertEqual((returning.last_index, returning.committed, returning.entries), (1, 1, []))
        chain.adopt_view(3, "bca")
        self.assertFalse(returning.log_complete)
        self.assertTrue(chain.append("c", "a"))
        self.assertTrue(returning.log_complete and returning.is_tail)

    def test_restart_restores_log_complete_from_disk(self):
        for log_complete in (True, False):
            restarted = Replica("c")
            restarted.restore(view(1, "abc"), Snapshot(), [], 0, log_complete)
            restarted.adopt_view(view(1, "abc"))
            self.assertIs(restarted.log_complete, log_complete)

    def test_remaining_member_keeps_its_log_complete_without_its_predecessor(self):
        """Regression, found by simulation: after the head lost its disk, the tail marked its own log as incomplete."""
        chain = Chain()
        chain.adopt_view(2, "ac")
        self.assertTrue(chain.replicas["c"].log_complete)

    def test_append_from_a_replica_with_incomplete_log_completes_no_log(self):
        """Regression, found by simulation: the second of two joiners served a read that lacked an acknowledged write."""
        chain = Chain()
        for name in "de":
            chain.replicas[name] = Replica(name)
        chain.propose("a", b"acknowledged")
        chain.adopt_view(2, "ade")
        self.assertTrue(chain.append("d", "e", successor_last_index=0))
        self.assertFalse(chain.replicas["e"].log_complete)
        chain.append("a", "d")
        chain.append("d", "e")
        self.assertTrue(chain.replicas["e"].log_complete)
        self.assertEqual(chain.replicas["e"].committed, 1)

    def test_joiner_log_is_complete_after_the_last_missing_append(self):
        chain = Chain()
        chain.replicas["d"] = Replica("d")
        for number in range(100):
            chain.propose("a", b"%d" % number)
        chain.adopt_view(2, "ad")
        chain.append("a", "d")
        self.assertFalse(chain.replicas["d"].log_complete)
        chain.append("a", "d")
        self.assertTrue(chain.replicas["d"].log_complete)
        self.assertEqual(chain.replicas["a"].committed, 100)

    def test_joiner_is_current_once_it_knows_that_the_entries_of_its_predecessor_are_committed(self):
        """Regression: it counted as current while it did not know that acknowledged entries were committed."""
        chain = Chain("ab")
        chain.propose("a", b"acknowledged")
        chain.append("a", "b")
        restarted = Replica("a")
        restarted.restore(view(1, "ab"), Snapshot(), list(chain.replicas["a"].entries), 0, True)
        chain.replicas.update({"a": restarted, "d": Replica("d"), "e": Replica("e")})
        chain.adopt_view(2, "ade")
        chain.append("a", "d")
        self.assertEqual((chain.replicas["d"].log_complete, chain.replicas["d"].is_current), (True, False))
        chain.append("d", "e")
        self.assertTrue(chain.replicas["d"].is_current and chain.replicas["e"].is_current)
        self.assertFalse(chain.replicas["a"].is_current)
        chain.append("a", "d")
        self.assertTrue(chain.replicas["a"].is_current)

    def test_restarted_head_commits_its_last_entry_through_the_chain(self):
        chain = Chain()
        chain.propose("a", b"1")
        restarted = Replica("a")
        restarted.restore(view(1, "abc"), chain.replicas["a"].base, list(chain.replicas["a"].entries), 0, True)
        restarted.adopt_view(view(1, "abc"))
        chain.replicas["a"] = restarted
        self.assertEqual((restarted.last_index, restarted.committed), (1, 0))
        chain.append("a", "b")
        chain.append("b", "c")
        chain.append("a", "b")
        self.assertEqual(restarted.committed, 1)


def put(version: int, **more) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": [], **more}).encode()


class ControlStateTest(unittest.TestCase):
    def setUp(self):
        self.state = ControlState()

    def apply_change(self, method: str, base: int, body: bytes) -> None:
        checked = self.state.check(method, base, body)
        self.assertIsInstance(checked, Ok, checked)
        replica = Replica("a")
        replica.adopt_view(view(1, "a", "a"))
        replica.base.index = self.state.index
        write = replica.propose(int(checked.ok_value.kind), body, checked.ok_value.digest)
        self.state.apply(write.entries[0])

    def rejection_outcome(self, method: str, base: int | None, body: bytes) -> ChangeOutcome:
        checked = self.state.check(method, base, body)
        self.assertIsInstance(checked, Err)
        return checked.err_value.outcome

    def test_second_change_on_the_same_version_conflicts(self):
        self.apply_change("PUT", 0, put(1))
        self.apply_change("PUT", 1, put(3, note="x"))
        self.assertIs(self.rejection_outcome("PUT", 1, put(3, note="y")), ChangeOutcome.CONFLICT)

    def test_repeated_change_is_recognised_after_newer_ones(self):
        self.apply_change("PUT", 0, put(1))
        self.apply_change("PUT", 1, put(2))
        self.assertIs(self.rejection_outcome("PUT", 0, put(1)), ChangeOutcome.ALREADY_APPLIED)
        restored = ControlState()
        restored.restore(self.state.snapshot())
        checked = restored.check("PUT", 0, put(1))
        self.assertIs(checked.err_value.outcome, ChangeOutcome.ALREADY_APPLIED)

    def test_invalid_change_is_rejected_without_effect(self):
        self.apply_change("PUT", 0, put(5))
        before = self.state.document
        for base, body in (
            (5, b"{"),
            (5, put(5, note=1)),
            (5, put(4)),
            (5, b"[]"),
            (None, put(6)),
            (5, b'{"version":6,"version":7}'),
        ):
            self.assertIs(self.rejection_outcome("PUT", base, body), ChangeOutcome.INVALID, body)
        self.assertIs(self.state.document, before)

    def test_patches_since_a_version(self):
        service = {"name": "s"}
        route = {"name": "r", "host": "h", "path_prefix": "/a/", "timeout_ms": 100, "service": "s"}
        self.apply_change("PUT", 0, put(1, services=[service], routes=[route]))
        patch = json.dumps({"version": 4, "upsert": {"routes": [{**route, "timeout_ms": 300}]}}).encode()
        self.apply_change("PATCH", 1, patch)
        other = json.dumps({"version": 9, "remove": {"routes": ["r"]}}).encode()
        self.apply_change("PATCH", 4, other)
        self.assertEqual(self.state.patches_since(1), [patch, other])
        self.assertEqual(self.state.patches_since(4), [other])
        self.assertIsNone(self.state.patches_since(2))
        self.assertEqual(self.state.document.value["routes"], [])

    def test_fencing_token_is_the_index_of_the_claim(self):
        replica = Replica("a")
        replica.adopt_view(view(1, "a", "a"))
        for name in ("a", "b"):
            write = replica.propose(int(EntryKind.LEADER), name.encode(), "")
            replica.on_persisted(write)
            self.state.apply(write.entries[0])
        self.assertEqual((self.state.leader, self.state.fencing_token), ("b", 2))


if __name__ == "__main__":
    unittest.main()
