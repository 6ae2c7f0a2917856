"""Changes and reads of the configuration by operators: changes at the head of the chain, reads at the tail.

A write is acknowledged only after every replica in the chain has persisted it. Rejections and reads are served only after a
majority of voters confirms the current view (a linearizable read).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from mulleinhatch.control_plane.majority_contact import MajorityContact
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.replicated_log import ReplicatedLog
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.control_plane.write_gate import WriteGate
from mulleinhatch.messages.cluster import Member
from mulleinhatch.replication.state import ChangeOutcome, Refusal

LOG = logging.getLogger(__name__)
CHANGE_TIMEOUT_S = 0.9  # after which a change is answered as undecided
MIN_WAIT_S = 0.05


@dataclass(frozen=True)
class ChangeAnswer:
    """What an operator is told: a status, a message, and where to go instead."""

    status: int
    message: str = ""
    location: str = ""


REGROUPING = ChangeAnswer(503, "the core is regrouping; send it again in a moment")


class ConfigurationChanges:
    """Serves the operators' changes and reads of the configuration."""

    def __init__(
        self,
        clock: Callable[[], float],
        peers: Peers,
        log: ReplicatedLog,
        view_changer: ViewChanger,
        contact: MajorityContact,
        gate: WriteGate,
    ) -> None:
        self._clock, self._peers, self._log = clock, peers, log
        self._view_changer, self._contact, self._gate = view_changer, contact, gate

    async def change(self, method: str, base: int | None, body: bytes) -> ChangeAnswer:
        """Apply a change.

        Args:
            method: `PUT` for a complete configuration, `PATCH` for a patch.
            base: The version that the change builds on, None where the request named none.
            body: The change as JSON.

        Returns:
            Status 200 once every replica of the chain has persisted the change.
        """
        if not self._gate.can_accept_writes() or not await self._contact.confirm_leadership():
            chain = self._log.replica.view.chain
            return self._redirect(chain[0] if chain else None)
        started_at = self._clock()
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                await self._gate.change_lock.acquire()
        except TimeoutError:
            return ChangeAnswer(503, "another change is under way; send it again")
        try:
            return await self._change(method, base, body, started_at)
        except OSError:
            return ChangeAnswer(503, "the disk refused the change; send it again")
        finally:
            self._gate.change_lock.release()

    async def _change(self, method: str, base: int | None, body: bytes, started_at: float) -> ChangeAnswer:
        log, epoch = self._log, self._log.replica.view.epoch

        def remaining_s() -> float:
            return max(MIN_WAIT_S, CHANGE_TIMEOUT_S - (self._clock() - started_at))

        no_change_pending = await log.progress.wait_for(lambda: not log.has_pending_change(), remaining_s())
        if not no_change_pending or not self._gate.can_accept_writes():
            return ChangeAnswer(503, "an earlier change is not settled yet; send it again")
        checked = log.state.check(method, base, body)
        if isinstance(checked, Err):
            return await self._reject(checked.err_value)
        change = checked.ok_value
        async with log.lock:
            # A view change may have brought the pending change of another head while the lock was awaited.
            if log.has_pending_change() or not await log.propose(int(change.kind), change.body, change.digest, epoch):
                return REGROUPING
        if await log.progress.wait_for(lambda: change.digest in log.state.digests, remaining_s() + 0.5 * CHANGE_TIMEOUT_S):
            LOG.info("configuration in force", extra={"version": log.state.document.version})
            return ChangeAnswer(200)
        return ChangeAnswer(503, "not settled yet; send it again unchanged")

    async def _reject(self, refusal: Refusal) -> ChangeAnswer:
        """Reject a change, once it is confirmed that this node's state is the newest."""
        if refusal.verdict is ChangeOutcome.ALREADY_APPLIED:
            return ChangeAnswer(200)
        if refusal.verdict is ChangeOutcome.HISTORY_COMPACTED:
            return ChangeAnswer(503, refusal.message)
        if not await self._view_changer.confirm_view():
            return REGROUPING
        return ChangeAnswer(int(refusal.verdict), refusal.message)

    async def read(self) -> tuple[ChangeAnswer, bytes]:
        """Read the newest configuration from the tail of the chain (a linearizable read)."""
        replica = self._log.replica
        if not replica.is_tail:
            chain = replica.view.chain
            return self._redirect(chain[-1] if chain else None), b""
        try:
            is_confirmed = replica.log_complete and await self._view_changer.confirm_view()
        except OSError:
            is_confirmed = False
        if not is_confirmed or not replica.is_tail:
            return REGROUPING, b""
        return ChangeAnswer(200), self._log.state.document.text()

    def _redirect(self, member: Member | None) -> ChangeAnswer:
        """Refer an operator to the member that serves the request, if it is another one and in reach."""
        if member is None or member.identity == self._peers.own.identity:
            return REGROUPING
        if not self._peers.is_alive(member.identity, self._clock()):
            return REGROUPING
        return ChangeAnswer(307, "another machine answers this", f"http://{member.control_address}/configuration")
