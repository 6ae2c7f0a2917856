"""Quotas with leases: units of a fleet-wide total that instances own, lend and borrow without ever exceeding the total.

Each seat owns an equal share permanently, which an isolated member can keep using, and lends units that it does not need. The
lender releases first: it stops using the units, waits for one window, and only then grants them. It reuses them one window
after the lease has expired by its own clock. Its lease time includes the clock drift and starts later than the borrower's, so
the total holds regardless of lost messages. `LeasedQuota` is one budget at one instance;
`simulation/budget_model_checker.py` explores its states.

Source: Gray, Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989),
section 5, for clocks that drift.
"""

from __future__ import annotations

from math import inf, sqrt
from typing import NamedTuple

from mulleinhatch.instance.gossip.bounds import BudgetBounds

REQUEST_INTERVAL_S = 0.7  # between answered requests to the same lender
UNANSWERED_FACTOR = 2.0  # multiplies the interval after an unanswered request
# Headroom above the demand, in square roots of the demand (the spread of a random demand). Units are borrowed below the
# first, returned above the second, and left unchanged in between.
BORROW_BELOW_ROOTS, RETURN_ABOVE_ROOTS = 1.0, 2.0
MAX_LENDERS = 4  # asked at the same time
MAX_FRUITLESS_REQUESTS = 4  # without additional units, after which a lender is not expected to grant more
COLLECT_WITHIN_S = 3.0  # units reserved for a borrower are released if its next request takes longer
Borrower = tuple[str, int]  # name and process epoch


class LeaseRequest(NamedTuple):
    """A borrower's message to a lender."""

    number: int
    amount: int  # maximum of the lender's units that the borrower uses from now on
    wanted: int  # units wanted in total


class LeaseGrant(NamedTuple):
    """A lender's response."""

    number: int  # number of the request
    amount: int  # units that the borrower may use


class Loan:
    """Units lent to one borrower: `amount` until `expires_at`, and `reserved` units that can be granted from `ready_at`."""

    __slots__ = ("amount", "expires_at", "number", "reserved", "ready_at")

    def __init__(self) -> None:
        self.amount = self.number = self.reserved = 0
        self.expires_at = self.ready_at = -1e9


class BorrowedQuota:
    """Units borrowed from one lender; times are of this instance's clock."""

    __slots__ = ("amount", "until", "number", "requested_at", "is_answered", "wanted", "fruitless_requests")

    def __init__(self) -> None:
        self.amount = self.number = self.wanted = self.fruitless_requests = 0
        self.until = self.requested_at = -1e9
        self.is_answered = True


class LeasedQuota:
    """One instance's share of one budget, as lender and as borrower.

    Args:
        bounds: the budget.
        name: seat of this instance. With an aggregation tree it is the seat's full path, since an instance of the same name
            at another location owns a different seat or none.
        now: seconds of the caller's clock.
        request_interval_s: between requests to the same lender.

    >>> bounds = BudgetBounds("q", total=20, seats=("a", "b"), window=1.0, lease=5.0)
    >>> a, b = LeasedQuota(bounds, "a", 0.0), LeasedQuota(bounds, "b", 0.0)
    >>> a.usable(0.0), a.usable(7.0), b.usable(7.0)
    (0, 10, 10)
    >>> a.handle_request(7.0, ("b", 1), b.create_request(7.0, "a", 4), spare=6), a.usable(7.0)      # reserved, not granted yet
    (LeaseGrant(number=1, amount=0), 6)
    >>> grant = a.handle_request(8.5, ("b", 1), b.create_request(8.5, "a", 4), spare=6)
    >>> b.handle_grant(8.6, "a", grant); b.usable(8.6), a.usable(8.6)
    (14, 6)
    >>> b.usable(13.4), b.usable(13.5), a.usable(14.6), a.usable(14.7)      # expired: returned after drift and window
    (14, 10, 6, 10)
    """

    def __init__(self, bounds: BudgetBounds, name: str, now: float, request_interval_s: float = REQUEST_INTERVAL_S) -> None:
        self.bounds, self.name, self.request_interval_s = bounds, name, request_interval_s
        self.even_share = bounds.total // len(bounds.seats) if name in bounds.seats else 0
        # Loans of an earlier process of this instance are unknown, so nothing is owned until all of them must have expired.
        self.owned_from = now + self._lender_lease_s() + self._window_s()
        self.loans: dict[Borrower, Loan] = {}
        self.quarantined: list[tuple[float, int]] = []  # units that may still count as used by others: until when, amount
        self.borrowed: dict[str, BorrowedQuota] = {}
        self.number = 0
        self.has_duplicate_name = False  # another instance uses this name, so nothing is owned

    def _lender_lease_s(self) -> float:
        return self.bounds.lease * (1.0 + self.bounds.drift)

    def _window_s(self) -> float:
        """Return the longest duration of a window by any member's clock, for which used units count."""
        return self.bounds.window * (1.0 + self.bounds.drift)

    # Each guard is a separate method, so that the model checker can remove one at a time.

    def _may_grant(self, now: float, loan: Loan) -> bool:
        return now >= loan.ready_at

    def _is_latest(self, borrowed: BorrowedQuota, grant: LeaseGrant) -> bool:
        """Reject outdated grants: the lender may have taken back units on a later request."""
        return grant.number == borrowed.number

    def _is_newer(self, loan: Loan, request: LeaseRequest) -> bool:
        return request.number > loan.number

    def _lease_starts_at(self, borrowed: BorrowedQuota, now: float) -> float:
        """Return the time when the request was sent; the lender's lease starts at its arrival, which is later."""
        return borrowed.requested_at

    def _owns_share(self, now: float) -> bool:
        return now >= self.owned_from and not self.has_duplicate_name

    def _quarantine(self, now: float, amount: int) -> None:
        if amount:
            self.quarantined.append((now + self._window_s(), amount))

    # Usable units.

    def own_units(self, now: float) -> int:
        """Return the units of this instance's share that are not lent, reserved or quarantined."""
        self._expire(now)
        if not self._owns_share(now):
            return 0
        lent = sum(loan.amount + loan.reserved for loan in self.loans.values())
        return self.even_share - lent - sum(amount for _, amount in self.quarantined)

    def usable(self, now: float, lasts: float = 0.0) -> int:
        """Return the units that may be used now for `lasts` seconds."""
        borrowed = sum(borrowed.amount for borrowed in self.borrowed.values() if now + lasts < borrowed.until)
        return self.own_units(now) + borrowed

    def usable_pieces(self, now: float) -> list[tuple[float, float]]:
        """Return the usable units with their expiry; this instance's own units never expire."""
        return [
            (float(self.own_units(now)), inf),
            *(
                (float(borrowed.amount), borrowed.until)
                for borrowed in self.borrowed.values()
                if borrowed.amount and now < borrowed.until
            ),
        ]

    def _expire(self, now: float) -> None:
        for borrower, loan in list(self.loans.items()):
            if loan.reserved and now > loan.ready_at + COLLECT_WITHIN_S:
                loan.reserved = 0  # never granted, so the borrower used none of them
            if loan.amount and now >= loan.expires_at:
                self._quarantine(loan.expires_at, loan.amount)
                loan.amount = 0
            if not loan.amount and not loan.reserved and now > loan.expires_at + self._lender_lease_s():
                del self.loans[borrower]
        self.quarantined = [(until, amount) for until, amount in self.quarantined if until > now]

    # Lender.

    def handle_request(
        self, now: float, borrower: Borrower, request: LeaseRequest, spare: int, reclaim: int = 0
    ) -> LeaseGrant | None:
        """Answer a request, or return None if it is outdated or nothing is owned.

        Args:
            now: seconds of the caller's clock.
            borrower: name and process epoch.
            request: the request.
            spare: units that this instance does not need now.
            reclaim: lent units that this instance needs back.
        """
        self._expire(now)
        if not self._owns_share(now):
            return None
        loan = self.loans.get(borrower)
        if loan is None:
            loan = self.loans[borrower] = Loan()
        if not self._is_newer(loan, request):
            return None
        loan.number, loan.expires_at = request.number, now + self._lender_lease_s()
        self._shrink(now, loan, request.amount)
        if loan.reserved and self._may_grant(now, loan):
            loan.amount += loan.reserved
            loan.reserved = 0
        more = min(request.wanted - loan.amount - loan.reserved, spare, self.own_units(now))
        if more > 0 and not loan.reserved:
            loan.reserved, loan.ready_at = more, now + self._window_s()
            if self._may_grant(now, loan):
                loan.amount, loan.reserved = loan.amount + more, 0
        lent = sum(other.amount for other in self.loans.values())
        taken_back = -(-reclaim * loan.amount // lent) if lent else 0  # rounded up
        return LeaseGrant(request.number, max(0, loan.amount - taken_back))

    def _shrink(self, now: float, loan: Loan, amount: int) -> None:
        """Take back units that the borrower no longer uses, after the window in which they still count as used."""
        if amount < loan.amount:
            self._quarantine(now, loan.amount - amount)
            loan.amount = amount

    def spare_units(self, now: float, demand: float) -> int:
        """Return the owned units that this instance does not need."""
        return max(0, self.own_units(now) - self._needed(demand, BORROW_BELOW_ROOTS))

    def units_to_reclaim(self, now: float, demand: float) -> int:
        """Return the lent units to take back, since demand elsewhere must not push an instance below its own share."""
        return max(0, min(self.even_share, int(demand)) - self.own_units(now))

    # Borrower.

    def create_request(self, now: float, lender: str, wanted: int) -> LeaseRequest:
        """Return a request for `wanted` units in total; borrowed units above that are returned and no longer used."""
        borrowed = self.borrowed.setdefault(lender, BorrowedQuota())
        if now >= borrowed.until:
            borrowed.amount = 0
        borrowed.amount = min(borrowed.amount, wanted)
        self.number += 1
        borrowed.fruitless_requests = borrowed.fruitless_requests + 1 if wanted > borrowed.amount else 0
        borrowed.number, borrowed.requested_at = self.number, now
        borrowed.is_answered, borrowed.wanted = False, wanted
        return LeaseRequest(self.number, borrowed.amount, wanted)

    def handle_grant(self, now: float, lender: str, grant: LeaseGrant) -> None:
        """Apply a grant if it answers the latest request."""
        borrowed = self.borrowed.get(lender)
        if borrowed is None or not self._is_latest(borrowed, grant):
            return
        borrowed.is_answered = True
        if grant.amount > borrowed.amount:
            borrowed.fruitless_requests = 0
        borrowed.until = self._lease_starts_at(borrowed, now) + self.bounds.lease
        borrowed.amount = grant.amount

    def plan_requests(self, now: float, demand: float, spares: list[tuple[str, int]]) -> list[tuple[str, int]]:
        """Return the requests that are due: lender, and total units wanted from it.

        Args:
            now: seconds of the caller's clock.
            demand: units that this instance needs.
            spares: other members and their spare units by their last reports, in order of preference.
        """
        for lender, borrowed in list(self.borrowed.items()):
            if now >= borrowed.until and not borrowed.amount and now - borrowed.requested_at > COLLECT_WITHIN_S:
                del self.borrowed[lender]
        missing = self._needed(demand, BORROW_BELOW_ROOTS) - self.usable(now)
        current = {lender: borrowed.amount for lender, borrowed in self.borrowed.items() if now < borrowed.until}
        if missing <= 0:
            wanted = self._plan_return(now, demand, current)
        else:
            wanted = self._plan_borrowing(now, missing, current, spares)
        due: list[tuple[str, int]] = []
        for lender, amount in wanted.items():
            borrowed = self.borrowed.get(lender)
            if borrowed and now - borrowed.requested_at < self._interval_s(borrowed):
                continue
            if amount or borrowed and borrowed.amount:
                due.append((lender, amount))
        return due

    def _plan_return(self, now: float, demand: float, current: dict[str, int]) -> dict[str, int]:
        """Renew the leases except for units above the larger headroom."""
        surplus = self.usable(now) - self._needed(demand, RETURN_ABOVE_ROOTS)
        wanted = {}
        for lender in sorted(current):
            returned = max(0, min(current[lender], surplus))
            wanted[lender], surplus = current[lender] - returned, surplus - returned
        return wanted

    def _plan_borrowing(
        self, now: float, missing: int, current: dict[str, int], spares: list[tuple[str, int]]
    ) -> dict[str, int]:
        """Renew the leases, and request the missing units from some lenders in proportion to their spare units."""
        # Units that were just requested are reserved by now and no longer appear in the lender's reports.
        wanted = {
            lender: max(
                current.get(lender, 0),
                borrowed.wanted if borrowed.fruitless_requests < MAX_FRUITLESS_REQUESTS else 0,
            )
            for lender, borrowed in self.borrowed.items()
            if lender in current or borrowed.wanted
        }
        missing -= sum(amount - current.get(lender, 0) for lender, amount in wanted.items())
        if missing <= 0:
            return wanted
        chosen = [
            (lender, spare)
            for lender, spare in spares
            if spare > 0
            and lender != self.name
            and wanted.get(lender, 0) <= current.get(lender, 0)
            and not self._granted_nothing_recently(now, lender)
        ][:MAX_LENDERS]
        total_spare = sum(spare for _, spare in chosen)
        for lender, spare in chosen:
            portion = -(-missing * spare // total_spare)  # rounded up
            wanted[lender] = current.get(lender, 0) + min(spare, portion)
            if lender in self.borrowed:
                self.borrowed[lender].fruitless_requests = 0  # otherwise the units that it reserves now are never collected
        return wanted

    def _interval_s(self, borrowed: BorrowedQuota) -> float:
        return self.request_interval_s * (1.0 if borrowed.is_answered else UNANSWERED_FACTOR)

    def _granted_nothing_recently(self, now: float, lender: str) -> bool:
        borrowed = self.borrowed.get(lender)
        if borrowed is None or borrowed.fruitless_requests < MAX_FRUITLESS_REQUESTS:
            return False
        return now - borrowed.requested_at < COLLECT_WITHIN_S

    @staticmethod
    def _needed(demand: float, roots: float) -> int:
        """Return the units for a random demand, whose standard deviation is about its square root."""
        return int(demand + roots * sqrt(demand) + 1.0)


class QuotaMeter:
    """Sliding-window limiter: no window uses more units than the quota at the time of use.

    >>> meter = QuotaMeter(window=1.0); [meter.take(0.1 * n, quota=3) for n in range(5)], meter.take(1.05, quota=3)
    ([True, True, True, False, False], True)
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self.used_at: list[float] = []
        self.requested_at: list[float] = []

    def take(self, now: float, quota: int) -> bool:
        """Use one unit, or return False if the quota is used up."""
        self._drop_old(now)
        self.requested_at.append(now)
        if len(self.used_at) >= quota:
            return False
        self.used_at.append(now)
        return True

    def demand(self, now: float) -> int:
        """Return the units requested in the last window, including rejected ones."""
        self._drop_old(now)
        return len(self.requested_at)

    def _drop_old(self, now: float) -> None:
        for times in (self.used_at, self.requested_at):
            expired = 0
            while expired < len(times) and times[expired] <= now - self.window:
                expired += 1
            del times[:expired]
