"""An immutable snapshot of the configuration and registry that the control plane last published. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mulleinhatch.configuration.routes import RouteTable
from mulleinhatch.data_plane.registry_snapshot import RegistrySnapshot

# A poll takes at most one second plus a margin of half a second, after which another control-plane node is polled.
MAX_CONFIRMATION_AGE_S = 2.0


@dataclass(frozen=True)
class ControlPlaneSnapshot:
    """The published state that the data plane acts on; replaced as a unit, so that a request never sees two versions.

    Attributes:
        table: Routes, services and limits of the configuration in force.
        backends: Registered backends.
        data_planes: Number of data planes that share the backends and the retry budgets.
        authoritative: Whether the control-plane node that answered last was in contact with a majority.
        confirmed_at: Loop time at which a node in contact with a majority last confirmed that `table` is the newest.
        control_epoch: Epoch of the view that `control_addresses` belong to.
        control_addresses: Internal addresses of the chain of control-plane nodes in that view.
        source: Internal address of the control-plane node that answered last.
    """

    table: RouteTable = field(default_factory=RouteTable)
    backends: RegistrySnapshot = field(default_factory=RegistrySnapshot)
    data_planes: int = 1
    authoritative: bool = False
    confirmed_at: float = -math.inf
    control_epoch: int = 0
    control_addresses: tuple[str, ...] = ()
    source: str = ""

    def is_current(self, now: float, configuration_apply_s: float) -> bool:
        """Return whether `table` may be treated as the newest configuration.

        A configuration is binding `configuration_apply_s` after its acknowledgement. One that was confirmed more recently than
        that is therefore still in force everywhere, whatever was acknowledged since.

        Args:
            now: Loop time.
            configuration_apply_s: The time within which an acknowledged configuration has to be in force.
        """
        return now - self.confirmed_at <= min(MAX_CONFIRMATION_AGE_S, configuration_apply_s)
