"""A replicated register without a leader or a log: CASPaxos.

A round has two phases. In the prepare phase a proposer asks the voters to promise that they ignore lower proposal numbers, and
learns the latest table that any of a majority accepted. It applies its change to that table and asks the voters to accept the
result. A table accepted by a majority is agreed whatever crashes, and the next round of any proposer learns it. A voter
persists a promise or an accepted table before it responds. Messages may be lost, duplicated, delayed and reordered.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from mulleinhatch.instance.maintenance.table import PermitRefusedError, PermitTable


class ProposalNumber(NamedTuple):
    """Proposal number, ordered by `number` and then by the proposer's `name`."""

    number: int
    name: str


NO_PROPOSAL = ProposalNumber(0, "")


class VoterState(NamedTuple):
    """A voter's durable state (the acceptor state of Paxos).

    Stored as a MessagePack array: the order of the fields is part of the file format.

    Attributes:
        promised: Highest proposal number promised.
        accepted: Proposal number of `table`.
        table: Accepted table, None before the first.
        writes: Number of writes. A count lower than the other voters know reveals a disk that was restored from a backup.
    """

    promised: ProposalNumber = NO_PROPOSAL
    accepted: ProposalNumber = NO_PROPOSAL
    table: PermitTable | None = None
    writes: int = 0


class RegisterRequest(NamedTuple):
    """A prepare request (`table` is None) or an accept request.

    Attributes:
        proposal: Number of the proposal.
        table: Table to accept; None in the prepare phase.
        first: Initial table from the operator's file, for a voter that has none yet.
    """

    proposal: ProposalNumber
    table: PermitTable | None = None
    first: PermitTable | None = None


class RegisterResponse(NamedTuple):
    """A voter's response to a `RegisterRequest`.

    Attributes:
        voter: Name of the voter.
        proposal: Proposal number of the request.
        is_granted: Whether the voter promised (prepare) or accepted (accept).
        accept: Whether the request was an accept request.
        promised: Highest proposal number that the voter has promised.
        accepted: Proposal number of `table`.
        table: Table the voter had accepted before the request.
        writes: Number of the voter's writes.
    """

    voter: str
    proposal: ProposalNumber
    is_granted: bool
    accept: bool
    promised: ProposalNumber
    accepted: ProposalNumber = NO_PROPOSAL
    table: PermitTable | None = None
    writes: int = 0


class Voter:
    """A voter (the acceptor of Paxos).

    Args:
        name: Name of the voter.
        voter_state: State read from disk.
        is_abstaining: The voter lost its promises (no disk, or a restored one). It does not respond until `learn` succeeds.

    >>> voter = Voter("a", VoterState()); first = PermitTable(voters=("a",), most=1, zone_most=1)
    >>> higher, lower = ProposalNumber(2, "x"), ProposalNumber(1, "y")
    >>> [voter.handle_request(RegisterRequest(proposal, first=first)).is_granted for proposal in (higher, lower)]
    [True, False]
    >>> accepted = voter.handle_request(RegisterRequest(higher, table=first.grant("n", "z", "w")))
    >>> accepted.is_granted, voter.voter_state.table.out[0].name, voter.voter_state.writes
    (True, 'n', 2)
    """

    def __init__(self, name: str, voter_state: VoterState, is_abstaining: bool = False) -> None:
        self.name, self.voter_state, self.is_abstaining = name, voter_state, is_abstaining

    def _may_promise(self, proposal: ProposalNumber) -> bool:
        return proposal >= self.voter_state.promised

    def handle_request(self, request: RegisterRequest) -> RegisterResponse | None:
        """Handle a request and return the response, or None while abstaining.

        The caller persists `voter_state` before it sends the response.
        """
        if self.is_abstaining:
            return None
        voter_state, accept = self.voter_state, request.table is not None
        is_granted = self._may_promise(request.proposal)
        if is_granted and accept:
            self.voter_state = VoterState(request.proposal, request.proposal, request.table, voter_state.writes + 1)
        elif is_granted and request.proposal > voter_state.promised:
            self.voter_state = voter_state._replace(promised=request.proposal, writes=voter_state.writes + 1)
        return RegisterResponse(
            self.name,
            request.proposal,
            is_granted,
            accept,
            self.voter_state.promised,
            voter_state.accepted,
            voter_state.table,
            self.voter_state.writes,
        )

    def learn(self, states: list[VoterState], voters: int, writes: int = 0) -> bool:
        """Restore an abstaining voter from the states of other voters.

        It is safe only when no round is in progress to which this voter may have promised something: the caller first waits
        for the maximum duration of a round plus the clock drift.

        Args:
            states: States of other voters.
            voters: Number of voters in total.
            writes: Highest write count of this voter that the others remember.

        Returns:
            False if `states` are not a majority of the voters.
        """
        if 2 * len(states) <= voters:
            return False
        promised = max(voter_state.promised for voter_state in states)
        best = max(states, key=lambda voter_state: voter_state.accepted)
        self.voter_state = VoterState(
            max(promised, self.voter_state.promised), best.accepted, best.table, max(writes, self.voter_state.writes) + 1
        )
        self.is_abstaining = False
        return True


class ProposalRound:
    """One attempt of a proposer to change the table.

    Send `pending_requests` at the start, after a change of phase, and repeatedly until the round has an `outcome`: "agreed",
    "refused" (the change is not allowed), "beaten" (retry with a higher number) or "moved" (the voters changed); "" while in
    progress.

    Args:
        name: Proposer's name. It must differ between incarnations; otherwise two tables could share one proposal number.
        number: Proposal number, higher than all numbers seen.
        known: Latest table known; it names the voters.
        change: Returns the changed table or raises `PermitRefusedError`.

    >>> first = PermitTable(voters=("a", "b", "c"), most=1, zone_most=1)
    >>> voters = {name: Voter(name, VoterState()) for name in first.voters}
    >>> started = ProposalRound("n", 1, first, lambda table: table.grant("n", "z", "kernel"))
    >>> while not started.outcome:
    ...     for name, request in started.pending_requests():
    ...         started.handle_response(voters[name].handle_request(request))
    >>> started.outcome, started.table.permit("n").fence
    ('agreed', 1)
    """

    def __init__(self, name: str, number: int, known: PermitTable, change: Callable[[PermitTable], PermitTable]) -> None:
        self.proposal, self.known, self.change = ProposalNumber(number, name), known, change
        self.table: PermitTable | None = None  # proposed, and finally agreed, table
        self.responses: dict[str, RegisterResponse] = {}
        self.outcome = ""
        self.why = ""
        self.highest = number  # highest proposal number seen

    def pending_requests(self) -> list[tuple[str, RegisterRequest]]:
        """Return the requests of the current phase for the voters that have not responded."""
        request = RegisterRequest(self.proposal, self.table, None if self.table else self.known)
        return [] if self.outcome else [(voter, request) for voter in self.known.voters if voter not in self.responses]

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.known.voters)

    def _matches_current_phase(self, response: RegisterResponse) -> bool:
        """Return whether a response belongs to the current phase; a delayed response to the previous phase must not count."""
        return (
            response.proposal == self.proposal
            and response.accept is (self.table is not None)
            and response.voter in self.known.voters
        )

    def handle_response(self, response: RegisterResponse | None) -> None:
        """Process a voter's response (None: it abstained) and move to the next phase or to an outcome."""
        if response is None or self.outcome or not self._matches_current_phase(response):
            return
        self.highest = max(self.highest, response.promised.number)
        self.responses[response.voter] = response
        granted = [received for received in self.responses.values() if received.is_granted]
        if not self._is_majority(len(granted)):
            if self._is_majority(len(self.responses) - len(granted)):
                self.outcome, self.why = "beaten", f"another proposer used number {self.highest}"
            return
        if self.table is not None:
            self.outcome = "agreed"
            return
        latest = max(granted, key=lambda response: response.accepted)
        table = latest.table or self.known
        if table.epoch > self.known.epoch:
            self.known, self.outcome, self.why = table, "moved", f"the set of voters changed in epoch {table.epoch}"
            return
        try:
            self.table, self.responses = self.change(table), {}
        except PermitRefusedError as error:
            self.known, self.outcome, self.why = table, "refused", str(error)
