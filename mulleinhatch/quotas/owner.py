"""The owner's side of quotas: a bucket for each tenant that this node owns, from which it grants to data planes. Pure.

A tenant has one owner at a time, chosen by rendezvous hashing over the chain of the view in force. No state is durable: a new
owner waits until the former owner's authority has certainly ended and then starts with an empty bucket, so both together grant
no more than one bucket would have.

A handover avoids the wait. The owners A of view e and B of view e + 1 still grant no more than one bucket would, because:
1. In each epoch one address owns a tenant, and at most one process runs at an address at a time.
2. A closes the account when it puts e + 1 into force directly after e, and grants nothing for the tenant in e + 1. It hands the
   level over only afterwards and only while e + 1 is in force, so the reported level already excludes everything A granted.
3. A hands over once, and only after its own wait for the owner of e - 1 has ended, so no older owner still grants.
4. B uses the level once, only in e + 1, only before it has granted anything, and counts no refill between A's response and its
   receipt. So the bucket moves from A to B. If the response is lost, late or rejected, B waits and starts with an empty bucket.
5. If A becomes the owner again in a later view, it opens a new account: a closed account is never reopened.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from mulleinhatch.membership.rendezvous import rank_by_weight
from mulleinhatch.messages.cluster import QuotaGrant, QuotaLevel, QuotaNeed, QuotaRequest
from mulleinhatch.quotas.account import HANDOVER_TIMEOUT_S, QuotaAccount
from mulleinhatch.quotas.limits import GRANT_LIFETIME_S, QuotaBounds
from mulleinhatch.quotas.owner_directory import OWNER_KEY_PREFIX
from mulleinhatch.steps import Steps, complete
from mulleinhatch.tenants.tenant import QuotaLimit, Tenant

MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0
TENANTS_PER_STEP = 64


@dataclass(frozen=True)
class OwnerView:
    """The state that determines ownership.

    Attributes:
        epoch: Epoch of the membership view in force; each view increments it by one.
        own_address: Internal address of this control-plane node.
        chain_addresses: Internal addresses of the view's chain.
    """

    epoch: int
    own_address: str
    chain_addresses: tuple[str, ...]


@dataclass(frozen=True)
class OwnershipChange:
    """Changes in the ownership of tenants with a limit.

    Attributes:
        taken_over: Names of the tenants that this node owns since the update.
        released: Names of the tenants that it no longer owns.
        former_owners: Names of the tenants taken over whose previous owner is known, by that owner's internal address.
    """

    taken_over: tuple[str, ...] = ()
    released: tuple[str, ...] = ()
    former_owners: Mapping[str, tuple[str, ...]] = field(default_factory=dict)


class QuotaOwner:
    """Grants quota tokens of the tenants that this control-plane node owns.

    The caller checks before each call of `answer` that a majority confirmed the view of the last `update`.

    Args:
        bounds: The deployment's rule.
        takeover_s: How long after a new view the former owner may still grant.
        lifetime_s: The lifetime of a grant.
    """

    def __init__(self, bounds: QuotaBounds, takeover_s: float, lifetime_s: float = GRANT_LIFETIME_S) -> None:
        self.accounts: dict[str, QuotaAccount] = {}  # of the owned tenants that have a limit
        self._bounds, self._takeover_s, self._lifetime_s = bounds, takeover_s, lifetime_s
        self._lifetime_ms = int(1000 * lifetime_s)
        self._view = OwnerView(0, "", ())
        self._view_since = self._former_view_since = 0.0
        self._configuration_version = 0
        self._owned: dict[str, bool] = {}  # by configured tenant: whether this node owns it
        self._closed: dict[str, QuotaAccount] = {}  # owned in the previous view and not handed over yet

    def update(self, view: OwnerView, tenants: Mapping[str, Tenant], configuration_version: int, now: float) -> OwnershipChange:
        """Put a view and a configuration into force at once; see `update_steps`."""
        return complete(self.update_steps(view, tenants, configuration_version, now))

    def update_steps(
        self, view: OwnerView, tenants: Mapping[str, Tenant], configuration_version: int, now: float
    ) -> Steps[OwnershipChange]:
        """Put a view and a configuration into force with the last step; nothing may be granted between the steps.

        An owner keeps its accounts only from one view to the directly following one: if an epoch was skipped, another node may
        have been the owner in between.

        Args:
            view: The view in force.
            tenants: The tenants of the configuration, by name.
            configuration_version: The version of the configuration.
            now: The monotonic time in seconds.

        Returns:
            The tenants with a limit that were taken over or released.
        """
        former_view, is_next = self._view, view.epoch == self._view.epoch + 1
        is_same = view.epoch == self._view.epoch
        view_since = self._view_since if view == self._view else now
        owned = yield from self._owned_steps(view, tenants)
        kept = self.accounts if is_next or is_same else {}
        accounts: dict[str, QuotaAccount] = {}
        for number, (name, tenant) in enumerate(tenants.items()):
            if number % TENANTS_PER_STEP == TENANTS_PER_STEP - 1:
                yield
            if tenant.limit is not None and owned[name]:
                account = accounts[name] = kept.get(name) or self._open_account(tenant.limit, view_since, now)
                account.set_limit(tenant.limit, now)
        closed = yield from _closed_steps(self.accounts if is_next else self._closed if is_same else {}, tenants, owned, now)
        former = self.accounts
        if view != self._view:
            self._former_view_since = self._view_since
        self._view, self._view_since, self._configuration_version = view, view_since, configuration_version
        self._owned, self.accounts, self._closed = owned, accounts, closed
        taken_over = tuple(sorted(name for name, account in accounts.items() if account is not former.get(name)))
        released = tuple(sorted(former.keys() - accounts.keys()))
        former_owners = (yield from self._former_owners_steps(taken_over, former_view, now)) if is_next else {}
        return OwnershipChange(taken_over, released, former_owners)

    def update_tenants_steps(
        self, tenants: Mapping[str, Tenant], changed: Iterable[str], configuration_version: int, now: float
    ) -> Steps[OwnershipChange]:
        """Put a configuration into force in the same view; nothing may be granted between the steps.

        Args:
            tenants: The tenants of the configuration, by name.
            changed: The names of those that differ from the configuration before.
            configuration_version: The version of the configuration.
            now: The monotonic time in seconds.
        """
        taken_over, released = [], []
        for number, name in enumerate(changed):
            if number % TENANTS_PER_STEP == TENANTS_PER_STEP - 1:
                yield
            tenant = tenants.get(name)
            if tenant is None:
                self._owned.pop(name, None)
            elif name not in self._owned:
                self._owned[name] = _is_owner(name, self._view)
            limit = tenant.limit if tenant is not None else None
            was_owned = name in self.accounts
            self._set_limit(name, limit, now)
            if was_owned and name not in self.accounts:
                released.append(name)
            elif not was_owned and name in self.accounts:
                taken_over.append(name)
        self._configuration_version = configuration_version
        return OwnershipChange(tuple(sorted(taken_over)), tuple(sorted(released)))

    def _set_limit(self, name: str, limit: QuotaLimit | None, now: float) -> None:
        """Put a tenant's limit into force in its account, which is opened or dropped, and in the one of the former view."""
        if limit is None or not self._owned[name]:
            self.accounts.pop(name, None)
        else:
            if name not in self.accounts:
                self.accounts[name] = self._open_account(limit, self._view_since, now)
            self.accounts[name].set_limit(limit, now)
        if limit is None or self._owned[name]:
            self._closed.pop(name, None)
        elif name in self._closed:
            self._closed[name].set_limit(limit, now)

    def _former_owners_steps(
        self, names: Sequence[str], former_view: OwnerView, now: float
    ) -> Steps[dict[str, tuple[str, ...]]]:
        """Return the tenants whose former owner will be queried for the level, by its address."""
        by_address: dict[str, list[str]] = {}
        for number, name in enumerate(names):
            if number % TENANTS_PER_STEP == TENANTS_PER_STEP - 1:
                yield
            address = owner_address(name, former_view.chain_addresses)
            if address not in ("", former_view.own_address):
                by_address.setdefault(address, []).append(name)
                self.accounts[name].awaits_level_until = now + HANDOVER_TIMEOUT_S
        return {address: tuple(owned) for address, owned in by_address.items()}

    def hand_over(self, names: Sequence[str], epoch: int, now: float) -> list[QuotaLevel]:
        """Return the remaining levels of tenants that were owned in the previous view, each only once.

        Args:
            names: The tenants that another node owns in the view in force.
            epoch: The epoch of that view at the requester; nothing is returned if it differs from the epoch here.
            now: The monotonic time in seconds.
        """
        if epoch != self._view.epoch:
            return []
        ready = [name for name in dict.fromkeys(names) if name in self._closed and now >= self._closed[name].grants_from]
        return [self._closed.pop(name).hand_over(name, now) for name in ready]

    def adopt_levels(self, levels: Sequence[QuotaLevel], epoch: int, now: float) -> tuple[str, ...]:
        """Start granting at once from the remaining levels of the owners in the previous view.

        Args:
            levels: The levels in their responses.
            epoch: The epoch of the view in the request; no effect if another one is in force.
            now: The monotonic time in seconds.

        Returns:
            The names of the tenants whose wait has ended.
        """
        if epoch != self._view.epoch:
            return ()
        known = [level for level in levels if level.tenant in self.accounts]
        return tuple(level.tenant for level in known if self.accounts[level.tenant].adopt_level(level, now))

    def _owned_steps(self, view: OwnerView, tenants: Mapping[str, Tenant]) -> Steps[dict[str, bool]]:
        """Return which tenants are owned; hashes are computed only for a new view or for new names."""
        known = self._owned if view == self._view else {}
        owned: dict[str, bool] = {}
        for number, name in enumerate(tenants):
            if number % TENANTS_PER_STEP == TENANTS_PER_STEP - 1:
                yield
            owned[name] = known[name] if name in known else _is_owner(name, view)
        return owned

    def _open_account(self, limit: QuotaLimit, view_since: float, now: float) -> QuotaAccount:
        """Return an empty account; in a new view the former owner may still grant for `takeover_s`."""
        grants_from = max(now, view_since + self._takeover_s)
        return QuotaAccount(limit, self._bounds, self._lifetime_s, now, grants_from)

    def shorten_wait(self, names: Sequence[str], epoch: int, ended_at: float, now: float) -> tuple[str, ...]:
        """Start granting when the former owner's authority ended, if that is before the end of the wait.

        Args:
            names: Tenants of one former owner, which owned them in the previous view (`OwnershipChange.former_owners`).
            epoch: The epoch of the view in which they were taken over; no effect if another one is in force.
            ended_at: The time from which the former owner granted nothing (`FormerAuthority.ended_at`); may lie in the past.
            now: The monotonic time in seconds.

        Returns:
            The names of the tenants whose wait was shortened.
        """
        grants_from = max(ended_at, self._former_view_since + self._takeover_s)
        if epoch != self._view.epoch:
            return ()
        return tuple(name for name in names if name in self.accounts and self.accounts[name].start_earlier(grants_from, now))

    def answer(self, request: QuotaRequest, now: float) -> list[QuotaGrant]:
        """Return a grant for each need of a data plane, in the order of the needs."""
        return [self._grant(need, request.configuration_version, now) for need in request.needs]

    def _grant(self, need: QuotaNeed, configuration_version: int, now: float) -> QuotaGrant:
        account = self.accounts.get(need.tenant)
        if account is not None:
            return self._grant_from(account, need, now)
        is_owned = self._owned.get(need.tenant)
        if is_owned is None:
            return self._answer_unknown(need, configuration_version)
        if not is_owned:
            return QuotaGrant(tenant=need.tenant, not_owner=True)
        return QuotaGrant(
            tenant=need.tenant,
            granted_requests=len(need.request_tokens),
            ahead_tokens=need.ahead_tokens,
            lifetime_ms=self._lifetime_ms,
        )

    def _grant_from(self, account: QuotaAccount, need: QuotaNeed, now: float) -> QuotaGrant:
        if need.returned_tokens:
            account.put_back(need.returned_tokens, now)
        grant = QuotaGrant(tenant=need.tenant, lifetime_ms=self._lifetime_ms)
        grant.granted_requests = account.grant_requests(need.request_tokens, now)
        if grant.granted_requests < len(need.request_tokens):
            wait_s = account.seconds_until(need.request_tokens[grant.granted_requests], now)
            grant.retry_after_ms = _retry_after_ms(wait_s)
        elif need.ahead_tokens:
            grant.ahead_tokens = account.grant_ahead(need.ahead_tokens, now)
        return grant

    def _answer_unknown(self, need: QuotaNeed, configuration_version: int) -> QuotaGrant:
        """Grant nothing for a tenant that is not configured here: the requester may know a newer configuration."""
        if not _is_owner(need.tenant, self._view):
            return QuotaGrant(tenant=need.tenant, not_owner=True)
        wait_s = MIN_RETRY_S if configuration_version > self._configuration_version else MAX_RETRY_S
        return QuotaGrant(tenant=need.tenant, retry_after_ms=_retry_after_ms(wait_s))


def _is_owner(name: str, view: OwnerView) -> bool:
    return owner_address(name, view.chain_addresses) == view.own_address


def _closed_steps(
    accounts: Mapping[str, QuotaAccount], tenants: Mapping[str, Tenant], owned: Mapping[str, bool], now: float
) -> Steps[dict[str, QuotaAccount]]:
    """Return the accounts that another node now owns, with the limits in force; they wait until it requests their levels."""
    closed: dict[str, QuotaAccount] = {}
    for number, (name, account) in enumerate(accounts.items()):
        if number % TENANTS_PER_STEP == TENANTS_PER_STEP - 1:
            yield
        tenant = tenants.get(name)
        if tenant is not None and tenant.limit is not None and not owned[name]:
            account.set_limit(tenant.limit, now)
            closed[name] = account
    return closed


def owner_address(tenant: str, addresses: Sequence[str]) -> str:
    """Return the internal address of a tenant's owner, empty if there are no addresses.

    Args:
        tenant: The tenant's name.
        addresses: Internal addresses of the chain of the view in force.
    """
    ranked = rank_by_weight(OWNER_KEY_PREFIX + tenant, addresses)
    return ranked[0] if ranked else ""


def _retry_after_ms(wait_s: float) -> int:
    return math.ceil(1000 * min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)))
