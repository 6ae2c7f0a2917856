"""The simulated machines of control-plane nodes: each has a disk with its faults, and the node's process while it runs."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from mulleinhatch.control_plane.api import ControlApi, InternalApi, build_internal_api
from mulleinhatch.control_plane.distribution import Distribution
from mulleinhatch.control_plane.node import ControlPlaneNode
from mulleinhatch.control_plane.state_store import StateStore, replay
from mulleinhatch.messages import cluster
from mulleinhatch.process.settings import Bounds, Settings
from mulleinhatch.simulation.control_plane.defects import Defect
from mulleinhatch.simulation.virtual_time import Process, VirtualLoop
from mulleinhatch.storage.records import Record, RecordKind

NO_ORDER_S = 1e5  # as reported by a process that has sent no order
REFUSED = OSError(28, "the disk takes no more bytes")


class VirtualAppendLog:
    """Replaces `storage.append_log.AppendLog` and stores the records in memory."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._is_unlinked = False
        self.size = 0

    def open(self) -> list[Record]:
        """Return the records on the disk."""
        return list(self._machine.records)

    def append(self, records: list[Record]) -> None:
        """Append records, unless an injected defect loses them."""
        if self._is_unlinked:
            return
        if self._machine.defect is Defect.LOSE_SYNCED_WRITE and self._machine.rng.random() < 0.3:
            return
        self._machine.records.extend(records)

    def rewrite(self, records: list[Record]) -> None:
        """Replace all records; fail afterwards while folder syncs are refused."""
        self._machine.records[:] = records
        if self._machine.refuse_folder_sync:
            self._is_unlinked = self._machine.defect is Defect.WRITE_TO_UNLINKED_FILE
            raise REFUSED


class VirtualStateStore(StateStore):
    """The real state store on a virtual append log; writes take virtual time."""

    def __init__(self, machine: Machine, clock: Callable[[], float]) -> None:
        super().__init__("", clock, VirtualAppendLog(machine))  # type: ignore[arg-type]
        self._machine = machine
        self._lock = asyncio.Lock()

    async def _run_in_thread(self, operation: Callable[[list[Record]], None], records: list[Record]) -> None:
        machine = self._machine
        async with self._lock:
            machine.pending_write = (operation, records)
            await asyncio.sleep(machine.rng.uniform(*machine.sync_duration_s) * machine.slowdown)
            while machine.stalled:
                await asyncio.sleep(0.05)
            machine.pending_write = None
            if machine.full:
                raise REFUSED
            operation(records)


class _DistributionObserver:
    """The process around a simulated node (`NodeObserver`): it answers data planes, and places no models."""

    def __init__(self) -> None:
        self.distribution: Distribution | None = None  # None while the node reads its disk

    def on_change(self) -> None:
        """Answer polls."""
        if self.distribution is not None:
            self.distribution.notify_changed()

    def on_backend_change(self, backend_id: str) -> None:
        """Answer polls."""
        self.on_change()

    def on_store_load(self) -> None:
        """Ignore loads from the weight store."""
        pass

    def count_data_planes(self) -> int:
        """Return the number of data planes that poll this process."""
        return self.distribution.count_local_data_planes()

    def placement_idle_s(self) -> float:
        """Return the idle time of a process that has never placed a model."""
        return NO_ORDER_S


def process_settings(world: Any, name: str, ip: str, control_address: str = "", zone: str = "z0") -> Settings:
    """Return the settings of a process; only control-plane nodes have a `control_address`."""
    return Settings(
        name=name,
        ip_address=ip,
        zone=zone,
        region="r",
        listen={"control": control_address} if control_address else {},
        internal_address=f"{ip}:7000",
        seeds=world.seeds(),
        first_start=world.first,
        counts_for_quorum=bool(control_address),
        machines_tolerated=world.plan.tolerated,
        zones_tolerated=world.plan.zones_tolerated,
        regions_tolerated=0,
        heartbeat_s=1.2,
        data_directory="",
        file_descriptors=100,
        memory_mb=100.0,
        regions_of_zones={},
        bounds=Bounds(),
    )


class Machine:
    """The machine of one control-plane node: its address, its disk, and the node's process while it runs.

    Attributes:
        records: The content of the disk.
        lost_until: Time until which the machine counts as lost.
    """

    def __init__(self, number: int, world: Any, zone: str = "") -> None:
        self.number, self._world = number, world
        self.zone = zone or f"z{number % world.plan.zones}"
        self.ip = f"10.0.0.{number + 1}"
        self.rng: random.Random = world.rng
        self.defect: Defect = world.plan.defect
        self.sync_duration_s: tuple[float, float] = world.plan.sync_duration_s
        self.records: list[Record] = []
        self.pending_write: tuple[Any, list[Record]] | None = None
        self.slowdown, self.stalled, self.full, self.refuse_folder_sync = 1.0, False, False, False
        self.node: ControlPlaneNode | None = None
        self.process: Process | None = None
        self.control: ControlApi | None = None
        self.internal_api: InternalApi | None = None
        self.lost_until = 0.0
        self.started_at = 0.0
        self.starts = 0
        self.claiming: Process | None = None  # the process that is claiming the leadership
        self.removed = False
        self.retiring = False  # its successor has started, and it will be shut down

    @property
    def internal(self) -> str:
        """The internal address."""
        return f"{self.ip}:7000"

    @property
    def control_address(self) -> str:
        """The address of the control API."""
        return f"{self.ip}:80"

    def settings(self) -> Settings:
        """Return the settings of the control-plane node."""
        return process_settings(self._world, f"core-{self.number}", self.ip, self.control_address, self.zone)

    def start(self) -> None:
        """Start a control-plane process from the content of the disk."""
        loop: VirtualLoop = self._world.loop
        self.starts += 1
        self.started_at = loop.time()
        self.process = Process(
            f"core-{self.number}.{self.starts}", self._world.plan.processor_share, self._world.plan.quota_period_s
        )
        observer = _DistributionObserver()
        node = ControlPlaneNode(
            self.settings(),
            self._world.network_client(self, self.process),
            loop.time,
            observer,
            self._disk(),
            processor_time=self.process.processor_time,
        )
        node.open()
        distribution = observer.distribution = Distribution(node, loop.time, node.slicer)
        self.control = ControlApi(node, loop.time, dict)
        self.internal_api = build_internal_api(node)
        self.internal_api.register("poll", cluster.PollRequest, distribution.poll)
        self.node = node
        loop.start(node.run(), self.process)

    def _disk(self) -> VirtualStateStore:
        if not self.records:
            keeps_identity = self.defect is Defect.KEEP_IDENTITY_AFTER_WIPE and self.starts > 1
            bootstraps = self._world.first and self.control_address in self._world.seeds()
            identity = f"first-{self.control_address}" if keeps_identity or bootstraps else f"disk-{self.rng.getrandbits(64):x}"
            self.records.append(Record(RecordKind.IDENTITY, identity.encode()))
        return VirtualStateStore(self, self._world.loop.time)

    def stop(self, wipe: bool = False) -> None:
        """Kill the process or cut the power; part of a write in progress may become durable."""
        if self.process is None:
            return
        self.process.dead = True
        if self.pending_write is not None and not self.full and self.rng.random() < 0.5:
            operation, records = self.pending_write
            operation(records[: self.rng.randint(0, len(records))] if operation.__name__ == "append" else records)
        self.pending_write = None
        self.node = self.process = self.control = self.internal_api = None
        if wipe:
            self.empty()

    def empty(self) -> None:
        """Lose the content of the disk."""
        self.records = []
        self._world.majority.on_disk_emptied(self)

    def has_on_disk(self, digest: str) -> bool:
        """Return whether a change is on the disk, as an entry or in a snapshot."""
        restored = replay(self.records)
        if any(entry.digest == digest for entry in restored.entries):
            return True
        return any(text.split(" ")[0] == digest for text in restored.snapshot.digests)
