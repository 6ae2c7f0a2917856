"""The status that a node reports about itself in heartbeats and view planning."""

from __future__ import annotations

from typing import Protocol

from mulleinhatch.consensus.view_planner import MemberHealth
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.state_store import StateStore
from mulleinhatch.messages.cluster import Backend, Heartbeat, View
from mulleinhatch.replication.chain import Replica


class LocalActivity(Protocol):
    """The activity of the rest of this process that heartbeats report."""

    def count_data_planes(self) -> int:
        """Return the number of data planes that poll this process."""

    def placement_idle_s(self) -> float:
        """Return the seconds since this process last sent an order to a backend."""


class NodeStatus:
    """The status of this node.

    Attributes:
        is_leaving: Whether this node is shutting down and should be replaced by others.
        has_chain_snapshot: Whether a node outside the chain has installed a snapshot of the chain's state.
    """

    def __init__(self, replica: Replica, peers: Peers, state_store: StateStore, activity: LocalActivity) -> None:
        self._replica, self._peers, self._state_store, self._activity = replica, peers, state_store, activity
        self.is_leaving = False
        self.has_chain_snapshot = False

    @property
    def view(self) -> View:
        """The view in force on this node."""
        return self._replica.view

    def is_unfit(self) -> bool:
        """Return whether the chain should continue without this node: it is leaving, or its disk does not keep up."""
        return self.is_leaving or self._state_store.stalled()

    def is_caught_up(self) -> bool:
        """Return whether this node is a replica of the chain or may become one."""
        return self.has_chain_snapshot or self._replica.position >= 0

    def health(self) -> MemberHealth:
        """Return this node's health as the view planner sees it."""
        return MemberHealth(self._peers.own, not self.is_unfit(), self.is_caught_up(), log_complete=self._replica.log_complete)

    def build_heartbeat(self, backends: list[Backend], now: float) -> Heartbeat:
        """Build the heartbeat that reports this node's status, with records of backends for its recipient."""
        return Heartbeat(
            sender=self._peers.own,
            epoch=self.view.epoch,
            caught_up_epoch=self.view.epoch if self.is_caught_up() else 0,
            last_index=self._replica.last_index,
            log_complete=self._replica.log_complete,
            committed=self._replica.committed,
            leaving=self.is_unfit(),
            backends=backends,
            data_planes=self._activity.count_data_planes(),
            orders_idle_ms=int(1000 * self._activity.placement_idle_s()),
            unresponsive_peers=self._peers.unresponsive_members(self.view, now),
            keeps_tenants=True,
        )
