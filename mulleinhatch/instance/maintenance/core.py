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
from mulleinhatch.instance.gossip.core import GossipNode
from mulleinhatch.instance.gossip.messages import GossipMessage
from mulleinhatch.instance.maintenance import messages
from mulleinhatch.instance.maintenance.messages import (
    InvalidMessageError,
    MaintenanceRequestAck,
    MaintenanceRequestMessage,
    PositionQuery,
    PositionReply,
    RegisterRequestMessage,
    RegisterResponseMessage,
    VoterStateQuery,
    VoterStateReply,
)
from mulleinhatch.instance.maintenance.paxos_register import ProposalRound, Voter, VoterState
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest, has_spare_capacity, order
from mulleinhatch.instance.maintenance.table import PermitRefusedError, PermitTable
from mulleinhatch.random_source import RandomSource

QUERY_INTERVAL_S, DISTANT_QUERY_INTERVAL_S = (
    0.5,
    2.0,
)  # seconds between position queries; the longer one applies to distant positions
DISTANT_POSITION = 10  # requests ahead of ours from which the longer interval applies
RESEND_INTERVAL_S = 0.25  # seconds until requests are sent again to voters that have not responded
ROUND_TIMEOUT_S = 3.0  # seconds until a round is abandoned; must be shorter than ABSTENTION_S
ABSTENTION_S = 4.0  # seconds that a voter without state waits: ROUND_TIMEOUT_S and clock drift
BACKOFF_RANGE_S = (0.2, 1.0)  # seconds, drawn uniformly, until the round after a beaten one
REPLY_LIFETIME_S = 3.0  # seconds for which a position reply is valid
REQUEST_LIFETIME_S = 6.0  # seconds for which a voter keeps a request that is not repeated
MAX_REQUESTS = 1000
REQUEST_FOR_OTHERS_TIMEOUT_S = 60.0  # seconds for which unresponsive instances are asked
LOAD_MARGIN = 0.1  # fraction of the load that the others must be able to carry in addition


class MaintenanceState(Enum):
    """State of an instance; the order is the value of the counter `upkeep_state`."""

    SERVING = "serving"
    WAITING = "waiting"  # has a request; it is not its turn yet
    ASKING = "asking"  # a round for a permit is in progress
    GOING = "going"  # holds a permit and is leaving service
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


class ReceivedRequest(NamedTuple):
    """A request that a voter received, and when (monotonic seconds)."""

    request: MaintenanceRequest
    position: float


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
        fleet: GossipNode,
        seed: int,
        now: float,
        voter_state: VoterState | None = None,
        persist: Callable[[VoterState], None] | None = None,
    ) -> None:
        self.bounds, self.fleet, self.name = bounds, fleet, fleet.name
        self._draw = RandomSource(seed).fraction
        self.first = PermitTable(tuple(sorted(bounds.voters)), bounds.most, bounds.zone_most)
        self.known = self.first
        self.voter = (
            Voter(self.name, voter_state or VoterState(), is_abstaining=voter_state is None)
            if self.name in bounds.voters
            else None
        )
        self.persist = persist
        self.started_at = now
        self.voter_replies: dict[str, VoterStateReply] = {}  # by voter, while abstaining
        self.writes: dict[str, int] = {}  # highest write count known, by voter
        self.writes_known_by_voters = 0  # highest write count of ours that others know
        self.requests: dict[str, ReceivedRequest] = {}  # received as a voter, by instance
        self.request: MaintenanceRequest | None = None
        self.state = MaintenanceState.SERVING
        self.fencing_token = 0
        self.replies: dict[str, tuple[PositionReply, float]] = {}
        self.round: ProposalRound | None = None
        self.round_at = self.sent_at = self.asked_at = -1e9
        self.rounds, self.number, self.next_round = 0, 0, now
        self.requested_of_others: dict[
            str, tuple[MaintenanceRequest, float]
        ] = {}  # instances to ask for an operator, and until when
        self.requests_sent_at = now
        self.back_at, self.has_frozen = math.inf, False  # returned and not healthy since; whether we froze the permits
        self.outgoing: list[tuple[str, bytes]] = []
        self.counts: Counter[str] = Counter()
        self.changes: list[tuple[str, str]] = []  # state and reason; the host logs each
        self.wall = 0.0
        self.last_now = now
        fleet.subscribe(self._on_gossip_message)

    def _set_state(self, state: MaintenanceState, why: str) -> None:
        if state is not self.state:
            self.state = state
            self.changes.append((state.value, why))

    # Requests by operators and by the instance itself.

    def ask(self, request: MaintenanceRequest) -> None:
        """Request maintenance for this instance; the latest request counts."""
        self.request = request
        if self.state is MaintenanceState.SERVING:
            self._set_state(MaintenanceState.WAITING, request.kind)

    def request_for_others(self, now: float, requests: list[MaintenanceRequest]) -> None:
        """Ask instances, by the names in the requests, to request maintenance; repeated until they acknowledge."""
        for request in requests:
            if request.name == self.name:
                self.ask(request)
            else:
                self.requested_of_others[request.name] = request, now + REQUEST_FOR_OTHERS_TIMEOUT_S

    def cancel(self) -> None:
        """Withdraw the request if no permit was granted yet; an instance that is out returns by itself."""
        if self.state in (MaintenanceState.WAITING, MaintenanceState.ASKING):
            self._send_to_voters(PositionQuery(cancelled=True))
            self.request, self.round = None, None
            self._set_state(MaintenanceState.SERVING, "cancelled")

    def change(self, now: float, change: Callable[[PermitTable], PermitTable]) -> ProposalRound:
        """Start a round for an operator's change (freeze, bounds, voters, release); its outcome is in the returned round.

        Raises:
            PermitRefusedError: Another round is in progress here.
        """
        if self.round:
            raise PermitRefusedError("a round is under way here: again in a moment")
        return self._begin_round(now, change)

    def current_replies(self, now: float) -> dict[str, PositionReply]:
        """Return the voters' position replies that are recent enough, by voter."""
        return {name: reply for name, (reply, position) in self.replies.items() if now - position <= REPLY_LIFETIME_S}

    # Periodic work.

    def tick(self, now: float, wall: float, is_fit: bool) -> list[tuple[str, bytes]]:
        """Advance by one period and return the datagrams to send, as (instance, bytes).

        The instance must leave service when `state` becomes `GOING`.

        Args:
            now: Monotonic seconds.
            wall: Unix time in seconds.
            fit: Whether the instance passes its own health checks and is warm.
        """
        self.wall, self.last_now = wall, now
        if self.voter and self.voter.is_abstaining:
            self._learn_from_voters(now)
        if self.round:
            self._continue_round(now)
        elif (
            self.state is MaintenanceState.CHECKING
            and is_fit
            and not (self.voter and self.voter.is_abstaining)
            and now >= self.next_round
        ):
            self._set_state(MaintenanceState.RETURNING, "fit")
            self._release_permit(now)
        elif self.state is MaintenanceState.RETURNING and now >= self.next_round:
            self._release_permit(now)
        elif self.state is MaintenanceState.WAITING and now >= self.next_round and self._is_turn(now):
            self._set_state(MaintenanceState.ASKING, "its turn")
            self._begin_round(now, self._request_permit)
        elif (
            self.state is MaintenanceState.CHECKING
            and self.bounds.freeze_after
            and not self.has_frozen
            and (now - self.back_at > self.bounds.freeze_after and now >= self.next_round)
        ):
            # The cause, such as a bad release, may affect the next instances, too.
            self._begin_round(now, self._freeze)
        if self.requested_of_others and now - self.requests_sent_at >= QUERY_INTERVAL_S:
            self._send_maintenance_requests(now)
        places = self._queue_position(now)
        if now - self.asked_at >= (DISTANT_QUERY_INTERVAL_S if places > DISTANT_POSITION else QUERY_INTERVAL_S) and (
            self.request or self.state is not MaintenanceState.SERVING or now - self.started_at < 2.0 * ABSTENTION_S
        ):
            self.asked_at = now
            self._send_to_voters(
                PositionQuery(self.request if self.state in (MaintenanceState.WAITING, MaintenanceState.ASKING) else None)
            )
        for name in [name for name, known in self.requests.items() if now - known.position > REQUEST_LIFETIME_S]:
            del self.requests[name]
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def _release_permit(self, now: float) -> None:
        fence = self.fencing_token
        self._begin_round(now, lambda table: table.release(self.name, fence))

    def _freeze(self, table: PermitTable) -> PermitTable:
        return table if table.frozen else table.freeze(f"{self.name} came back and is not fit")

    def _send_maintenance_requests(self, now: float) -> None:
        self.requests_sent_at = now
        for name, (request, until) in list(self.requested_of_others.items()):
            if now > until:
                del self.requested_of_others[name]
                self.changes.append(("asking", f"{name} does not answer"))
            else:
                self._send(name, MaintenanceRequestMessage(request))

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        """Return and clear the datagrams that received messages gave rise to."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    # As an instance that requests a permit.

    def _current_replies(self, now: float) -> list[PositionReply]:
        return [reply for reply, position in self.replies.values() if now - position <= REPLY_LIFETIME_S]

    def _queue_position(self, now: float) -> int:
        """Return the position reported by the voter that puts this instance furthest back, -1 if none did."""
        return max((reply.place for reply in self._current_replies(now)), default=-1)

    def _is_turn(self, now: float) -> bool:
        """Return whether a majority of the voters reports this instance's turn; an error costs a round, never the bound.

        A voter may list a permit that this instance does not know of: its round was reported as beaten after others had
        completed it. No other instance can use that permit, so it is claimed.
        """
        if any(reply.fencing_token for reply in self._current_replies(now)):
            return True
        turns = [0 <= reply.place < reply.may_go for reply in self._current_replies(now)]
        return 2 * sum(turns) > len(self.known.voters) and self._can_others_carry_load(now)

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

    def _begin_round(self, now: float, change: Callable[[PermitTable], PermitTable]) -> ProposalRound:
        self.rounds += 1
        self.number += 1
        self.counts["rounds"] += 1
        self.round = ProposalRound(
            f"{self.name}.{self.fleet.members.process_epoch}.{self.rounds}"[-60:], self.number, self.known, change
        )
        self.round_at = now
        self._send_round_requests(now)
        return self.round

    def _send_round_requests(self, now: float) -> None:
        self.sent_at = now
        for voter, ask in self.round.pending_requests():
            self._send(voter, RegisterRequestMessage(ask, self.rounds))

    def _continue_round(self, now: float) -> None:
        if now - self.round_at >= ROUND_TIMEOUT_S:
            self.counts["rounds_given_up"] += 1
            self._abandon_round(now, "no majority answers")
        elif now - self.sent_at >= RESEND_INTERVAL_S:
            self._send_round_requests(now)

    def _abandon_round(self, now: float, why: str) -> None:
        self.round, self.next_round = None, now + BACKOFF_RANGE_S[0] + (BACKOFF_RANGE_S[1] - BACKOFF_RANGE_S[0]) * self._draw()
        if self.state is MaintenanceState.ASKING:
            self._set_state(MaintenanceState.WAITING, why)

    def _on_register_response(self, now: float, response: RegisterResponseMessage) -> None:
        current_round = self.round
        self.writes[response.answer.voter] = max(response.answer.writes, self.writes.get(response.answer.voter, 0))
        if current_round is None or response.number != self.rounds:
            return
        was_preparing = current_round.table is None
        current_round.handle_response(response.answer)
        if not current_round.outcome:
            if was_preparing and current_round.table is not None:
                self._send_round_requests(now)
            return
        self.counts[f"rounds_{current_round.outcome}"] += 1
        self.number = max(self.number, current_round.highest)
        if current_round.outcome in ("moved", "refused"):
            self.known = current_round.known
        if current_round.outcome != "agreed":
            self._abandon_round(now, current_round.why)
            return
        self.known, self.round = current_round.table, None
        permit = current_round.table.permit(self.name)
        if self.state is MaintenanceState.ASKING and permit:
            self.fencing_token = permit.fence
            self._set_state(MaintenanceState.GOING, f"permit {permit.fence}")
        elif self.state is MaintenanceState.CHECKING:
            self.has_frozen = bool(current_round.table.frozen)
        elif self.state is MaintenanceState.RETURNING and not permit:
            self.fencing_token, self.request, self.back_at, self.has_frozen = 0, None, math.inf, False
            self._set_state(MaintenanceState.SERVING, "permit given back")

    # Messages.

    def _send(self, name: str, message: messages.MaintenanceMessage) -> None:
        if name == self.name:
            self._on_message(self.last_now, name, message)
            return
        try:
            self.outgoing += self.fleet.message_to(self.last_now, name, extension=messages.encode(message))
        except InvalidMessageError as error:
            self.counts[f"words_{error}".replace(" ", "_")] += 1

    def _send_to_voters(self, message: messages.MaintenanceMessage) -> None:
        for voter in self.known.voters:
            self._send(voter, message)

    def _on_gossip_message(self, now: float, gossip_message: GossipMessage) -> None:
        if gossip_message.extension:
            self.last_now = now
            try:
                self._on_message(now, gossip_message.sender, messages.decode(gossip_message.extension))
            except InvalidMessageError:
                self.counts["words_unfit"] += 1

    def _on_message(self, now: float, sender: str, message: messages.MaintenanceMessage) -> None:
        self.last_now = now
        if isinstance(message, PositionReply):
            self._on_position_reply(now, sender, message)
        elif isinstance(message, RegisterResponseMessage):
            self._on_register_response(now, message)
        elif isinstance(message, VoterStateReply):
            self.voter_replies[sender] = message
        elif isinstance(message, MaintenanceRequestMessage):
            if self.request is None or message.request.asked > self.request.asked:
                self.ask(message.request._replace(name=self.name, zone=self.bounds.zone))
            self._send(sender, MaintenanceRequestAck(message.request.asked))
        elif isinstance(message, MaintenanceRequestAck):
            if sender in self.requested_of_others and self.requested_of_others[sender][0].asked == message.asked:
                del self.requested_of_others[sender]
        elif self.voter is None:
            self.counts["words_to_no_voter"] += 1
        elif isinstance(message, PositionQuery):
            self._on_position_query(now, sender, message)
        elif isinstance(message, VoterStateQuery):
            self._send(sender, VoterStateReply(self.voter.voter_state, self.voter.is_abstaining))
        elif isinstance(message, RegisterRequestMessage):
            before = self.voter.voter_state
            answer = self.voter.handle_request(message.ask)
            if answer is None:
                self.counts["asks_abstained"] += 1
                return
            if self.voter.voter_state != before and not self._persist_voter_state(before):
                return
            self._send(sender, RegisterResponseMessage(answer, message.number))

    def _persist_voter_state(self, before: VoterState) -> bool:
        """Persist the voter's state before it is sent; return whether that succeeded.

        On a disk error the promise is withdrawn and nothing is sent.
        """
        try:
            if self.persist:
                self.persist(self.voter.voter_state)
        except OSError as error:
            self.voter.voter_state = before
            self.counts["keeps_failed"] += 1
            self.changes.append(("voter", f"disk: {error}"))
            return False
        return True

    def _on_position_reply(self, now: float, sender: str, reply: PositionReply) -> None:
        self.replies[sender] = reply, now
        self.writes[sender] = max(reply.writes, self.writes.get(sender, 0))
        self.number, self.writes_known_by_voters = (
            max(self.number, reply.number),
            max(self.writes_known_by_voters, reply.your_writes),
        )
        if self.voter and not self.voter.is_abstaining and reply.your_writes > self.voter.voter_state.writes:
            # Others know of more writes than our disk holds: it was restored, and later promises are lost.
            self.counts["disk_set_back"] += 1
            self.changes.append(
                ("voter", f"our disk was set back: {self.voter.voter_state.writes} of {reply.your_writes} writes")
            )
            self.voter.is_abstaining, self.started_at, self.voter_replies = True, now, {}
        if reply.fencing_token and self.state is MaintenanceState.SERVING:
            self.fencing_token = max(self.fencing_token, reply.fencing_token)
            self.back_at = now
            self._set_state(MaintenanceState.CHECKING, f"we hold permit {reply.fencing_token}")
        elif reply.fencing_token > self.fencing_token and self.state in (MaintenanceState.CHECKING, MaintenanceState.RETURNING):
            self.fencing_token = reply.fencing_token

    # As a voter.

    def _on_position_query(self, now: float, sender: str, query: PositionQuery) -> None:
        if query.cancelled:
            self.requests.pop(sender, None)
        elif query.request and (sender in self.requests or len(self.requests) < MAX_REQUESTS):
            self.requests[sender] = ReceivedRequest(query.request._replace(name=sender), now)
        else:
            self.requests.pop(sender, None)
        table = self.voter.voter_state.table or self.first
        zones = Counter(permit.zone for permit in table.out)
        places = order(
            [known.request for known in self.requests.values()], [permit.name for permit in table.out], dict(zones), self.wall
        )
        allowed = [place for place in places if place.is_allowed]
        position, why = next(
            ((position, place.reasons) for position, place in enumerate(allowed) if place.request.name == sender), (-1, ())
        )
        if position < 0:
            why = next((place.reasons for place in places if place.request.name == sender), ())
        permit = table.permit(sender)
        available_permits = 0 if table.frozen or self.voter.is_abstaining else max(0, table.most - len(table.out))
        if available_permits and position >= 0 and zones[allowed[position].request.zone] >= table.zone_most:
            available_permits = 0
        self._send(
            sender,
            PositionReply(
                permit.fence if permit else 0,
                position,
                len(allowed),
                available_permits,
                ", ".join(why)[:120],
                table.version if self.voter.voter_state.table else 0,
                self.writes.get(sender, 0),
                self.voter.voter_state.writes,
                table.frozen,
                self.voter.voter_state.promised.number,
            ),
        )

    def _learn_from_voters(self, now: float) -> None:
        """Restore a voter that lost its state from a majority of the others, once no earlier round can be in progress.

        A group that starts for the first time has nothing to restore: all other voters report that they have no table.
        """
        others = [voter for voter in self.first.voters if voter != self.name]
        if now - self.asked_at >= QUERY_INTERVAL_S:
            for voter in others:
                self._send(voter, VoterStateQuery())
        if now - self.started_at < ABSTENTION_S:
            return
        voter_states = [reply.voter_state for reply in self.voter_replies.values() if not reply.empty]
        if all(voter in self.voter_replies and self.voter_replies[voter].voter_state.table is None for voter in others):
            promised = max(
                [reply.voter_state.promised for reply in self.voter_replies.values()], default=self.voter.voter_state.promised
            )
            voter_state = self.voter.voter_state
            self.voter.voter_state = voter_state._replace(
                promised=max(promised, voter_state.promised), writes=max(voter_state.writes, self.writes_known_by_voters) + 1
            )
            self.voter.is_abstaining = False
            self.changes.append(("voter", "begins: no voter keeps a table"))
        elif self.voter.learn(voter_states, len(self.first.voters), self.writes_known_by_voters):
            self.changes.append(("voter", f"learned what {len(voter_states)} others keep"))
        if not self.voter.is_abstaining and not self._persist_voter_state(VoterState()):
            self.voter.is_abstaining = True
