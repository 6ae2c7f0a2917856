"""The Paxos acceptor and proposer of a control-plane node: votes on views are durable before the response.

Source: Lamport, "Paxos Made Simple", 2001, section 2; one decision per view as in Lamport, Malkhi and Zhou, "Vertical Paxos
and Primary-Backup Replication", PODC 2009.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

from mulleinhatch.consensus.paxos import Proposal, ProposalOutcome, Voter, identities, majority_size
from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.quorum_calls import QuorumCall
from mulleinhatch.control_plane.state_store import StateStore, log_complete_record
from mulleinhatch.messages.cluster import (
    AcceptRequest,
    ConfirmRequest,
    ConfirmResponse,
    PrepareRequest,
    ProposalNumber,
    View,
    VoteResponse,
    VoterState,
)
from mulleinhatch.replication.chain import Replica
from mulleinhatch.storage.records import Record, RecordKind

PREEMPTED_WAIT_S = 0.2  # wait for the other votes after a rejection: a round trip, a disk write and a CPU quota pause

Response = TypeVar("Response")


class ViewChanger:
    """The durable voter of one node, and the proposer of views.

    The state in memory changes only after it is written to disk: a step whose write fails has no effect, and is retried when
    its message arrives again.

    Args:
        voter_state: The persisted state of the voter.
        activate_view: Called with the newest decided view after each step; it ignores a view that is already in force.

    Attributes:
        lock: Held while a vote is written.
    """

    def __init__(
        self,
        replica: Replica,
        voter_state: VoterState,
        state_store: StateStore,
        client: InternalClient,
        activate_view: Callable[[View], None],
    ) -> None:
        self._replica, self._state_store, self._client, self._activate_view = replica, state_store, client, activate_view
        self._voter = Voter(replica.identity, voter_state)
        self._proposal_number = 0
        self._is_writing = False  # a step of the voter is being written
        self.lock = asyncio.Lock()

    @property
    def view(self) -> View:
        """The newest decided view that is durable here."""
        return self._voter.view

    @property
    def state(self) -> VoterState:
        """The voter's durable state."""
        return self._voter.state

    def bootstrap(self, view: View) -> None:
        """Adopt the first view of a first start in memory; `persist` makes it durable."""
        self._voter.learn(view)

    async def persist(self) -> None:
        """Write the voter's state.

        Raises:
            OSError: The disk write failed.
        """
        async with self.lock:
            await self._write(self._voter.state)

    def records(self, state: VoterState | None = None) -> list[Record]:
        """Return the records of a voter's state, and whether the log is complete in the state's view."""
        state = state or self._voter.state
        log_complete = self._replica.log_complete and self._replica.identity in identities(state.view.chain)
        return [Record(RecordKind.VOTER, bytes(state)), log_complete_record(log_complete)]

    async def _write(self, state: VoterState) -> None:
        await self._state_store.append(self.records(state))

    async def _step(self, step: Callable[[Voter], Response]) -> Response:
        """Apply a step to a copy of the voter, and replace the voter once the new state is durable.

        Raises:
            OSError: The disk write failed; the step has no effect.
        """
        async with self.lock:
            trial = Voter(self._voter.identity, self._voter.state)
            response = step(trial)
            if trial.state is not self._voter.state:
                self._is_writing = True
                try:
                    await self._write(trial.state)
                    self._voter = trial
                finally:
                    self._is_writing = False
        self._activate_view(self.view)
        return response

    async def learn_view(self, view: View) -> None:
        """Adopt a decided view, if it is newer: durable before it is in force.

        Raises:
            OSError: The view could not be written to disk; it is learned when a peer sends it again.
        """
        if view.epoch > self.view.epoch:
            await self._step(lambda voter: voter.learn(view))

    # Requests of peers.

    async def on_prepare(self, request: PrepareRequest) -> VoteResponse:
        """Answer phase 1 of a proposal, once the promise is durable."""
        return await self._step(lambda voter: voter.prepare(request))

    async def on_accept(self, request: AcceptRequest) -> VoteResponse:
        """Answer phase 2 of a proposal, once the accepted view is durable."""
        return await self._step(lambda voter: voter.accept(request))

    async def on_confirm(self, request: ConfirmRequest) -> ConfirmResponse:
        """Respond whether the view of an epoch is the newest that this voter has accepted."""
        async with self.lock:
            current = self._voter.confirms_epoch(request.epoch)
        return ConfirmResponse(voter=self._voter.identity, current=current, newest=self.view)

    def confirms_epoch(self, epoch: int) -> bool:
        """Return whether this voter confirms the view of `epoch` as the newest.

        Also False while a vote is being written.
        """
        return not self._is_writing and self._voter.confirms_epoch(epoch)

    # Requests to peers.

    async def confirm_view(self) -> bool:
        """Return whether a majority of the voters confirmed, after this call began, that the view in force is the newest.

        A state that is read before the call returns true includes all writes acknowledged before the call (a linearizable
        read).
        """
        epoch, voters = self._replica.view.epoch, self._replica.view.voters
        request = ConfirmRequest(epoch=epoch)
        others = [voter for voter in voters if voter.identity != self._replica.identity]
        responses = QuorumCall(
            [self._client.call(voter.internal_address, "confirm", request, ConfirmResponse) for voter in others]
        )
        count = int((await self.on_confirm(request)).current)
        while count < majority_size(self._replica.view) and (response := await responses.next()) is not None:
            await self.learn_view(response.newest)
            count += int(response.current and response.voter in identities(voters))
        return epoch == self._replica.view.epoch and count >= majority_size(self._replica.view)

    async def propose(self, planned: View) -> None:
        """Make one attempt to decide the next view: the planned one, or one that a voter has accepted before.

        Raises:
            OSError: The decided view could not be written to this node's disk.
        """
        base = self.view
        if planned.epoch != base.epoch + 1:
            return
        self._proposal_number = max(self._proposal_number, self.state.promised.number) + 1
        number = ProposalNumber(number=self._proposal_number, proposer=self._replica.identity)
        proposal = Proposal(base, number, planned)
        prepare = PrepareRequest(base=base, proposal_number=number)
        await self._run_phase(proposal, "prepare", prepare, self.on_prepare, proposal.on_prepare_response)
        if proposal.view_to_accept is not None and proposal.outcome is ProposalOutcome.RUNNING:
            accept = AcceptRequest(base=base, proposal_number=number, proposed=proposal.view_to_accept)
            await self._run_phase(proposal, "accept", accept, self.on_accept, proposal.on_accept_response)
        self._proposal_number = max(self._proposal_number, proposal.highest_number)
        if proposal.outcome is ProposalOutcome.DECIDED:
            await self.learn_view(proposal.view_to_accept)
        elif proposal.outcome is ProposalOutcome.SUPERSEDED:
            await self.learn_view(proposal.newest)

    async def _run_phase(
        self,
        proposal: Proposal,
        path: str,
        request: Any,
        own_vote: Callable[[Any], Any],
        record_vote: Callable[[VoteResponse], bool],
    ) -> None:
        """Send a request to all voters at once; return when `record_vote` reports a quorum or all have responded.

        After a rejection it waits at most `PREEMPTED_WAIT_S` for each of the others: an unreachable voter must not delay the
        next attempt, whose higher number the rejecting voter will accept.
        """
        responses = QuorumCall(
            [
                own_vote(request)
                if voter.identity == self._replica.identity
                else self._client.call(voter.internal_address, path, request, VoteResponse)
                for voter in proposal.base.voters
            ]
        )
        timeout_s = None
        while (response := await responses.next(timeout_s)) is not None:
            if record_vote(response) or proposal.outcome is not ProposalOutcome.RUNNING:
                break
            if not response.granted:
                timeout_s = PREEMPTED_WAIT_S
