"""One agreed table without a leader or a log: CASPaxos (Rystsov 2018), a register that changes by a function of its value.

A round has two steps. `prepare` asks the voters to promise not to listen to earlier ballots, and learns the latest table that
any of a majority accepted; the change is made on that; `accept` asks them to take the result. A table that a majority took is
agreed, whoever dies, and the next round of anybody learns it. What a voter promised or took is durable before it is said:
`Voter` gives what is to be written, and its answer goes out after. Words may be lost, repeated, late and out of order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from mulleinhatch.instance.maintenance.table import PermitRefusedError, PermitTable


class ProposalNumber(NamedTuple):
    number: int
    name: str


NO_PROPOSAL = ProposalNumber(0, "")


class VoterState(NamedTuple):
    """What must outlive a voter's restart. `writes` grows with each: a disk that was set back is known by it."""

    promised: ProposalNumber = NO_PROPOSAL
    accepted: ProposalNumber = NO_PROPOSAL
    table: PermitTable | None = None
    writes: int = 0


class RegisterRequest(NamedTuple):
    proposal: ProposalNumber
    table: PermitTable | None = None  # to be taken; None: a promise is asked for
    first: PermitTable | None = None  # the table that the operator's file names, for who has none yet


class RegisterResponse(NamedTuple):
    voter: str
    proposal: ProposalNumber  # that it answers
    taken: bool  # of a prepare: promised; of an accept: accepted
    accept: bool
    promised: ProposalNumber  # the highest it gave
    accepted: ProposalNumber = NO_PROPOSAL
    table: PermitTable | None = None
    writes: int = 0


class Voter:
    """
    >>> voter = Voter("a", VoterState()); first = PermitTable(voters=("a",), most=1, zone_most=1)
    >>> voter.handle_request(RegisterRequest(ProposalNumber(2, "x"), first=first)).taken, voter.handle_request(RegisterRequest(ProposalNumber(1, "y"), first=first)).taken
    (True, False)
    >>> voter.handle_request(RegisterRequest(ProposalNumber(2, "x"), table=first.grant("n", "z", "w"))).taken, voter.voter_state.table.out[0].name, voter.voter_state.writes
    (True, 'n', 2)
    """

    def __init__(self, name: str, voter_state: VoterState, is_abstaining: bool = False) -> None:
        """`is_abstaining`: it lost what it promised (no disk, or one that was set back), until `learn`."""
        self.name, self.voter_state, self.is_abstaining = name, voter_state, is_abstaining

    def _may_promise(self, proposal: ProposalNumber) -> bool:
        return proposal >= self.voter_state.promised

    def handle_request(self, ask: RegisterRequest) -> RegisterResponse | None:
        """The answer, to be said once `voter_state` is durable; None while it abstains."""
        if self.is_abstaining:
            return None
        voter_state, accept = self.voter_state, ask.table is not None
        taken = self._may_promise(ask.proposal)
        if taken and accept:
            self.voter_state = VoterState(ask.proposal, ask.proposal, ask.table, voter_state.writes + 1)
        elif taken and ask.proposal > voter_state.promised:
            self.voter_state = voter_state._replace(promised=ask.proposal, writes=voter_state.writes + 1)
        return RegisterResponse(
            self.name,
            ask.proposal,
            taken,
            accept,
            self.voter_state.promised,
            voter_state.accepted,
            voter_state.table,
            self.voter_state.writes,
        )

    def learn(self, told: list[VoterState], voters: int, writes: int = 0) -> bool:
        """What others keep, when it abstains: enough are a majority without it. Safe once no round is under way that it may
        have promised something to: the caller waits for as long as a round may last, and the drift of clocks. `writes` are the
        most that others remember of it."""
        if 2 * len(told) <= voters:
            return False
        promised = max(voter_state.promised for voter_state in told)
        best = max(told, key=lambda voter_state: voter_state.accepted)
        self.voter_state = VoterState(
            max(promised, self.voter_state.promised), best.accepted, best.table, max(writes, self.voter_state.writes) + 1
        )
        self.is_abstaining = False
        return True


class ProposalRound:
    """One proposer's try. `pending_requests` are due to the voters when it begins and whenever it says so; `outcome` is the outcome.

    >>> first = PermitTable(voters=("a", "b", "c"), most=1, zone_most=1)
    >>> voters = {name: Voter(name, VoterState()) for name in first.voters}
    >>> one = ProposalRound("n", 1, first, lambda table: table.grant("n", "z", "kernel"))
    >>> while not one.outcome:
    ...     for name, ask in one.pending_requests():
    ...         one.handle_response(voters[name].handle_request(ask))
    >>> one.outcome, one.table.permit("n").fence
    ('agreed', 1)
    """

    def __init__(self, name: str, number: int, known: PermitTable, change: Callable[[PermitTable], PermitTable]) -> None:
        """`name` is new with each life, or two tables could go under one ballot. `known`: the latest table
        heard of, which names the voters; `number` above all that were seen."""
        self.proposal, self.known, self.change = ProposalNumber(number, name), known, change
        self.table: PermitTable | None = None  # what is proposed, and in the end agreed
        self.answers: dict[str, RegisterResponse] = {}
        self.outcome = ""  # agreed, refused, beaten (try again with a higher number), moved (other voters)
        self.why = ""
        self.highest = number  # of the ballots seen

    def pending_requests(self) -> list[tuple[str, RegisterRequest]]:
        """To the voters that have not answered this step."""
        ask = RegisterRequest(self.proposal, self.table, None if self.table else self.known)
        return [] if self.outcome else [(voter, ask) for voter in self.known.voters if voter not in self.answers]

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.known.voters)

    def _matches_current_phase(self, answer: RegisterResponse) -> bool:
        """To the step we are in: a late word of the one before must not count."""
        return (
            answer.proposal == self.proposal and answer.accept is (self.table is not None) and answer.voter in self.known.voters
        )

    def handle_response(self, answer: RegisterResponse | None) -> None:
        if answer is None or self.outcome or not self._matches_current_phase(answer):
            return
        self.highest = max(self.highest, answer.promised.number)
        self.answers[answer.voter] = answer
        taken = [one for one in self.answers.values() if one.taken]
        if not self._is_majority(len(taken)):
            if self._is_majority(len(self.answers) - len(taken)):
                self.outcome, self.why = "beaten", f"ballot {self.highest} was asked for"
            return
        if self.table is not None:
            self.outcome = "agreed"
            return
        latest = max(taken, key=lambda one: one.accepted)
        table = latest.table or self.known
        if table.epoch > self.known.epoch:
            self.known, self.outcome, self.why = table, "moved", f"epoch {table.epoch} has other voters"
            return
        try:
            self.table, self.answers = self.change(table), {}
        except PermitRefusedError as error:
            self.known, self.outcome, self.why = table, "refused", str(error)
