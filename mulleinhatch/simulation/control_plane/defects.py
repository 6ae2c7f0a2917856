"""Defects that are injected into the real code to show that the invariant checks find them.

There is one for each guarantee of the control plane, and one for each defect that was found earlier. Each patches one or two
functions for the duration of a history.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from enum import Enum
from typing import Any
from unittest import mock

from result import Err

from mulleinhatch.configuration.item_schema import ItemSchema
from mulleinhatch.consensus import view_planner
from mulleinhatch.consensus.fault_tolerance import FaultTolerance
from mulleinhatch.consensus.paxos import Voter
from mulleinhatch.control_plane import peers, shutdown
from mulleinhatch.control_plane.backend_departures import BackendDepartures
from mulleinhatch.control_plane.configuration_changes import ConfigurationChanges, ConfigurationResult, ResultKind
from mulleinhatch.control_plane.ongoing_changes import OngoingChanges
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.control_plane.write_gate import WriteGate
from mulleinhatch.membership.view_timing import HEARTBEAT_S
from mulleinhatch.messages.cluster import LeaveResponse
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ChangeOutcome, ControlState
from mulleinhatch.steps import complete


class Defect(Enum):
    """An injected defect."""

    NONE = "none"
    LOSE_SYNCED_WRITE = "a synced write may be lost"
    KEEP_IDENTITY_AFTER_WIPE = "an emptied disk keeps its identity"
    REJECT_DURING_PENDING_CHANGE = "412 while an earlier change is not committed"
    READ_WITHOUT_CONFIRMATION = "reads without confirming the view"
    IGNORE_ZONES = "voters are chosen as if all machines stood in one zone"
    SHORT_CHAIN = "a chain of one replica acknowledges"
    ADD_NEWCOMER = "a joining machine is added as a further voter"
    ACKNOWLEDGE_UNRECORDED_LEAVE = "a departure is acknowledged without being recorded"
    WRITE_TO_UNLINKED_FILE = "after a rewrite whose folder sync failed, records go to an unlinked file"
    VIEW_BEFORE_DISK = "a view is in force before it is durable, and is not learned again"
    CONFIRM_WITHOUT_EPOCH = "majority contact counts voters of any view"
    FORGET_DIGESTS = "a change that is sent again is not recognised"
    ACCEPT_STALE_BASE = "the version that a change builds on is not compared"
    SHUT_DOWN_AT_ONCE = "a leaving machine ends even if it has the only complete replica"
    CURRENT_BEFORE_COMMIT = "a joined replica counts as current before it knows the entries it received as committed"
    FORMER_HEAD_ACKNOWLEDGES = "a head that left the chain acknowledges a change that it finds in a snapshot"
    WORK_IN_ONE_PIECE = "long work runs in one turn of the event loop"
    REPETITION_STARTS_ANEW = "a change that is sent again is checked from the start"
    SLOW_IS_LOST = "a peer that answers late counts as lost"
    LEAD_WITH_INCOMPLETE_LOG = "a joined replica leads with an incomplete log"


def _add_newcomer(view: Any, health: Any, tolerance: FaultTolerance) -> list[Any]:
    """Apply a former rule of the planner: after three replacements in a row no majority was left."""
    voters, candidates = list(view.voters), view_planner._voter_candidates(view, health)
    view_planner._replace_wiped_voters(voters, candidates)
    silent = [
        index
        for index in view_planner._unreachable_voter_positions(voters, health)
        if health[voters[index].identity].unreachable_for_s > 8.0
    ]
    if candidates and silent:
        voters[silent[0]] = candidates[0]
    elif candidates:
        voters.append(candidates[0])
    elif len(voters) > tolerance.voters and silent:
        del voters[silent[0]]
    return voters


async def _acknowledge_leave(self: BackendDepartures, backend_id: str) -> bool:
    await asyncio.sleep(0.05)
    return True


async def _acknowledge_any_leave(self: BackendDepartures, request: Any) -> LeaveResponse:
    return LeaveResponse(accepted=True)


async def _step_first(self: ViewChanger, step: Any) -> Any:
    async with self.lock:
        before = self._voter.state
        self._voter = Voter(self._voter.identity, before)
        response = step(self._voter)
        if self._voter.state is not before:
            await self._write(self._voter.state)
    self._activate_view(self.view)
    return response


def _reject_while_pending(real: Any) -> Any:
    async def change(self: ConfigurationChanges, *args: Any) -> ConfigurationResult:
        if self._log.has_pending_change():
            return ConfigurationResult(ResultKind.CONFLICT, "planted")
        return await real(self, *args)

    return change


def _acknowledge_as_former_head(real: Any) -> Any:
    async def change(self: ConfigurationChanges, *args: Any) -> ConfigurationResult:
        with mock.patch.object(self._gate, "can_accept_writes", lambda: True):
            return await real(self, *args)

    return change


def _check_without_base(real: Any) -> Any:
    def check(self: ControlState, method: str, base: int | None, body: bytes) -> Any:
        checked = yield from real(self, method, base, body)
        if isinstance(checked, Err) and checked.err_value.outcome is ChangeOutcome.CONFLICT:
            return (yield from real(self, method, self.document.version, body))
        return checked

    return check


def _forget_digests(real: Any) -> Any:
    def check(self: ControlState, method: str, base: int | None, body: bytes) -> Any:
        known, self.digests = self.digests, {}
        try:
            checked = complete(real(self, method, base, body))
        finally:
            self.digests = known
        yield
        return checked

    return check


def _adopt_as_log_complete(real: Any) -> Any:
    def adopt(self: Replica, view: Any) -> None:
        real(self, view)
        self.log_complete = self.position >= 0
        self._commit_at_tail()

    return adopt


def _current_at_once(real: Any) -> Any:
    def on_append_persisted(self: Replica, request: Any) -> None:
        unknown_before = self._last_unknown_index
        real(self, request)
        self._last_unknown_index = unknown_before

    return on_append_persisted


async def _confirm_always(self: ViewChanger) -> bool:
    return True


async def _run_in_one_piece(self: TimeSlicer, name: str, steps: Any) -> Any:
    return complete(steps)


async def _start_anew(self: OngoingChanges, key: Any, work: Any, timeout_s: float) -> Any:
    try:
        async with asyncio.timeout(timeout_s):
            return await work()
    except TimeoutError:
        return None


def _validate_whole(self: ItemSchema, item: Any) -> None:
    self._schema.validate(item)


async def _shut_down_at_once(node: Any, grace_s: float) -> None:
    node.leaving = True


def _patches(defect: Defect) -> list[Any]:
    if defect is Defect.REJECT_DURING_PENDING_CHANGE:
        return [mock.patch.object(ConfigurationChanges, "_change", _reject_while_pending(ConfigurationChanges._change))]
    if defect is Defect.READ_WITHOUT_CONFIRMATION:
        return [mock.patch.object(ViewChanger, "confirm_view", _confirm_always)]
    if defect is Defect.SHORT_CHAIN:
        real = view_planner.plan_next_view
        return [
            mock.patch(
                "mulleinhatch.control_plane.view_manager.plan_next_view",
                lambda view, health, tolerance: real(view, health, FaultTolerance(0)),
            ),
            mock.patch.object(WriteGate, "can_accept_writes", lambda self: self._replica.is_head),
        ]
    if defect is Defect.IGNORE_ZONES:
        return [mock.patch.object(FaultTolerance, "worst_loss", lambda self, members: min(self.machines, len(members)))]
    if defect is Defect.ADD_NEWCOMER:
        return [mock.patch.object(view_planner, "_plan_voters", _add_newcomer)]
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
        return [mock.patch.object(ControlState, "check_steps", _forget_digests(ControlState.check_steps))]
    if defect is Defect.ACCEPT_STALE_BASE:
        return [mock.patch.object(ControlState, "check_steps", _check_without_base(ControlState.check_steps))]
    if defect is Defect.SHUT_DOWN_AT_ONCE:
        return [mock.patch.object(shutdown, "leave", _shut_down_at_once)]
    if defect is Defect.CURRENT_BEFORE_COMMIT:
        return [mock.patch.object(Replica, "on_append_persisted", _current_at_once(Replica.on_append_persisted))]
    if defect is Defect.FORMER_HEAD_ACKNOWLEDGES:
        return [mock.patch.object(ConfigurationChanges, "_change", _acknowledge_as_former_head(ConfigurationChanges._change))]
    if defect is Defect.WORK_IN_ONE_PIECE:
        return [
            mock.patch.object(TimeSlicer, "run", _run_in_one_piece),
            mock.patch.object(ItemSchema, "validate", _validate_whole),
        ]
    if defect is Defect.REPETITION_STARTS_ANEW:
        return [mock.patch.object(OngoingChanges, "join", _start_anew)]
    if defect is Defect.SLOW_IS_LOST:
        return [mock.patch.object(peers, "ALIVE_S", 1.5 * HEARTBEAT_S)]
    if defect is Defect.LEAD_WITH_INCOMPLETE_LOG:
        return [mock.patch.object(Replica, "adopt_view", _adopt_as_log_complete(Replica.adopt_view))]
    return []


@contextlib.contextmanager
def planted(defect: Defect) -> Iterator[None]:
    """Patch the real code with a defect for the duration of the block."""
    with contextlib.ExitStack() as stack:
        for patch in _patches(defect):
            stack.enter_context(patch)
        yield
