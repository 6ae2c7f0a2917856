"""What the head takes in and the tail gives out: the operator's changes and reads, claims of the orders, backends that leave.

Nothing is acknowledged but what every replica of the chain has on disk; nothing is refused or read out but after a
majority of the voters said, when asked for it, that the view still stands.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from mulleinhatch.messages.cluster import LeaveRequest, LeaveResponse, Member
from mulleinhatch.replication.state import ChangeOutcome, EntryKind, Rejection

if TYPE_CHECKING:
    from mulleinhatch.control_plane.node import CoreNode

LOG = logging.getLogger(__name__)
CHANGE_WAIT_S = 0.9  # how long an operator's change waits before it gets no clear answer
CLAIM_WAIT_S = 3.0
LEAVE_WAIT_S = 0.75  # a backend waits a second for its acknowledgement
LEAST_WAIT_S = 0.05


@dataclass(frozen=True)
class ChangeAnswer:
    """What an operator is told: a status, a message, and where to go instead."""

    status: int
    message: str = ""
    location: str = ""


REGROUPING = ChangeAnswer(503, "the core is regrouping; send it again in a moment")


class ConfigurationChanges:
    """`lock` is held by one change at a time, from its check to its end."""

    def __init__(self, node: CoreNode) -> None:
        self._node = node
        self._lock = asyncio.Lock()

    def _leads(self) -> bool:
        node = self._node
        long_enough = len(node.view.chain) > node.settings.machines_tolerated
        return node.replica.is_head and node.replica.log_complete and long_enough

    def _elsewhere(self, member: Member | None) -> ChangeAnswer:
        node = self._node
        if member is None or member.identity == node.member.identity or not node.peers.is_alive(member.identity, node.clock()):
            return REGROUPING
        return ChangeAnswer(307, "another machine answers this", f"http://{member.control_address}/configuration")

    # The operator.

    async def change(self, method: str, base: int | None, body: bytes) -> ChangeAnswer:
        """An operator's change: acknowledged once every replica of the chain has it on disk."""
        node = self._node
        if not self._leads() or not await node.confirm_leadership():
            return self._elsewhere(node.head)
        begun = node.clock()
        try:
            async with asyncio.timeout(CHANGE_WAIT_S):
                await self._lock.acquire()
        except TimeoutError:
            return ChangeAnswer(503, "another change is under way; send it again")
        try:
            return await self._change(method, base, body, begun)
        except OSError:
            return ChangeAnswer(503, "the disk refused the change; send it again")
        finally:
            self._lock.release()

    async def _change(self, method: str, base: int | None, body: bytes, begun: float) -> ChangeAnswer:
        node, epoch = self._node, self._node.view.epoch

        def left() -> float:
            return max(LEAST_WAIT_S, CHANGE_WAIT_S - (node.clock() - begun))

        committed = await node.wait_for(lambda: not node.replicated_log.change_pending(), left())
        if not committed or not self._leads():
            return ChangeAnswer(503, "an earlier change is not settled yet; send it again")
        checked = node.state.check(method, base, body)
        if isinstance(checked, Err):
            return await self._refuse(checked.err_value)
        change = checked.ok_value
        async with node.replicated_log.lock:
            if node.replicated_log.change_pending() or not await node.replicated_log.propose(
                int(change.kind), change.body, change.digest, epoch
            ):
                return REGROUPING
        if await node.wait_for(lambda: change.digest in node.state.digests, left() + 0.5 * CHANGE_WAIT_S):
            LOG.info("configuration in force", extra={"version": node.state.document.version})
            return ChangeAnswer(200)
        return ChangeAnswer(503, "not settled yet; send it again unchanged")

    async def _refuse(self, rejection: Rejection) -> ChangeAnswer:
        if rejection.outcome is ChangeOutcome.ALREADY_APPLIED:
            return ChangeAnswer(200)
        if rejection.outcome is ChangeOutcome.HISTORY_COMPACTED:
            return ChangeAnswer(503, rejection.message)
        if not await self._node.view_changer.confirm_view():
            return REGROUPING
        return ChangeAnswer(rejection.outcome.http_status, rejection.message)

    async def read(self) -> tuple[ChangeAnswer, bytes]:
        """The newest configuration, from the tail of the view in force."""
        node = self._node
        if not node.replica.is_tail:
            return self._elsewhere(node.tail), b""
        try:
            confirmed = node.replica.log_complete and await node.view_changer.confirm_view()
        except OSError:
            confirmed = False
        if not confirmed or not node.replica.is_tail:
            return REGROUPING, b""
        return ChangeAnswer(200), node.state.document.to_json()

    # The holder of orders.

    async def claim_orders(self) -> int:
        """Makes this machine the holder of orders; its fencing token, 0 where that failed."""
        node, epoch = self._node, self._node.view.epoch
        async with self._lock:
            if not self._leads() or node.replica.committed != node.replica.last_index:
                return 0
            async with node.replicated_log.lock:
                index = await node.replicated_log.propose(int(EntryKind.LEADER), node.member.identity.encode(), "", epoch)
            if not index:
                return 0
            await node.wait_for(lambda: node.state.index >= index, CLAIM_WAIT_S)
            ours = node.state.fencing_token == index and node.state.leader == node.member.identity
            return index if ours and self._leads() and node.has_majority_contact() else 0

    # Backends that leave.

    async def backend_leaves(self, backend_id: str) -> bool:
        """Whether it is recorded, for good and known to every replica of the chain, that a backend leaves."""
        node, head = self._node, self._node.head
        if head is None:
            return False
        request = LeaveRequest(backends=[backend_id])
        try:
            if head.identity == node.member.identity:
                return (await self.on_leave(request)).accepted
            answer = await node.call(head.internal_address, "leave", request, LeaveResponse(), LEAVE_WAIT_S)
            return answer.accepted
        except OSError:
            return False

    async def on_leave(self, request: LeaveRequest) -> LeaveResponse:
        """At the head: `taken` once every replica of the chain has it on disk, and the view stood after the call."""
        node, epoch = self._node, self._node.view.epoch
        if not self._leads() or not await node.confirm_leadership():
            return LeaveResponse(accepted=False)
        if self._all_left(request.backends):
            return LeaveResponse(accepted=await node.view_changer.confirm_view())
        async with node.replicated_log.lock:
            missing = [backend_id for backend_id in request.backends if not self._leave_pending(backend_id)]
            if missing and not await node.replicated_log.propose(
                int(EntryKind.DEPARTURE), json.dumps(missing).encode(), "", epoch
            ):
                return LeaveResponse(accepted=False)
        return LeaveResponse(accepted=await node.wait_for(lambda: self._all_left(request.backends), LEAVE_WAIT_S))

    def _all_left(self, backends: Sequence[str]) -> bool:
        return all(backend_id in self._node.state.departed_backends for backend_id in backends)

    def _leave_pending(self, backend_id: str) -> bool:
        """Whether an entry of the log says already that a backend leaves."""
        replica = self._node.replica
        pending = replica.entries[self._node.state.index - replica.base.index :]
        told = (entry.body for entry in pending if entry.kind == EntryKind.DEPARTURE)
        return backend_id in self._node.state.departed_backends or any(backend_id in json.loads(body) for body in told)
