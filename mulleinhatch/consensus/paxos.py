"""How voters agree on the view that follows one they know: single-decree Paxos, one instance an epoch.

The voters of view N choose view N + 1. A voter's promise and what it accepted are durable before they are said. A
decided view is
told with every message; who learns one goes over to it and forgets the instance that chose it. A disk's identity is the voter:
an emptied disk has another identity, so that nobody votes who forgot.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from mulleinhatch.messages.cluster import AcceptRequest, Member, PrepareRequest, ProposalNumber, View, VoteResponse, VoterState


def order(proposal_number: ProposalNumber) -> tuple[int, str]:
    return proposal_number.number, proposal_number.proposer


def identities(members: Iterable[Member]) -> tuple[str, ...]:
    return tuple(member.identity for member in members)


def majority(view: View) -> int:
    """How many voters of a view are more than half."""
    return len(view.voters) // 2 + 1


def member_of(members: Iterable[Member], identity: str) -> Member | None:
    return next((member for member in members if member.identity == identity), None)


class Voter:
    """The durable part of one core machine's say in views.

    Methods change `state`; the caller syncs it before the answer goes out."""

    def __init__(self, identity: str, state: VoterState) -> None:
        self.identity, self.state = identity, state

    @property
    def view(self) -> View:
        return self.state.view

    def learn(self, view: View) -> bool:
        """Goes over to a decided view if it is newer; whether it was."""
        if view.epoch <= self.view.epoch:
            return False
        self.state = VoterState(view=view)
        return True

    def _answer(self, granted: bool) -> VoteResponse:
        state = self.state
        return VoteResponse(
            voter=self.identity,
            granted=granted,
            promised=state.promised,
            accepted=state.accepted,
            accepted_view=state.accepted_view,
            newest=state.view,
        )

    def _votes(self, base: View) -> bool:
        """Whether a request builds on our view and we vote in it."""
        self.learn(base)
        return base.epoch == self.view.epoch and self.identity in identities(self.view.voters)

    def prepare(self, request: PrepareRequest) -> VoteResponse:
        if not self._votes(request.base) or order(request.proposal_number) < order(self.state.promised):
            return self._answer(False)
        state = self.state
        self.state = VoterState(
            view=state.view, promised=request.proposal_number, accepted=state.accepted, accepted_view=state.accepted_view
        )
        return self._answer(True)

    def accept(self, request: AcceptRequest) -> VoteResponse:
        if not self._votes(request.base) or order(request.proposal_number) < order(self.state.promised):
            return self._answer(False)
        self.state = VoterState(
            view=self.state.view,
            promised=request.proposal_number,
            accepted=request.proposal_number,
            accepted_view=request.proposed,
        )
        return self._answer(True)

    def undisturbed(self, epoch: int) -> bool:
        """Whether `epoch` is the newest view known and no later one was accepted here."""
        return self.view.epoch == epoch and not self.state.accepted.number and self.identity in identities(self.view.voters)


class Outcome(Enum):
    RUNNING = "running"
    DECIDED = "decided"
    OUTBID = "outbid"  # try again with a higher ballot
    OVERTAKEN = "overtaken"  # a newer view stands


@dataclass
class Proposal:
    """One try to have a view chosen after `base`. Answers come through `prepared` and `accepted`."""

    base: View
    proposal_number: ProposalNumber
    wanted: View
    outcome: Outcome = Outcome.RUNNING
    newest: View = field(default_factory=View)
    highest: int = 0
    _promises: dict[str, VoteResponse] = field(default_factory=dict)
    _accepts: set[str] = field(default_factory=set)
    _refusals: set[str] = field(default_factory=set)
    chosen: View | None = None  # what the accept phase asks for

    def __post_init__(self) -> None:
        self.highest = self.proposal_number.number

    def _counts(self, answer: VoteResponse) -> bool:
        self.highest = max(self.highest, answer.promised.number)
        if answer.newest.epoch > self.base.epoch:
            self.newest, self.outcome = answer.newest, Outcome.OVERTAKEN
        return self.outcome is Outcome.RUNNING and answer.voter in identities(self.base.voters)

    def _refused(self, answer: VoteResponse) -> None:
        self._refusals.add(answer.voter)
        if len(self._refusals) > len(self.base.voters) - majority(self.base):
            self.outcome = Outcome.OUTBID

    def prepared(self, answer: VoteResponse) -> bool:
        """Whether the accept phase begins with this answer; `chosen` is then what to ask for."""
        if not self._counts(answer) or self.chosen is not None:
            return False
        if not answer.granted:
            self._refused(answer)
            return False
        self._promises[answer.voter] = answer
        if len(self._promises) < majority(self.base):
            return False
        latest = max(self._promises.values(), key=lambda promise: order(promise.accepted))
        self.chosen = latest.accepted_view if latest.accepted.number else self.wanted
        self._refusals.clear()
        return True

    def accepted(self, answer: VoteResponse) -> bool:
        """Whether the view is decided with this answer."""
        if not self._counts(answer) or self.chosen is None:
            return False
        if not answer.granted:
            self._refused(answer)
            return False
        self._accepts.add(answer.voter)
        if len(self._accepts) < majority(self.base):
            return False
        self.outcome = Outcome.DECIDED
        return True
