"""Answers quota queries of data planes for the tenants that this node owns (`quotas.owner`), and reports status."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol, TypedDict

from mulleinhatch.configuration.document import Document
from mulleinhatch.configuration.tenants import TenantBuilder
from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.majority_contact import CONFIRM_TIMEOUT_S
from mulleinhatch.control_plane.quota_handover import HandoverRequester
from mulleinhatch.control_plane.quota_takeover import MAX_LOGGED_TENANTS, TakeoverInquirer
from mulleinhatch.membership.view_timing import AUTHORITY_S
from mulleinhatch.messages.cluster import (
    ConfirmationAgeRequest,
    ConfirmationAgeResponse,
    Member,
    QuotaHandoverRequest,
    QuotaHandoverResponse,
    QuotaRequest,
    QuotaResponse,
    View,
)
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.quotas.account import QuotaAccount
from mulleinhatch.quotas.limits import QuotaBounds
from mulleinhatch.quotas.owner import OwnershipChange, OwnerView, QuotaOwner
from mulleinhatch.replication.state import ControlState
from mulleinhatch.steps import Steps
from mulleinhatch.tenants.tenant import Tenant

LOG = logging.getLogger(__name__)
UPDATE_ACTIVITY = "update of the owned tenants"
STEPS_AT_ONCE = 8  # a configuration of a few hundred tenants is followed at once
END = object()


class ViewLearner(Protocol):
    """The part of the voter that a handover needs; `ViewChanger` satisfies it."""

    async def learn_view(self, view: View) -> None:
        """Adopt a decided view if it is newer; it is stored durably before it is in force."""


class ConfirmationAgeSource(Protocol):
    """The part of this node's voter that a takeover needs; `HeartbeatResponder` satisfies it."""

    async def on_confirmation_age(self, request: ConfirmationAgeRequest) -> ConfirmationAgeResponse:
        """Learn a view, after which this voter confirms no older one; then report when it last confirmed one."""


class QuotaNode(Protocol):
    """The part of the node that granting quota tokens needs; `ControlPlaneNode` satisfies it once its state is open."""

    member: Member
    state: ControlState
    view_changer: ViewLearner
    heartbeat_responder: ConfirmationAgeSource

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background."""

    @property
    def view(self) -> View:
        """The view in force."""

    def has_majority_contact(self) -> bool:
        """Return whether a majority of voters confirmed the view recently."""

    async def wait_for_majority_contact(self) -> bool:
        """Return whether a majority confirmed the view, or does so within the time that a new view needs."""


class QuotaAccountStatus(TypedDict):
    """The bucket of one owned tenant, and counters since it was taken over."""

    rate_per_s: float
    burst: float
    capacity: float
    level: float
    owned_for_s: float
    granted_requests: int
    granted_tokens: int
    ahead_tokens: int
    refused_requests: int
    returned_tokens: int
    credited_tokens: int


class QuotaService:
    """Grants quota tokens on behalf of this control-plane node.

    Args:
        node: The node whose view and configuration determine ownership and limits; it is read at each use.
        clock: Returns the monotonic time in seconds.
        bounds: The deployment's quota rule.
        client: Sends messages to other control-plane nodes.
        slicer: Runs the update of the owned tenants where there are many; if omitted, one of its own.
    """

    def __init__(
        self,
        node: QuotaNode,
        clock: Callable[[], float],
        bounds: QuotaBounds,
        client: InternalClient,
        slicer: TimeSlicer | None = None,
    ) -> None:
        self._node, self._clock = node, clock
        self._slicer = slicer or TimeSlicer(LoopWatch())
        # A former owner keeps granting while the last confirmations of its view are valid.
        self._owner = QuotaOwner(bounds, takeover_s=AUTHORITY_S)
        self._requester = HandoverRequester(self._owner, clock, client, node.start_task)
        self._inquirer = TakeoverInquirer(self._owner, clock, client, node.start_task, self._report_confirmation_age)
        self._view: View | None = None
        self._view_since = 0.0
        self._document: Document | None = None
        self._addresses: list[str] = []
        self._tenant_builder = TenantBuilder()
        self._tenants: Mapping[str, Tenant] = {}
        self._changed_tenants: dict[str, None] = {}  # names of those that the owner does not know yet
        self._updated: asyncio.Event | None = None  # set at the end of the update that is under way
        self._is_refusing = False  # the last request was answered without majority contact

    def on_change(self) -> None:
        """Put the node's view and configuration into force if they changed; call it after each change.

        With many tenants that takes several turns of the event loop, in which nothing is granted.
        """
        if self._updated is not None or self._is_current():
            return
        steps = self._update_steps()
        for _ in range(STEPS_AT_ONCE):
            if next(steps, END) is END:
                return
        self._updated = asyncio.Event()
        self._node.start_task(self._finish_update(steps))

    def _is_current(self) -> bool:
        return self._node.view is self._view and self._node.state.document is self._document

    async def _finish_update(self, steps: Steps[None]) -> None:
        try:
            await self._slicer.run(UPDATE_ACTIVITY, steps)
            while not self._is_current():
                await self._slicer.run(UPDATE_ACTIVITY, self._update_steps())
        finally:
            updated, self._updated = self._updated, None
            if updated is not None:
                updated.set()

    async def _become_current(self) -> None:
        """Put the node's view and configuration into force; until then nothing may be granted."""
        self.on_change()
        while self._updated is not None:
            await self._updated.wait()
            self.on_change()

    def _update_steps(self) -> Steps[None]:
        view, document, now = self._node.view, self._node.state.document, self._clock()
        if document is not self._document:
            changes = yield from self._tenant_builder.build_steps(document.value)
            self._tenants = changes.by_name
            self._changed_tenants.update((tenant.name, None) for tenant in (*changes.removed, *changes.added))
        former_view = self._view
        owner_view = OwnerView(view.epoch, self._node.member.internal_address, _addresses_of(view))
        if view is former_view:
            update = self._owner.update_tenants_steps(self._tenants, self._changed_tenants, document.version, now)
        else:
            update = self._owner.update_steps(owner_view, self._tenants, document.version, now)
        change = yield from update
        if view is not former_view:
            self._view_since = now
            self._addresses = list(owner_view.chain_addresses)
        self._view, self._document, self._changed_tenants = view, document, {}
        self._log_change(view, change)
        if former_view is not None:
            self._requester.request(view, change.former_owners)
            self._inquirer.inquire(self._node.member, former_view, view, change.former_owners)

    @staticmethod
    def _log_change(view: View, change: OwnershipChange) -> None:
        if change.taken_over:
            LOG.info("took over the quotas of tenants", extra=_logged_tenants(view, change.taken_over))
        if change.released:
            LOG.info("gave up the quotas of tenants", extra=_logged_tenants(view, change.released))

    async def _report_confirmation_age(self, request: ConfirmationAgeRequest) -> ConfirmationAgeResponse:
        return await self._node.heartbeat_responder.on_confirmation_age(request)

    async def on_request(self, request: QuotaRequest) -> QuotaResponse:
        """Answer a data plane. Nothing is granted unless a majority confirmed the view.

        Normally the answer is immediate. Just after a view change it waits up to `CONFIRM_TIMEOUT_S` for the confirmation,
        because a data plane avoids an owner that answered without a majority for some time.
        """
        await self._become_current()
        if not self._node.has_majority_contact() and self._clock() < self._view_since + CONFIRM_TIMEOUT_S:
            await self._node.wait_for_majority_contact()
            await self._become_current()
        authoritative = self._node.has_majority_contact()
        if authoritative == self._is_refusing:
            self._log_contact(authoritative)
        return QuotaResponse(
            epoch=self._node.view.epoch,
            authoritative=authoritative,
            grants=self._owner.answer(request, self._clock()) if authoritative else [],
            control_addresses=self._addresses,
        )

    async def on_handover(self, request: QuotaHandoverRequest) -> QuotaHandoverResponse:
        """Learn the view in which another control-plane node owns the tenants, stop granting for them, and return their levels.

        Raises:
            OSError: The view could not be stored on disk; nothing is handed over.
        """
        await self._node.view_changer.learn_view(request.newest)
        await self._become_current()
        # No await from here on, so the returned levels include every grant.
        levels = self._owner.hand_over(request.tenants, request.epoch, self._clock())
        return QuotaHandoverResponse(accepted=bool(levels), levels=levels)

    def _log_contact(self, authoritative: bool) -> None:
        self._is_refusing = not authoritative
        if authoritative:
            LOG.info("quota tokens are granted again: a majority confirms the view")
        else:
            LOG.warning("no quota tokens are granted: no majority of the voters confirms the view")

    def status(self) -> dict[str, QuotaAccountStatus]:
        """Return the status of the owned tenants that have a limit, by name."""
        self.on_change()
        now = self._clock()
        return {name: _account_status(account, now) for name, account in self._owner.accounts.items()}


def _logged_tenants(view: View, names: tuple[str, ...]) -> dict[str, Any]:
    return {"view_epoch": view.epoch, "count": len(names), "tenants": list(names[:MAX_LOGGED_TENANTS])}


def _addresses_of(view: View) -> tuple[str, ...]:
    return tuple(member.internal_address for member in view.chain)


def _account_status(account: QuotaAccount, now: float) -> QuotaAccountStatus:
    account.bucket.refill(now)
    counters = account.counters
    return QuotaAccountStatus(
        rate_per_s=account.limit.rate_per_s,
        burst=account.limit.burst,
        capacity=round(account.bucket.capacity, 1),
        level=round(account.bucket.level, 1),
        owned_for_s=round(now - account.owned_since, 2),
        granted_requests=counters.granted_requests,
        granted_tokens=counters.granted_tokens,
        ahead_tokens=counters.ahead_tokens,
        refused_requests=counters.refused_requests,
        returned_tokens=counters.returned_tokens,
        credited_tokens=counters.credited_tokens,
    )
