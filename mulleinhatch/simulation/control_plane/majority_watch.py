"""Determine from outside which machines form a majority: by their disks, their links and the time in contact."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mulleinhatch.simulation.control_plane.fault_actions import CATCH_UP_S
from mulleinhatch.simulation.control_plane.machines import Machine


@dataclass
class _MajorityContact:
    """How long a process on an emptied disk has been in contact with a majority, in seconds."""

    starts: int
    contact_s: float = 0.0


class MajorityWatch:
    """Tracks which machines count for a majority, and since when a majority has been in contact.

    A machine whose disk was emptied holds neither state nor a vote. It counts again once its process has been in contact with a
    majority of the others for as long as the tolerance gives a successor (`CATCH_UP_S`).
    """

    def __init__(self, world: Any) -> None:
        self._world = world
        self._uncounted: dict[
            int, _MajorityContact
        ] = {}  # by machine number: machines with emptied disks, which do not count yet
        self._majority_lost_at = 0.0  # the last time at which no majority was in contact

    def on_disk_emptied(self, machine: Machine) -> None:
        """Stop counting a machine whose disk was emptied, or that is new."""
        self._uncounted[machine.number] = _MajorityContact(machine.starts)

    def counts(self, machine: Machine) -> bool:
        """Return whether a machine counts for a majority, running or not."""
        return machine.number not in self._uncounted

    def has_majority(self) -> bool:
        """Return whether more than half of the machines that count run and are in contact with one of them."""
        return 2 * sum(map(self.counts, self._contact_group())) > self._total()

    def has_majority_since(self, since: float) -> bool:
        """Return whether a majority has been in contact at each observation since a time."""
        return self._majority_lost_at < since and self.has_majority()

    def observe(self, interval_s: float) -> None:
        """Record the state of the links and processes; must be called every `interval_s` seconds."""
        if not self.has_majority():
            self._majority_lost_at = self._world.loop.time()
            return
        for machine in self._contact_group():
            contact = self._uncounted.get(machine.number)
            if contact is None:
                continue
            if contact.starts != machine.starts:
                contact.starts, contact.contact_s = machine.starts, 0.0
            contact.contact_s += interval_s
            if contact.contact_s >= CATCH_UP_S:
                del self._uncounted[machine.number]

    def _total(self) -> int:
        return max(self._world.plan.machines, sum(map(self.counts, self._world.machines)))

    def _contact_group(self) -> list[Machine]:
        """Return the machines that the best connected machine is in contact with in both directions, itself included."""
        world = self._world
        running = [machine for machine in world.machines if machine.node is not None and not machine.process.frozen]
        groups = (
            [other for other in running if world.links.open(machine, other) and world.links.open(other, machine)]
            for machine in running
        )
        return max(groups, key=lambda group: sum(map(self.counts, group)), default=[])
