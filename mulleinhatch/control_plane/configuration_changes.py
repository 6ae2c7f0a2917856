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
from mulleinhatch.replication.state import ChangeOutcome, EntryKind, Refusal

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

    def __init__(self, core: CoreNode) -> None:
        self._core = core
        self._lock = asyncio.Lock()

    def _leads(self) -> bool:
        core = self._core
        long_enough = len(core.view.chain) > core.settings.machines_tolerated
        return core.replica.is_head and core.replica.settled and long_enough

    def _elsewhere(self, member: Member | None) -> ChangeAnswer:
        core = self._core
        if member is None or member.identity == core.member.identity or not core.peers.alive(member.identity, core.clock()):
            return REGROUPING
        return ChangeAnswer(307, "another machine answers this", f"http://{member.control_address}/configuration")

    # The operator.

    async def change(self, method: str, base: int | None, body: bytes) -> ChangeAnswer:
        """An operator's change: acknowledged once every replica of the chain has it on disk."""
        core = self._core
        if not self._leads() or not await core.speaks():
            return self._elsewhere(core.head)
        begun = core.clock()
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
        core, epoch = self._core, self._core.view.epoch

        def left() -> float:
            return max(LEAST_WAIT_S, CHANGE_WAIT_S - (core.clock() - begun))

        settled = await core.until(lambda: not core.log.change_pending(), left())
        if not settled or not self._leads():
            return ChangeAnswer(503, "an earlier change is not settled yet; send it again")
        checked = core.state.check(method, base, body)
        if isinstance(checked, Err):
            return await self._refuse(checked.err_value)
        change = checked.ok_value
        async with core.log.lock:
            if core.log.change_pending() or not await core.log.propose(int(change.kind), change.body, change.digest, epoch):
                return REGROUPING
        if await core.until(lambda: change.digest in core.state.digests, left() + 0.5 * CHANGE_WAIT_S):
            LOG.info("configuration in force", extra={"version": core.state.document.version})
            return ChangeAnswer(200)
        return ChangeAnswer(503, "not settled yet; send it again unchanged")

    async def _refuse(self, refusal: Refusal) -> ChangeAnswer:
        if refusal.verdict is ChangeOutcome.ALREADY_APPLIED:
            return ChangeAnswer(200)
        if refusal.verdict is ChangeOutcome.HISTORY_COMPACTED:
            return ChangeAnswer(503, refusal.message)
        if not await self._core.votes.confirm():
            return REGROUPING
        return ChangeAnswer(int(refusal.verdict), refusal.message)

    async def read(self) -> tuple[ChangeAnswer, bytes]:
        """The newest configuration, from the tail of the view in force."""
        core = self._core
        if not core.replica.is_tail:
            return self._elsewhere(core.tail), b""
        try:
            confirmed = core.replica.settled and await core.votes.confirm()
        except OSError:
            confirmed = False
        if not confirmed or not core.replica.is_tail:
            return REGROUPING, b""
        return ChangeAnswer(200), core.state.document.text()

    # The holder of orders.

    async def claim_orders(self) -> int:
        """Makes this machine the holder of orders; its fencing token, 0 where that failed."""
        core, epoch = self._core, self._core.view.epoch
        async with self._lock:
            if not self._leads() or core.replica.committed != core.replica.last:
                return 0
            async with core.log.lock:
                index = await core.log.propose(int(EntryKind.HOLDER), core.member.identity.encode(), "", epoch)
            if not index:
                return 0
            await core.until(lambda: core.state.index >= index, CLAIM_WAIT_S)
            ours = core.state.fencing_token == index and core.state.holder == core.member.identity
            return index if ours and self._leads() and core.authoritative() else 0

    # Backends that leave.

    async def backend_leaves(self, backend_id: str) -> bool:
        """Whether it is recorded, for good and known to every replica of the chain, that a backend leaves."""
        core, head = self._core, self._core.head
        if head is None:
            return False
        request = LeaveRequest(backends=[backend_id])
        try:
            if head.identity == core.member.identity:
                return (await self.on_leave(request)).taken
            answer = await core.ask(head.internal_address, "leave", request, LeaveResponse(), LEAVE_WAIT_S)
            return answer.taken
        except OSError:
            return False

    async def on_leave(self, request: LeaveRequest) -> LeaveResponse:
        """At the head: `taken` once every replica of the chain has it on disk, and the view stood after the call."""
        core, epoch = self._core, self._core.view.epoch
        if not self._leads() or not await core.speaks():
            return LeaveResponse(taken=False)
        if self._all_left(request.backends):
            return LeaveResponse(taken=await core.votes.confirm())
        async with core.log.lock:
            missing = [backend_id for backend_id in request.backends if not self._leave_pending(backend_id)]
            if missing and not await core.log.propose(int(EntryKind.LEAVE), json.dumps(missing).encode(), "", epoch):
                return LeaveResponse(taken=False)
        return LeaveResponse(taken=await core.until(lambda: self._all_left(request.backends), LEAVE_WAIT_S))

    def _all_left(self, backends: Sequence[str]) -> bool:
        return all(backend_id in self._core.state.left for backend_id in backends)

    def _leave_pending(self, backend_id: str) -> bool:
        """Whether an entry of the log says already that a backend leaves."""
        replica = self._core.replica
        pending = replica.entries[self._core.state.index - replica.base.index :]
        told = (entry.body for entry in pending if entry.kind == EntryKind.LEAVE)
        return backend_id in self._core.state.left or any(backend_id in json.loads(body) for body in told)
