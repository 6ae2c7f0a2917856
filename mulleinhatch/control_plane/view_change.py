"""A core machine's votes on views: kept on disk before they are said, and views proposed to the other voters."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from mulleinhatch.consensus.paxos import Proposal, ProposalOutcome, Voter, identities, majority_size
from mulleinhatch.control_plane.quorum_calls import QuorumCall
from mulleinhatch.control_plane.state_store import Restored, log_complete_record
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
from mulleinhatch.storage.records import Record, RecordKind

if TYPE_CHECKING:
    from mulleinhatch.control_plane.node import CoreNode

Said = TypeVar("Said")


class ViewChanger:
    """The durable voter of one core machine. Memory follows the disk: what the disk refused was never learned or voted, and is
    tried again when it is told again."""

    def __init__(self, node: CoreNode, restored: Restored) -> None:
        self._node = node
        self._voter = Voter(restored.identity, restored.voter)
        self._proposal_number = 0
        self.lock = asyncio.Lock()  # held while a vote goes to disk
        self._stepping = False  # a step of the voter goes to disk

    @property
    def view(self) -> View:
        return self._voter.view

    @property
    def state(self) -> VoterState:
        return self._voter.state

    def bootstrap(self, view: View) -> None:
        """The first view of a first start; `keep` makes it last."""
        self._voter.learn(view)

    async def persist(self) -> None:
        """Writes the vote as it stands. OSError where the disk refuses."""
        async with self.lock:
            await self._write(self._voter.state)

    def records(self, state: VoterState | None = None) -> list[Record]:
        """The vote, and whether the log is settled in the view that it brings."""
        state = state or self._voter.state
        log_complete = self._node.replica.log_complete and self._node.member.identity in identities(state.view.chain)
        return [Record(RecordKind.VOTER, bytes(state)), log_complete_record(log_complete)]

    async def _write(self, state: VoterState) -> None:
        await self._node.state_store.append(self.records(state))

    async def _step(self, step: Callable[[Voter], Said]) -> Said:
        """Takes a step of the voter once it lasts. OSError where the disk refuses: the step was not taken."""
        async with self.lock:
            trial = Voter(self._voter.identity, self._voter.state)
            said = step(trial)
            if trial.state is not self._voter.state:
                self._stepping = True
                try:
                    await self._write(trial.state)
                    self._voter = trial
                finally:
                    self._stepping = False
        self._node.activate_view(self.view)
        return said

    async def learn_view(self, view: View) -> None:
        """A decided view that was told: durable before it takes force."""
        if view.epoch > self.view.epoch:
            await self._step(lambda voter: voter.learn(view))

    # What the others ask.

    async def on_prepare(self, request: PrepareRequest) -> VoteResponse:
        return await self._step(lambda voter: voter.prepare(request))

    async def on_accept(self, request: AcceptRequest) -> VoteResponse:
        return await self._step(lambda voter: voter.accept(request))

    async def on_confirm(self, request: ConfirmRequest) -> ConfirmResponse:
        async with self.lock:
            current = self._voter.confirms_epoch(request.epoch)
        return ConfirmResponse(voter=self._voter.identity, current=current, newest=self.view)

    def is_undisturbed(self, epoch: int) -> bool:
        """Whether the view of `epoch` is the newest known here and no later one was accepted, nor is being written."""
        return not self._stepping and self._voter.confirms_epoch(epoch)

    # What we ask the others.

    async def confirm_view(self) -> bool:
        """Whether a majority of the voters says, after this call began, that our view is the newest."""
        node = self._node
        epoch, voters = node.view.epoch, node.view.voters
        request = ConfirmRequest(epoch=epoch)
        others = [voter for voter in voters if voter.identity != node.member.identity]
        answers = QuorumCall([node.call(voter.internal_address, "confirm", request, ConfirmResponse()) for voter in others])
        count = int((await self.on_confirm(request)).current)
        while count < majority_size(node.view) and (answer := await answers.next()) is not None:
            await self.learn_view(answer.newest)
            count += int(answer.current and answer.voter in identities(voters))
        return epoch == node.view.epoch and count >= majority_size(node.view)

    async def propose(self, wanted: View) -> None:
        """One try to have a view chosen. OSError where our own disk refuses what was decided."""
        base = self.view
        if wanted.epoch != base.epoch + 1:
            return
        self._proposal_number = max(self._proposal_number, self.state.promised.number) + 1
        proposal = Proposal(base, ProposalNumber(number=self._proposal_number, proposer=self._node.member.identity), wanted)
        prepare = PrepareRequest(base=base, proposal_number=proposal.proposal_number)
        await self._round(proposal, "prepare", prepare, self.on_prepare, proposal.on_prepare_response)
        if proposal.view_to_accept is not None and proposal.outcome is ProposalOutcome.RUNNING:
            accept = AcceptRequest(base=base, proposal_number=proposal.proposal_number, proposed=proposal.view_to_accept)
            await self._round(proposal, "accept", accept, self.on_accept, proposal.on_accept_response)
        self._proposal_number = max(self._proposal_number, proposal.highest_number)
        if proposal.outcome is ProposalOutcome.DECIDED:
            await self.learn_view(proposal.view_to_accept)
        elif proposal.outcome is ProposalOutcome.SUPERSEDED:
            await self.learn_view(proposal.newest)

    async def _round(
        self, proposal: Proposal, path: str, request: Any, own: Callable[[Any], Any], heard: Callable[[VoteResponse], bool]
    ) -> None:
        """Asks all voters at once; returns when `heard` says that it is enough, or all have answered."""
        node = self._node
        answers = QuorumCall(
            [
                own(request)
                if voter.identity == node.member.identity
                else node.call(voter.internal_address, path, request, VoteResponse())
                for voter in proposal.base.voters
            ]
        )
        while (answer := await answers.next()) is not None:
            if heard(answer) or proposal.outcome is not ProposalOutcome.RUNNING:
                break
