"""Core machines in virtual time: the real `Core` on stand-in disks and a stand-in network, with losses, restarts,
cuts and emptied
disks in any order, and an operator who is told little. What must hold is checked from outside, by what was answered.

`play(seed)` gives a `History`; one seed is one history. A planted `Defect` must make some history fail.
"""

from __future__ import annotations

import asyncio
import json
import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from mulleinhatch.control_plane.api import internal_api
from mulleinhatch.control_plane.changes import ChangeAnswer, Changes
from mulleinhatch.control_plane.core import Core
from mulleinhatch.control_plane.disk import Restored, replay
from mulleinhatch.replication.state import Verdict
from mulleinhatch.services.http_client import CallFailed, WholeAnswer
from mulleinhatch.services.settings import Bounds, Settings
from mulleinhatch.services.web import WebRequest
from mulleinhatch.standins.virtual_time import VirtualLoop
from mulleinhatch.storage.records import Record, RecordKind

DELAY_S = (0.001, 0.006)
SYNC_S = (0.001, 0.008)
LOST_PART = 0.02  # of messages
RECOVERY_S = 12.0  # after all troubles: the core must answer again
TROUBLE_S = 25.0
CATCH_UP_S = 4.0  # a machine that is back counts as lost so long


class Defect(Enum):
    """Faults that are planted to see whether the checks find them."""

    NONE = "none"
    FORGET_SYNC = "a sync that does not last"
    VOTE_AFTER_WIPE = "an emptied disk keeps its identity"
    REFUSE_UNSETTLED = "412 while an earlier change is not settled"
    READ_ANYWHERE = "reads without asking whether the view stands"
    SHORT_CHAIN = "a chain of one acknowledges"


class Machine:
    """One core machine: what its disk holds, and the process that runs on it, if any."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.ip = f"10.0.0.{number + 1}"
        self.records: list[Record] = []
        self.core: Core | None = None
        self.handler: Callable[[WebRequest], Any] | None = None
        self.task: asyncio.Task[Any] | None = None
        self.lost_until = 0.0
        self.starts = 0

    @property
    def internal(self) -> str:
        return f"{self.ip}:7000"


class VirtualDisk:
    """The journal of one machine: a record lasts once its sync is over; a loss of power keeps a part of what was under way."""

    def __init__(self, machine: Machine, chance: random.Random, defect: Defect, sync_s: tuple[float, float]) -> None:
        self._machine, self._chance, self._defect, self._sync_s = machine, chance, defect, sync_s
        self._lock = asyncio.Lock()
        self.dead = False
        self.failed = False
        self.size = 0

    def open(self, first_identity: str) -> Restored:
        restored = replay(self._machine.records)
        if not restored.identity:
            keeps = self._defect is Defect.VOTE_AFTER_WIPE and self._machine.starts > 1
            restored.identity = (
                f"first-{self._machine.ip}:80" if keeps else first_identity or uuid.UUID(int=self._chance.getrandbits(128)).hex
            )
            self._machine.records.append(Record(RecordKind.IDENTITY, restored.identity.encode()))
        return restored

    async def append(self, records: list[Record]) -> None:
        async with self._lock:
            await asyncio.sleep(self._chance.uniform(*self._sync_s))
            if self.dead:
                await asyncio.get_running_loop().create_future()
            if self._defect is Defect.FORGET_SYNC and self._chance.random() < 0.3:
                return
            self._machine.records.extend(records)

    async def rewrite(self, records: list[Record]) -> None:
        async with self._lock:
            await asyncio.sleep(self._chance.uniform(*self._sync_s))
            if not self.dead:
                self._machine.records[:] = records

    def stalled(self) -> bool:
        return False


@dataclass
class Sent:
    """A change that the operator sent."""

    method: str
    base: int
    body: bytes
    version: int
    answers: list[int] = field(default_factory=list)


@dataclass
class History:
    """What was seen, and what did not hold."""

    seed: int
    events: list[str] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    acknowledged: int = 0
    reads: int = 0
    views: int = 0


class World:
    """Machines, links, operator and checks of one history."""

    def __init__(self, seed: int, machines: int, tolerated: int, defect: Defect, sync_s: tuple[float, float]) -> None:
        self.sync_s = sync_s
        self.chance = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.machines = [Machine(number) for number in range(machines)]
        self.tolerated, self.defect = tolerated, defect
        self.cut: set[frozenset[int]] = set()
        self.history = History(seed)
        self.newest_acknowledged = 0
        self.first = True

    # Machines.

    def settings(self, machine: Machine) -> Settings:
        seeds = tuple(f"{one.ip}:80" for one in self.machines[:3])
        return Settings(
            name=f"core-{machine.number}",
            ip_address=machine.ip,
            zone="z",
            region="r",
            listen={"control": f"{machine.ip}:80"},
            internal_address=machine.internal,
            seeds=seeds,
            first_start=self.first,
            counts_for_quorum=True,
            machines_tolerated=self.tolerated,
            heartbeat_s=1.0,
            data_directory="",
            file_descriptors=100,
            memory_mb=100.0,
            regions_of_zones={},
            bounds=Bounds(),
        )

    def start(self, machine: Machine) -> None:
        machine.starts += 1
        disk = VirtualDisk(machine, self.chance, self.defect, self.sync_s)
        core = Core(self.settings(machine), Network(self, machine), self.loop.time, lambda: None, disk)  # type: ignore[arg-type]
        core.open()
        if self.defect is Defect.READ_ANYWHERE:
            core.votes.confirm = _always  # type: ignore[method-assign]
        machine.core = core
        machine.handler = internal_api(core).answer
        machine.task = asyncio.ensure_future(core.run())

    def stop(self, machine: Machine, wipe: bool = False) -> None:
        """Kill or loss of power: what was under way on the disk is lost."""
        if machine.core is None:
            return
        machine.core.disk.dead = True
        machine.task.cancel()
        for task in list(machine.core._tasks):
            task.cancel()
        machine.core = machine.handler = machine.task = None
        if wipe:
            machine.records = []

    def reach(self, one: Machine, other: Machine) -> bool:
        return other.core is not None and frozenset((one.number, other.number)) not in self.cut

    def lost(self) -> int:
        """Machines that count as lost now."""
        now = self.loop.time()
        return sum(
            machine.core is None or machine.lost_until > now or any(machine.number in pair for pair in self.cut)
            for machine in self.machines
        )

    # Troubles.

    async def trouble(self) -> None:
        while self.loop.time() < TROUBLE_S:
            await asyncio.sleep(self.chance.uniform(0.3, 3.0))
            kind = self.chance.choice(["stop", "stop", "wipe", "cut", "kill all", "power all"])
            if kind == "kill all" or kind == "power all":
                if self.chance.random() < 0.3:
                    asyncio.ensure_future(self._all_down(self.chance.uniform(0.1, 2.0)))
            elif self.lost() < self.tolerated:
                machine = self.chance.choice(self.machines)
                if machine.core is not None and machine.lost_until <= self.loop.time():
                    asyncio.ensure_future(self._single(kind, machine, self.chance.uniform(0.2, 4.0)))

    def _note(self, text: str) -> None:
        self.history.events.append(f"{self.loop.time():8.3f} {text}")

    async def _single(self, kind: str, machine: Machine, for_s: float) -> None:
        self._note(f"{kind} {machine.number} for {for_s:.1f}")
        machine.lost_until = self.loop.time() + for_s + CATCH_UP_S
        if kind == "cut":
            pairs = {frozenset((machine.number, other.number)) for other in self.machines if other is not machine}
            self.cut |= pairs
            await asyncio.sleep(for_s)
            self.cut -= pairs
            return
        self.stop(machine, wipe=kind == "wipe")
        await asyncio.sleep(for_s)
        if machine.core is None:
            self.start(machine)

    async def _all_down(self, for_s: float) -> None:
        self._note(f"all down for {for_s:.1f}")
        for machine in self.machines:
            self.stop(machine)
        await asyncio.sleep(for_s)
        for machine in self.machines:
            machine.lost_until = max(machine.lost_until, self.loop.time() + CATCH_UP_S)
            if machine.core is None:
                self.start(machine)

    # The operator.

    async def operate(self, name: str) -> None:
        """Sends changes on top of what it believes to be current, again and again until the answer is clear."""
        number = 0
        while self.loop.time() < TROUBLE_S:
            await asyncio.sleep(self.chance.uniform(0.05, 0.8))
            number += 1
            base = self._believed()
            version = base + self.chance.randint(1, 3)
            value = {"version": version, "routes": [], "services": [], "note": f"{name}-{number}"}
            sent = Sent("PUT", base, json.dumps(value).encode(), version)
            self.history.sent.append(sent)
            await self._send(sent)

    def _believed(self) -> int:
        return self.newest_acknowledged

    async def _send(self, sent: Sent) -> None:
        for _ in range(12):
            answer = await self._call(lambda core: core.change(sent.method, sent.base, sent.body))
            if answer is None or self.chance.random() < 0.2:
                await asyncio.sleep(self.chance.uniform(0.05, 0.5))
                continue  # no answer, or it was lost on its way
            sent.answers.append(answer.status)
            if answer.status == 200:
                self.history.acknowledged += 1
                self.newest_acknowledged = max(self.newest_acknowledged, sent.version)
                return
            if answer.status < 500:
                return
            await asyncio.sleep(self.chance.uniform(0.05, 0.5))

    async def _call(self, ask: Callable[[Core], Any]) -> Any:
        """One call to a machine by chance, sent on as it says."""
        machine = self.chance.choice(self.machines)
        for _ in range(3):
            core = machine.core
            if core is None:
                return None
            work = asyncio.ensure_future(ask(core))
            done, _ = await asyncio.wait([work], timeout=1.0)
            if not done or machine.core is not core:
                work.cancel()
                return None
            answer = work.result()
            told = answer if isinstance(answer, ChangeAnswer) else answer[0]
            if told.status != 307:
                return answer
            address = told.location.removeprefix("http://").partition("/")[0]
            machine = next(one for one in self.machines if address.startswith(f"{one.ip}:"))
        return None

    async def read_now_and_then(self) -> None:
        while self.loop.time() < TROUBLE_S:
            await asyncio.sleep(self.chance.uniform(0.1, 0.6))
            await self._read()

    async def _read(self) -> bool:
        before = self.newest_acknowledged
        answer = await self._call(lambda core: core.read())
        if answer is None or answer[0].status != 200:
            return False
        self.history.reads += 1
        value = json.loads(answer[1])
        if value["version"] < before:
            self.history.broken.append(f"read version {value['version']} after {before} was acknowledged")
        return True

    # The end.

    async def settle(self) -> None:
        """All are back; the newest state must be read, and hold what was acknowledged and nothing that was refused."""
        await asyncio.sleep(5.0)
        self.cut.clear()
        for machine in self.machines:
            if machine.core is None:
                self.start(machine)
        end = self.loop.time() + RECOVERY_S
        answered = False
        while self.loop.time() < end and not answered:
            await asyncio.sleep(0.3)
            answered = await self._read()
        if not answered:
            self.history.broken.append("no read is answered after all troubles are over")
            return
        self._check_state()

    def _check_state(self) -> None:
        tails = [machine.core for machine in self.machines if machine.core is not None and machine.core.replica.is_tail]
        state = max(tails, key=lambda core: core.view.epoch).state
        self.history.views = max(core.view.epoch for core in tails)
        in_force = set(state.digests)
        by_base: dict[int, str] = {}
        for sent in self.history.sent:
            digest = _digest(sent)
            if 200 in sent.answers:
                if digest not in in_force:
                    self.history.broken.append(f"version {sent.version} was acknowledged and is lost")
                if sent.base in by_base and by_base[sent.base] != digest:
                    self.history.broken.append(f"two changes on version {sent.base} were acknowledged")
                by_base[sent.base] = digest
            refused = any(400 <= status < 500 for status in sent.answers)
            if refused and digest in in_force:
                self.history.broken.append(f"version {sent.version} was refused and is in force")


def _digest(sent: Sent) -> str:
    from mulleinhatch.configuration.document import digest_of

    return digest_of(sent.method, sent.body)


async def _always() -> bool:
    return True


class Network:
    """The calls of one machine to the others, in place of `Caller`."""

    def __init__(self, world: World, machine: Machine) -> None:
        self._world, self._machine = world, machine

    def forget(self, address: str) -> None:
        """Nothing is kept."""

    async def request(self, address: str, method: str, path: str, body: bytes, within: float, *_: Any) -> WholeAnswer:
        world, end = self._world, self._world.loop.time() + within
        target = next((one for one in world.machines if one.internal == address), None)
        await asyncio.sleep(world.chance.uniform(*DELAY_S))
        if target is None or not world.reach(self._machine, target) or world.chance.random() < LOST_PART:
            await asyncio.sleep(max(0.0, end - world.loop.time()) if target is not None and target.core is not None else 0.001)
            raise CallFailed(address, "no answer")
        core = target.core
        work = asyncio.ensure_future(target.handler(WebRequest(method, path, {}, body)))
        done, _ = await asyncio.wait([work], timeout=max(0.001, end - world.loop.time()))
        await asyncio.sleep(world.chance.uniform(*DELAY_S))
        if not done or target.core is not core or not world.reach(self._machine, target) or world.chance.random() < LOST_PART:
            raise CallFailed(address, "no answer")
        answer = work.result()
        return WholeAnswer(answer.status, None, answer.body)  # type: ignore[arg-type]


async def _play(
    seed: int, machines: int, tolerated: int, defect: Defect, sync_s: tuple[float, float], troubled: bool
) -> History:
    world = World(seed, machines, tolerated, defect, sync_s)
    random.seed(seed)
    for machine in world.machines:
        world.start(machine)
    world.first = False
    await asyncio.sleep(2.0)
    troubles = [world.trouble()] if troubled else []
    await asyncio.gather(*troubles, world.operate("one"), world.operate("two"), world.read_now_and_then())
    await world.settle()
    for machine in world.machines:
        world.stop(machine)
    return world.history


def play(
    seed: int,
    machines: int = 3,
    tolerated: int = 1,
    defect: Defect = Defect.NONE,
    sync_s: tuple[float, float] = SYNC_S,
    troubled: bool = True,
) -> History:
    """One history of about 45 virtual seconds."""
    import mulleinhatch.control_plane.core as core_module
    import mulleinhatch.views.planning as planning

    refuse, shortest = Changes._refuse, planning.next_view
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        if defect is Defect.REFUSE_UNSETTLED:
            Changes._change = _refuse_at_once(Changes._change)  # type: ignore[method-assign]
        if defect is Defect.SHORT_CHAIN:
            core_module.next_view = lambda view, health, _: shortest(view, health, 0)
        return loop.run_until_complete(_play(seed, machines, tolerated, defect, sync_s, troubled))
    finally:
        Changes._refuse, core_module.next_view = refuse, shortest
        Changes._change = _real_change(Changes._change)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()


def _refuse_at_once(real: Callable[..., Any]) -> Callable[..., Any]:
    async def change(self: Changes, method: str, base: int | None, body: bytes, begun: float) -> ChangeAnswer:
        if self._core.replica.committed != self._core.replica.last:
            return ChangeAnswer(int(Verdict.CONFLICT), "planted")
        return await real(self, method, base, body, begun)

    change.real = real  # type: ignore[attr-defined]
    return change


def _real_change(change: Callable[..., Any]) -> Callable[..., Any]:
    return getattr(change, "real", change)
