"""One core machine: its voter, its replica in the chain, and the heartbeats that hold the core together.

The decisions are pure (`views`, `replication`, `peers`); the parts that this module joins carry them out: they send,
receive, write and wait. What the machine says in the system's name it says only while `authoritative` holds, or after
asking a majority.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from mulleinhatch.consensus.view_planner import MemberHealth, bootstrap_view, plan_next_view
from mulleinhatch.control_plane.catch_up import CatchUp
from mulleinhatch.control_plane.configuration_changes import ChangeAnswer, ConfigurationChanges
from mulleinhatch.control_plane.heartbeats import HEARTBEAT_S, Heartbeats
from mulleinhatch.control_plane.peers import ALIVE_S, Peers
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.control_plane.replicated_log import ReplicatedLog
from mulleinhatch.control_plane.state_store import Restored, StateStore, backends_record, commit_record
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.messages.cluster import Member, View
from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.process.settings import Settings
from mulleinhatch.process.supervision import supervise
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ControlState

LOG = logging.getLogger(__name__)
CALL_S = 0.7  # for a message between core machines
PLAN_S = 0.1
LAPSE_S = 0.2  # a new view is confirmed by the heartbeats that it sets off
UNDECIDED_S = 0.5  # how long a proposal of another machine is left to it
STOOD_STILL_S = 0.6  # a gap between two looks at the clock that is ours, not the others'
DISK_RETRY_S = 0.5
KEEP_BACKENDS_S = 1.0


class CoreNode:
    """`on_change` is called whenever the configuration, the view or this machine's role changed."""

    def __init__(
        self,
        settings: Settings,
        caller: HttpClient,
        clock: Callable[[], float],
        on_change: Callable[[], None],
        disk: StateStore | None = None,
    ) -> None:
        self.settings, self.http_client, self.clock, self._on_change = settings, caller, clock, on_change
        self.state_store = disk or StateStore(settings.data_directory, clock)
        self.state = ControlState()
        self.leaving = False
        self.placement_idle_s: Callable[[], float] = lambda: 1e5
        self.data_planes: Callable[[], int] = lambda: 0
        self.on_backend_change: Callable[[str], None] = lambda backend_id: None
        self.on_store_load: Callable[[], None] = lambda: None
        self.heartbeats = Heartbeats(self)
        self.replicated_log = ReplicatedLog(self)
        self.catch_up = CatchUp(self)
        self.configuration_changes = ConfigurationChanges(self)
        self._progress = asyncio.Event()  # set and replaced whenever something moved
        self._looked_at = clock()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._quiet_until = 0.0  # until then the others' silence is not believed
        self._started_at = clock()
        self._undecided = (0, 0.0)  # the epoch of a view whose successor is undecided, and since when
        self._left_marked = 0  # entries up to this index have marked the backends that leave

    # Start.

    def internal_address_of(self, control_address: str) -> str:
        """The internal address beside a control address: all machines of a day use the same ports."""
        port = self.settings.internal_address.rpartition(":")[2]
        return f"{control_address.rpartition(':')[0]}:{port}"

    def open(self) -> None:
        """Reads the disk; blocks. OSError where the disk refuses, OtherVersion."""
        control = self.settings.listen["control"]
        founds = self.settings.first_start and control in self.settings.seeds
        restored = self.state_store.open(f"first-{control}" if founds else "")
        self.member = Member(
            identity=restored.identity,
            name=self.settings.name,
            control_address=control,
            internal_address=self.settings.internal_address,
        )
        self.peers = Peers(self.member)
        self.registry = BackendRegistry(
            self.settings.heartbeat_s,
            self._backend_changed,
            has_left=lambda backend_id: backend_id in self.state.departed_backends,
            on_store_load=lambda: self.on_store_load(),
        )
        self.view_changer = ViewChanger(self, restored)
        if not restored.voter.view.epoch and restored.identity == f"first-{control}":
            self.view_changer.bootstrap(bootstrap_view(self.settings.seeds, self.internal_address_of))
        self.replica = Replica(restored.identity)
        self._restore(restored)
        self._learn_members(self.view_changer.view)

    def _restore(self, restored: Restored) -> None:
        if restored.snapshot.index:
            self.state.restore(restored.snapshot)
        self.replica.restore(
            restored.voter.view, restored.snapshot, restored.entries, restored.committed, restored.log_complete
        )
        if self.view_changer.view.epoch:
            self.replica.adopt_view(self.view_changer.view)
        if not restored.voter.view.epoch:
            self.replica.bootstrap()
        self.replicated_log.apply()
        self.mark_departed_backends()
        for backend in restored.backends:
            self.registry.restore(backend, self.clock())

    async def run(self) -> None:
        while not await self._persist_first_vote():
            await asyncio.sleep(DISK_RETRY_S)
        self._started_at = self.clock()
        loops = {
            "heartbeats": self.heartbeats.run,
            "clock": self._watch_clock_forever,
            "views": self._plan_forever,
            "replication": self.replicated_log.supply_forever,
            "catching up": self.catch_up.run,
            "stubs on disk": self._persist_backends_forever,
        }
        await asyncio.gather(*(supervise(name, loop) for name, loop in loops.items()))

    async def _persist_first_vote(self) -> bool:
        """Whether the view that we start from is on disk; one that refuses writes for now is no reason to end."""
        try:
            await self.view_changer.persist()
        except OSError:
            return False
        return True

    async def _persist_backends_forever(self) -> None:
        """The list of backends is told anew by the backends; what is on disk bridges the time until then after a restart of
        all. A disk that refused a write is tried again, so that it is known when it is well."""
        kept = -1
        while True:
            await asyncio.sleep(KEEP_BACKENDS_S)
            try:
                if self.registry.cursor != kept:
                    kept = self.registry.cursor
                    await self.state_store.append([backends_record(self.registry.present_backends())])
                elif self.state_store.failed:
                    await self.state_store.append([commit_record(self.replica.committed)])
            except OSError:
                kept = -1

    def start_task(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not isinstance(task.exception(), OSError):
            LOG.error("a task failed", exc_info=task.exception())

    # What we are.

    @property
    def view(self) -> View:
        return self.replica.view

    def has_majority_contact(self) -> bool:
        """Whether what we say is the system's word: we are in the chain, show all that was acknowledged before, and a
        majority of the voters said lately that our view is the newest."""
        inside = self.replica.position >= 0 and self.replica.is_current
        return inside and self.peers.has_confirmed_majority(self.view, self.clock()) and not self._has_paused()

    async def confirm_leadership(self) -> bool:
        """Whether we are authoritative, or become so in the moment that the voters need to confirm a view that just changed."""
        return self.replica.position >= 0 and await self.wait_for(self.has_majority_contact, LAPSE_S)

    def _has_paused(self) -> bool:
        return self.clock() - self._looked_at > STOOD_STILL_S

    @property
    def head(self) -> Member | None:
        return self.view.chain[0] if self.view.chain else None

    @property
    def tail(self) -> Member | None:
        return self.view.chain[-1] if self.view.chain else None

    def is_unfit(self) -> bool:
        """Whether the chain should do without us."""
        return self.leaving or self.state_store.stalled()

    def is_caught_up(self) -> bool:
        return self.catch_up.done or self.replica.position >= 0

    # Waiting.

    def notify_progress(self) -> None:
        """Something moved: all that wait look again."""
        progress, self._progress = self._progress, asyncio.Event()
        progress.set()

    async def wait_for_progress(self, within: float) -> None:
        """Returns when something moved, or after `within` seconds."""
        try:
            async with asyncio.timeout(within):
                await self._progress.wait()
        except TimeoutError:
            pass

    async def wait_for(self, condition: Callable[[], bool], within: float) -> bool:
        """Whether a condition came true in `within` seconds; it is looked at whenever something moved."""
        end = self.clock() + within
        while not condition():
            left = end - self.clock()
            if left <= 0:
                return False
            await self.wait_for_progress(left)
        return True

    def publish_change(self) -> None:
        self.notify_progress()
        self._on_change()

    # Messages.

    async def call(self, address: str, path: str, message: Any, answer: Any, within: float = CALL_S) -> Any:
        """Sends a message to a core machine; HttpCallError where no proper answer comes."""
        whole = await self.http_client.request(address, "POST", f"/internal/{path}", bytes(message), within)
        if whole.status != 200:
            raise HttpCallError(address, f"status {whole.status}")
        return answer.parse(whole.body)

    def request_heartbeat(self) -> None:
        self.heartbeats.request_heartbeat()

    # Views.

    async def learn_view(self, view: View) -> None:
        """A decided view that was told. OSError where the disk refuses it: it is learned when it is told again."""
        await self.view_changer.learn_view(view)

    def activate_view(self, view: View) -> None:
        """A view that is on disk takes force, if it is newer."""
        if view.epoch <= self.view.epoch:
            return
        self.replica.adopt_view(view)
        if self.replica.position >= 0:
            self.catch_up.done = False
        self._learn_members(view)
        chain, voters = ([member.name for member in members] for members in (view.chain, view.voters))
        LOG.info("view in force", extra={"epoch": view.epoch, "chain": chain, "voters": voters})
        self.replicated_log.apply()
        self.publish_change()
        self.request_heartbeat()

    def _learn_members(self, view: View) -> None:
        for member in list(view.voters) + list(view.chain):
            self.peers.add(member, self.clock())

    async def _watch_clock_forever(self) -> None:
        """Finds out that the machine stood still. Nothing else is waited for here."""
        while True:
            await asyncio.sleep(PLAN_S)
            now = self.clock()
            if self._has_paused():
                LOG.warning("stood still", extra={"seconds": round(now - self._looked_at, 2)})
                self._extend_grace_periods(now)
            self._looked_at = now

    async def _plan_forever(self) -> None:
        while True:
            await asyncio.sleep(PLAN_S)
            now = self.clock()
            if self._has_paused():
                continue
            self.registry.expire(now)
            self.heartbeats.forget_removed_backends()
            self.peers.remove_stale(self.view, now)
            wanted = self._wanted_view(now)
            if wanted is not None:
                try:
                    await self.view_changer.propose(wanted)
                except OSError:
                    pass
                await asyncio.sleep(random.uniform(0.0, PLAN_S))

    def _extend_grace_periods(self, now: float) -> None:
        """After we stood still the others' silence is ours: they get time to answer anew."""
        self.registry.extend_grace_period(now)
        for peer in self.peers.by_identity.values():
            peer.known_since = max(peer.known_since, now)
        self._quiet_until = now + ALIVE_S

    def _wanted_view(self, now: float) -> View | None:
        view = self.view
        if not view.epoch or now < self._quiet_until or not self.peers.reaches_majority(view, now):
            return None
        own = MemberHealth(self.member, not self.is_unfit(), self.is_caught_up(), log_complete=self.replica.log_complete)
        health = self.peers.health(view, now, own)
        able = [member.identity for member in view.chain if health[member.identity].is_alive]
        leads = bool(able) and able[0] == self.member.identity
        hands_over = self.leaving and self.replica.is_head
        if not leads and not hands_over:
            return None
        if now - self._started_at < ALIVE_S + HEARTBEAT_S:
            return None  # who did not answer yet may be starting, as we are
        wanted = plan_next_view(view, health, self.settings.machines_tolerated)
        if wanted is None and self._undecided_for_long(now):
            return View(epoch=view.epoch + 1, voters=view.voters, chain=view.chain)
        return wanted

    def _undecided_for_long(self, now: float) -> bool:
        """Whether a voter accepted a view of which nobody says that it is decided: its proposer is gone. It may be decided, so
        that no majority confirms ours any more; a proposal of any view finds out, and completes it."""
        view = self.view
        if not self.view_changer.state.accepted.number and not self.peers.has_undecided_successor(view, now):
            self._undecided = (0, now)
        elif self._undecided[0] != view.epoch:
            self._undecided = (view.epoch, now)
        return self._undecided[0] == view.epoch and now - self._undecided[1] > UNDECIDED_S

    # Backends.

    def _backend_changed(self, backend_id: str) -> None:
        self.heartbeats.backend_changed(backend_id)
        self.on_backend_change(backend_id)

    def mark_departed_backends(self) -> None:
        """Backends of which new entries say that they leave are marked."""
        left = self.state.departed_since(self._left_marked)
        self._left_marked = self.state.departure_index
        for backend_id in left:
            self.registry.mark_draining(backend_id)

    # What operators and backends ask for.

    async def change_configuration(self, method: str, base: int | None, body: bytes) -> ChangeAnswer:
        """An operator's change."""
        return await self.configuration_changes.change(method, base, body)

    async def read_configuration(self) -> tuple[ChangeAnswer, bytes]:
        """The newest configuration."""
        return await self.configuration_changes.read()

    async def claim_leadership(self) -> int:
        """Makes this machine the holder of orders; its fencing token, 0 where that failed."""
        return await self.configuration_changes.claim_orders()

    async def record_departure(self, backend_id: str) -> bool:
        """Whether it is recorded for good that a backend leaves."""
        return await self.configuration_changes.backend_leaves(backend_id)
