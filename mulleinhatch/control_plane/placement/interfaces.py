"""Narrow interfaces of the control-plane node that placement depends on.

`control_plane.node.ControlPlaneNode` satisfies all of them; tests pass small fakes. Attributes are read at each use and never
cached, because the node creates its registry, peers and replica only when it opens its state on disk.
"""

from __future__ import annotations

from collections.abc import Coroutine, Mapping
from typing import Any, Protocol

from mulleinhatch.messages.cluster import Backend, LoadedModel, Member, PendingLoad, View
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ControlState


class PeerStatus(Protocol):
    """The latest heartbeat of another control-plane node."""

    leaving: bool
    epoch: int
    orders_idle_s: float


class PeerStatuses(Protocol):
    """Liveness of the other control-plane nodes."""

    @property
    def by_identity(self) -> Mapping[str, PeerStatus]:
        """Return the known peers by identity."""

    def is_alive(self, identity: str, now: float) -> bool:
        """Return whether a peer has responded recently."""


class LeadershipSource(Protocol):
    """The node state that decides whether this control-plane node may lead placement, and the leadership claim."""

    leaving: bool
    state: ControlState
    member: Member
    replica: Replica

    @property
    def peers(self) -> PeerStatuses:
        """Return the other control-plane nodes."""

    @property
    def view(self) -> View:
        """Return the current view of the replication chain."""

    def has_majority_contact(self) -> bool:
        """Return whether a majority of voters has confirmed the current view recently."""

    async def claim_leadership(self) -> int:
        """Replicate a leadership claim and return its fencing token, or 0 if the claim failed.

        Raises:
            OSError: The local disk rejected the write.
        """


class BackendEntry(Protocol):
    """One backend of the registry."""

    backend: Backend


class BackendSource(Protocol):
    """The registry of backends."""

    @property
    def entries(self) -> Mapping[str, BackendEntry]:
        """Return the known backends by id."""

    def record_holdings(
        self, backend_id: str, models: list[LoadedModel], loads: list[PendingLoad], unloads: list[PendingLoad], revision: int
    ) -> bool:
        """Record a backend's models and pending orders, and return whether any field that data planes use has changed."""


class HoldingsTarget(Protocol):
    """The target to which the holdings of backends are published."""

    @property
    def registry(self) -> BackendSource:
        """Return the registry of backends."""

    def request_heartbeat(self) -> None:
        """Send the next heartbeat to the other control-plane nodes without delay."""


class TaskRunner(Protocol):
    """Starts background work that its owner cancels at shutdown."""

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""


class ClusterMember(LeadershipSource, HoldingsTarget, TaskRunner, Protocol):
    """The control-plane node as the placement controller uses it."""
