"""Writes the files of this folder with the code of text 3fe6cd9. It runs on that text alone, whatever names later texts have.

The exact commands, from the root of a clone of the project (the environment is that of the README):

    git worktree add target/text-3fe6cd9 3fe6cd9
    cp tests/data/make_3fe6cd9.py target/text-3fe6cd9/
    PYTHONPATH=target/text-3fe6cd9 .venv/bin/python target/text-3fe6cd9/make_3fe6cd9.py tests/data
    cp target/text-3fe6cd9/mulleinhatch/messages/cluster.py tests/data/messages_3fe6cd9.py
    git worktree remove --force target/text-3fe6cd9

All seeds and clocks are fixed: a second run writes the same bytes.
"""

from __future__ import annotations

import asyncio
import dataclasses
import io
import json
import shutil
import sys
from pathlib import Path
from typing import Any

import msgspec
from result import Ok

from mulleinhatch.control_plane.disk import Disk, commit_record, entry_records, settled_record, stubs_record
from mulleinhatch.fleet import words as fleet_words
from mulleinhatch.messages import cluster
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ControlState, EntryKind
from mulleinhatch.standins.search.campaign import as_text
from mulleinhatch.standins.search.histories import drawn
from mulleinhatch.standins.virtual import KINDS as OPERATION_KINDS
from mulleinhatch.standins.virtual import Weather, World
from mulleinhatch.standins.virtual_core import play as play_core
from mulleinhatch.standins.virtual_core.machines import VirtualDisk
from mulleinhatch.storage.journal import NAME, Journal
from mulleinhatch.storage.records import Record, RecordKind
from mulleinhatch.traces.block import Builder
from mulleinhatch.traces.file import Facts, Writer
from mulleinhatch.traces.recorder import Recorder
from mulleinhatch.traces.replay import told_out
from mulleinhatch.upkeep import words as upkeep_words
from mulleinhatch.upkeep.order import Request
from mulleinhatch.upkeep.register import Answer, Ask, Ballot, Kept, Voter
from mulleinhatch.upkeep.store import Store
from mulleinhatch.upkeep.table import Table
from mulleinhatch.views.ballots import Voter as ViewVoter
from mulleinhatch.views.planning import first_view

SEEDS = ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
IDENTITY = f"first-{SEEDS[0]}"


def _internal(control_address: str) -> str:
    return f"{control_address.rpartition(':')[0]}:7000"


class _Replicated:
    """The pure parts of one control plane and its real disk: what `ReplicatedLog` and `Votes` do, without a network."""

    def __init__(self, folder: str) -> None:
        self.disk = Disk(folder, lambda: 0.0)
        restored = self.disk.open(IDENTITY)
        self.voter = ViewVoter(restored.identity, restored.voter)
        self.voter.learn(first_view(SEEDS, _internal))
        self.replica, self.state = Replica(restored.identity), ControlState()
        self.replica.restore(self.voter.view, restored.snapshot, restored.entries, 0, True)
        self.replica.found()

    def vote_records(self) -> list[Record]:
        return [Record(RecordKind.VOTER, bytes(self.voter.state)), settled_record(self.replica.settled)]

    async def propose(self, kind: int, body: bytes, digest: str = "", commits: bool = True) -> None:
        write = self.replica.propose(kind, body, digest)
        await self.disk.append([*entry_records(write.entries), commit_record(self.replica.committed)])
        self.replica.written(write)
        if commits:
            self.replica.commit_to(self.replica.last)
            self.state.apply(self.replica.entry(self.replica.last))

    async def change(self, method: str, value: dict[str, Any], commits: bool = True) -> None:
        checked = self.state.check(method, self.state.document.version, json.dumps(value).encode())
        assert isinstance(checked, Ok), checked
        change = checked.ok_value
        await self.propose(change.kind, change.body, change.digest, commits)

    async def compact(self, stubs: list[cluster.Stub]) -> None:
        kept = self.replica.compact(self.state.snapshot())
        identity = Record(RecordKind.IDENTITY, IDENTITY.encode())
        snapshot = Record(RecordKind.SNAPSHOT, bytes(self.replica.base))
        records = [identity, snapshot, *entry_records(kept), commit_record(self.replica.committed), *self.vote_records()]
        await self.disk.rewrite([*records, stubs_record(stubs)])


def _route(name: str, service: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "host": "shop.example", "path_prefix": f"/{name}/", "timeout_ms": 900, "service": service, **more}


def _stubs() -> list[cluster.Stub]:
    model = cluster.HeldModel(name="m-1", version=4, adapters=["a-1", "a-2"])
    load = cluster.PendingLoad(model="m-2", adapter="a-3", remaining_ms=1200, from_store=True)
    unload = cluster.PendingLoad(model="m-3", adapter="a-4", remaining_ms=300)
    ready = cluster.Stub(id="i-1", service="cart", address="10.9.0.1:8001", zone="z1", version="7", slots=4, sequence=12)
    ready.models, ready.loads, ready.unloads, ready.order_revision = [model], [load], [unload], 9
    leaving = cluster.Stub(id="i-2", service="cart", address="10.9.0.2:8002", zone="z2", slots=2, sequence=31, draining=True)
    return [ready, leaving]


async def _control_state(folder: str) -> None:
    core = _Replicated(folder)
    await core.disk.append(core.vote_records())
    services = [{"name": "cart", "health_check_path": "/well"}, {"name": "search", "connection_limit": 16}]
    await core.change("PUT", {"version": 1, "routes": [_route("cart", "cart")], "services": services})
    await core.propose(EntryKind.HOLDER, IDENTITY.encode())
    await core.change("PATCH", {"version": 2, "upsert": {"routes": [_route("find", "search", kind="safe", priority=3)]}})
    await core.propose(EntryKind.LEAVE, json.dumps(["i-7", "i-8"]).encode())
    await core.change("PATCH", {"version": 5, "upsert": {"services": [{"name": "cart", "connection_limit": 8}]}})
    await core.propose(EntryKind.HOLDER, f"first-{SEEDS[1]}".encode())
    await core.compact(_stubs()[:1])
    view = core.voter.view
    ballot = cluster.Ballot(number=3, proposer=f"first-{SEEDS[2]}")
    proposed = cluster.View(epoch=2, voters=view.voters, chain=view.chain[:2])
    assert core.voter.prepare(cluster.PrepareRequest(base=view, ballot=ballot)).granted
    await core.disk.append(core.vote_records())
    assert core.voter.accept(cluster.AcceptRequest(base=view, ballot=ballot, proposed=proposed)).granted
    later = cluster.Ballot(number=5, proposer=f"first-{SEEDS[1]}")
    assert core.voter.prepare(cluster.PrepareRequest(base=view, ballot=later)).granted
    await core.disk.append(core.vote_records())
    await core.change("PATCH", {"version": 6, "remove": {"routes": ["cart"]}})
    await core.propose(EntryKind.LEAVE, json.dumps(["i-9"]).encode())
    await core.disk.append([stubs_record(_stubs())])
    await core.disk.append([commit_record(core.replica.committed)])
    await core.change("PATCH", {"version": 7, "upsert": {"routes": [_route("late", "search")]}}, commits=False)


def write_control_state(folder: Path) -> None:
    """Identity, votes, a snapshot, entries behind it of which the last is not committed, and stubs."""
    shutil.rmtree(folder, ignore_errors=True)
    asyncio.run(_control_state(str(folder)))


def write_played_control_state(folder: Path) -> None:
    """What the disk of machine 0 holds in the middle of a drawn history: the real `Core` wrote it."""
    shutil.rmtree(folder, ignore_errors=True)
    disks: list[VirtualDisk] = []
    real = VirtualDisk.__init__

    def seen(disk: VirtualDisk, machine: Any, clock: Any) -> None:
        real(disk, machine, clock)
        disks.append(disk)

    VirtualDisk.__init__ = seen  # type: ignore[method-assign]
    try:
        history = play_core(1003)
    finally:
        VirtualDisk.__init__ = real  # type: ignore[method-assign]
    assert not history.broken, history.broken
    journal = Journal(str(folder))
    assert journal.open() == []
    journal.append(disks[0]._machine.records)
    journal.close()


def write_voter(folder: Path) -> None:
    """A maintenance voter that took three tables and then promised a later ballot."""
    shutil.rmtree(folder, ignore_errors=True)
    store, voter = Store(str(folder)), Voter("n1", Kept())
    tables = [Table(voters=("n1", "n2", "n3"), most=3, zone_most=2)]
    tables.append(tables[-1].go("n4", "z1", "kernel"))
    tables.append(tables[-1].go("n5", "z2", "disk", over="the disk is on fire"))
    tables.append(tables[-1].electorate(("n1", "n2", "n3", "n6")).freeze("a sale until noon"))
    for number, table in enumerate(tables[1:], 1):
        ballot = Ballot(2 * number, f"n2.{number}")
        assert voter.asked(Ask(ballot, first=tables[0])).taken
        store.keep(voter.kept)
        assert voter.asked(Ask(ballot, table=table)).taken
        store.keep(voter.kept)
    assert voter.asked(Ask(Ballot(9, "n3.4"), first=tables[0])).taken
    store.keep(voter.kept)
    store.close()
    (folder / "lock").unlink()


def write_trace(path: Path) -> None:
    """The trace of an instance's last life in a virtual history with an outage."""
    lives: list[tuple[Recorder, list[tuple[list[Any], int]]]] = []

    def record(hatch: Any, now: float, cold: bool, since: float) -> Recorder:
        batches: list[tuple[list[Any], int]] = []
        lives.append((Recorder(hatch, now, cold, since, lambda *batch: batches.append(batch)), batches))
        return lives[-1][0]

    weather = Weather(rate=18.0, cores=1, outage=(3.0, 5.0), load_until=9.0, patience=4.5, until=20.0, heeding=0.5)
    world = World(weather, 3, record=record).play()
    recorder, batches = lives[-1]
    recorder.note(20.0, "written", "by text 3fe6cd9")
    recorder.flush()
    file = io.BytesIO()
    kinds = [kind[0] for kind in OPERATION_KINDS]
    facts = Facts("n1", world.life, 20.5, 1.7e9, 4, told_out(world.deployment), kinds, ["t1"], "policy-1", "3fe6cd9", [])
    writer = Writer(file, facts)
    for records, newest in batches:
        for start in range(0, len(records), 500):
            builder = Builder(2, newest)
            for one in records[start : start + 500]:
                builder.add(one)
            writer.write(builder.block())
            newest = builder.newest
    writer.close()
    path.write_bytes(file.getvalue())


def write_search_history(path: Path) -> None:
    path.write_text(as_text(drawn(139)))


class _Filler:
    """Values that differ from each other and from what stands in a new message."""

    def __init__(self) -> None:
        self._number = 0

    def message(self, kind: type) -> Any:
        message = kind()
        for field in dataclasses.fields(kind):
            meta = field.metadata["betterproto"]
            repeated = isinstance(getattr(message, field.name), list)
            values = [self._value(message, meta) for _ in range(2 if repeated else 1)]
            setattr(message, field.name, values if repeated else values[0])
        return message

    def _value(self, message: Any, meta: Any) -> Any:
        self._number += 1
        number = self._number
        if meta.proto_type == "message":
            return self.message(message._cls_for(self._field(message, meta.number)))
        wide = 2**63 + number if number % 3 == 0 else 1000 * number
        narrow = 2**32 - number if number % 3 == 0 else 100 + number
        values = {"string": f"täxt {number}", "bytes": bytes([0, 255, number % 256]), "bool": True, "float": number + 0.25}
        return {**values, "uint64": wide, "uint32": narrow}[meta.proto_type]

    @staticmethod
    def _field(message: Any, number: int) -> Any:
        return next(field for field in dataclasses.fields(message) if field.metadata["betterproto"].number == number)


def by_number(value: Any) -> Any:
    """A message as plain values by field numbers; bytes as {"bytes": hex}."""
    if dataclasses.is_dataclass(value):
        fields = dataclasses.fields(value)
        return {str(field.metadata["betterproto"].number): by_number(getattr(value, field.name)) for field in fields}
    if isinstance(value, list):
        return [by_number(one) for one in value]
    return {"bytes": value.hex()} if isinstance(value, bytes) else value


def cluster_messages() -> list[dict[str, Any]]:
    """One filled message of each class, in the order of the module."""
    filler, told = _Filler(), []
    kinds = [kind for kind in vars(cluster).values() if isinstance(kind, type) and kind.__module__ == cluster.__name__]
    for kind in kinds:
        message = filler.message(kind)
        told.append({"class": kind.__name__, "values": by_number(message), "bytes": bytes(message).hex()})
    return told


def _letters() -> list[fleet_words.Letter]:
    rumours = [
        fleet_words.Rumour("n2", "10.0.0.2:9000", 2**40, 3, fleet_words.SUSPECT, 1.5),
        fleet_words.Rumour("n3", "10.0.0.3:9000", 7, 1, fleet_words.LEFT),
    ]
    opinions = [("n2", 40, 25), ("n3", 100, 3)]
    reports = [
        fleet_words.Report("n1", 11, 12, 0.25, [1, 2, 10**12], [5, 6], [("t1", 7.5)], opinions, "10.0.0.1:9001"),
        fleet_words.Report("n4", 13, 14, 2.0, [0]),
    ]
    trades = [fleet_words.Trade(3, 15, True, 16, 17, 18), fleet_words.Trade(0, 19, False, 20)]
    offers = [fleet_words.Offer(21, 0.75, "10.0.0.5:9002")]
    sums = [
        fleet_words.Sum(fleet_words.GROUP, "1/4", 10, 12, 1, 30, 5, [1, 2, 3], b"\x0a\x00\x00\x01\x23\x28"),
        fleet_words.Sum(fleet_words.REGION, "west", 20, 900, 2, 60, 7, [4]),
    ]
    upward = fleet_words.Upward("west", "z1", "1/4", True, b"\x0a\x00\x00\x02\x23\x28", b"\x01\x02", sums, 513)
    upward_bytes = fleet_words.encode_upward(upward)
    more = upkeep_words.encode(upkeep_words.Tell())
    parts = (rumours, reports, trades, 22, offers, more, 2**61, upward_bytes)
    return [
        fleet_words.Letter(fleet_words.VERSION, "blue", "n1", "10.0.0.1:9000", 8, 9, what, 23 + place, "n9", *parts)
        for place, what in enumerate(("ping", "ack", "help", "word"))
    ] + [fleet_words.Letter(fleet_words.VERSION, "blue", "n1", "10.0.0.1:9000", 8, 9, "ping", 27)]


def fleet_messages() -> list[dict[str, Any]]:
    """Letters of each kind, and what passes upwards, encoded as `fleet.core` and `fleet.levels` do."""
    letters = _letters()
    told = [{"class": "Letter", "values": msgspec.to_builtins(one), "bytes": fleet_words.encode(one).hex()} for one in letters]
    upward = fleet_words.decode_upward(letters[0].upward)
    values = msgspec.to_builtins(upward)
    return [*told, {"class": "Upward", "values": values, "bytes": fleet_words.encode_upward(upward).hex()}]


def _words() -> list[upkeep_words.Word]:
    request = Request("n4", "z1", "kernel", 60.0, 1000.5, 1001.0, 2000.0, 1, 17.25, True, True)
    table = Table(("n1", "n2", "n3"), 3, 2).go("n4", "z1", "kernel").go("n5", "z2", "disk", over="no time").freeze("a sale")
    low, high = Ballot(4, "n1.1"), Ballot(6, "n2.3")
    kept = Kept(high, low, table, 31)
    answer = Answer("n1", high, True, True, high, low, table, 32)
    first = Table(("n1",), 1, 1)
    return [
        upkeep_words.Query(request, True),
        upkeep_words.Query(),
        upkeep_words.Reply(33, 2, 5, 1, "out longest ago", 34, 35, 36, "a sale", 37),
        upkeep_words.Reply(0, -1, 0, 0),
        upkeep_words.Asked(Ask(high, table, first), 38),
        upkeep_words.Asked(Ask(low, None, first), 39),
        upkeep_words.Answered(answer, 40),
        upkeep_words.Answered(Answer("n2", low, False, False, high), 41),
        upkeep_words.Tell(),
        upkeep_words.Told(kept, True),
        upkeep_words.Told(Kept(), False),
        upkeep_words.Please(request),
        upkeep_words.Thanks(1000.5),
    ]


def upkeep_messages() -> list[dict[str, Any]]:
    """What askers and voters of maintenance say, encoded as `upkeep.core` does."""
    told = []
    for word in _words():
        values = msgspec.to_builtins(word)
        told.append({"class": type(word).__name__, "values": values, "bytes": upkeep_words.encode(word).hex()})
    return told


def write_messages(path: Path) -> None:
    whole = {"cluster": cluster_messages(), "fleet": fleet_messages(), "upkeep": upkeep_messages()}
    path.write_text(json.dumps(whole, indent=1, ensure_ascii=True) + "\n")


def main(folder: Path) -> None:
    """Writes all files into a folder that exists."""
    write_control_state(folder / "control")
    write_played_control_state(folder / "control_played")
    write_voter(folder / "maintenance")
    write_trace(folder / "trace.mht")
    write_search_history(folder / "search_history.txt")
    write_messages(folder / "messages.json")
    for part in ("control", "control_played"):
        assert [path.name for path in (folder / part).iterdir()] == [NAME]


if __name__ == "__main__":
    main(Path(sys.argv[1]))
