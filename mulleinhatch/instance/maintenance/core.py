"""One instance's side of coordinated maintenance: it requests permits and, if it is a voter, votes. No I/O and no clock.

Membership and message transport come from `gossip`. A voter's state is persisted before its response is sent; if that fails,
nothing is sent. Two clocks are passed in: `now` is monotonic (timeouts, retransmissions), `wall` is Unix time (requested
times). Safety depends on neither.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from mulleinhatch.instance.gossip import messages as gossip_messages
from mulleinhatch.instance.maintenance import messages
from mulleinhatch.instance.maintenance.messages import (
    MaintenanceRequestAck,
    MaintenanceRequestMessage,
    PositionQuery,
    PositionReply,
    RegisterRequestMessage,
    RegisterResponseMessage,
    VoterStateQuery,
    VoterStateReply,
)
from mulleinhatch.instance.maintenance.messenger import MaintenanceFleet, MaintenanceMessenger
from mulleinhatch.instance.maintenance.paxos_register import ProposalRound, Voter, VoterState
from mulleinhatch.instance.maintenance.permit_rounds import PermitRounds, TableChange
from mulleinhatch.instance.maintenance.position_replies import PositionReplies
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest, has_spare_capacity
from mulleinhatch.instance.maintenance.table import PermitRefusedError, PermitTable
from mulleinhatch.instance.maintenance.voter_role import ABSTENTION_S, ReceivedRequest, VoterRole

QUERY_INTERVAL_S, DISTANT_QUERY_INTERVAL_S = (
    0.5,
    2.0,
)  # seconds between position queries, near the front of the order and far from it
DISTANT_POSITION = 10  # with more requests ahead, the longer query interval applies
REQUEST_FOR_OTHERS_TIMEOUT_S = 60.0  # seconds for which a request is resent to an instance that does not acknowledge it
LOAD_MARGIN = 0.1  # fraction of the load that the other instances must be able to carry in addition to it


class MaintenanceState(Enum):
    """State of an instance; the order is the value of the counter `upkeep_state`."""

    SERVING = "serving"
    WAITING = "waiting"  # has a pending request and waits for its turn
    PROPOSING = "asking"  # a round for a permit is in progress
    LEAVING = "going"  # holds a permit and is leaving service
    CHECKING = "checking"  # has returned with its permit and is not healthy yet
    RETURNING = "returning"  # a round to release the permit is in progress


class MaintenanceBounds(NamedTuple):
    """The configured bounds.

    Attributes:
        voters: Names of the voters.
        most: Maximum number of instances out of service.
        zone_most: The same for one zone.
        zone: Zone of this instance.
        zones: Zones of the other instances by name, to count crashed ones.
        freeze_after: Seconds after which a returned instance that is still unhealthy freezes the permits; 0 for never.
    """

    voters: tuple[str, ...]
    most: int = 1
    zone_most: int = 1
    zone: str = ""
    zones: tuple[tuple[str, str], ...] = ()
    freeze_after: float = 0.0


class MaintenanceCoordinator:
    """Requests permits for one instance and acts as a voter if the instance is one.

    Args:
        bounds: Configured bounds.
        fleet: Gossip membership and transport.
        seed: Seed of the backoff times.
        now: Monotonic seconds.
        voter_state: A voter's state read from disk; None if there is none.
        persist: Writes a voter's state durably; None without a disk.
    """

    def __init__(
        self,
        bounds: MaintenanceBounds,
        fleet: MaintenanceFleet,
        seed: int,
        now: float,
        voter_state: VoterState | None = None,
        persist: Callable[[VoterState], None] | None = None,
    ) -> None:
        self.bounds, self.fleet, self.name = bounds, fleet, fleet.name
        self.counts: Counter[str] = Counter()
        self.messenger = MaintenanceMessenger(fleet, self.counts, self._on_message)
        initial_table = PermitTable(tuple(sorted(bounds.voters)), bounds.most, bounds.zone_most)
        self.voter_role = (
            VoterRole(self.messenger, initial_table, now, voter_state, persist, self._report_change)
            if self.name in bounds.voters
            else None
        )
        self.rounds = PermitRounds(self.messenger, initial_table, seed, now, self._on_round_abandoned)
        self.started_at = now
        self.request: MaintenanceRequest | None = None
        self.state = MaintenanceState.SERVING
        self.fencing_token = 0
        self.replies = PositionReplies()
        self.queried_at = -1e9
        self.requests_for_others: dict[
            str, tuple[MaintenanceRequest, float]
        ] = {}  # by instance: a request to forward for an operator, and until when
        self.requests_sent_at = now
        self.returned_at, self.has_frozen = math.inf, False  # time of an unhealthy return; whether it froze the permits
        self.changes: list[tuple[str, str]] = []  # state and reason, to be logged by the caller
        self.wall = 0.0
        self.messenger.last_now = now

    @property
    def known(self) -> PermitTable:
        """Latest permit table that this instance knows."""
        return self.rounds.known

    @property
    def round(self) -> ProposalRound | None:
        """Round that this instance runs, if any."""
        return self.rounds.current

    @property
    def voter(self) -> Voter | None:
        """This instance's voter for the permit table; None if it is not a voter."""
        return self.voter_role and self.voter_role.voter

    @property
    def requests(self) -> dict[str, ReceivedRequest]:
        """Requests received as a voter, by instance."""
        return self.voter_role.requests if self.voter_role else {}

    @property
    def _is_abstaining(self) -> bool:
        return self.voter_role is not None and self.voter_role.is_abstaining

    def _set_state(self, state: MaintenanceState, why: str) -> None:
        if state is not self.state:
            self.state = state
            self._report_change(state.value, why)

    def _report_change(self, state: str, why: str) -> None:
        self.changes.append((state, why))

    # Requests by operators and by the instance itself.

    def request_maintenance(self, request: MaintenanceRequest) -> None:
        """Request maintenance for this instance; a new request replaces the previous one."""
        self.request = request
        if self.state is MaintenanceState.SERVING:
            self._set_state(MaintenanceState.WAITING, request.kind)

    def request_for_others(self, now: float, requests: list[MaintenanceRequest]) -> None:
        """Ask the named instances to request maintenance; resent until they acknowledge."""
        for request in requests:
            if request.name == self.name:
                self.request_maintenance(request)
            else:
                self.requests_for_others[request.name] = request, now + REQUEST_FOR_OTHERS_TIMEOUT_S

    def cancel(self) -> None:
        """Withdraw the request if no permit was granted yet. An instance that is out of service returns on its own."""
        if self.state in (MaintenanceState.WAITING, MaintenanceState.PROPOSING):
            self.messenger.send_to_all(self.known.voters, PositionQuery(cancelled=True))
            self.request = None
            self.rounds.cancel()
            self._set_state(MaintenanceState.SERVING, "cancelled")

    def propose(self, now: float, change: TableChange) -> ProposalRound:
        """Start a round for an operator's change (freeze, bounds, voters, release). The returned round tells its outcome.

        Raises:
            PermitRefusedError: Another round is in progress here.
        """
        if self.round:
            raise PermitRefusedError("another change is in progress on this instance; retry in a moment")
        return self.rounds.begin(now, change)

    def current_replies(self, now: float) -> dict[str, PositionReply]:
        """Return the voters' position replies that are recent enough, by voter."""
        return self.replies.current(now)

    # Periodic work.

    def tick(self, now: float, wall: float, is_ready: bool) -> list[tuple[str, bytes]]:
        """Advance by one period and return the datagrams to send, as (instance, bytes).

        The instance must leave service when `state` becomes `LEAVING`.

        Args:
            now: Monotonic seconds.
            wall: Unix time in seconds.
            is_ready: Whether the instance passes its own health checks and is warm.
        """
        self.wall, self.messenger.last_now = wall, now
        if self.voter_role and self.voter_role.is_abstaining:
            if now - self.queried_at >= QUERY_INTERVAL_S:
                self.voter_role.query_other_voters()
            self.voter_role.learn_from_voters(now)
        if self.round:
            self.rounds.resume(now)
        elif now < self.rounds.next_allowed_at:
            pass  # backing off after an abandoned round
        elif self.state is MaintenanceState.CHECKING and is_ready and not self._is_abstaining:
            self._set_state(MaintenanceState.RETURNING, "healthy")
            self._release_permit(now)
        elif self.state is MaintenanceState.RETURNING:
            self._release_permit(now)
        elif self.state is MaintenanceState.WAITING and self._is_turn(now):
            self._set_state(MaintenanceState.PROPOSING, "its turn")
            self.rounds.begin(now, self._request_permit)
        elif (
            self.state is MaintenanceState.CHECKING
            and self.bounds.freeze_after
            and not self.has_frozen
            and now - self.returned_at > self.bounds.freeze_after
        ):
            # The cause, for example a bad release, may affect the next instances as well.
            self.rounds.begin(now, self._freeze)
        if self.requests_for_others and now - self.requests_sent_at >= QUERY_INTERVAL_S:
            self._send_maintenance_requests(now)
        position = self.replies.queue_position(now)
        if now - self.queried_at >= (DISTANT_QUERY_INTERVAL_S if position > DISTANT_POSITION else QUERY_INTERVAL_S) and (
            self.request or self.state is not MaintenanceState.SERVING or now - self.started_at < 2.0 * ABSTENTION_S
        ):
            self.queried_at = now
            is_waiting = self.state in (MaintenanceState.WAITING, MaintenanceState.PROPOSING)
            self.messenger.send_to_all(self.known.voters, PositionQuery(self.request if is_waiting else None))
        if self.voter_role:
            self.voter_role.drop_expired_requests(now)
        return self.messenger.take_outgoing()

    def _release_permit(self, now: float) -> None:
        fencing_token = self.fencing_token
        self.rounds.begin(now, lambda table: table.release(self.name, fencing_token))

    def _freeze(self, table: PermitTable) -> PermitTable:
        return table if table.frozen else table.freeze(f"{self.name} came back and is not fit")

    def _send_maintenance_requests(self, now: float) -> None:
        self.requests_sent_at = now
        for name, (request, until) in list(self.requests_for_others.items()):
            if now > until:
                del self.requests_for_others[name]
                self._report_change("asking", f"{name} does not answer")
            else:
                self.messenger.send(name, MaintenanceRequestMessage(request))

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        """Return and clear the datagrams caused by received messages."""
        return self.messenger.take_outgoing()

    # As an instance that requests a permit.

    def _is_turn(self, now: float) -> bool:
        """Return whether a majority of the voters reports this instance's turn; a wrong answer only wastes a round.

        A voter may list a permit that this instance does not know of: its round was reported as beaten although another
        proposer completed it. No other instance can use that permit, so this one claims it.
        """
        if self.replies.has_unclaimed_permit(now):
            return True
        return self.replies.has_majority(now, len(self.known.voters)) and self._can_others_carry_load(now)

    def _can_others_carry_load(self, now: float) -> bool:
        """Return whether the other instances can carry this one's load, by the pessimistic estimates."""
        known = self.fleet.fleet_counters
        capacity, demand = known.total(now, "capacity"), known.total(now, "first_tries")
        ours = demand.most / demand.members if demand.members else 0.0
        return self.fleet.members.frozen is False and has_spare_capacity(capacity.least, demand.least + ours, 0.0, LOAD_MARGIN)

    def _request_permit(self, table: PermitTable) -> PermitTable:
        view = self.fleet.members.view
        zones = dict(self.bounds.zones)
        gone = {name: zones.get(name, "") for name, member in view.items() if member.state == gossip_messages.GONE}
        request = self.request
        return table.grant(self.name, self.bounds.zone, request.kind if request else "", gone)

    def _on_round_abandoned(self, why: str) -> None:
        if self.state is MaintenanceState.PROPOSING:
            self._set_state(MaintenanceState.WAITING, why)

    def _on_register_response(self, now: float, message: RegisterResponseMessage) -> None:
        if self.voter_role:
            self.voter_role.record_write_count(message.response.voter, message.response.writes)
        table = self.rounds.handle_response(now, message)
        if table is None:
            return
        permit = table.permit(self.name)
        if self.state is MaintenanceState.PROPOSING and permit:
            self.fencing_token = permit.fence
            self._set_state(MaintenanceState.LEAVING, f"permit {permit.fence}")
        elif self.state is MaintenanceState.CHECKING:
            self.has_frozen = bool(table.frozen)
        elif self.state is MaintenanceState.RETURNING and not permit:
            self.fencing_token, self.request, self.returned_at, self.has_frozen = 0, None, math.inf, False
            self._set_state(MaintenanceState.SERVING, "permit released")

    # Messages.

    def _on_message(self, now: float, sender: str, message: messages.MaintenanceMessage) -> None:
        self.messenger.last_now = now
        if isinstance(message, PositionReply):
            self._on_position_reply(now, sender, message)
        elif isinstance(message, RegisterResponseMessage):
            self._on_register_response(now, message)
        elif isinstance(message, VoterStateReply):
            if self.voter_role:
                self.voter_role.state_replies[sender] = message
        elif isinstance(message, MaintenanceRequestMessage):
            if self.request is None or message.request.requested_at > self.request.requested_at:
                self.request_maintenance(message.request._replace(name=self.name, zone=self.bounds.zone))
            self.messenger.send(sender, MaintenanceRequestAck(message.request.requested_at))
        elif isinstance(message, MaintenanceRequestAck):
            if sender in self.requests_for_others and self.requests_for_others[sender][0].requested_at == message.requested_at:
                del self.requests_for_others[sender]
        elif self.voter_role is None:
            self.counts["words_to_no_voter"] += 1
        elif isinstance(message, PositionQuery):
            self.voter_role.on_position_query(now, self.wall, sender, message)
        elif isinstance(message, VoterStateQuery):
            self.voter_role.on_state_query(sender)
        elif isinstance(message, RegisterRequestMessage):
            self.voter_role.on_register_request(sender, message)

    def _on_position_reply(self, now: float, sender: str, reply: PositionReply) -> None:
        self.replies.record(now, sender, reply)
        self.rounds.record_number(reply.number)
        if self.voter_role:
            self.voter_role.record_write_count(sender, reply.writes)
            if self.voter_role.detect_restored_disk(now, reply.receiver_writes):
                self.started_at = now
        if reply.fencing_token and self.state is MaintenanceState.SERVING:
            self.fencing_token = max(self.fencing_token, reply.fencing_token)
            self.returned_at = now
            self._set_state(MaintenanceState.CHECKING, f"holds permit {reply.fencing_token}")
        elif reply.fencing_token > self.fencing_token and self.state in (MaintenanceState.CHECKING, MaintenanceState.RETURNING):
            self.fencing_token = reply.fencing_token
