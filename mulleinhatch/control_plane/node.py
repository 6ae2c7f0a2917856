"""One control-plane node: wiring and lifecycle of its voter, its replica in the chain and its heartbeats.

Decisions are made by pure code (`consensus`, `replication`, `peers`); the jobs that this module wires do the sending,
receiving, writing and waiting. Each job receives only the objects that it uses; none receives the node.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from mulleinhatch.consensus.fault_tolerance import FaultTolerance
from mulleinhatch.consensus.view_planner import bootstrap_view
from mulleinhatch.control_plane.backend_departures import BackendDepartures
from mulleinhatch.control_plane.backend_handoff import BackendHandoff
from mulleinhatch.control_plane.backend_persistence import BackendPersistence
from mulleinhatch.control_plane.background_tasks import BackgroundTasks
from mulleinhatch.control_plane.catch_up import CatchUp
from mulleinhatch.control_plane.configuration_changes import ConfigurationChanges, ConfigurationResult
from mulleinhatch.control_plane.data_plane_calls import DataPlaneCalls
from mulleinhatch.control_plane.data_plane_directory import DataPlaneDirectory
from mulleinhatch.control_plane.heartbeats import HeartbeatResponder, HeartbeatScheduler, HeartbeatSender
from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.leadership_claims import LeadershipClaims
from mulleinhatch.control_plane.log_compaction import LogCompactor
from mulleinhatch.control_plane.log_replication import LogReplicator
from mulleinhatch.control_plane.majority_contact import MajorityContact
from mulleinhatch.control_plane.node_status import LocalActivity, NodeStatus
from mulleinhatch.control_plane.pause_detector import PauseDetector
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.progress import ProgressCondition
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.control_plane.replicated_log import ReplicatedLog
from mulleinhatch.control_plane.snapshot_transfer import SnapshotFetcher, SnapshotServer
from mulleinhatch.control_plane.state_store import Restored, StateStore
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.control_plane.view_manager import ViewManager
from mulleinhatch.control_plane.write_gate import WriteGate
from mulleinhatch.messages.cluster import Member, View
from mulleinhatch.networking.http_client import HttpClient
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.settings import Settings
from mulleinhatch.process.supervision import supervise
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ControlState
from mulleinhatch.steps import RELEASED_PER_STEP, release_steps

LOG = logging.getLogger(__name__)
DISK_RETRY_S = 0.5
REVISIONS_PER_S = 1_000_000  # more than a list of data planes can have: a restarted node does not use a revision again


class NodeObserver(LocalActivity, Protocol):
    """The process that runs a node: handles its changes, and reports the activity that the node's heartbeats carry."""

    def on_change(self) -> None:
        """Handle that the configuration, the view or this node's role changed."""

    def on_backend_change(self, backend_id: str) -> None:
        """Handle that a backend's record changed."""

    def on_store_load(self) -> None:
        """Handle that a backend began to load a model from the weight store."""


class ControlPlaneNode:
    """One control-plane node.

    `open` reads the disk and wires the jobs; before it returns, only `settings`, `clock`, `state` and `start_task` may be
    used. `run` runs the jobs.
    """

    def __init__(
        self,
        settings: Settings,
        http_client: HttpClient,
        clock: Callable[[], float],
        observer: NodeObserver,
        state_store: StateStore | None = None,
        watch: LoopWatch | None = None,
        processor_time: Callable[[], float] = time.thread_time,
        on_long_calculation: Callable[[], None] = lambda: None,
    ) -> None:
        self.settings, self.clock, self._observer = settings, clock, observer
        self.watch = watch or LoopWatch()
        self.slicer = TimeSlicer(self.watch, processor_time=processor_time, on_long_calculation=on_long_calculation)
        self.state_store = state_store or StateStore(settings.data_directory, clock)
        self.state = ControlState()
        self.progress = ProgressCondition(clock)
        self._client = InternalClient(http_client)
        self._tasks = BackgroundTasks()
        self._pauses = PauseDetector(clock, self._extend_grace_periods, self.watch)
        self._tolerance = FaultTolerance(settings.machines_tolerated, settings.zones_tolerated, settings.regions_tolerated)
        self._seeds = settings.seeds
        self.data_planes = DataPlaneDirectory(first_revision=int(clock() * REVISIONS_PER_S))
        self._applied_departures_index = 0  # departures in entries up to this index are applied to the registry

    # Start.

    def open(self) -> None:
        """Read the disk and wire the jobs; blocks.

        Raises:
            OSError: The disk can't be read; the call may be repeated.
            UnsupportedVersionError: Another version of the software wrote the file.
        """
        control_address = self.settings.listen["control"]
        bootstraps = self.settings.first_start and control_address in self.settings.seeds
        restored = self.state_store.open(f"first-{control_address}" if bootstraps else "")
        self.member = Member(
            identity=restored.identity,
            name=self.settings.name,
            control_address=control_address,
            internal_address=self.settings.internal_address,
            zone=self.settings.zone,
            region=self.settings.region,
        )
        self._wire(restored)
        if not restored.voter.view.epoch and restored.identity == f"first-{control_address}":
            self.view_changer.bootstrap(bootstrap_view(self.settings.seeds, self._internal_address_of))
        self._restore(restored)
        self._add_members(self.view_changer.view)

    def _wire(self, restored: Restored) -> None:
        self.peers = Peers(self.member)
        self.registry = BackendRegistry(
            self.settings.heartbeat_s,
            self._on_backend_change,
            has_left=lambda backend_id: backend_id in self.state.departed_backends,
            on_store_load=self._observer.on_store_load,
        )
        self.replica = Replica(restored.identity)
        self.view_changer = ViewChanger(self.replica, restored.voter, self.state_store, self._client, self.activate_view)
        self.status = NodeStatus(self.replica, self.peers, self.state_store, self._observer)
        self.contact = MajorityContact(
            self.replica, self.peers, self._pauses, self.progress, self.view_changer.confirms_epoch, self._publish_change
        )
        self.replicated_log = ReplicatedLog(self.replica, self.state, self.state_store, self.progress, self, self.slicer)
        self.log_compactor = LogCompactor(self.replicated_log, self.state_store, self.view_changer, self.registry, self.slicer)
        self._wire_heartbeats()
        self._wire_writes()
        self._wire_loops()

    def _wire_heartbeats(self) -> None:
        self.backend_handoff = BackendHandoff(self.clock, self.registry, self.peers)
        self._heartbeat_sender = HeartbeatSender(
            self.clock,
            self.peers,
            self._client,
            self.view_changer,
            self.backend_handoff,
            self.status,
            self.contact,
            self.data_planes,
        )
        self._heartbeats = HeartbeatScheduler(self.clock, self._heartbeat_addresses, self._heartbeat_sender.send, self._tasks)
        self.heartbeat_responder = HeartbeatResponder(
            self.clock, self.peers, self.view_changer, self.backend_handoff, self.status, self._tasks, self.data_planes
        )

    def _wire_writes(self) -> None:
        gate = WriteGate(self.replica, self.peers, self._tolerance)
        self.configuration_changes = ConfigurationChanges(
            self.clock, self.peers, self.replicated_log, self.view_changer, self.contact, gate, self.slicer, self._tasks
        )
        self.leadership_claims = LeadershipClaims(self.replicated_log, self.contact, gate)
        self.backend_departures = BackendDepartures(self.replicated_log, self.view_changer, self.contact, gate, self._client)

    def _wire_loops(self) -> None:
        self._log_replicator = LogReplicator(
            self.replicated_log, self.peers, self._client, self.view_changer, self.log_compactor
        )
        self.snapshot_server = SnapshotServer(self.replica, self.state, self.slicer)
        fetcher = SnapshotFetcher(self.clock, self.peers, self._client, self.view_changer, self.replicated_log)
        self._catch_up = CatchUp(self.replica, self.status, fetcher, self.log_compactor, self.progress, self.request_heartbeat)
        self._view_manager = ViewManager(
            self._tolerance,
            self.replica,
            self.peers,
            self.view_changer,
            self.status,
            self._pauses,
            self.backend_handoff.expire,
        )
        self._backend_persistence = BackendPersistence(self.registry, self.state_store, self.replica)
        self._data_plane_calls = DataPlaneCalls(
            self.clock, self.data_planes, self._client, lambda: self.view, self.has_majority_contact, self._tasks
        )

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
        self._drain_departed_backends()
        for backend in restored.backends:
            self.registry.restore(backend, self.clock())

    async def run(self) -> None:
        """Run all jobs forever."""
        while not await self._persist_initial_vote():
            await asyncio.sleep(DISK_RETRY_S)
        self._view_manager.start_grace_period()
        loops = {
            "heartbeats": self._heartbeats.run,
            "pause detection": self._pauses.run,
            "view planning": self._view_manager.run,
            "log replication": self._log_replicator.run,
            "catch-up": self._catch_up.run,
            "backend persistence": self._backend_persistence.run,
            "calls of data planes": self._data_plane_calls.run,
        }
        await asyncio.gather(*(supervise(name, loop) for name, loop in loops.items()))

    async def _persist_initial_vote(self) -> bool:
        """Return whether the voter's initial state is on disk. After a failed write the caller retries: a disk may recover."""
        try:
            await self.view_changer.persist()
        except OSError:
            return False
        return True

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background."""
        self._tasks.start(work)

    # Status.

    @property
    def view(self) -> View:
        """The view in force."""
        return self.replica.view

    @property
    def head(self) -> Member | None:
        """The head of the chain, which accepts writes."""
        return self.view.chain[0] if self.view.chain else None

    @property
    def leaving(self) -> bool:
        """Whether this node is shutting down."""
        return self.status.is_leaving

    @leaving.setter
    def leaving(self, is_leaving: bool) -> None:
        self.status.is_leaving = is_leaving

    def has_majority_contact(self) -> bool:
        """Return whether this node may answer authoritatively; see `MajorityContact`."""
        return self.contact.has_majority_contact()

    async def wait_for_majority_contact(self) -> bool:
        """Return whether this node has majority contact, or gains it within the time in which a new view is confirmed."""
        return await self.contact.wait_for_majority_contact()

    # Heartbeats.

    def request_heartbeat(self) -> None:
        """Send a heartbeat to every control-plane node soon."""
        self._heartbeats.request_heartbeat()

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Send heartbeats to the nodes at other seeds, from now on.

        Args:
            seeds: Control addresses.
        """
        self._seeds = seeds
        self.request_heartbeat()

    def _heartbeat_addresses(self) -> list[str]:
        seeds = [self._internal_address_of(seed) for seed in self._seeds]
        return self.peers.addresses(self.view, seeds)

    def _internal_address_of(self, control_address: str) -> str:
        """Return the internal address of the node with a control address: all nodes use the same internal port."""
        port = self.settings.internal_address.rpartition(":")[2]
        return f"{control_address.rpartition(':')[0]}:{port}"

    # Callbacks of the jobs.

    def activate_view(self, view: View) -> None:
        """Switch to a durable view, if it is newer than the one in force."""
        if view.epoch <= self.view.epoch:
            return
        self.replica.adopt_view(view)
        self._log_replicator.on_view_changed()
        if self.replica.position >= 0:
            self.status.has_chain_snapshot = False
        self._add_members(view)
        chain, voters = ([member.name for member in members] for members in (view.chain, view.voters))
        LOG.info("a new view is in force", extra={"view_epoch": view.epoch, "chain": chain, "voters": voters})
        self.replicated_log.apply()
        self._publish_change()
        self.request_heartbeat()

    def on_snapshot_installed(self) -> None:
        """Mark the backends whose departure the snapshot records as draining."""
        self._drain_departed_backends()

    def on_entries_applied(self) -> None:
        """Mark the backends whose departure new entries record as draining, and publish the new state."""
        self._drain_departed_backends()
        self._publish_change()
        self._release_replaced_items()

    def _release_replaced_items(self) -> None:
        """Free the items of former configurations, a few in each turn if there are many."""
        replaced, self.state.replaced_items = self.state.replaced_items, []
        if len(replaced) > RELEASED_PER_STEP:
            self.start_task(self.slicer.run("release of a former configuration", release_steps(replaced)))

    def _publish_change(self) -> None:
        self.progress.notify_progress()
        self._observer.on_change()

    def _add_members(self, view: View) -> None:
        for member in list(view.voters) + list(view.chain):
            self.peers.add(member, self.clock())

    def _extend_grace_periods(self, now: float) -> None:
        """Give backends and peers time to respond again after a pause of this process."""
        self.registry.extend_grace_period(now)
        self.peers.extend_grace_period(now)

    def _on_backend_change(self, backend_id: str) -> None:
        self.backend_handoff.record_change(backend_id)
        self._observer.on_backend_change(backend_id)

    def _drain_departed_backends(self) -> None:
        """Mark the backends whose departure was recorded since the last call as draining."""
        departed = self.state.departed_since(self._applied_departures_index)
        self._applied_departures_index = self.state.departure_index
        for backend_id in departed:
            self.registry.mark_draining(backend_id)

    # Requests of operators, backends and the placement controller.

    async def change_configuration(self, method: str, base: int | None, body: bytes) -> ConfigurationResult:
        """Apply an operator's change; see `ConfigurationChanges.change`."""
        return await self.configuration_changes.change(method, base, body)

    async def read_configuration(self) -> ConfigurationResult:
        """Read the newest configuration; see `ConfigurationChanges.read`."""
        return await self.configuration_changes.read()

    async def claim_leadership(self) -> int:
        """Make this node the leader; return its fencing token, 0 where that failed."""
        return await self.leadership_claims.claim()

    async def record_departure(self, backend_id: str) -> bool:
        """Return whether every replica of the chain has persisted that a backend leaves."""
        return await self.backend_departures.record(backend_id)
