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


def proposal_sort_key(proposal_number: ProposalNumber) -> tuple[int, str]:
    return proposal_number.number, proposal_number.proposer


def identities(members: Iterable[Member]) -> tuple[str, ...]:
    return tuple(member.identity for member in members)


def majority_size(view: View) -> int:
    """How many voters of a view are more than half."""
    return len(view.voters) // 2 + 1


def find_member(members: Iterable[Member], identity: str) -> Member | None:
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

    def _may_vote_on(self, base: View) -> bool:
        """Whether a request builds on our view and we vote in it."""
        self.learn(base)
        return base.epoch == self.view.epoch and self.identity in identities(self.view.voters)

    def prepare(self, request: PrepareRequest) -> VoteResponse:
        if not self._may_vote_on(request.base) or proposal_sort_key(request.proposal_number) < proposal_sort_key(
            self.state.promised
        ):
            return self._answer(False)
        state = self.state
        self.state = VoterState(
            view=state.view, promised=request.proposal_number, accepted=state.accepted, accepted_view=state.accepted_view
        )
        return self._answer(True)

    def accept(self, request: AcceptRequest) -> VoteResponse:
        if not self._may_vote_on(request.base) or proposal_sort_key(request.proposal_number) < proposal_sort_key(
            self.state.promised
        ):
            return self._answer(False)
        self.state = VoterState(
            view=self.state.view,
            promised=request.proposal_number,
            accepted=request.proposal_number,
            accepted_view=request.proposed,
        )
        return self._answer(True)

    def confirms_epoch(self, epoch: int) -> bool:
        """Whether `epoch` is the newest view known and no later one was accepted here."""
        return self.view.epoch == epoch and not self.state.accepted.number and self.identity in identities(self.view.voters)


class ProposalOutcome(Enum):
    RUNNING = "running"
    DECIDED = "decided"
    PREEMPTED = "preempted"  # try again with a higher ballot
    SUPERSEDED = "superseded"  # a newer view stands


@dataclass
class Proposal:
    """One try to have a view view_to_accept after `base`. Answers come through `prepared` and `accepted`."""

    base: View
    proposal_number: ProposalNumber
    proposed_view: View
    outcome: ProposalOutcome = ProposalOutcome.RUNNING
    newest: View = field(default_factory=View)
    highest_number: int = 0
    _promises: dict[str, VoteResponse] = field(default_factory=dict)
    _accepts: set[str] = field(default_factory=set)
    _rejections: set[str] = field(default_factory=set)
    view_to_accept: View | None = None  # what the accept phase asks for

    def __post_init__(self) -> None:
        self.highest_number = self.proposal_number.number

    def _is_countable(self, answer: VoteResponse) -> bool:
        self.highest_number = max(self.highest_number, answer.promised.number)
        if answer.newest.epoch > self.base.epoch:
            self.newest, self.outcome = answer.newest, ProposalOutcome.SUPERSEDED
        return self.outcome is ProposalOutcome.RUNNING and answer.voter in identities(self.base.voters)

    def _count_rejection(self, answer: VoteResponse) -> None:
        self._rejections.add(answer.voter)
        if len(self._rejections) > len(self.base.voters) - majority_size(self.base):
            self.outcome = ProposalOutcome.PREEMPTED

    def on_prepare_response(self, answer: VoteResponse) -> bool:
        """Whether the accept phase begins with this answer; `view_to_accept` is then what to ask for."""
        if not self._is_countable(answer) or self.view_to_accept is not None:
            return False
        if not answer.granted:
            self._count_rejection(answer)
            return False
        self._promises[answer.voter] = answer
        if len(self._promises) < majority_size(self.base):
            return False
        latest = max(self._promises.values(), key=lambda promise: proposal_sort_key(promise.accepted))
        self.view_to_accept = latest.accepted_view if latest.accepted.number else self.proposed_view
        self._rejections.clear()
        return True

    def on_accept_response(self, answer: VoteResponse) -> bool:
        """Whether the view is decided with this answer."""
        if not self._is_countable(answer) or self.view_to_accept is None:
            return False
        if not answer.granted:
            self._count_rejection(answer)
            return False
        self._accepts.add(answer.voter)
        if len(self._accepts) < majority_size(self.base):
            return False
        self.outcome = ProposalOutcome.DECIDED
        return True
