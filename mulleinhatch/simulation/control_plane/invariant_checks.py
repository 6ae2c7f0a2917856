"""What must hold, checked from outside: by what was answered, what disks hold, and what data planes would act by."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import Any

from mulleinhatch.consensus.paxos import identities, majority_size
from mulleinhatch.control_plane.peers import AUTHORITY_S
from mulleinhatch.simulation.control_plane.clients import DataPlane, Sent
from mulleinhatch.simulation.control_plane.machines import Machine

CONTACT_S, CONFIGURATION_APPLY_S, DRAIN_S = 3.0, 2.0, 2.0
LOOK_SLACK_S = 0.1


@dataclass
class History:
    """What was seen, and what did not hold."""

    seed: int
    events: list[str] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    acknowledged: int = 0
    reads: int = 0
    leaves: int = 0
    views: int = 0
    in_touch: int = 0  # looks at data planes that were in touch


class Watch:
    """The checks of one history; each breach is told once a kind."""

    def __init__(self, world: Any, history: History) -> None:
        self._world, self.history = world, history
        self.newest_acknowledged = self.believed = 0
        self._notes: dict[int, str] = {}  # by version: what was read or acknowledged under it
        self._acknowledged: list[tuple[float, int]] = []
        self._left: dict[str, float] = {}
        self._epochs: dict[str, int] = {}  # by process
        self._tokens = 0
        self._newest = ""  # digest of the newest change that was acknowledged

    def breaks(self, what: str) -> None:
        self.history.broken.append(f"{self._world.loop.time():8.3f} {what}")

    # The operators' side.

    def sends(self, sent: Sent) -> None:
        self.history.sent.append(sent)

    def answered(self, sent: Sent, status: int) -> None:
        """A clear answer to a change."""
        if status >= 400 and 200 in sent.answers:
            self.breaks(f"version {sent.version} ({sent.note}) was acknowledged and then refused with {status}")
        sent.answers.append(status)
        if status != 200 or sent.answers.count(200) > 1:
            return
        sent.acknowledged_at = self._world.loop.time()
        self.history.acknowledged += 1
        self._known(sent.version, sent.note)
        self._acknowledged.append((sent.acknowledged_at, sent.version))
        if sent.version > self.newest_acknowledged:
            self.newest_acknowledged, self._newest = sent.version, sent.digest
        self.believed = max(self.believed, sent.version)
        self._check_copies(sent)
        self._world.on_acknowledgement()

    def _known(self, version: int, note: str) -> None:
        if self._notes.setdefault(version, note) != note:
            self.breaks(f"version {version} is {self._notes[version]} and {note}")

    def _check_copies(self, sent: Sent) -> None:
        """An acknowledged change is on more disks than may be lost."""
        copies = sum(machine.holds(sent.digest) for machine in self._world.machines)
        if copies <= self._world.tolerated:
            self.breaks(f"version {sent.version} was acknowledged with {copies} copies")

    def was_read(self, value: dict[str, Any], acknowledged_before: int) -> None:
        self.history.reads += 1
        version = value["version"]
        if version < acknowledged_before:
            self.breaks(f"read version {version} after {acknowledged_before} was acknowledged")
        if version:
            self._known(version, value["services"][0]["note"])
        self.believed = max(self.believed, version)

    def claimed(self, token: int) -> None:
        """A claim of the orders was taken under a fencing token."""
        if token <= self._tokens:
            self.breaks(f"fencing token {token} after {self._tokens}")
        self._tokens = max(self._tokens, token)

    def leave_acknowledged(self, backend_id: str) -> None:
        self.history.leaves += 1
        self._left.setdefault(backend_id, self._world.loop.time())

    # Looks at the machines, each tenth of a second.

    def look(self) -> None:
        self._check_epochs()
        self._check_authority()
        if self._world.lost() == 0:
            self._check_next_loss()
        now = self._world.loop.time()
        if not self._world.core_calm(now - CONTACT_S):
            return
        due = max((version for at, version in self._acknowledged if at <= now - CONFIGURATION_APPLY_S), default=0)
        for plane in self._world.planes:
            if self._world.in_touch(plane, now - CONTACT_S):
                self._check_plane(plane, due, now)

    def _check_authority(self) -> None:
        """Whoever speaks in the system's name shows what was acknowledged up to a lease ago, whatever goes on."""
        before = self._world.loop.time() - AUTHORITY_S - LOOK_SLACK_S
        due = max((version for at, version in self._acknowledged if at <= before), default=0)
        left = [backend_id for backend_id, at in self._left.items() if at <= before]
        for machine in self._world.machines:
            if machine.node is None or machine.process.frozen or not machine.node.has_majority_contact():
                continue
            state = machine.node.state
            if state.document.version < due:
                self.breaks(f"machine {machine.number} tells version {state.document.version}, {due} is due")
            missing = [backend_id for backend_id in left if backend_id not in state.departed_backends]
            if missing:
                self.breaks(f"machine {machine.number} has not heard that {missing[0]} left")

    def _check_plane(self, plane: DataPlane, due: int, now: float) -> None:
        self.history.in_touch += 1
        if plane.snapshot.table.version < due:
            self.breaks(f"data plane {plane.number} acts by version {plane.snapshot.table.version}, {due} is due")
        for backend_id, at in self._left.items():
            if at <= now - DRAIN_S and plane.uses(backend_id):
                self.breaks(f"data plane {plane.number} uses {backend_id}, whose leave was acknowledged at {at:.2f}")

    def _check_epochs(self) -> None:
        for machine in self._world.machines:
            if machine.node is None:
                continue
            key, epoch = machine.process.name, machine.node.view.epoch
            if epoch < self._epochs.get(key, 0):
                self.breaks(f"{key} went back to view {epoch}")
            self._epochs[key] = epoch

    def _check_next_loss(self) -> None:
        """Nobody counts as lost: any loss that is allowed leaves a majority of the voters and a replica that holds all."""
        running: list[Machine] = [machine for machine in self._world.machines if machine.node is not None]
        view = max((machine.node.view for machine in running), key=lambda one: one.epoch)
        voting = [machine for machine in running if machine.node.member.identity in identities(view.voters)]
        whole = [machine for machine in running if self._holds_newest(machine)]
        for lost in itertools.combinations(running, self._world.tolerated):
            if sum(machine not in lost for machine in voting) < majority_size(view):
                self.breaks(f"losing {[one.number for one in lost]} leaves no majority of view {view.epoch}")
                return
            if all(machine in lost for machine in whole):
                self.breaks(f"losing {[one.number for one in lost]} leaves no whole copy in view {view.epoch}")
                return

    def _holds_newest(self, machine: Machine) -> bool:
        """Whether a machine holds the newest change that was acknowledged."""
        if not self._newest:
            return True
        node = machine.node
        return self._newest in node.state.digests or any(entry.digest == self._newest for entry in node.replica.entries)

    # The end.

    def check_end(self) -> None:
        """What the core holds in the end: all that was acknowledged, nothing that was refused."""
        running = [machine.node for machine in self._world.machines if machine.node is not None]
        newest = max(running, key=lambda node: (node.view.epoch, node.state.index))
        state = newest.state
        self.history.views = newest.view.epoch
        by_base: dict[int, str] = {}
        for sent in self.history.sent:
            if 200 in sent.answers:
                if sent.digest not in state.digests:
                    self.breaks(f"version {sent.version} was acknowledged and is lost")
                if by_base.setdefault(sent.base, sent.digest) != sent.digest:
                    self.breaks(f"two changes on version {sent.base} were acknowledged")
            if any(400 <= status < 500 for status in sent.answers) and sent.digest in state.digests:
                self.breaks(f"version {sent.version} was refused and is in force")
