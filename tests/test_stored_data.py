"""Files written by version 3fe6cd9 (`tests/data/README.md`): the current code still reads all that they contain."""

from __future__ import annotations

import io
import json
import shutil
from collections import Counter
from pathlib import Path

import pytest

from mulleinhatch.control_plane.state_store import Restored, StateStore, backends_record, entry_records, replay
from mulleinhatch.instance.maintenance.paxos_register import ProposalNumber, RegisterRequest, Voter, VoterState
from mulleinhatch.instance.maintenance.store import Store
from mulleinhatch.instance.maintenance.table import Permit, PermitTable
from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.block import BlockBuilder
from mulleinhatch.instance.traces.file import Trace, TraceWriter
from mulleinhatch.instance.traces.replay import replay as replay_trace
from mulleinhatch.instance.traces.summary import summary
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ControlState, EntryKind
from mulleinhatch.simulation.fault_search.campaign import format_history, parse_history
from mulleinhatch.simulation.fault_search.histories import draw_history
from mulleinhatch.simulation.fault_search.play import play
from mulleinhatch.storage.append_log import LOG_NAME
from mulleinhatch.storage.records import MAGIC, RecordKind, decode_log, encode_record

DATA = Path(__file__).parent / "data"
IDENTITIES = ["first-10.0.0.1:80", "first-10.0.0.2:80", "first-10.0.0.3:80"]


def open_stored(folder: str, tmp_path: Path) -> Restored:
    """Open a stored directory with the current control plane; opening must not change the log."""
    shutil.copytree(DATA / folder, tmp_path, dirs_exist_ok=True)
    restored = StateStore(str(tmp_path), lambda: 0.0).open("another identity")
    assert (tmp_path / LOG_NAME).read_bytes() == (DATA / folder / LOG_NAME).read_bytes()
    return restored


def committed_state(restored: Restored) -> ControlState:
    """Return the control state of a replica that is restored from the disk."""
    replica, state = Replica(restored.identity), ControlState()
    state.restore(restored.snapshot)
    replica.restore(restored.voter.view, restored.snapshot, restored.entries, restored.committed, restored.log_complete)
    for index in range(state.index + 1, replica.committed + 1):
        state.apply(replica.entry_at(index))
    return state


@pytest.mark.parametrize(
    ("folder", "counts"),
    [
        ("control", {1: 1, 2: 3, 3: 3, 4: 1, 5: 5, 6: 3, 7: 2}),
        ("control_played", {1: 1, 2: 25, 3: 54, 4: 3, 5: 54, 6: 28, 7: 9}),
    ],
)
def test_control_records_are_complete_and_encode_to_the_same_bytes(folder: str, counts: dict[int, int]) -> None:
    data = (DATA / folder / LOG_NAME).read_bytes()
    contents = decode_log(data)
    assert contents.valid_size == len(data)
    assert Counter(int(record.kind) for record in contents.records) == counts
    assert MAGIC + b"".join(encode_record(record) for record in contents.records) == data
    assert MAGIC == b"MHCTL\x00\x01\n"


def test_control_records_are_unchanged_by_decoding_and_encoding() -> None:
    records = decode_log((DATA / "control" / LOG_NAME).read_bytes()).records
    state = replay(records)
    last = {record.kind: record.body for record in records}
    assert bytes(state.voter) == last[RecordKind.VOTER]
    assert bytes(state.snapshot) == last[RecordKind.SNAPSHOT]
    assert entry_records(state.entries) == [record for record in records if record.kind == RecordKind.ENTRY]
    assert backends_record(state.backends).body == last[RecordKind.BACKENDS]


def test_control_identity_and_votes(tmp_path: Path) -> None:
    restored = open_stored("control", tmp_path)
    voter = restored.voter
    assert restored.identity == IDENTITIES[0] and restored.log_complete is True
    assert voter.view.epoch == 1
    assert [member.identity for member in voter.view.voters] == IDENTITIES
    assert [member.identity for member in voter.view.chain] == IDENTITIES
    third = voter.view.voters[2]
    assert (third.name, third.control_address, third.internal_address) == ("10.0.0.3:80", "10.0.0.3:80", "10.0.0.3:7000")
    assert (voter.promised.number, voter.promised.proposer) == (5, IDENTITIES[1])
    assert (voter.accepted.number, voter.accepted.proposer) == (3, IDENTITIES[2])
    assert voter.accepted_view.epoch == 2
    assert [member.identity for member in voter.accepted_view.voters] == IDENTITIES
    assert [member.identity for member in voter.accepted_view.chain] == IDENTITIES[:2]


def test_control_snapshot(tmp_path: Path) -> None:
    snapshot = open_stored("control", tmp_path).snapshot
    assert (snapshot.index, snapshot.epoch, snapshot.configuration_version) == (6, 1, 5)
    assert (snapshot.leader, snapshot.fencing_token, snapshot.departed_backends) == (IDENTITIES[1], 6, ["i-7 4", "i-8 4"])
    assert snapshot.forgotten_version == 0
    assert snapshot.digests == [
        "77de44bcc0573ffaa4a7c8379c8d05ec 1",
        "387b2350d9e395752c3b8b2233ae43a1 2",
        "240960d40cbca3c18676cfa58b699b6b 5",
    ]
    value = json.loads(snapshot.configuration)
    assert [route["name"] for route in value["routes"]] == ["cart", "find"]
    assert value["services"] == [{"name": "cart", "connection_limit": 8}, {"name": "search", "connection_limit": 16}]


def test_control_entries_and_backends(tmp_path: Path) -> None:
    restored = open_stored("control", tmp_path)
    expected = [(7, 1, EntryKind.PATCH), (8, 1, EntryKind.DEPARTURE), (9, 1, EntryKind.PATCH)]
    assert [(entry.index, entry.epoch, entry.kind) for entry in restored.entries] == expected
    assert [int(kind) for _, _, kind in expected] == [2, 4, 2]
    assert restored.entries[0].body == b'{"version": 6, "remove": {"routes": ["cart"]}}'
    assert restored.entries[0].digest == "53b3ee6b35347d5087c1d8db28728e84"
    assert restored.committed == 8
    ready, leaving = restored.backends
    assert (ready.id, ready.service, ready.address, ready.zone) == ("i-1", "cart", "10.9.0.1:8001", "z1")
    assert (ready.version, ready.slots, ready.sequence, ready.order_revision, ready.draining) == ("7", 4, 12, 9, False)
    assert [(one.name, one.version, one.adapters) for one in ready.models] == [("m-1", 4, ["a-1", "a-2"])]
    assert [(one.model, one.adapter, one.remaining_ms, one.from_store) for one in ready.loads] == [("m-2", "a-3", 1200, True)]
    assert [(one.model, one.adapter, one.remaining_ms, one.from_store) for one in ready.unloads] == [("m-3", "a-4", 300, False)]
    assert (leaving.id, leaving.slots, leaving.sequence, leaving.draining) == ("i-2", 2, 31, True)


def test_control_state_continues_from_the_committed_entries(tmp_path: Path) -> None:
    state = committed_state(open_stored("control", tmp_path))
    assert (state.index, state.document.version) == (8, 6)
    assert [route["name"] for route in state.document.value["routes"]] == ["find"]
    assert (state.leader, state.fencing_token) == (IDENTITIES[1], 6)
    assert (state.departed_backends, state.departure_index) == ({"i-7": 4, "i-8": 4, "i-9": 8}, 8)
    assert list(state.digests.values()) == [1, 2, 5, 6]
    committed_patch = b'{"version": 6, "remove": {"routes": ["cart"]}}'
    assert state.check("PATCH", 5, committed_patch).err_value.outcome.http_status == 200
    next_entry = open_stored("control", tmp_path).entries[-1]
    checked = state.check("PATCH", 6, next_entry.body).ok_value
    assert (checked.digest, checked.document.version) == (next_entry.digest, 7)


def test_control_state_written_in_a_simulation(tmp_path: Path) -> None:
    restored = open_stored("control_played", tmp_path)
    view = restored.voter.view
    assert (restored.identity, view.epoch, restored.log_complete) == (IDENTITIES[0], 9, True)
    assert [member.identity for member in view.voters] == [*IDENTITIES[:2], "disk-306082ef137b4694"]
    assert [member.name for member in view.chain] == ["core-1", "core-3", "core-0"]
    assert (restored.snapshot.index, restored.snapshot.configuration_version, restored.snapshot.fencing_token) == (53, 54, 44)
    kinds_by_index = {entry.index: entry.kind for entry in restored.entries}
    assert list(kinds_by_index) == list(range(54, 67))
    assert list(kinds_by_index.values()) == [4, 4, 2, 3, 2, *[3] * 7, 1]
    state = committed_state(restored)
    assert (state.index, state.epoch, state.document.version) == (65, 9, 57)
    assert state.document.value["services"] == [{"name": "noted", "note": "one-24"}]
    assert (state.leader, state.fencing_token) == (IDENTITIES[1], 65)
    assert state.departed_backends == {"stub-1.1": 20, "stub-0.1": 23, "stub-1.2": 36, "stub-1.3": 54, "stub-0.2": 55}
    assert (len(state.digests), state.forgotten_version) == (38, 0)


def open_stored_voter(tmp_path: Path) -> tuple[Store, VoterState]:
    shutil.copytree(DATA / "maintenance", tmp_path, dirs_exist_ok=True)
    store = Store(str(tmp_path))
    return store, store.read()


def test_maintenance_voter(tmp_path: Path) -> None:
    store, voter_state = open_stored_voter(tmp_path)
    permits = (Permit("n4", "z1", 1, "kernel"), Permit("n5", "z2", 2, "disk", "the disk is on fire"))
    table = PermitTable(("n1", "n2", "n3", "n6"), 3, 2, 4, 1, permits, "a sale until noon")
    assert voter_state == VoterState(ProposalNumber(9, "n3.4"), ProposalNumber(6, "n2.3"), table, 7)
    assert (voter_state.table.version, voter_state.table.epoch, voter_state.table.frozen) == (4, 1, "a sale until noon")
    assert voter_state.table.permit("n5").fence == 2
    store.persist(voter_state)
    store.close()
    assert (tmp_path / "voter").read_bytes() == (DATA / "maintenance" / "voter").read_bytes()


def test_maintenance_voter_keeps_its_promise(tmp_path: Path) -> None:
    store, voter_state = open_stored_voter(tmp_path)
    store.close()
    voter = Voter("n1", voter_state)
    earlier = voter.handle_request(RegisterRequest(ProposalNumber(8, "n2.9")))
    assert not earlier.is_granted and earlier.promised == (9, "n3.4") and earlier.table == voter_state.table
    assert voter.handle_request(RegisterRequest(ProposalNumber(9, "n3.4"), table=voter_state.table.release("n4", 1))).is_granted
    assert [permit.name for permit in voter.voter_state.table.out] == ["n5"]


@pytest.fixture(scope="module")
def trace() -> Trace:
    return Trace(io.BytesIO((DATA / "trace.mht").read_bytes()))


def test_trace_metadata_and_blocks(trace: Trace) -> None:
    facts = trace.metadata
    assert (trace.major, trace.minor, trace.indexed, trace.lost) == (2, 2, True, [])
    assert (facts.instance, facts.seed, facts.clock, facts.wall, facts.number) == ("n1", 2, 20.5, 1.7e9, 4)
    assert (facts.op_types, facts.tenants, facts.policy, facts.made_by) == (
        ["read", "signoff", "stamp"],
        ["t1"],
        "policy-1",
        "3fe6cd9",
    )
    assert [kind["effect"] for kind in facts.deployment["op_types"]] == ["retryable", "non-retryable", "keyed"]
    rows = [(578, 2953, 500, 5.0, 7.159353), (3595, 1500, 297, 7.159353, 20.0)]
    assert [tuple(row) for row in trace.rows] == rows


def test_trace_records(trace: Trace) -> None:
    records = list(trace.records())
    assert Counter(record.kind.name for record in records) == {
        "pulled": 304,
        "decided for": 203,
        "read": 139,
        "run ended": 81,
        "woken": 41,
        "turned back": 14,
        "storm": 13,
        "start": 1,
        "note": 1,
    }
    assert (records[0].time, records[0].values) == (5.0, (0, 100.0))
    read = next(record for record in records if record.kind is kinds.READ)
    assert read.time == 5.002117
    assert read.values == (1, "4fb65b1631f139db", 0, 0.0, 3.3, 0, 0, 4, 0.059731, 1.0, 1)
    assert (records[-1].time, records[-1].values) == (20.0, ("written", "by text 3fe6cd9"))
    assert trace.unknown == 0 and trace.lost == []


def test_trace_replays_to_the_same_decisions(trace: Trace) -> None:
    outcome = replay_trace(trace.records(), trace.metadata)
    assert outcome.differences == 0, outcome.first
    assert (outcome.pulls, outcome.decisions) == (304, 203)
    assert outcome.replayed == outcome.recorded == {"run": 81, "nack": 58, "wake": 41, "hear": 12, "keep": 8, "forget": 3}


def test_trace_summary(trace: Trace) -> None:
    totals = summary(trace.records(), trace.metadata.op_types, trace.metadata.tenants)
    assert totals["seconds"] == 15.0
    assert {name: totals["counts"][name] for name in ("ops_read", "run_ok", "decided_nack_bound", "turned_back")} == {
        "ops_read": 139,
        "run_ok": 81,
        "decided_nack_bound": 58,
        "turned_back": 320,
    }
    assert totals["by_op_type"]["signoff"] == {"decided_nack": 4, "decided_run": 7, "ops_read": 11, "run_ok": 7}
    assert list(totals["by_tenant"]) == ["t1"]
    assert totals["held_s"] == {"50%": 0.185, "90%": 0.318, "99%": 1.079, "100%": 1.115}


def test_trace_is_rewritten_unchanged(trace: Trace) -> None:
    file = io.BytesIO()
    writer = TraceWriter(file, trace.metadata)
    for head, block in trace.blocks():
        builder = BlockBuilder(head.major, head.newest)
        for record in block.records():
            builder.add(record)
        writer.write(builder.encode())
    writer.close()
    again = Trace(io.BytesIO(file.getvalue()))
    assert (again.metadata, list(again.records())) == (trace.metadata, list(trace.records()))
    assert [row.records for row in again.rows] == [500, 297]


def test_search_history() -> None:
    text = (DATA / "search_history.txt").read_text()
    history = parse_history(text)
    assert (history.seed, history.instances, history.is_maintenance_requested) == (139, 5, False)
    assert history.kinds == ("black hole", "leaves", "some die for good")
    assert history.lines == ("at 10.63 failing 2 1.0 for 3.12", "at 11.04 leave 4-4", "at 15.04 start 4-4", "at 11.33 kill 2")
    load = history.load
    assert (load.load, load.callers, load.listed, load.mixed, load.one) == (0.3, 8, 2, True, 0.33)
    assert (load.uneven, load.heeding, load.list_delay, load.speeds) == (3.0, 0.5, 0.5, (1.0, 0.5))
    assert format_history(history) == text
    assert draw_history(139) == history


def test_search_history_replays_to_the_same_result() -> None:
    result = play(parse_history((DATA / "search_history.txt").read_text()))
    assert (result.what, len(result.states), result.handed, result.maintenance_windows) == ("", 12, 33, 0)
    assert (result.before, result.after, result.recovered, round(result.worst, 6)) == (1.0, 1.0, 0.0, 0.615385)
