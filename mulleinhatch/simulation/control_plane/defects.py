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

from mulleinhatch.consensus import view_planner as planning
from mulleinhatch.consensus.paxos import Voter
from mulleinhatch.control_plane import shutdown as departure
from mulleinhatch.control_plane.configuration_changes import ChangeAnswer, ConfigurationChanges
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.messages.cluster import LeaveResponse
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ChangeOutcome, ControlState


class Defect(Enum):
    """A planted fault."""

    NONE = "none"
    FORGET_SYNC = "a sync that does not last"
    VOTE_AFTER_WIPE = "an emptied disk keeps its identity"
    REFUSE_UNSETTLED = "412 while an earlier change is not settled"
    READ_ANYWHERE = "reads without asking whether the view stands"
    SHORT_CHAIN = "a chain of one acknowledges"
    ADD_NEWCOMER = "a newcomer is added as a further voter"
    LEAVE_UNHEARD = "a leave is acknowledged whoever has heard of it"
    LOST_DESCRIPTOR = "after a rewrite whose folder sync failed, records go to a file without a name"
    VIEW_BEFORE_DISK = "a view counts before the disk has it, and is not told again"
    AUTHORITY_WITHOUT_EPOCH = "authority counts voters that answer, in whatever view"
    FORGET_DIGESTS = "a change that is sent again is not known"
    TWO_ON_ONE_BASE = "the version that a change builds on is not compared"
    END_AT_ONCE = "a machine that leaves ends whether or not it holds the only copy"
    LEAD_UNSETTLED = "who joined leads whatever it holds"


def _add_newcomer(view: Any, health: Any, tolerated: int) -> list[Any]:
    """The planner's rule until the third replacement in a row left no majority."""
    voters, candidates = list(view.voters), planning._voter_candidates(view, health)
    planning._replace_wiped_voters(voters, candidates)
    silent = [
        place
        for place in planning._unreachable_voter_positions(voters, health)
        if health[voters[place].identity].unreachable_for_s > 8.0
    ]
    if candidates and silent:
        voters[silent[0]] = candidates[0]
    elif candidates:
        voters.append(candidates[0])
    elif len(voters) > 2 * tolerated + 1 and silent:
        del voters[silent[0]]
    return voters


async def _acknowledge_leave(self: ConfigurationChanges, backend_id: str) -> bool:
    await asyncio.sleep(0.05)
    return True


async def _take_leave(self: ConfigurationChanges, request: Any) -> LeaveResponse:
    return LeaveResponse(accepted=True)


async def _step_first(self: ViewChanger, step: Any) -> Any:
    async with self.lock:
        before = self._voter.state
        self._voter = Voter(self._voter.identity, before)
        said = step(self._voter)
        if self._voter.state is not before:
            await self._write(self._voter.state)
    self._node.activate_view(self.view)
    return said


def _change_at_once(real: Any) -> Any:
    async def change(self: ConfigurationChanges, *args: Any) -> ChangeAnswer:
        if self._node.replicated_log.change_pending():
            return ChangeAnswer(ChangeOutcome.CONFLICT.http_status, "planted")
        return await real(self, *args)

    return change


def _check_without_base(real: Any) -> Any:
    def check(self: ControlState, method: str, base: int | None, body: bytes) -> Any:
        checked = real(self, method, base, body)
        if isinstance(checked, Err) and checked.err_value.outcome is ChangeOutcome.CONFLICT:
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


def _adopt_settled(real: Any) -> Any:
    def adopt(self: Replica, view: Any) -> None:
        real(self, view)
        self.log_complete = self.position >= 0
        self._commit_at_tail()

    return adopt


async def _always(self: ViewChanger) -> bool:
    return True


async def _end_at_once(node: Any, grace_s: float) -> None:
    node.leaving = True


def _patches(defect: Defect) -> list[Any]:
    if defect is Defect.REFUSE_UNSETTLED:
        return [mock.patch.object(ConfigurationChanges, "_change", _change_at_once(ConfigurationChanges._change))]
    if defect is Defect.READ_ANYWHERE:
        return [mock.patch.object(ViewChanger, "confirm_view", _always)]
    if defect is Defect.SHORT_CHAIN:
        real = planning.plan_next_view
        return [
            mock.patch("mulleinhatch.control_plane.node.plan_next_view", lambda view, health, tolerated: real(view, health, 0)),
            mock.patch.object(ConfigurationChanges, "_leads", lambda self: self._node.replica.is_head),
        ]
    if defect is Defect.ADD_NEWCOMER:
        return [mock.patch.object(planning, "_plan_voters", _add_newcomer)]
    if defect is Defect.LEAVE_UNHEARD:
        return [
            mock.patch.object(ConfigurationChanges, "backend_leaves", _acknowledge_leave),
            mock.patch.object(ConfigurationChanges, "on_leave", _take_leave),
        ]
    if defect is Defect.VIEW_BEFORE_DISK:
        return [
            mock.patch.object(ViewChanger, "_step", _step_first),
            mock.patch.object(Peers, "has_confirmed_majority", Peers.reaches_majority),
        ]
    if defect is Defect.AUTHORITY_WITHOUT_EPOCH:
        return [mock.patch.object(Peers, "has_confirmed_majority", Peers.reaches_majority)]
    if defect is Defect.FORGET_DIGESTS:
        return [mock.patch.object(ControlState, "check", _forget_digests(ControlState.check))]
    if defect is Defect.TWO_ON_ONE_BASE:
        return [mock.patch.object(ControlState, "check", _check_without_base(ControlState.check))]
    if defect is Defect.END_AT_ONCE:
        return [mock.patch.object(departure, "leave", _end_at_once)]
    if defect is Defect.LEAD_UNSETTLED:
        return [mock.patch.object(Replica, "adopt_view", _adopt_settled(Replica.adopt_view))]
    return []


@contextlib.contextmanager
def planted(defect: Defect) -> Iterator[None]:
    """The real code with a defect, until the end of the block."""
    with contextlib.ExitStack() as stack:
        for patch in _patches(defect):
            stack.enter_context(patch)
        yield
