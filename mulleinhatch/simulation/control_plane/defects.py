"""Faults that are planted to see whether the checks find them: those that were found, and one for each promise of the core.

Each is a patch of one place of the real code, for as long as a history lasts.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from enum import Enum
from typing import Any
from unittest import mock

from result import Err

from mulleinhatch.consensus import view_planner
from mulleinhatch.consensus.paxos import Voter
from mulleinhatch.control_plane import shutdown
from mulleinhatch.control_plane.backend_departures import BackendDepartures
from mulleinhatch.control_plane.configuration_changes import ConfigurationChanges, ConfigurationResult, ResultKind
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.control_plane.write_gate import WriteGate
from mulleinhatch.messages.cluster import LeaveResponse
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ChangeOutcome, ControlState


class Defect(Enum):
    """A planted fault."""

    NONE = "none"
    LOSE_SYNCED_WRITE = "a sync that does not last"
    KEEP_IDENTITY_AFTER_WIPE = "an emptied disk keeps its identity"
    REJECT_DURING_PENDING_CHANGE = "412 while an earlier change is not settled"
    READ_WITHOUT_CONFIRMATION = "reads without asking whether the view stands"
    SHORT_CHAIN = "a chain of one acknowledges"
    ADD_NEWCOMER = "a newcomer is added as a further voter"
    ACKNOWLEDGE_UNRECORDED_LEAVE = "a leave is acknowledged whoever has heard of it"
    WRITE_TO_UNLINKED_FILE = "after a rewrite whose folder sync failed, records go to a file without a name"
    VIEW_BEFORE_DISK = "a view counts before the disk has it, and is not told again"
    CONFIRM_WITHOUT_EPOCH = "authority counts voters that answer, in whatever view"
    FORGET_DIGESTS = "a change that is sent again is not known"
    ACCEPT_STALE_BASE = "the version that a change builds on is not compared"
    SHUT_DOWN_AT_ONCE = "a machine that leaves ends whether or not it holds the only copy"
    LEAD_WITH_INCOMPLETE_LOG = "who joined leads whatever it holds"


def _add_newcomer(view: Any, health: Any, tolerated: int) -> list[Any]:
    """The planner's rule until the third replacement in a row left no majority."""
    voters, candidates = list(view.voters), view_planner._candidates(view, health)
    view_planner._take_former_places(voters, candidates)
    silent = [place for place in view_planner._silent_places(voters, health) if health[voters[place].identity].gone_for_s > 8.0]
    if candidates and silent:
        voters[silent[0]] = candidates[0]
    elif candidates:
        voters.append(candidates[0])
    elif len(voters) > 2 * tolerated + 1 and silent:
        del voters[silent[0]]
    return voters


async def _acknowledge_leave(self: BackendDepartures, backend_id: str) -> bool:
    await asyncio.sleep(0.05)
    return True


async def _acknowledge_any_leave(self: BackendDepartures, request: Any) -> LeaveResponse:
    return LeaveResponse(taken=True)


async def _step_first(self: ViewChanger, step: Any) -> Any:
    async with self.lock:
        before = self._voter.state
        self._voter = Voter(self._voter.identity, before)
        said = step(self._voter)
        if self._voter.state is not before:
            await self._write(self._voter.state)
    self._activate_view(self.view)
    return said


def _change_at_once(real: Any) -> Any:
    async def change(self: ConfigurationChanges, *args: Any) -> ConfigurationResult:
        if self._log.has_pending_change():
            return ConfigurationResult(ResultKind.CONFLICT, "planted")
        return await real(self, *args)

    return change


def _check_without_base(real: Any) -> Any:
    def check(self: ControlState, method: str, base: int | None, body: bytes) -> Any:
        checked = real(self, method, base, body)
        if isinstance(checked, Err) and checked.err_value.verdict is ChangeOutcome.CONFLICT:
            return real(self, method, self.document.version, body)
        return checked

    return check


def _forget_digests(real: Any) -> Any:
    def check(self: ControlState, method: str, base: int | None, body: bytes) -> Any:
        known, self.digests = self.digests, {}
        try:
            return real(self, method, base, body)
        finally:
            self.digests = known

    return check


def _adopt_as_log_complete(real: Any) -> Any:
    def adopt(self: Replica, view: Any) -> None:
        real(self, view)
        self.log_complete = self.position >= 0
        self._commit_at_tail()

    return adopt


async def _confirm_always(self: ViewChanger) -> bool:
    return True


async def _shut_down_at_once(node: Any, grace_s: float) -> None:
    node.leaving = True


def _patches(defect: Defect) -> list[Any]:
    if defect is Defect.REJECT_DURING_PENDING_CHANGE:
        return [mock.patch.object(ConfigurationChanges, "_change", _change_at_once(ConfigurationChanges._change))]
    if defect is Defect.READ_WITHOUT_CONFIRMATION:
        return [mock.patch.object(ViewChanger, "confirm_view", _confirm_always)]
    if defect is Defect.SHORT_CHAIN:
        real = view_planner.next_view
        return [
            mock.patch(
                "mulleinhatch.control_plane.view_manager.next_view", lambda view, health, tolerated: real(view, health, 0)
            ),
            mock.patch.object(WriteGate, "can_accept_writes", lambda self: self._replica.is_head),
        ]
    if defect is Defect.ADD_NEWCOMER:
        return [mock.patch.object(view_planner, "_voters", _add_newcomer)]
    if defect is Defect.ACKNOWLEDGE_UNRECORDED_LEAVE:
        return [
            mock.patch.object(BackendDepartures, "record", _acknowledge_leave),
            mock.patch.object(BackendDepartures, "on_leave", _acknowledge_any_leave),
        ]
    if defect is Defect.VIEW_BEFORE_DISK:
        return [
            mock.patch.object(ViewChanger, "_step", _step_first),
            mock.patch.object(Peers, "has_confirmed_majority", Peers.reaches_majority),
        ]
    if defect is Defect.CONFIRM_WITHOUT_EPOCH:
        return [mock.patch.object(Peers, "has_confirmed_majority", Peers.reaches_majority)]
    if defect is Defect.FORGET_DIGESTS:
        return [mock.patch.object(ControlState, "check", _forget_digests(ControlState.check))]
    if defect is Defect.ACCEPT_STALE_BASE:
        return [mock.patch.object(ControlState, "check", _check_without_base(ControlState.check))]
    if defect is Defect.SHUT_DOWN_AT_ONCE:
        return [mock.patch.object(shutdown, "leave", _shut_down_at_once)]
    if defect is Defect.LEAD_WITH_INCOMPLETE_LOG:
        return [mock.patch.object(Replica, "adopt", _adopt_as_log_complete(Replica.adopt))]
    return []


@contextlib.contextmanager
def planted(defect: Defect) -> Iterator[None]:
    """The real code with a defect, until the end of the block."""
    with contextlib.ExitStack() as stack:
        for patch in _patches(defect):
            stack.enter_context(patch)
        yield
