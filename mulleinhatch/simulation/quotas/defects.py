"""Defects injected into the real quota code to show that the checks detect them, one for each guarantee."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from enum import Enum
from typing import Any
from unittest import mock

from mulleinhatch.quotas import account as account_module
from mulleinhatch.quotas import limits
from mulleinhatch.quotas.account import QuotaAccount
from mulleinhatch.quotas.balance import Permit, QuotaBalance
from mulleinhatch.quotas.owner import OwnershipChange, OwnerView, QuotaOwner
from mulleinhatch.steps import complete


class Defect(Enum):
    """An injected defect."""

    NONE = "none"
    GRANT_AT_ONCE = "a new owner grants while the former one still does"
    BEGIN_FULL = "a new owner begins with a full bucket"
    IGNORE_MISSED_VIEWS = "an owner keeps its bucket over a view that it never saw"
    EXPIRY_FROM_ANSWER = "a grant's lifetime counts from the answer's arrival"
    CREDIT_WITHOUT_BOUND = "returned tokens are credited without a bound"
    RETURNS_BEGIN_FULL = "a new owner may credit as much as if nobody had before"
    NO_CHECK_AT_WRITE = "a permit is not checked again when its request is written"
    CAPACITY_WITHOUT_LIFETIME = "the capacity counts neither the lifetime of grants nor their flight"
    GRANT_WITHOUT_TAKING = "a grant is not taken from the bucket"
    CHARGE_REFUSED = "a refused request is taken from the bucket all the same"
    GRANT_AFTER_HANDOVER = "a former owner goes on granting after a handover"
    KEEP_LEVEL_AFTER_HANDOVER = "a former owner that is the owner again goes on with the level that it handed over"
    HANDOVER_OVER_TWO_EPOCHS = "a handover is asked for and accepted although a view lies between"
    TAKEOVER_BY_MINORITY = "a new owner believes one voter about the end of the former owner's authority"
    KEEP_LEVEL_OF_HIGHER_LIMIT = "a lower limit does not cut the bucket"


def _grant_without_taking(account: QuotaAccount, request_tokens: Any, now: float) -> int:
    return sum(account.bucket.seconds_until(tokens, now) <= 0 for tokens in request_tokens)


def _charge_refused(account: QuotaAccount, request_tokens: Any, now: float) -> int:
    granted = _grant_requests(account, request_tokens, now)
    account.bucket.level -= sum(request_tokens[granted:])
    return granted


def _credit_all(account: QuotaAccount, tokens: int, now: float) -> None:
    account.bucket.put_back(tokens, now)
    account.counters.credited_tokens += tokens


def _redeem_unchecked(balance: QuotaBalance, permit: Permit, now: float) -> bool:
    return True


_set_up_account = QuotaAccount.__init__
_grant_requests = QuotaAccount.grant_requests
_update = QuotaOwner.update
_hand_over = QuotaOwner.hand_over


def _begin_full(account: QuotaAccount, *arguments: Any) -> None:
    _set_up_account(account, *arguments)
    account.bucket.level = account.bucket.capacity


def _returns_begin_full(account: QuotaAccount, *arguments: Any) -> None:
    _set_up_account(account, *arguments)
    account._returns.level = account._returns.capacity


def _update_over_missed_views(one: QuotaOwner, view: OwnerView, *arguments: Any) -> Any:
    one._view = OwnerView(view.epoch, one._view.own_address, one._view.chain_addresses)
    return _update(one, view, *arguments)


def _set_limit_of_account(account: QuotaAccount, limit: Any, now: float) -> None:
    if limit.rate_per_s >= account.limit.rate_per_s:
        account.limit = limit
        account.bucket.set_limit(*account._bucket_size(limit), now)


def _hand_over_open(one: QuotaOwner, names: Any, epoch: int, now: float) -> Any:
    return [account.hand_over(name, now) for name, account in one.accounts.items()]


def _update_with_closed_account(one: QuotaOwner, *arguments: Any) -> Any:
    change = _update(one, *arguments)
    kept = one.__dict__.setdefault("kept", {})
    one.accounts.update({name: kept[name] for name in change.taken_over if name in kept})
    kept.update(one._closed)
    return change


def _update_over_two_epochs(one: QuotaOwner, view: OwnerView, *arguments: Any) -> Any:
    former, accounts = one._view, {**one._closed, **one.accounts}
    change = _update(one, view, *arguments)
    if view.epoch < former.epoch + 2 or not former.epoch:
        return change
    one._closed = {name: account for name, account in accounts.items() if name not in one.accounts}
    former_owners = one._former_owners_steps(change.taken_over, former, arguments[-1])
    return OwnershipChange(change.taken_over, change.released, complete(former_owners))


def _hand_over_any_epoch(one: QuotaOwner, names: Any, epoch: int, now: float) -> Any:
    return _hand_over(one, names, one._view.epoch, now)


_PATCHES: dict[Defect, tuple[Any, str, Any]] = {
    Defect.GRANT_AFTER_HANDOVER: (QuotaOwner, "hand_over", _hand_over_open),
    Defect.KEEP_LEVEL_AFTER_HANDOVER: (QuotaOwner, "update", _update_with_closed_account),
    Defect.HANDOVER_OVER_TWO_EPOCHS: (QuotaOwner, "update", _update_over_two_epochs),
    Defect.BEGIN_FULL: (QuotaAccount, "__init__", _begin_full),
    Defect.RETURNS_BEGIN_FULL: (QuotaAccount, "__init__", _returns_begin_full),
    Defect.IGNORE_MISSED_VIEWS: (QuotaOwner, "update", _update_over_missed_views),
    Defect.CREDIT_WITHOUT_BOUND: (QuotaAccount, "put_back", _credit_all),
    Defect.NO_CHECK_AT_WRITE: (QuotaBalance, "redeem", _redeem_unchecked),
    Defect.CAPACITY_WITHOUT_LIFETIME: (limits, "longest_use_s", lambda lifetime_s: 0.0),
    Defect.CHARGE_REFUSED: (QuotaAccount, "grant_requests", _charge_refused),
    Defect.GRANT_WITHOUT_TAKING: (QuotaAccount, "grant_requests", _grant_without_taking),
    Defect.KEEP_LEVEL_OF_HIGHER_LIMIT: (QuotaAccount, "set_limit", _set_limit_of_account),
}


@contextlib.contextmanager
def injected(defect: Defect) -> Iterator[None]:
    """Inject a defect for the duration of a history. The world itself implements those that have no patch."""
    with contextlib.ExitStack() as stack:
        if defect in _PATCHES:
            stack.enter_context(mock.patch.object(*_PATCHES[defect]))
        if defect is Defect.HANDOVER_OVER_TWO_EPOCHS:
            stack.enter_context(mock.patch.object(QuotaOwner, "hand_over", _hand_over_any_epoch))
        if defect is Defect.CAPACITY_WITHOUT_LIFETIME:
            stack.enter_context(mock.patch.object(account_module, "longest_use_s", lambda lifetime_s: 0.0))
        yield
