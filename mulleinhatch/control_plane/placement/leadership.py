"""Placement leadership: when this control-plane node may issue orders, and with which fencing token."""

from __future__ import annotations

from collections.abc import Callable

from mulleinhatch.control_plane.placement.interfaces import LeadershipSource
from mulleinhatch.leadership.lease import LeaderLease, LeadershipObservation, LeaseState

NEVER_ISSUED_S = 1e5  # reported idle time, in seconds, of a node that has issued no order since its start


class PlacementLeadership:
    """The placement leader's lease, updated by observations of the cluster.

    Args:
        source: The control-plane node.
        clock: Monotonic time in seconds.
        lease_s: The lease duration: how long a leader may act without confirmation, in seconds.
        is_fenced: Whether backends reject orders with a lower fencing token than the highest they have seen. A leader
            that can't be reached is then replaced before its lease has expired.
    """

    def __init__(self, source: LeadershipSource, clock: Callable[[], float], lease_s: float, is_fenced: bool) -> None:
        self._source, self._clock, self._is_fenced = source, clock, is_fenced
        self._lease = LeaderLease(lease_s)

    @property
    def token(self) -> int:
        """Return the fencing token of the latest successful claim, or 0."""
        return self._lease.token

    @property
    def is_acting(self) -> bool:
        """Return whether the latest observation allowed this control-plane node to issue orders."""
        return self._lease.is_leader

    @property
    def is_following(self) -> bool:
        """Return whether the latest observation found that this control-plane node may not lead."""
        return self._lease.state is LeaseState.FOLLOWER

    def observe(self) -> LeaseState:
        """Update the lease from the state of the cluster and return its new state."""
        return self._lease.observe(self._observation(), self._clock())

    def confirm(self) -> bool:
        """Update the lease from the state of the cluster and return whether this node may issue orders now."""
        return self.observe() is LeaseState.LEADER

    async def acquire(self) -> bool:
        """Claim leadership and return whether this control-plane node leads now."""
        self._lease.on_claim_committed(await self.claim())
        return self._lease.is_leader

    async def claim(self) -> int:
        """Replicate a claim and return its fencing token, or 0 if that failed, for example because the disk is full."""
        try:
            return await self._source.claim_leadership()
        except OSError:
            return 0

    def revoke(self, rejected_token: int) -> None:
        """Give up leadership after a backend rejected an order because it has seen a higher fencing token.

        Args:
            rejected_token: The token of that order.
        """
        self._lease.on_higher_token(rejected_token)

    def is_token_rejected(self) -> bool:
        """Return whether a backend has rejected the current fencing token; no further order may carry it."""
        return 0 < self._lease.token <= self._lease.rejected_token

    def _observation(self) -> LeadershipObservation:
        source = self._source
        former = source.peers.by_identity.get(source.state.leader)
        idle_s = former.orders_idle_s if former is not None and former.leaving else 0.0
        is_reachable = former is not None and source.peers.is_alive(source.state.leader, self._clock()) and not former.leaving
        if is_reachable and former.epoch >= source.view.epoch and former.orders_idle_s >= NEVER_ISSUED_S:
            # The former leader has restarted and learned the current view: it knows that it does not lead, has issued no order
            # since its start and will issue none. It counts as unreachable, so that no node waits for its lease to expire.
            is_reachable = False
        return LeadershipObservation(
            source.replica.is_head and source.has_majority_contact() and not source.leaving,
            source.member.identity,
            source.state.leader,
            source.state.fencing_token,
            idle_s,
            self._is_fenced and not is_reachable,
        )
