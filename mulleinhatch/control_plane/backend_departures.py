"""Record departures of backends in the replicated log, so that no failure of a node lets a data plane use them again."""

from __future__ import annotations

import json
from collections.abc import Sequence

from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.majority_contact import MajorityContact
from mulleinhatch.control_plane.replicated_log import ReplicatedLog
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.control_plane.write_gate import WriteGate
from mulleinhatch.messages.cluster import LeaveRequest, LeaveResponse
from mulleinhatch.replication.state import EntryKind

DEPARTURE_TIMEOUT_S = 0.75  # a backend waits one second for its acknowledgement


class BackendDepartures:
    """Records departures at the head of the chain, directly or through the internal API."""

    def __init__(
        self,
        log: ReplicatedLog,
        view_changer: ViewChanger,
        contact: MajorityContact,
        gate: WriteGate,
        client: InternalClient,
    ) -> None:
        self._log, self._view_changer, self._contact = log, view_changer, contact
        self._gate, self._client = gate, client

    async def record(self, backend_id: str) -> bool:
        """Return whether every replica of the chain has persisted that a backend leaves."""
        chain = self._log.replica.view.chain
        if not chain:
            return False
        head = chain[0]
        request = LeaveRequest(backends=[backend_id])
        try:
            if head.identity == self._log.replica.identity:
                return (await self.on_leave(request)).accepted
            response = await self._client.call(head.internal_address, "leave", request, LeaveResponse, DEPARTURE_TIMEOUT_S)
            return response.accepted
        except OSError:
            return False

    async def on_leave(self, request: LeaveRequest) -> LeaveResponse:
        """Record departures at the head.

        Returns:
            `accepted` once every replica of the chain has persisted them; for departures recorded before, once the view is
            confirmed. Only the head accepts: a former head can learn of the commit from the tail before the head does.
        """
        log, epoch = self._log, self._log.replica.view.epoch
        if not self._gate.can_accept_writes() or not await self._contact.wait_for_majority_contact():
            return LeaveResponse(accepted=False)
        if self._are_recorded(request.backends):
            is_confirmed = await self._view_changer.confirm_view()
            return LeaveResponse(accepted=is_confirmed and self._gate.can_accept_writes())
        async with log.lock:
            missing = [backend_id for backend_id in request.backends if not self._is_in_log(backend_id)]
            body = json.dumps(missing).encode()
            if missing and not await log.propose(int(EntryKind.DEPARTURE), body, "", epoch):
                return LeaveResponse(accepted=False)
        is_recorded = await log.progress.wait_for(lambda: self._are_recorded(request.backends), DEPARTURE_TIMEOUT_S)
        return LeaveResponse(accepted=is_recorded and self._gate.can_accept_writes())

    def _are_recorded(self, backends: Sequence[str]) -> bool:
        return all(backend_id in self._log.state.departed_backends for backend_id in backends)

    def _is_in_log(self, backend_id: str) -> bool:
        """Return whether a departure is applied, or recorded in an entry that is not applied yet."""
        replica, state = self._log.replica, self._log.state
        if backend_id in state.departed_backends:
            return True
        pending = replica.entries[state.index - replica.base.index :]
        return any(entry.kind == EntryKind.DEPARTURE and backend_id in json.loads(entry.body) for entry in pending)
