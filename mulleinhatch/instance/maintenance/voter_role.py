"""The voter of coordinated maintenance: it answers queries and rounds, and persists its state before each response."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from mulleinhatch.instance.maintenance.messages import (
    PositionQuery,
    PositionReply,
    RegisterRequestMessage,
    RegisterResponseMessage,
    VoterStateQuery,
    VoterStateReply,
)
from mulleinhatch.instance.maintenance.messenger import MaintenanceMessenger
from mulleinhatch.instance.maintenance.paxos_register import Voter, VoterState
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest, QueuePosition, order
from mulleinhatch.instance.maintenance.table import PermitTable

ABSTENTION_S = 4.0  # seconds that a voter without state abstains: longer than ROUND_TIMEOUT_S, allowing for clock drift
REQUEST_LIFETIME_S = 6.0  # seconds after which a voter drops a request that is not repeated
MAX_REQUESTS = 1000
MAX_REASONS_LENGTH = 120  # characters of a position reply's reasons

StateChangeListener = Callable[[str, str], None]  # state and reason, for the log


class ReceivedRequest(NamedTuple):
    """A request that a voter received, and its arrival in monotonic seconds."""

    request: MaintenanceRequest
    received_at: float


class VoterRole:
    """Answers as a voter of the permit register.

    Args:
        messenger: Transport of the responses.
        initial_table: Table used until the voters agree on another one; it names the voters.
        now: Monotonic seconds.
        voter_state: State read from disk; None if there is none, and the voter abstains until it has learned the others' state.
        persist: Writes the state durably; None without a disk.
        on_state_change: Called with each event to be logged.
    """

    def __init__(
        self,
        messenger: MaintenanceMessenger,
        initial_table: PermitTable,
        now: float,
        voter_state: VoterState | None,
        persist: Callable[[VoterState], None] | None,
        on_state_change: StateChangeListener,
    ) -> None:
        self.messenger, self.initial_table = messenger, initial_table
        self.persist, self.on_state_change = persist, on_state_change
        self.counts: Counter[str] = messenger.counts
        self.voter = Voter(messenger.name, voter_state or VoterState(), is_abstaining=voter_state is None)
        self.abstaining_since = now  # monotonic seconds; only used while abstaining
        self.state_replies: dict[str, VoterStateReply] = {}  # by voter, while abstaining
        self.write_counts: dict[str, int] = {}  # highest write count known, by voter
        self.writes_known_by_voters = 0  # highest write count of this voter that others know
        self.requests: dict[str, ReceivedRequest] = {}  # by instance

    @property
    def is_abstaining(self) -> bool:
        """Whether the voter lost its state and has not learned it from the others yet."""
        return self.voter.is_abstaining

    # Queries and rounds of other instances.

    def on_position_query(self, now: float, wall: float, sender: str, query: PositionQuery) -> None:
        """Record or drop the sender's request, and send its position in the order."""
        self._record_request(now, sender, query)
        table = self.voter.voter_state.table or self.initial_table
        occupied = Counter(permit.zone for permit in table.out)
        positions = order(
            [received.request for received in self.requests.values()],
            [permit.name for permit in table.out],
            dict(occupied),
            wall,
        )
        self.messenger.send(sender, self._position_reply(sender, table, occupied, positions))

    def _record_request(self, now: float, sender: str, query: PositionQuery) -> None:
        is_accepted = sender in self.requests or len(self.requests) < MAX_REQUESTS
        if query.request and not query.cancelled and is_accepted:
            self.requests[sender] = ReceivedRequest(query.request._replace(name=sender), now)
        else:
            self.requests.pop(sender, None)

    def _position_reply(
        self, sender: str, table: PermitTable, occupied: Counter[str], positions: list[QueuePosition]
    ) -> PositionReply:
        allowed = [entry for entry in positions if entry.is_allowed]
        position, reasons = next(
            ((index, entry.reasons) for index, entry in enumerate(allowed) if entry.request.name == sender), (-1, ())
        )
        if position < 0:
            reasons = next((entry.reasons for entry in positions if entry.request.name == sender), ())
        available_permits = 0 if table.frozen or self.is_abstaining else max(0, table.most - len(table.out))
        if available_permits and position >= 0 and occupied[allowed[position].request.zone] >= table.zone_most:
            available_permits = 0
        permit = table.permit(sender)
        voter_state = self.voter.voter_state
        return PositionReply(
            permit.fence if permit else 0,
            position,
            len(allowed),
            available_permits,
            ", ".join(reasons)[:MAX_REASONS_LENGTH],
            table.version if voter_state.table else 0,
            self.write_counts.get(sender, 0),
            voter_state.writes,
            table.frozen,
            voter_state.promised.number,
        )

    def on_state_query(self, sender: str) -> None:
        """Send this voter's state to a voter that lost its own."""
        self.messenger.send(sender, VoterStateReply(self.voter.voter_state, self.is_abstaining))

    def on_register_request(self, sender: str, message: RegisterRequestMessage) -> None:
        """Handle a request of a round; the response is sent only after the changed state was persisted."""
        before = self.voter.voter_state
        response = self.voter.handle_request(message.request)
        if response is None:
            self.counts["asks_abstained"] += 1
            return
        if self.voter.voter_state != before and not self._persist_voter_state(before):
            return
        self.messenger.send(sender, RegisterResponseMessage(response, message.number))

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
            self.on_state_change("voter", f"disk: {error}")
            return False
        return True

    def drop_expired_requests(self, now: float) -> None:
        """Drop requests that were not repeated for `REQUEST_LIFETIME_S`."""
        expired = [name for name, received in self.requests.items() if now - received.received_at > REQUEST_LIFETIME_S]
        for name in expired:
            del self.requests[name]

    # State that other voters report.

    def record_write_count(self, voter: str, writes: int) -> None:
        """Record another voter's write count; replies report it, so that the voter detects a restored disk."""
        self.write_counts[voter] = max(writes, self.write_counts.get(voter, 0))

    def detect_restored_disk(self, now: float, own_writes: int) -> bool:
        """Abstain if another voter knows of more of our writes than our disk holds; return whether that is the case.

        Then the disk was restored, and promises made after the backup are lost.
        """
        self.writes_known_by_voters = max(self.writes_known_by_voters, own_writes)
        known_writes = self.voter.voter_state.writes
        if self.is_abstaining or own_writes <= known_writes:
            return False
        self.counts["disk_set_back"] += 1
        self.on_state_change("voter", f"the disk was restored from a backup: {known_writes} of {own_writes} writes")
        self.voter.is_abstaining, self.abstaining_since, self.state_replies = True, now, {}
        return True

    def query_other_voters(self) -> None:
        """Ask the other voters for their state."""
        self.messenger.send_to_all(self._other_voters(), VoterStateQuery())

    def _other_voters(self) -> list[str]:
        return [voter for voter in self.initial_table.voters if voter != self.messenger.name]

    def learn_from_voters(self, now: float) -> None:
        """Restore a voter that lost its state from a majority of the others, once no earlier round can be in progress.

        A group that starts for the first time has nothing to restore: all other voters report that they have no table.
        """
        if now - self.abstaining_since < ABSTENTION_S:
            return
        if self._is_new_group():
            self._start_without_table()
        else:
            voter_states = [reply.voter_state for reply in self.state_replies.values() if not reply.is_empty]
            if self.voter.learn(voter_states, len(self.initial_table.voters), self.writes_known_by_voters):
                self.on_state_change("voter", f"restored from the state of {len(voter_states)} voters")
        if not self.is_abstaining and not self._persist_voter_state(VoterState()):
            self.voter.is_abstaining = True

    def _is_new_group(self) -> bool:
        replies = self.state_replies
        return all(voter in replies and replies[voter].voter_state.table is None for voter in self._other_voters())

    def _start_without_table(self) -> None:
        voter_state = self.voter.voter_state
        promised = max((reply.voter_state.promised for reply in self.state_replies.values()), default=voter_state.promised)
        self.voter.voter_state = voter_state._replace(
            promised=max(promised, voter_state.promised),
            writes=max(voter_state.writes, self.writes_known_by_voters) + 1,
        )
        self.voter.is_abstaining = False
        self.on_state_change("voter", "starts a new group: no voter has a table")
