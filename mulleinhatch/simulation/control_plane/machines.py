"""Core machines: what a disk holds and its troubles, and the process that runs on the machine, if any."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from mulleinhatch.control_plane.api import ControlApi, InternalApi, build_internal_api
from mulleinhatch.control_plane.distribution import Distribution
from mulleinhatch.control_plane.node import CoreNode
from mulleinhatch.control_plane.state_store import StateStore, replay
from mulleinhatch.messages import cluster
from mulleinhatch.process.settings import Bounds, Settings
from mulleinhatch.simulation.control_plane.defects import Defect
from mulleinhatch.simulation.virtual_time import Process, VirtualLoop
from mulleinhatch.storage.records import Record, RecordKind

REFUSED = OSError(28, "the disk takes no more bytes")


class VirtualJournal:
    """Stands in for `storage.journal.AppendLog`: records last once their sync is over."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._nameless = False
        self.size = 0

    def open(self) -> list[Record]:
        return list(self._machine.records)

    def append(self, records: list[Record]) -> None:
        if self._nameless:
            return
        if self._machine.defect is Defect.FORGET_SYNC and self._machine.chance.random() < 0.3:
            return
        self._machine.records.extend(records)

    def rewrite(self, records: list[Record]) -> None:
        self._machine.records[:] = records
        if self._machine.refuse_folder_sync:
            self._nameless = self._machine.defect is Defect.LOST_DESCRIPTOR
            raise REFUSED


class VirtualDisk(StateStore):
    """The real disk's bookkeeping on a virtual journal, in virtual time."""

    def __init__(self, machine: Machine, clock: Callable[[], float]) -> None:
        super().__init__("", clock, VirtualJournal(machine))  # type: ignore[arg-type]
        self._machine = machine
        self._lock = asyncio.Lock()

    async def _carry_out(self, work: Callable[[list[Record]], None], records: list[Record]) -> None:
        machine = self._machine
        async with self._lock:
            machine.under_way = (work, records)
            await asyncio.sleep(machine.chance.uniform(*machine.sync_s) * machine.slower)
            while machine.stalled:
                await asyncio.sleep(0.05)
            machine.under_way = None
            if machine.full:
                raise REFUSED
            work(records)


def process_settings(world: Any, name: str, ip: str, control_address: str = "") -> Settings:
    """What a process is told at its start; `control_address` of those that serve control."""
    return Settings(
        name=name,
        ip_address=ip,
        zone="z",
        region="r",
        listen={"control": control_address} if control_address else {},
        internal_address=f"{ip}:7000",
        seeds=world.seeds(),
        first_start=world.first,
        counts_for_quorum=bool(control_address),
        machines_tolerated=world.tolerated,
        heartbeat_s=1.2,
        data_directory="",
        file_descriptors=100,
        memory_mb=100.0,
        regions_of_zones={},
        bounds=Bounds(),
    )


class Machine:
    """One core machine: address, disk, and the process that runs on it, if any."""

    def __init__(self, number: int, world: Any) -> None:
        self.number, self._world = number, world
        self.ip = f"10.0.0.{number + 1}"
        self.chance: random.Random = world.chance
        self.defect: Defect = world.defect
        self.sync_s: tuple[float, float] = world.sync_s
        self.records: list[Record] = []
        self.under_way: tuple[Any, list[Record]] | None = None
        self.slower, self.stalled, self.full, self.refuse_folder_sync = 1.0, False, False, False
        self.node: CoreNode | None = None
        self.process: Process | None = None
        self.control: ControlApi | None = None
        self.internal_api: InternalApi | None = None
        self.lost_until = 0.0
        self.started_at = 0.0
        self.starts = 0
        self.claiming: Process | None = None  # the process that claims the orders just now
        self.removed = False
        self.retiring = False  # a successor is there, and it will be asked to leave

    @property
    def internal(self) -> str:
        return f"{self.ip}:7000"

    @property
    def control_address(self) -> str:
        return f"{self.ip}:80"

    def settings(self) -> Settings:
        return process_settings(self._world, f"core-{self.number}", self.ip, self.control_address)

    def start(self) -> None:
        loop: VirtualLoop = self._world.loop
        self.starts += 1
        self.started_at = loop.time()
        self.process = Process(f"core-{self.number}.{self.starts}")
        node = CoreNode(self.settings(), self._world.caller(self, self.process), loop.time, lambda: None, self._disk())
        node.open()
        distribution = Distribution(node, loop.time)
        node._on_change = distribution.notify_changed
        node.on_backend_change = lambda backend_id: distribution.notify_changed()
        node.data_planes = distribution.count_local_data_planes
        self.control = ControlApi(node, loop.time, dict)
        self.internal_api = build_internal_api(node)
        self.internal_api.register("poll", cluster.PollRequest, distribution.poll)
        self.node = node
        loop.start(node.run(), self.process)

    def _disk(self) -> VirtualDisk:
        if not self.records:
            keeps = self.defect is Defect.VOTE_AFTER_WIPE and self.starts > 1
            founds = self._world.first and self.control_address in self._world.seeds()
            named = f"first-{self.control_address}" if keeps or founds else f"disk-{self.chance.getrandbits(64):x}"
            self.records.append(Record(RecordKind.IDENTITY, named.encode()))
        return VirtualDisk(self, self._world.loop.time)

    def stop(self, wipe: bool = False) -> None:
        """Kill or loss of power: of what was under way on the disk a part may last."""
        if self.process is None:
            return
        self.process.dead = True
        if self.under_way is not None and not self.full and self.chance.random() < 0.5:
            work, records = self.under_way
            work(records[: self.chance.randint(0, len(records))] if work.__name__ == "append" else records)
        self.under_way = None
        self.node = self.process = self.control = self.internal_api = None
        if wipe:
            self.records = []

    def holds(self, digest: str) -> bool:
        """Whether the disk holds a change, as an entry or in a snapshot."""
        restored = replay(self.records)
        if any(entry.digest == digest for entry in restored.entries):
            return True
        return any(text.split(" ")[0] == digest for text in restored.snapshot.digests)
