"""The parameters of one simulated history."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinhatch.simulation.control_plane.defects import Defect


@dataclass(frozen=True)
class HistoryPlan:
    """The size of the control plane, its disks, users and faults. Times in virtual seconds; pairs are ranges of random draws.

    Attributes:
        machines: Control-plane nodes at the start.
        tolerated: Machines that may be lost at once, with their disks.
        sync_duration_s: Duration of a write to disk.
        fault_period_s: Time in which users are active and faults are injected; afterwards the control plane must recover.
        change_interval_s: Time between two changes of one operator.
        overlapping_fraction: Fraction of the faults that exceed the tolerance; these lose no disk.
        zones: Zones, to which the machines are assigned round-robin.
        zones_tolerated: Zones that may be lost at once, with all machines in them.
        zone_loss_fraction: Fraction of the other faults that take a whole zone, where one may be lost.
        message_loss_probability: Of each message between control-plane nodes.
        large_change_fraction: Fraction of the changes that add many routes; some of these are invalid.
        large_change_routes: Numbers of routes of the large changes, one of which is drawn for each.
        processor_share: Share of a core that each control-plane node has; 0 where work takes no time.
        quota_period_s: The share is a quota that is spent at once in each such period; 0 for a core that is always slower.
        closing_fraction: Fraction of the histories with faults that end with lost disks while all others lose power.
    """

    machines: int = 3
    tolerated: int = 1
    defect: Defect = Defect.NONE
    sync_duration_s: tuple[float, float] = (0.001, 0.008)
    fault_period_s: float = 25.0
    change_interval_s: tuple[float, float] = (0.05, 0.8)
    overlapping_fraction: float = 0.15
    zones: int = 1
    zones_tolerated: int = 0
    zone_loss_fraction: float = 0.4
    closing_fraction: float = 0.5
    message_loss_probability: float = 0.02
    large_change_fraction: float = 0.0
    large_change_routes: tuple[int, ...] = (280, 1120, 1600)
    processor_share: float = 0.0
    quota_period_s: float = 0.0
