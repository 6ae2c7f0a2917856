"""Changes and reads of the configuration by operators: changes at the head of the chain, reads at the tail.

A write is acknowledged only after every replica in the chain has persisted it, and only by the head: once the head knows that
it is committed, each later replica knows so too or does not count as current. Rejections and reads are served only after a
majority of voters confirms the current view (a linearizable read).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from result import Err

from mulleinhatch.configuration.document import change_digest
from mulleinhatch.configuration.encoding import joined, json_chunks
from mulleinhatch.configuration.tenants import tenants_of
from mulleinhatch.control_plane.background_tasks import BackgroundTasks
from mulleinhatch.control_plane.majority_contact import MajorityContact
from mulleinhatch.control_plane.ongoing_changes import ChangeKey, OngoingChanges
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.replicated_log import ReplicatedLog
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.control_plane.write_gate import WriteGate
from mulleinhatch.messages.cluster import Member
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.state import Change, ChangeOutcome, EntryKind, Rejection

LOG = logging.getLogger(__name__)
COMMIT_TIMEOUT_S = 1.35  # for the commit of a change, from when it is in the log of the head
ANSWER_TIMEOUT_S = 2.5  # for one request; operators wait longer than their usual second for the answer to a large body


class ResultKind(Enum):
    """The result of a change or read of the configuration, as far as this node knows it."""

    OK = "ok"  # a change: every replica of the chain has persisted it; a read: the configuration is the newest
    REDIRECT = "redirect"  # another node serves the request
    RETRY = "retry"  # not served, or not decided yet; the same request may be sent again
    INVALID = "invalid"  # the change is not valid, or does not name the version that it builds on
    CONFLICT = "conflict"  # the change does not build on the current version


@dataclass(frozen=True)
class ConfigurationResult:
    """The result of a change or read of the configuration.

    Attributes:
        message: For the operator: what went wrong and what to do.
        control_address: The control address of the node that serves the request, with `ResultKind.REDIRECT`.
        text: The configuration as JSON, after a read.
    """

    kind: ResultKind
    message: str = ""
    control_address: str = ""
    text: bytes = b""


VIEW_CHANGING = ConfigurationResult(ResultKind.RETRY, "the core is regrouping; send it again in a moment")
REJECTION_KINDS = {ChangeOutcome.INVALID: ResultKind.INVALID, ChangeOutcome.CONFLICT: ResultKind.CONFLICT}


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
        slicer: TimeSlicer,
        tasks: BackgroundTasks,
    ) -> None:
        self._clock, self._peers, self._log = clock, peers, log
        self._view_changer, self._contact, self._gate, self._slicer = view_changer, contact, gate, slicer
        self._ongoing: OngoingChanges[ConfigurationResult] = OngoingChanges(tasks)
        self._turn = asyncio.Lock()  # held by one change at a time, from its check to its end

    async def change(self, method: str, base: int | None, body: bytes) -> ConfigurationResult:
        """Apply a change.

        Args:
            method: `PUT` for a complete configuration, `PATCH` for a patch.
            base: The version that the change builds on, None where the request does not name it.
            body: The change as JSON.

        Returns:
            `ResultKind.OK` once every replica of the chain has persisted the change.
        """
        if not self._gate.can_accept_writes() or not await self._contact.wait_for_majority_contact():
            chain = self._log.replica.view.chain
            return self._redirect(chain[0] if chain else None)
        digest = change_digest(method, body)
        if digest in self._log.state.digests:
            return self._acknowledge_again()
        key = ChangeKey(base, digest)
        result = await self._ongoing.join(key, lambda: self._change_in_turn(method, base, body), ANSWER_TIMEOUT_S)
        return result or ConfigurationResult(ResultKind.RETRY, "the change is under way; send it again unchanged")

    async def _change_in_turn(self, method: str, base: int | None, body: bytes) -> ConfigurationResult:
        """Apply a change after those that came before it."""
        async with self._turn:
            try:
                return await self._change(method, base, body)
            except OSError:
                return ConfigurationResult(ResultKind.RETRY, "the disk refused the change; send it again")

    async def _change(self, method: str, base: int | None, body: bytes) -> ConfigurationResult:
        log, epoch = self._log, self._log.replica.view.epoch
        no_change_pending = await log.progress.wait_for(lambda: not log.has_pending_change(), COMMIT_TIMEOUT_S)
        if not no_change_pending or not self._gate.can_accept_writes():
            return ConfigurationResult(ResultKind.RETRY, "an earlier change is not settled yet; send it again")
        checked_against = log.state.document
        checked = await self._slicer.run("check of a configuration change", log.state.check_steps(method, base, body))
        if isinstance(checked, Err):
            return await self._reject(checked.err_value)
        change = self._to_compatible_change(checked.ok_value)
        async with self._gate.change_lock:
            if log.state.document is not checked_against:
                return VIEW_CHANGING  # meanwhile a change of another head was applied
            return await self._commit(change, epoch)

    async def _commit(self, change: Change, epoch: int) -> ConfigurationResult:
        """Append a checked change to the log, and wait until it is committed. The caller holds the change lock."""
        log = self._log
        async with log.lock:
            # While the lock was awaited, a view change may have added a pending change of another head to the log.
            if log.has_pending_change() or not await log.propose(int(change.kind), change.body, change.digest, epoch):
                return VIEW_CHANGING
        if not await log.progress.wait_for(lambda: change.digest in log.state.digests, COMMIT_TIMEOUT_S):
            return ConfigurationResult(ResultKind.RETRY, "not settled yet; send it again unchanged")
        if not self._gate.can_accept_writes():
            # A former head can learn of the commit before the head does: from the tail by a snapshot, or as the next tail.
            return VIEW_CHANGING
        LOG.info("a configuration change is committed", extra={"version": log.state.document.version})
        return ConfigurationResult(ResultKind.OK)

    def _to_compatible_change(self, change: Change) -> Change:
        """Return a change in a form that replicas of all running versions apply with the same result.

        Versions without support for tenants keep the tenants of a complete configuration, but ignore those of a patch. So a
        patch of tenants is proposed as the complete configuration that results, until all replicas report that they apply it.
        """
        view, current = self._log.replica.view, self._log.state.document
        if change.kind is not EntryKind.PATCH or tenants_of(change.document.value) is tenants_of(current.value):
            return change
        return change if self._peers.all_keep_tenants(view, self._clock()) else change.as_complete()

    async def _reject(self, rejection: Rejection) -> ConfigurationResult:
        """Return the result of a rejection, after confirming that this node's state is the newest."""
        if rejection.outcome is ChangeOutcome.ALREADY_APPLIED:
            return self._acknowledge_again()
        if rejection.outcome is ChangeOutcome.HISTORY_COMPACTED:
            return ConfigurationResult(ResultKind.RETRY, rejection.message)
        if not await self._view_changer.confirm_view():
            return VIEW_CHANGING
        return ConfigurationResult(REJECTION_KINDS[rejection.outcome], rejection.message)

    def _acknowledge_again(self) -> ConfigurationResult:
        """Return the result of a change that was applied before; only the head acknowledges, and this may be a former one."""
        return ConfigurationResult(ResultKind.OK) if self._gate.can_accept_writes() else VIEW_CHANGING

    async def read(self) -> ConfigurationResult:
        """Read the newest configuration from the tail of the chain (a linearizable read)."""
        replica = self._log.replica
        if not replica.is_tail:
            chain = replica.view.chain
            return self._redirect(chain[-1] if chain else None)
        try:
            is_confirmed = replica.log_complete and await self._view_changer.confirm_view()
        except OSError:
            is_confirmed = False
        if not is_confirmed or not replica.is_tail:
            return VIEW_CHANGING
        chunks = json_chunks(self._log.state.document.value)
        text = await self._slicer.run("encoding of the configuration for an operator", joined(chunks))
        return ConfigurationResult(ResultKind.OK, text=text)

    def _redirect(self, member: Member | None) -> ConfigurationResult:
        """Redirect an operator to the member that serves the request, if it is another node and reachable."""
        if member is None or member.identity == self._peers.own.identity:
            return VIEW_CHANGING
        if not self._peers.is_alive(member.identity, self._clock()):
            return VIEW_CHANGING
        return ConfigurationResult(ResultKind.REDIRECT, "another machine answers this", control_address=member.control_address)
