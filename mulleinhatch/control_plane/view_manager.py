"""Plan and propose the next view when members of the current one fail, leave or join."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from mulleinhatch.consensus.fault_tolerance import FaultTolerance
from mulleinhatch.consensus.view_planner import plan_next_view
from mulleinhatch.control_plane.node_status import NodeStatus
from mulleinhatch.control_plane.pause_detector import PauseDetector
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.membership.view_timing import ALIVE_S, HEARTBEAT_S, PLANNING_INTERVAL_S
from mulleinhatch.messages.cluster import View
from mulleinhatch.replication.chain import Replica

UNDECIDED_TIMEOUT_S = 0.5  # how long another node's proposal may stay undecided before this node completes it


class ViewManager:
    """The planning loop: compares the view in force with the health of all nodes and proposes a better view.

    Args:
        tolerance: The simultaneous failures that a view must survive.
        expire: Called with the current time before each planning step, to expire records of silent backends.
    """

    def __init__(
        self,
        tolerance: FaultTolerance,
        replica: Replica,
        peers: Peers,
        view_changer: ViewChanger,
        status: NodeStatus,
        pauses: PauseDetector,
        expire: Callable[[float], None],
    ) -> None:
        self._tolerance, self._replica, self._peers = tolerance, replica, peers
        self._view_changer, self._status, self._pauses, self._expire = view_changer, status, pauses, expire
        self._started_at = pauses.clock()
        self._undecided_epoch = 0  # the epoch of a view whose successor is undecided
        self._undecided_since = 0.0  # when that was first noticed

    def start_grace_period(self) -> None:
        """Start the grace period in which peers that do not respond may be starting, as this node is."""
        self._started_at = self._pauses.clock()

    async def run(self) -> None:
        """Expire stale records and propose views forever."""
        while True:
            await asyncio.sleep(PLANNING_INTERVAL_S)
            now = self._pauses.clock()
            if self._pauses.has_paused():
                continue
            self._expire(now)
            self._peers.remove_stale(self._replica.view, now)
            planned = self._plan(now)
            if planned is not None:
                await self._propose(planned)

    async def _propose(self, planned: View) -> None:
        try:
            await self._view_changer.propose(planned)
        except OSError:
            pass  # the decided view could not be written to disk; the next planning step retries
        await asyncio.sleep(random.uniform(0.0, PLANNING_INTERVAL_S))  # keeps two proposers from colliding repeatedly

    def _plan(self, now: float) -> View | None:
        """Return the view to propose, None where the current one may stay or another node has to propose."""
        view = self._replica.view
        if not view.epoch or self._pauses.is_recovering(now) or not self._peers.reaches_majority(view, now):
            return None
        if self._has_fit_predecessor(view, now):
            return None
        health = self._peers.health(view, now, self._status.health())
        alive = [member.identity for member in view.chain if health[member.identity].is_alive]
        is_first_alive = bool(alive) and alive[0] == self._peers.own.identity
        # A leaving head plans its own replacement.
        is_leaving_head = self._status.is_leaving and self._replica.is_head
        if not is_first_alive and not is_leaving_head:
            return None
        if now - self._started_at < ALIVE_S + HEARTBEAT_S:
            return None  # peers that have not responded yet may be starting, as this node is
        planned = plan_next_view(view, health, self._tolerance)
        if planned is None and self._is_decision_overdue(now):
            return View(epoch=view.epoch + 1, voters=view.voters, chain=view.chain)
        return planned

    def _has_fit_predecessor(self, view: View, now: float) -> bool:
        """Return whether a replica before this node in the chain is alive and not leaving: that one plans the view."""
        for member in view.chain:
            if member.identity == self._peers.own.identity:
                return False
            if self._peers.is_fit(member.identity, now):
                return True
        return False

    def _is_decision_overdue(self, now: float) -> bool:
        """Return whether a voter accepted a later view so long ago without a decision that its proposer must have failed.

        That view may be decided although no node knows it; then no majority confirms the current view any more. Proposing any
        view reveals this and completes the decision.
        """
        view = self._replica.view
        if not self._view_changer.state.accepted.number and not self._peers.has_undecided_successor(view, now):
            self._undecided_epoch, self._undecided_since = 0, now
        elif self._undecided_epoch != view.epoch:
            self._undecided_epoch, self._undecided_since = view.epoch, now
        return self._undecided_epoch == view.epoch and now - self._undecided_since > UNDECIDED_TIMEOUT_S
