"""Determines when the authority of a lost quota owner ended, so that the new owner need not wait the full time.

`quotas.former_authority` explains why that is safe. If the inquiry fails, the new owner waits the full time.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any

from mulleinhatch.consensus.paxos import identities, majority_size
from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.quorum_calls import QuorumCall
from mulleinhatch.membership.view_timing import AUTHORITY_S
from mulleinhatch.messages.cluster import ConfirmationAgeRequest, ConfirmationAgeResponse, Member, View
from mulleinhatch.quotas.former_authority import FormerAuthority
from mulleinhatch.quotas.owner import QuotaOwner

LOG = logging.getLogger(__name__)
MAX_LOGGED_TENANTS = 100
CONFIRMATION_AGE_PATH = "confirmation_age"
ANSWER_TIMEOUT_S = 0.3

AnswerAsVoter = Callable[[ConfirmationAgeRequest], Awaitable[ConfirmationAgeResponse]]


class TakeoverInquirer:
    """Asks the voters of the previous view when they last confirmed it to the former owner.

    Args:
        owner: The quota owner whose wait is shortened.
        clock: Returns the monotonic time in seconds.
        client: Sends messages to control-plane nodes.
        start_task: Runs a coroutine in the background; an `OSError` is an expected failure.
        answer_as_voter: This node's own answer as a voter.
    """

    def __init__(
        self,
        owner: QuotaOwner,
        clock: Callable[[], float],
        client: InternalClient,
        start_task: Callable[[Coroutine[Any, Any, Any]], None],
        answer_as_voter: AnswerAsVoter,
    ) -> None:
        self._owner, self._clock, self._client = owner, clock, client
        self._start_task, self._answer_as_voter = start_task, answer_as_voter

    def inquire(self, own: Member, former: View, view: View, tenants_by_owner: Mapping[str, tuple[str, ...]]) -> None:
        """Ask the voters in the background.

        Args:
            own: This control-plane node.
            former: The view before `view`.
            view: The view in which this control-plane node owns the tenants.
            tenants_by_owner: Names of the tenants, by the internal address of their owner in `former`.
        """
        for address, tenants in tenants_by_owner.items():
            self._start_task(self._shorten_wait(own, former, view, address, tenants))

    async def _shorten_wait(self, own: Member, former: View, view: View, address: str, tenants: tuple[str, ...]) -> None:
        ended_at = await self._find_end(own, former, view, address)
        if ended_at is None:
            return
        shortened = self._owner.shorten_wait(tenants, view.epoch, ended_at, self._clock())
        if shortened:
            LOG.info(
                "the authority of a former owner of quotas ended earlier",
                extra={
                    "view_epoch": view.epoch,
                    "address": address,
                    "count": len(shortened),
                    "tenants": list(shortened[:MAX_LOGGED_TENANTS]),
                },
            )

    async def _find_end(self, own: Member, former: View, view: View, address: str) -> float | None:
        """Return the time from which the control-plane node at `address` has no majority of a former view, None if unknown."""
        request = ConfirmationAgeRequest(newest=view, addresses=[address])
        voters = [voter for voter in former.voters if voter.internal_address != address]
        responses = QuorumCall(
            [
                self._answer_as_voter(request)
                if voter.identity == own.identity
                else self._client.call(
                    voter.internal_address,
                    CONFIRMATION_AGE_PATH,
                    request,
                    ConfirmationAgeResponse,
                    timeout_s=ANSWER_TIMEOUT_S,
                )
                for voter in voters
            ]
        )
        authority = FormerAuthority(view.epoch, identities(voters), majority_size(former), AUTHORITY_S)
        while authority.ended_at is None and (response := await responses.next()) is not None:
            if len(response.ages_ms) == 1:
                authority.record(response.voter, response.epoch, response.ages_ms[0] / 1000.0, self._clock())
        return authority.ended_at
