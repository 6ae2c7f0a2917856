"""Agree on the view that follows a known one: single-decree Paxos, one instance per epoch.

The voters of view N choose view N + 1. A voter (Paxos acceptor) persists its promise, and the proposal that it accepted, before
it responds. Every message carries the newest decided view of its sender; a receiver with an older view switches to it and
discards the instance that chose it. The identity of a voter belongs to its disk: a wiped disk gets a new identity, so that a
voter that lost its promises cannot vote.

Source: L. Lamport, "Paxos Made Simple" (2001), section 2.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from mulleinhatch.messages.cluster import AcceptRequest, Member, PrepareRequest, ProposalNumber, View, VoteResponse, VoterState


def proposal_sort_key(proposal_number: ProposalNumber) -> tuple[int, str]:
    """Return the key that orders proposal numbers: by number, and by proposer where two numbers are equal."""
    return proposal_number.number, proposal_number.proposer


def identities(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the identities of members, in their order."""
    return tuple(member.identity for member in members)


def majority_size(view: View) -> int:
    """Return the smallest number of voters that is a majority of a view."""
    return len(view.voters) // 2 + 1


def find_member(members: Iterable[Member], identity: str) -> Member | None:
    """Return the member with an identity, or None."""
    return next((member for member in members if member.identity == identity), None)


class Voter:
    """One control-plane node as a Paxos acceptor.

    Methods replace `state` and never modify it. The caller persists the new state before it sends the response.

    Args:
        identity: The identity of the node's disk.
        state: The persisted state of the voter.
    """

    def __init__(self, identity: str, state: VoterState) -> None:
        self.identity = identity
        self.state = state

    @property
    def view(self) -> View:
        """The newest decided view that this voter knows."""
        return self.state.view

    def learn(self, view: View) -> bool:
        """Switch to a decided view if it is newer than the known one.

        Returns:
            Whether the view was newer.
        """
        if view.epoch <= self.view.epoch:
            return False
        self.state = VoterState(view=view)
        return True

    def prepare(self, request: PrepareRequest) -> VoteResponse:
        """Promise to accept no lower proposal number (phase 1b), or reject the request."""
        if not self._may_vote(request):
            return self._build_response(granted=False)
        self.state = VoterState(
            view=self.state.view,
            promised=request.proposal_number,
            accepted=self.state.accepted,
            accepted_view=self.state.accepted_view,
        )
        return self._build_response(granted=True)

    def accept(self, request: AcceptRequest) -> VoteResponse:
        """Accept the proposed view (phase 2b), or reject it after a promise to a higher proposal number."""
        if not self._may_vote(request):
            return self._build_response(granted=False)
        self.state = VoterState(
            view=self.state.view,
            promised=request.proposal_number,
            accepted=request.proposal_number,
            accepted_view=request.proposed,
        )
        return self._build_response(granted=True)

    def confirms_epoch(self, epoch: int) -> bool:
        """Return whether this voter may confirm a view as the newest.

        Returns:
            True if `epoch` is the newest known view, this node votes in it and has not accepted a view after it.
        """
        if self.view.epoch != epoch or self.state.accepted.number:
            return False
        return self.identity in identities(self.view.voters)

    def _may_vote(self, request: PrepareRequest | AcceptRequest) -> bool:
        """Learn the request's base view; return whether this node votes after it and has promised no higher number."""
        self.learn(request.base)
        if request.base.epoch != self.view.epoch or self.identity not in identities(self.view.voters):
            return False
        return proposal_sort_key(request.proposal_number) >= proposal_sort_key(self.state.promised)

    def _build_response(self, granted: bool) -> VoteResponse:
        return VoteResponse(
            voter=self.identity,
            granted=granted,
            promised=self.state.promised,
            accepted=self.state.accepted,
            accepted_view=self.state.accepted_view,
            newest=self.state.view,
        )


class ProposalOutcome(Enum):
    """The progress or result of a proposal."""

    RUNNING = "running"
    DECIDED = "decided"  # a majority accepted: the view is in force
    PREEMPTED = "preempted"  # voters promised a higher proposal number: retry with a higher one
    SUPERSEDED = "superseded"  # a newer view was decided elsewhere: learn it


@dataclass
class Proposal:
    """One attempt to have a view chosen as the successor of `base` (a Paxos proposer).

    The caller sends the requests and passes each response to `on_prepare_response` or `on_accept_response`.

    Attributes:
        base: The view whose voters decide.
        proposal_number: Unique to this attempt.
        proposed_view: The view to propose if no voter has accepted another one.
        outcome: The progress or result so far.
        newest: The newer decided view, where the outcome is SUPERSEDED.
        highest_number: The highest number that a voter has promised; the next attempt must exceed it.
        view_to_accept: The view that the accept phase proposes; None until a majority has promised.
    """

    base: View
    proposal_number: ProposalNumber
    proposed_view: View
    outcome: ProposalOutcome = ProposalOutcome.RUNNING
    newest: View = field(default_factory=View)
    highest_number: int = 0
    _promises: dict[str, VoteResponse] = field(default_factory=dict)
    _accepts: set[str] = field(default_factory=set)
    _rejections: set[str] = field(default_factory=set)
    view_to_accept: View | None = None

    def __post_init__(self) -> None:
        self.highest_number = self.proposal_number.number

    def on_prepare_response(self, response: VoteResponse) -> bool:
        """Count a promise or a rejection.

        Returns:
            Whether this response completes the majority: the accept phase begins and proposes `view_to_accept`.
        """
        if not self._is_countable(response) or self.view_to_accept is not None:
            return False
        if not response.granted:
            self._count_rejection(response)
            return False
        self._promises[response.voter] = response
        if len(self._promises) < majority_size(self.base):
            return False
        self.view_to_accept = self._select_view()
        self._rejections.clear()
        return True

    def on_accept_response(self, response: VoteResponse) -> bool:
        """Count an acceptance or a rejection.

        Returns:
            Whether this response decides the view.
        """
        if not self._is_countable(response) or self.view_to_accept is None:
            return False
        if not response.granted:
            self._count_rejection(response)
            return False
        self._accepts.add(response.voter)
        if len(self._accepts) < majority_size(self.base):
            return False
        self.outcome = ProposalOutcome.DECIDED
        return True

    def _select_view(self) -> View:
        """Return the view of the highest accepted proposal, which may be chosen already, else the proposed one."""
        latest = max(self._promises.values(), key=lambda promise: proposal_sort_key(promise.accepted))
        return latest.accepted_view if latest.accepted.number else self.proposed_view

    def _is_countable(self, response: VoteResponse) -> bool:
        self.highest_number = max(self.highest_number, response.promised.number)
        if response.newest.epoch > self.base.epoch:
            self.newest = response.newest
            self.outcome = ProposalOutcome.SUPERSEDED
        return self.outcome is ProposalOutcome.RUNNING and response.voter in identities(self.base.voters)

    def _count_rejection(self, response: VoteResponse) -> None:
        self._rejections.add(response.voter)
        if len(self._rejections) > len(self.base.voters) - majority_size(self.base):
            self.outcome = ProposalOutcome.PREEMPTED
