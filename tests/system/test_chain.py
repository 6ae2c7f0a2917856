"""The chain: recorded traces of appends, losses, returns and view changes between real replicas and their states."""

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
    """Replicas by name; messages are delivered when the trace says so."""

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
        """One append and its answer; whether it was taken."""
        one, other = self.replicas[sender], self.replicas[receiver]
        request = AppendRequest().parse(
            bytes(one.build_append(other.last_index if successor_last_index is None else successor_last_index))
        )
        write = other.on_append(request)
        if write is None:
            return False
        other.on_persisted(write)
        other.on_append_persisted(request)
        one.commit_to(other.committed)
        return True

    def bodies(self, name: str) -> list[bytes]:
        return [entry.body for entry in self.replicas[name].entries]


class Appends(unittest.TestCase):
    def test_committed_when_the_tail_has_it(self):
        chain = Chain()
        chain.propose("a", b"1")
        chain.append("a", "b")
        self.assertEqual([chain.replicas[name].committed for name in "abc"], [0, 0, 0])
        chain.append("b", "c")
        self.assertEqual([chain.replicas[name].committed for name in "abc"], [0, 1, 1])
        chain.append("a", "b")
        self.assertEqual(chain.replicas["a"].committed, 1)

    def test_an_append_that_comes_twice_changes_nothing(self):
        chain = Chain()
        chain.propose("a", b"1")
        chain.append("a", "b", successor_last_index=0)
        chain.append("a", "b", successor_last_index=0)
        self.assertEqual(chain.bodies("b"), [b"1"])

    def test_a_gap_is_refused(self):
        chain = Chain()
        for body in (b"1", b"2"):
            chain.propose("a", body)
        self.assertFalse(chain.append("a", "b", successor_last_index=1))
        self.assertTrue(chain.append("a", "b", successor_last_index=0))
        self.assertEqual(chain.bodies("b"), [b"1", b"2"])

    def test_nothing_is_taken_from_another_epoch_or_from_no_predecessor(self):
        chain = Chain()
        chain.propose("a", b"1")
        request = chain.replicas["a"].build_append(0)
        self.assertIsNone(chain.replicas["c"].on_append(request))
        chain.adopt_view(2, "bc")
        self.assertIsNone(chain.replicas["b"].on_append(request))

    def test_who_is_far_behind_gets_a_snapshot(self):
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


class ViewChanges(unittest.TestCase):
    def test_the_tail_goes_and_what_its_predecessor_holds_is_committed(self):
        chain = Chain()
        chain.propose("a", b"1")
        chain.append("a", "b")
        chain.adopt_view(2, "ab")
        chain.append("a", "b")
        self.assertEqual([chain.replicas[name].committed for name in "ab"], [1, 1])

    def test_the_head_goes_and_what_was_committed_stays(self):
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

    def test_who_comes_back_drops_what_was_never_committed(self):
        chain = Chain()
        chain.propose("a", b"never committed")
        chain.adopt_view(2, "bc")
        chain.propose("b", json.dumps({"version": 1, "routes": [], "services": []}).encode())
        chain.append("b", "c")
        state = ControlState()
        state.apply(chain.replicas["b"].entry_at(1))
        back = chain.replicas["a"]
        back.adopt_view(view(2, "bc"))
        back.on_persisted(LogWrite(snapshot=state.snapshot(), truncate_to=0))
        self.assertEqual((back.last_index, back.committed, back.entries), (1, 1, []))
        chain.adopt_view(3, "bca")
        self.assertFalse(back.log_complete)
        self.assertTrue(chain.append("c", "a"))
        self.assertTrue(back.log_complete and back.is_tail)

    def test_a_restart_keeps_what_the_disk_says_of_being_settled(self):
        for log_complete in (True, False):
            again = Replica("c")
            again.restore(view(1, "abc"), Snapshot(), [], 0, log_complete)
            again.adopt_view(view(1, "abc"))
            self.assertIs(again.log_complete, log_complete)

    def test_who_stays_in_the_chain_stays_settled_though_its_predecessor_fell_silent(self):
        """Found in virtual time: the tail of a view whose head lost its disk at once successor_last_index itself for behind."""
        chain = Chain()
        chain.adopt_view(2, "ac")
        self.assertTrue(chain.replicas["c"].log_complete)

    def test_who_is_not_settled_settles_nobody(self):
        """Found in virtual time: two joiners in a row, the second answered a read without what was acknowledged before."""
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

    def test_a_joiner_is_settled_by_the_append_that_brings_all_not_by_the_first(self):
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

    def test_a_head_that_restarted_has_its_last_entry_committed_by_the_chain_first(self):
        chain = Chain()
        chain.propose("a", b"1")
        again = Replica("a")
        again.restore(view(1, "abc"), chain.replicas["a"].base, list(chain.replicas["a"].entries), 0, True)
        again.adopt_view(view(1, "abc"))
        chain.replicas["a"] = again
        self.assertEqual((again.last_index, again.committed), (1, 0))
        chain.append("a", "b")
        chain.append("b", "c")
        chain.append("a", "b")
        self.assertEqual(again.committed, 1)


def put(version: int, **more) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": [], **more}).encode()


class State(unittest.TestCase):
    def setUp(self):
        self.state = ControlState()

    def take(self, method: str, base: int, body: bytes) -> None:
        checked = self.state.check(method, base, body)
        self.assertIsInstance(checked, Ok, checked)
        replica = Replica("a")
        replica.adopt_view(view(1, "a", "a"))
        replica.base.index = self.state.index
        write = replica.propose(int(checked.ok_value.kind), body, checked.ok_value.digest)
        self.state.apply(write.entries[0])

    def outcome(self, method: str, base: int | None, body: bytes) -> ChangeOutcome:
        checked = self.state.check(method, base, body)
        self.assertIsInstance(checked, Err)
        return checked.err_value.outcome

    def test_one_of_two_changes_on_the_same_version_is_taken(self):
        self.take("PUT", 0, put(1))
        self.take("PUT", 1, put(3, note="x"))
        self.assertIs(self.outcome("PUT", 1, put(3, note="y")), ChangeOutcome.CONFLICT)

    def test_a_change_that_is_sent_again_is_known_also_after_newer_ones(self):
        self.take("PUT", 0, put(1))
        self.take("PUT", 1, put(2))
        self.assertIs(self.outcome("PUT", 0, put(1)), ChangeOutcome.ALREADY_APPLIED)
        again = ControlState()
        again.restore(self.state.snapshot())
        checked = again.check("PUT", 0, put(1))
        self.assertIs(checked.err_value.outcome, ChangeOutcome.ALREADY_APPLIED)

    def test_invalid_changes_are_refused_and_leave_no_trace(self):
        self.take("PUT", 0, put(5))
        before = self.state.document
        for base, body in (
            (5, b"{"),
            (5, put(5, note=1)),
            (5, put(4)),
            (5, b"[]"),
            (None, put(6)),
            (5, b'{"version":6,"version":7}'),
        ):
            self.assertIs(self.outcome("PUT", base, body), ChangeOutcome.INVALID, body)
        self.assertIs(self.state.document, before)

    def test_patches_lead_from_version_to_version(self):
        service = {"name": "s"}
        route = {"name": "r", "host": "h", "path_prefix": "/a/", "timeout_ms": 100, "service": "s"}
        self.take("PUT", 0, put(1, services=[service], routes=[route]))
        patch = json.dumps({"version": 4, "upsert": {"routes": [{**route, "timeout_ms": 300}]}}).encode()
        self.take("PATCH", 1, patch)
        other = json.dumps({"version": 9, "remove": {"routes": ["r"]}}).encode()
        self.take("PATCH", 4, other)
        self.assertEqual(self.state.patches_since(1), [patch, other])
        self.assertEqual(self.state.patches_since(4), [other])
        self.assertIsNone(self.state.patches_since(2))
        self.assertEqual(self.state.document.value["routes"], [])

    def test_the_fencing_token_is_the_index_of_the_claim(self):
        replica = Replica("a")
        replica.adopt_view(view(1, "a", "a"))
        for name in ("a", "b"):
            write = replica.propose(int(EntryKind.LEADER), name.encode(), "")
            replica.on_persisted(write)
            self.state.apply(write.entries[0])
        self.assertEqual((self.state.leader, self.state.fencing_token), ("b", 2))


if __name__ == "__main__":
    unittest.main()
