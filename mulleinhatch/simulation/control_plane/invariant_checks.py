"""Check the invariants of the control plane from outside: by responses, the content of disks, and data planes' snapshots."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.consensus.paxos import identities, majority_size
from mulleinhatch.control_plane.peers import AUTHORITY_S
from mulleinhatch.simulation.control_plane.clients import DataPlane, SubmittedChange, tenant_of
from mulleinhatch.simulation.control_plane.fault_actions import CATCH_UP_S
from mulleinhatch.simulation.control_plane.machines import Machine

CONTACT_S, CONFIGURATION_APPLY_S, DRAIN_S = 3.0, 2.0, 2.0
CHECK_SLACK_S = 0.1
ACKNOWLEDGE_S, ACKNOWLEDGE_PER_ROUTE_S = 5.0, 0.003  # the stated bound of an acknowledgement
STATED_SHARE = 0.5  # of a core: the bound of an acknowledgement is stated for it


@dataclass
class History:
    """The events of one simulated history, and the invariants that were violated."""

    seed: int
    events: list[str] = field(default_factory=list)
    sent: list[SubmittedChange] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    acknowledged: int = 0
    reads: int = 0
    leaves: int = 0
    views: int = 0
    connected_checks: int = 0  # checks of data planes that were connected to a stable control plane


class InvariantChecker:
    """Checks the invariants of one history, on each answer and periodically.

    Attributes:
        newest_acknowledged: The newest version that was acknowledged to an operator.
        assumed_version: The newest version that a client has seen, which the next change builds on.
    """

    def __init__(self, world: Any, history: History) -> None:
        self._world, self.history = world, history
        self.newest_acknowledged = self.assumed_version = 0
        self._notes: dict[int, str] = {}  # by version: the note of the change that made it
        self._acknowledged: list[tuple[float, int]] = []
        self._left: dict[str, float] = {}
        self._epochs: dict[str, int] = {}  # by process
        self._tokens = 0
        self._newest = ""  # the digest of the newest acknowledged change

    def record_violation(self, what: str) -> None:
        """Add a violated invariant to the history."""
        self.history.violations.append(f"{self._world.loop.time():8.3f} {what}")

    # Answers to clients.

    def record_submission(self, sent: SubmittedChange) -> None:
        """Add a change to the history when its operator first sends it."""
        sent.submitted_at = self._world.loop.time()
        self.history.sent.append(sent)

    def record_answer(self, sent: SubmittedChange, status: int) -> None:
        """Check an answer that acknowledges or rejects a change."""
        if status >= 400 and 200 in sent.answers:
            self.record_violation(f"version {sent.version} ({sent.note}) was acknowledged and then rejected with {status}")
        sent.answers.append(status)
        if sent.answered_at < 0:
            sent.answered_at = self._world.loop.time()
        if status != 200 or sent.answers.count(200) > 1:
            return
        sent.acknowledged_at = self._world.loop.time()
        self.history.acknowledged += 1
        self._check_version_unique(sent.version, sent.note)
        self._acknowledged.append((sent.acknowledged_at, sent.version))
        if sent.version > self.newest_acknowledged:
            self.newest_acknowledged, self._newest = sent.version, sent.digest
        self.assumed_version = max(self.assumed_version, sent.version)
        self._check_replica_count(sent)
        self._check_known_everywhere(sent)
        self._world.on_acknowledgement()

    def _check_version_unique(self, version: int, note: str) -> None:
        if self._notes.setdefault(version, note) != note:
            self.record_violation(f"version {version} is {self._notes[version]} and {note}")

    def _check_replica_count(self, sent: SubmittedChange) -> None:
        """Check that an acknowledged change is on more disks, and in more zones, than may be lost."""
        replicas = [machine for machine in self._world.machines if machine.has_on_disk(sent.digest)]
        if len(replicas) <= self._world.plan.tolerated:
            self.record_violation(f"version {sent.version} was acknowledged on {len(replicas)} disks")
        zones = {machine.zone for machine in replicas}
        if len(zones) <= self._world.plan.zones_tolerated:
            self.record_violation(f"version {sent.version} was acknowledged in {len(zones)} zones")

    def _check_known_everywhere(self, sent: SubmittedChange) -> None:
        """Check that no machine that serves in the newest view hands out an older version than the acknowledged one."""
        running = [machine for machine in self._world.machines if machine.node is not None and not machine.process.frozen]
        newest_epoch = max((machine.node.view.epoch for machine in running), default=0)
        for machine in running:
            node = machine.node
            if node.view.epoch != newest_epoch or not node.has_majority_contact():
                continue
            if node.state.document.version < sent.version:
                version = node.state.document.version
                self.record_violation(
                    f"version {sent.version} was acknowledged while machine {machine.number} serves {version}"
                )

    def record_read(self, value: dict[str, Any], acknowledged_before: int) -> None:
        """Check that a read returned a version as new as those acknowledged before it began."""
        self.history.reads += 1
        version = value["version"]
        if version < acknowledged_before:
            self.record_violation(f"read version {version} after {acknowledged_before} was acknowledged")
        if version:
            note = value["services"][0]["note"]
            self._check_version_unique(version, note)
            if value["tenants"] != [tenant_of(note)]:
                self.record_violation(f"version {version} ({note}) has tenants of another change")
        self.assumed_version = max(self.assumed_version, version)

    def record_claim(self, token: int) -> None:
        """Check that the fencing token of a leadership claim is greater than all before."""
        if token <= self._tokens:
            self.record_violation(f"fencing token {token} after {self._tokens}")
        self._tokens = max(self._tokens, token)

    def record_leave(self, backend_id: str) -> None:
        """Record that the departure of a backend was acknowledged."""
        self.history.leaves += 1
        self._left.setdefault(backend_id, self._world.loop.time())

    # Periodic checks.

    def check(self) -> None:
        """Check all machines and connected data planes."""
        self._check_epochs()
        self._check_authority()
        if self._world.lost() == 0 and self._world.majority.has_majority_since(self._world.loop.time() - CATCH_UP_S):
            self._check_next_loss()
        now = self._world.loop.time()
        if not self._world.is_control_plane_stable(now - CONTACT_S):
            return
        due = max((version for at, version in self._acknowledged if at <= now - CONFIGURATION_APPLY_S), default=0)
        for plane in self._world.planes:
            if self._world.is_connected(plane, now - CONTACT_S):
                self._check_plane(plane, due, now)

    def _check_authority(self) -> None:
        """Check that a machine with majority contact has all writes that were acknowledged `AUTHORITY_S` before."""
        before = self._world.loop.time() - AUTHORITY_S - CHECK_SLACK_S
        due = max((version for at, version in self._acknowledged if at <= before), default=0)
        left = [backend_id for backend_id, at in self._left.items() if at <= before]
        for machine in self._world.machines:
            if machine.node is None or machine.process.frozen or not machine.node.has_majority_contact():
                continue
            state = machine.node.state
            if state.document.version < due:
                self.record_violation(f"machine {machine.number} has version {state.document.version}, {due} is due")
            missing = [backend_id for backend_id in left if backend_id not in state.departed_backends]
            if missing:
                self.record_violation(f"machine {machine.number} does not know that {missing[0]} left")

    def _check_plane(self, plane: DataPlane, due: int, now: float) -> None:
        self.history.connected_checks += 1
        if plane.snapshot.table.version < due:
            self.record_violation(f"data plane {plane.number} has version {plane.snapshot.table.version}, {due} is due")
        for backend_id, at in self._left.items():
            if at <= now - DRAIN_S and plane.uses(backend_id):
                self.record_violation(
                    f"data plane {plane.number} uses {backend_id}, whose departure was acknowledged at {at:.2f}"
                )

    def _check_epochs(self) -> None:
        for machine in self._world.machines:
            if machine.node is None:
                continue
            key, epoch = machine.process.name, machine.node.view.epoch
            if epoch < self._epochs.get(key, 0):
                self.record_violation(f"{key} went back to view {epoch}")
            self._epochs[key] = epoch

    def _check_next_loss(self) -> None:
        """Check that each tolerated loss would leave a majority of the voters and a complete replica."""
        running: list[Machine] = [machine for machine in self._world.machines if machine.node is not None]
        view = max((machine.node.view for machine in running), key=lambda view: view.epoch)
        voting = [machine for machine in running if machine.node.member.identity in identities(view.voters)]
        complete = [machine for machine in running if self._has_newest_change(machine)]
        for lost in self._tolerated_losses(running):
            if sum(machine not in lost for machine in voting) < majority_size(view):
                self.record_violation(f"losing {[machine.number for machine in lost]} leaves no majority of view {view.epoch}")
                return
            if all(machine in lost for machine in complete):
                self.record_violation(
                    f"losing {[machine.number for machine in lost]} leaves no complete replica in view {view.epoch}"
                )
                return

    def _tolerated_losses(self, running: list[Machine]) -> list[tuple[Machine, ...]]:
        """Return every set of machines whose loss at once is tolerated: any machines and any zones up to the tolerated numbers.

        Voters move to other zones only after a fault has ended, so zones are lost only while the control plane is stable.
        """
        plan = self._world.plan
        losses = list(itertools.combinations(running, plan.tolerated))
        if not plan.zones_tolerated or not self._world.is_control_plane_stable(self._world.loop.time() - CATCH_UP_S):
            return losses
        zones = sorted({machine.zone for machine in running})
        for lost_zones in itertools.combinations(zones, plan.zones_tolerated):
            losses.append(tuple(machine for machine in running if machine.zone in lost_zones))
        return losses

    def _has_newest_change(self, machine: Machine) -> bool:
        """Return whether a machine has the newest acknowledged change."""
        if not self._newest:
            return True
        node = machine.node
        return self._newest in node.state.digests or any(entry.digest == self._newest for entry in node.replica.entries)

    # The end.

    def check_calm(self, epoch: int) -> None:
        """Check a history without faults: no view changed since `epoch`, and each change was answered in time."""
        running = [machine.node for machine in self._world.machines if machine.node is not None]
        newest_epoch = max(node.view.epoch for node in running)
        if newest_epoch != epoch:
            self.record_violation(f"{newest_epoch - epoch} view changes without a fault")
        now, plan = self._world.loop.time(), self._world.plan
        slowdown = max(1.0, STATED_SHARE / plan.processor_share) if plan.quota_period_s else 1.0
        for sent in self.history.sent:
            bound_s = slowdown * (ACKNOWLEDGE_S + sent.routes * ACKNOWLEDGE_PER_ROUTE_S)
            took_s = (sent.answered_at if sent.answers else now) - sent.submitted_at
            if took_s > bound_s:
                self.record_violation(f"version {sent.version} ({sent.routes} routes) had no answer for {took_s:.2f} s of calm")

    def check_end(self) -> None:
        """Check that the control plane has all acknowledged changes and no rejected one at the end."""
        running = [machine.node for machine in self._world.machines if machine.node is not None]
        newest = max(running, key=lambda node: (node.view.epoch, node.state.index))
        state = newest.state
        self.history.views = newest.view.epoch
        by_base: dict[int, str] = {}
        for sent in self.history.sent:
            if 200 in sent.answers:
                if sent.digest not in state.digests:
                    self.record_violation(f"version {sent.version} was acknowledged and is lost")
                if by_base.setdefault(sent.base, sent.digest) != sent.digest:
                    self.record_violation(f"two changes on version {sent.base} were acknowledged")
            if any(400 <= status < 500 for status in sent.answers) and sent.digest in state.digests:
                self.record_violation(f"version {sent.version} was rejected and is in force")
