"""Gets quota tokens for requests: from the local balance at once, else from the control-plane node that owns the tenant.

Needs for the same owner are batched into one query. At most `MAX_QUERIES` queries per owner are in flight; later needs go with
the next one. A query that is not answered is retried once at the next node in the ranking, which owns the tenants in a view
without the first. A request that gets no tokens then waits or is refused early (`permit_patience`), depending on when tokens
are expected: the owner's `retry_after_ms`, or the time that the control plane takes to replace an owner that does not answer
(`owner_contact`). Waiting requests of a tenant are retried together and in order, and at once when the tenant's owner changes.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from mulleinhatch.data_plane.owner_contact import OwnerContact
from mulleinhatch.data_plane.permit_patience import Patience, backed_off_s
from mulleinhatch.data_plane.permit_waits import Outcome, ParkedWaits, PermitWait, WaitQueue
from mulleinhatch.messages.cluster import QuotaGrant, QuotaNeed, QuotaRequest, QuotaResponse
from mulleinhatch.messages.parsing import MAX_COUNT, UnreadableMessageError, parse_message
from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.process.settings import Settings
from mulleinhatch.quotas.balance import Permit, QuotaBalance, QuotaExceeded
from mulleinhatch.quotas.deferral import DeferredTokens
from mulleinhatch.quotas.demand import QuotaDemand
from mulleinhatch.quotas.limits import GRANT_LIFETIME_S
from mulleinhatch.quotas.owner_directory import OwnerDirectory
from mulleinhatch.tenants.tenant import Tenant

LOG = logging.getLogger(__name__)
QUOTA_PATH = "/internal/quota"
QUERY_TIMEOUT_S = 0.25
MAX_QUERIES = 2  # in flight to one owner
MAX_ATTEMPTS = 2  # nodes queried for one request before it waits or is refused
ANSWER_TIMEOUT_S = MAX_ATTEMPTS * QUERY_TIMEOUT_S  # all attempts for a request have ended by then
# For at most this time after an owner's refusal, requests of at least that size are not sent to it.
LOCAL_REFUSAL_S = 0.1
# For this time after a wait ended in a refusal, first attempts of its tenant do not wait while the owner refuses tokens.
CONTENTION_S = 5.0
RETRY_INTERVAL_S = 0.25  # between retries for waiting requests while no owner answers


@dataclass(frozen=True, slots=True)
class _Refusal:
    """An owner's refusal of tokens for a tenant: its address, the size of the refused request, and when to retry."""

    address: str
    tokens: int
    until: float  # requests of at least that size are not sent to the owner before this time
    retry_at: float
    in_a_row: int  # consecutive refusals without a grant

    def holds_for(self, wait: PermitWait, owner: str | None, now: float, has_queue: bool) -> bool:
        """Return whether the refusal covers this request too; it does not overtake queued requests of the same size or less."""
        return self.address == owner and wait.tokens >= self.tokens and now < (self.retry_at if has_queue else self.until)


class QuotaClient:
    """Gets permits for requests of tenants with a limit.

    Args:
        settings: Settings of this data plane.
        http: Client for calls to control-plane nodes.
        loop: Clock and timers.
    """

    def __init__(self, settings: Settings, http: HttpClient, loop: asyncio.AbstractEventLoop) -> None:
        self._settings, self._http, self._loop = settings, http, loop
        self._balance, self._demand, self._directory = QuotaBalance(), QuotaDemand(), OwnerDirectory()
        self._contact, self._deferred = OwnerContact(), DeferredTokens()
        self._configuration_version = 0
        self._waiting = WaitQueue()  # not in a query that is in flight
        self._parked = ParkedWaits(loop, self._enqueue)
        self._next_position = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_flush_scheduled = False
        self._refusals: dict[str, _Refusal] = {}  # by tenant
        self._contended_until: dict[str, float] = {}  # by tenant: requests at other data planes get its tokens first
        self.counters: Counter[str] = Counter()

    def update(self, epoch: int, addresses: Iterable[str], configuration_version: int, tenants: Container[str]) -> None:
        """Apply what the control plane published.

        Args:
            epoch: Epoch of the view that the addresses belong to.
            addresses: Internal addresses of the chain.
            configuration_version: Version of the configuration in force.
            tenants: Names of its tenants with a limit; grants of all others are dropped.
        """
        self._learn_view(epoch, addresses)
        if configuration_version != self._configuration_version:
            self._configuration_version = configuration_version
            self._balance.keep_only(tenants)
            self._demand.keep_only(tenants)
            self._refusals, self._contended_until = {}, {}
            self._parked.release_all()

    def _learn_view(self, epoch: int, addresses: Iterable[str]) -> None:
        """Apply a view unless a newer one is known; waiting requests of tenants whose owner changed are retried at once."""
        addresses = tuple(addresses)
        if self._directory.update(epoch, addresses):
            self._contact.keep_only(addresses)
            self._parked.release_moved(self._directory.owner_of)

    # Called by requests (`request_lifecycle.PermitSource`).

    def acquire(
        self, tenant: str, tokens: int, patience: Patience, on_outcome: Callable[[Outcome], None]
    ) -> Outcome | PermitWait:
        """Take a permit from the local balance, or query the owner.

        Args:
            tenant: The tenant's name.
            tokens: Tokens of the request.
            patience: How long the request may wait for the answer.
            on_outcome: Called with the outcome if it is not known at once.

        Returns:
            The permit or the refusal, or the wait if neither is known yet.
        """
        now = self._loop.time()
        if not self._parked.queue.of(tenant):
            permit = self._balance.try_spend(tenant, tokens, now)
            if isinstance(permit, Ok):
                self._record_admitted(tenant, tokens, now)
                return permit
        self._next_position += 1
        wait = PermitWait(tenant, tokens, patience, on_outcome, self._next_position)
        known = self._known_answer(wait, now)
        if known is None:
            self._enqueue(wait)
        else:
            due_at, expected_s = known
            if not self._may_wait(wait, expected_s, now):
                self._record_refused(tenant, tokens, now)
                return Err(QuotaExceeded(patience.retry_after_s(expected_s, now)))
            self._park(wait, due_at)
        self._set_timer(wait, now)
        return wait

    def redeem(self, permit: Permit) -> bool:
        """Use a permit for a request that is about to be written; return whether it may be."""
        return self._balance.redeem(permit, self._loop.time())

    def reinstate(self, permit: Permit) -> None:
        """Make a permit usable again after a backend confirmed that it did not execute the request."""
        self._balance.reinstate(permit)

    def refund(self, permit: Permit) -> None:
        """Return the tokens of a request that ended to the balance; no effect if the request may have run."""
        self._balance.refund(permit, self._loop.time())

    def try_defer(self, tenant: Tenant, tokens: int, data_planes: int) -> bool:
        """Return whether a request may be queued before it has tokens; `end_deferral` follows.

        Args:
            tenant: The tenant; it has a limit.
            tokens: Tokens of the request.
            data_planes: Number of data planes that share the limit.
        """
        refusal = self._refusals.get(tenant.name)
        is_refused = refusal is not None and self._loop.time() < refusal.retry_at
        return not is_refused and self._deferred.try_add(tenant.name, tokens, tenant.limit.rate_per_s, data_planes)

    def end_deferral(self, tenant: Tenant, tokens: int) -> None:
        """Remove a deferred request that now acquires its tokens, or ended."""
        self._deferred.remove(tenant.name, tokens)

    # Waiting.

    def _known_answer(self, wait: PermitWait, now: float) -> tuple[float, float] | None:
        """Return when to query for a request and in how many seconds it should get tokens, or None to query now."""
        refusal = self._refusals.get(wait.tenant)
        owner = self._directory.owner_of(wait.tenant)
        parked = self._parked.queue.of(wait.tenant)
        if refusal is not None and refusal.holds_for(wait, owner, now, bool(parked)):
            return refusal.retry_at, refusal.retry_at - now + self._queue_s(wait, refusal.tokens)
        if owner is not None and self._contact.is_lost(owner) and (parked or owner in self._contact.avoided(now)):
            return now + RETRY_INTERVAL_S, self._handover_s(wait, now)
        return None

    def _handover_s(self, wait: PermitWait, now: float) -> float:
        """Return in how many seconds a tenant whose owner does not answer gets tokens; a new owner's bucket starts empty."""
        owner = self._directory.owner_of(wait.tenant)
        expected_s = self._contact.expected_s(owner, now) if owner is not None else None
        return (RETRY_INTERVAL_S if expected_s is None else expected_s) + self._queue_s(wait)

    def _queue_s(self, wait: PermitWait, covered_tokens: int = 0) -> float:
        """Return the least time to refill the bucket for a request and those parked before it, less `covered_tokens`."""
        return wait.patience.refill_s(max(0, self._parked.queue.tokens_before(wait) + wait.tokens - covered_tokens))

    def _park(self, wait: PermitWait, due_at: float) -> None:
        self._parked.park(wait, self._directory.owner_of(wait.tenant), due_at)

    def _park_or_refuse(self, wait: PermitWait, due_at: float, expected_s: float) -> None:
        """Park or refuse a request whose queries got no tokens."""
        if wait.is_over:
            return
        if self._may_wait(wait, expected_s, self._loop.time()):
            self._park(wait, due_at)
        else:
            self._refuse(wait, expected_s)

    def _may_wait(self, wait: PermitWait, expected_s: float, now: float) -> bool:
        """Return whether a request may wait; first attempts of a tenant that is over its limit may not."""
        is_contended = wait.tenant in self._refusals and now < self._contended_until.get(wait.tenant, 0.0)
        return wait.patience.waits(expected_s, now) and (wait.patience.waits_to_deadline or wait.was_parked or not is_contended)

    def _set_timer(self, wait: PermitWait, now: float) -> None:
        """Schedule the early-refusal check of a wait, or its end when the request can wait no longer."""
        patience = wait.patience
        if now < patience.early_at < patience.deadline and not patience.waits_to_deadline:
            wait.timer = self._loop.call_at(patience.early_at, self._on_early, wait)
        else:
            last_at = max(patience.latest_at, now + ANSWER_TIMEOUT_S)
            wait.timer = self._loop.call_at(min(patience.deadline, last_at), self._on_wait_expired, wait)

    def _on_early(self, wait: PermitWait) -> None:
        now = self._loop.time()
        owner = self._directory.owner_of(wait.tenant)
        is_silent = owner is None or self._contact.expected_s(owner, now) is not None
        expected_s = self._handover_s(wait, now)
        # After a pause of this process an overdue timer shows only that time has passed, not that the owner is silent.
        if is_silent and wait.patience.is_early(now) and not wait.patience.waits(expected_s, now):
            self._refuse(wait, expected_s)
        else:
            self._set_timer(wait, max(now, wait.patience.early_at))

    def _on_wait_expired(self, wait: PermitWait) -> None:
        self._refuse(wait, self._handover_s(wait, self._loop.time()))

    # Queries.

    def _enqueue(self, wait: PermitWait) -> None:
        self._waiting.add(wait)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Send each owner one query for all its waiting requests, unless `MAX_QUERIES` to it are in flight."""
        self._is_flush_scheduled = False
        now = self._loop.time()
        batches: dict[str, dict[str, list[PermitWait]]] = {}  # by address and tenant
        for tenant in self._waiting.tenants():
            address = self._owner_to_query(tenant, now)
            if address is not None and self._contact.in_flight(address) >= MAX_QUERIES:
                continue
            waits = self._waiting.take(tenant)
            if address is None:
                for wait in waits:
                    self._park_or_refuse(wait, now + RETRY_INTERVAL_S, self._handover_s(wait, now))
            elif waits:
                batches.setdefault(address, {})[tenant] = waits
        for address, batch in batches.items():
            self._start_query(address, batch)

    def _owner_to_query(self, tenant: str, now: float) -> str | None:
        return self._directory.owner_of(tenant, self._contact.avoided(now)) or self._directory.owner_of(tenant)

    def _start_query(self, address: str, batch: dict[str, list[PermitWait]]) -> None:
        sent_at = self._loop.time()
        self._contact.on_sent(address, sent_at)
        task = self._loop.create_task(self._query(address, batch, sent_at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _query(self, address: str, batch: dict[str, list[PermitWait]], sent_at: float) -> None:
        for waits in batch.values():
            for wait in waits:
                wait.attempts += 1
        request = QuotaRequest(
            node=self._settings.name,
            zone=self._settings.zone,
            configuration_version=self._configuration_version,
            needs=self._needs(address, batch, sent_at),
        )
        try:
            response = await self._call(address, request)
        except (HttpCallError, UnreadableMessageError) as error:
            self._http.forget(address)
            self._avoid(address, sent_at, str(error))
            self._retry_elsewhere(batch, address)
        else:
            self._on_answer(address, response, batch, sent_at)
        finally:
            self._contact.on_ended(address, sent_at)
            if self._waiting:
                self._flush()

    def _needs(self, address: str, batch: dict[str, list[PermitWait]], now: float) -> list[QuotaNeed]:
        """Return the needs of a batch, and the tokens to return for all tenants of that owner."""
        self._balance.prune(now)
        with_returns = {tenant: [] for tenant in self._balance.tenants_with_returns() if tenant not in batch}
        owned = {tenant: no_waits for tenant, no_waits in with_returns.items() if self._directory.owner_of(tenant) == address}
        return [
            QuotaNeed(
                tenant=tenant,
                request_tokens=[min(MAX_COUNT, wait.tokens) for wait in waits],
                ahead_tokens=self._demand.tokens_ahead(tenant, GRANT_LIFETIME_S, now) if waits else 0,
                returned_tokens=min(MAX_COUNT, self._balance.take_returns(tenant)),
            )
            for tenant, waits in {**batch, **owned}.items()
        ]

    async def _call(self, address: str, request: QuotaRequest) -> QuotaResponse:
        """Send one query to one control-plane node.

        Raises:
            HttpCallError: It did not answer in time, or answered with a status other than 200.
            UnreadableMessageError: The response body can't be parsed.
        """
        self.counters["questions"] += 1
        response = await self._http.request(address, "POST", QUOTA_PATH, bytes(request), QUERY_TIMEOUT_S)
        if response.status != 200:
            raise HttpCallError(address, f"status {response.status}")
        return parse_message(QuotaResponse, response.body)

    # Responses.

    def _avoid(self, address: str, sent_at: float, reason: str) -> None:
        self.counters["unanswered"] += 1
        if self._contact.on_lost(address, sent_at, self._loop.time()):
            LOG.warning("quota owner is out of reach; another one is asked", extra={"address": address, "error": reason})

    def _on_answer(self, address: str, response: QuotaResponse, batch: dict[str, list[PermitWait]], sent_at: float) -> None:
        if not response.authoritative:
            self._learn_view(response.epoch, response.control_addresses)
            self._avoid(address, sent_at, "no majority contact")
            self._retry_elsewhere(batch, address)
            return
        if self._contact.on_answered(address):
            LOG.info("quota owner answers again", extra={"address": address})
        self._learn_view(response.epoch, response.control_addresses)
        grants = {grant.tenant: grant for grant in response.grants}
        for tenant, waits in batch.items():
            grant = grants.get(tenant, QuotaGrant(tenant=tenant, not_owner=True))
            if grant.not_owner:
                self._retry_elsewhere({tenant: waits}, address)
            else:
                self._distribute(address, waits, grant, sent_at)

    def _distribute(self, address: str, waits: list[PermitWait], grant: QuotaGrant, sent_at: float) -> None:
        """Add a grant to the balance and serve from it the requests of its query, then those that arrived since."""
        now, tenant = self._loop.time(), grant.tenant
        expires_at = sent_at + grant.lifetime_ms / 1000
        granted, refused = waits[: grant.granted_requests], waits[grant.granted_requests :]
        granted_tokens = sum(wait.tokens for wait in granted)
        # Two grants, because a permit expires with the earliest grant that it draws on: if they were merged, the
        # rest of one part would shorten the permits of the other.
        self._balance.add_grant(tenant, granted_tokens, expires_at, now)
        self._balance.add_grant(tenant, grant.ahead_tokens, expires_at, now)
        self.counters["granted_tokens"] += granted_tokens + grant.ahead_tokens
        for wait in granted:
            if self._try_serve(wait, now):
                continue
            if wait.attempts < MAX_ATTEMPTS:
                self._enqueue(wait)  # the grant came too late: this process was paused, or the response was slow
            else:
                self._park_or_refuse(wait, now + RETRY_INTERVAL_S, self._handover_s(wait, now))
        if refused:
            self._on_refused(address, refused, grant, now)
        else:
            self._refusals.pop(tenant, None)
        for wait in (*self._parked.queue.of(tenant), *self._waiting.of(tenant)):
            self._try_serve(wait, now)

    def _on_refused(self, address: str, refused: list[PermitWait], grant: QuotaGrant, now: float) -> None:
        """Serve refused requests from the remaining balance; the others wait until the owner's retry time, or are refused."""
        tenant, tokens = grant.tenant, refused[0].tokens
        former = self._refusals.get(tenant)
        is_streak = former is not None and former.address == address and not grant.granted_requests
        in_a_row = former.in_a_row + 1 if is_streak else 1
        retry_after_s = backed_off_s(grant.retry_after_ms / 1000, in_a_row)
        refusal = _Refusal(address, tokens, now + min(LOCAL_REFUSAL_S, retry_after_s), now + retry_after_s, in_a_row)
        self._refusals[tenant] = refusal
        for wait in refused:
            if not self._try_serve(wait, now):
                self._park_or_refuse(wait, refusal.retry_at, retry_after_s + self._queue_s(wait, tokens))

    def _retry_elsewhere(self, batch: dict[str, list[PermitWait]], failed_address: str) -> None:
        """Retry at another node if one is known; otherwise the requests wait for the next owner, or are refused."""
        now = self._loop.time()
        for tenant, waits in batch.items():
            next_address = self._owner_to_query(tenant, now)
            for wait in waits:
                if next_address == failed_address or next_address is None or wait.attempts >= MAX_ATTEMPTS:
                    self._park_or_refuse(wait, now + RETRY_INTERVAL_S, self._handover_s(wait, now))
                elif not wait.is_over:
                    self._enqueue(wait)

    # Outcomes.

    def _try_serve(self, wait: PermitWait, now: float) -> bool:
        """Give a waiting request a permit from the balance; return whether the wait is over."""
        if wait.is_over:
            return True
        permit = self._balance.try_spend(wait.tenant, wait.tokens, now)
        if isinstance(permit, Err):
            return False
        wait.cancel()
        self._record_admitted(wait.tenant, wait.tokens, now)
        wait.on_outcome(permit)
        return True

    def _refuse(self, wait: PermitWait, expected_s: float) -> None:
        """Refuse a request whose tokens are expected after `expected_s` seconds."""
        if wait.is_over:
            return
        wait.cancel()
        now = self._loop.time()
        if wait.was_parked and wait.tenant in self._refusals:
            self._contended_until[wait.tenant] = now + CONTENTION_S
        self._record_refused(wait.tenant, wait.tokens, now)
        wait.on_outcome(Err(QuotaExceeded(wait.patience.retry_after_s(expected_s, now))))

    def _record_admitted(self, tenant: str, tokens: int, now: float) -> None:
        self.counters["permits"] += 1
        self._demand.record_admitted(tenant, tokens, now)

    def _record_refused(self, tenant: str, tokens: int, now: float) -> None:
        self.counters["refused"] += 1
        self._demand.record_refused(tenant, tokens, now)

    # For the status page.

    def status(self) -> dict[str, Any]:
        """Return counters, the owners that did not answer, and the number of requests waiting for a grant."""
        return {
            **{name: self.counters[name] for name in ("permits", "refused", "granted_tokens", "questions", "unanswered")},
            "silent_owners": self._contact.lost(),
            "waiting": self._waiting.count() + self._parked.queue.count(),
        }
