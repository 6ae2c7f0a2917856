"""A total for the fleet that all together never exceed: even parts that are one's own, and leased ones that move.

Each seat owns an even part for good: a cut-off member lives on it. What it can spare it lends. The giver loses first: it stops
using what it lends, waits a window, and only then gives; it has it back a window after the lease ran out by its own clock,
stretched by the drift, counted from a later moment than the taker's. So no word between them has to arrive for the sum
to stay within the total. `Part` is one budget in one instance; `simulation/budget_model_checker.py` drives it.
"""

from __future__ import annotations

from math import inf, sqrt
from typing import NamedTuple

from mulleinhatch.instance.gossip.bounds import BudgetBounds

ASK_EVERY, ASK_AGAIN = 0.7, 2.0  # seconds with an answer; and times that without one
ROOM, KEEP = 1.0, 2.0  # square roots of its demand beside it: kept or wished for, and given back above
GIVERS = 4  # asked at a time
TRIES = 4  # asks without more, after which no more is hoped for from there
COLLECT = 3.0  # seconds that what was set aside for an asker waits for its next ask
Asker = tuple[str, int]  # name and life


class Ask(NamedTuple):
    number: int
    have: int  # the asker uses no more of ours than this from now on
    want: int


class Give(NamedTuple):
    number: int  # of the ask that it answers
    have: int


class Loan:
    """What one asker may have of ours: `amount` until `until`; `aside` is set aside and given after `ready`."""

    __slots__ = ("amount", "until", "number", "aside", "ready")

    def __init__(self) -> None:
        self.amount = self.number = self.aside = 0
        self.until = self.ready = -1e9


class Borrowed:
    """What we may use of another's part, by our own clock."""

    __slots__ = ("amount", "until", "number", "asked_at", "answered", "want", "tries")

    def __init__(self) -> None:
        self.amount = self.number = self.want = self.tries = 0
        self.until = self.asked_at = -1e9
        self.answered = True


class Part:
    """
    >>> bounds = BudgetBounds("q", total=20, seats=("a", "b"), window=1.0, lease=5.0)
    >>> a, b = Part(bounds, "a", 0.0), Part(bounds, "b", 0.0)
    >>> a.usable(0.0), a.usable(7.0), b.usable(7.0)
    (0, 10, 10)
    >>> a.asked(7.0, ("b", 1), b.ask(7.0, "a", 4), spare=6), a.usable(7.0)      # set aside, not given yet
    (Give(number=1, have=0), 6)
    >>> give = a.asked(8.5, ("b", 1), b.ask(8.5, "a", 4), spare=6); b.given(8.6, "a", give); b.usable(8.6), a.usable(8.6)
    (14, 6)
    >>> b.usable(13.4), b.usable(13.5), a.usable(14.6), a.usable(14.7)      # no word since: back, after drift and window
    (14, 10, 6, 10)
    """

    def __init__(self, bounds: BudgetBounds, name: str, now: float, ask_every: float = ASK_EVERY) -> None:
        self.bounds, self.name, self.ask_every = bounds, name, ask_every
        # In levels `name` is that of the seat, with its place: who has the same name elsewhere owns another part or none.
        self.home = bounds.total // len(bounds.seats) if name in bounds.seats else 0
        # What an earlier life of ours lent is not known here: until that is back for certain nothing is ours.
        self.ours_from = now + self._lent_for() + self._rest()
        self.loans: dict[Asker, Loan] = {}
        self.cooling: list[tuple[float, int]] = []  # until when it may still have been used by others
        self.borrowed: dict[str, Borrowed] = {}
        self.number = 0
        self.stripped = False  # another instance goes by our name

    def _lent_for(self) -> float:
        return self.bounds.lease * (1.0 + self.bounds.drift)

    def _rest(self) -> float:
        """A window by any member's clock: what was used just before counts for so long."""
        return self.bounds.window * (1.0 + self.bounds.drift)

    # The guards, each by itself, so that the checker can take out one.

    def _may_give(self, now: float, loan: Loan) -> bool:
        return now >= loan.ready

    def _is_latest(self, have: Borrowed, give: Give) -> bool:
        """An older answer may tell of what the giver took back since, on a later word of ours."""
        return give.number == have.number

    def _is_newer(self, loan: Loan, ask: Ask) -> bool:
        return ask.number > loan.number

    def _counted_from(self, have: Borrowed, now: float) -> float:
        """The lease runs from when we asked: the giver's runs from when it heard, which is later."""
        return have.asked_at

    def _is_ours(self, now: float) -> bool:
        return now >= self.ours_from and not self.stripped

    def _cools(self, now: float, amount: int) -> None:
        if amount:
            self.cooling.append((now + self._rest(), amount))

    # What we may use.

    def own(self, now: float) -> int:
        """Of our even part, what is not lent, set aside or cooling."""
        self._pass_time(now)
        if not self._is_ours(now):
            return 0
        lent = sum(loan.amount + loan.aside for loan in self.loans.values())
        return self.home - lent - sum(amount for _, amount in self.cooling)

    def usable(self, now: float, lasts: float = 0.0) -> int:
        """Units that may be used now; with `lasts`, by what holds them for so long."""
        return self.own(now) + sum(have.amount for have in self.borrowed.values() if now + lasts < have.until)

    def pieces(self, now: float) -> list[tuple[float, float]]:
        """What may be used, as units and until when: our own without an end, since only we can give it away."""
        return [
            (float(self.own(now)), inf),
            *((float(have.amount), have.until) for have in self.borrowed.values() if have.amount and now < have.until),
        ]

    def _pass_time(self, now: float) -> None:
        for asker, loan in list(self.loans.items()):
            if loan.aside and now > loan.ready + COLLECT:
                loan.aside = 0  # nobody used it: it is ours again at once
            if loan.amount and now >= loan.until:
                self._cools(loan.until, loan.amount)
                loan.amount = 0
            if not loan.amount and not loan.aside and now > loan.until + self._lent_for():
                del self.loans[asker]
        self.cooling = [(until, amount) for until, amount in self.cooling if until > now]

    # As a giver.

    def asked(self, now: float, asker: Asker, ask: Ask, spare: int, needed: int = 0) -> Give | None:
        """`spare` is what we can do without now; `needed` what we lack, and take back from what is lent."""
        self._pass_time(now)
        if not self._is_ours(now):
            return None
        loan = self.loans.get(asker)
        if loan is None:
            loan = self.loans[asker] = Loan()
        if not self._is_newer(loan, ask):
            return None
        loan.number, loan.until = ask.number, now + self._lent_for()
        if ask.have < loan.amount:
            self._cools(now, loan.amount - ask.have)
            loan.amount = ask.have
        if loan.aside and self._may_give(now, loan):
            loan.amount += loan.aside
            loan.aside = 0
        more = min(ask.want - loan.amount - loan.aside, spare, self.own(now))
        if more > 0 and not loan.aside:
            loan.aside, loan.ready = more, now + self._rest()
            if self._may_give(now, loan):
                loan.amount, loan.aside = loan.amount + more, 0
        lent = sum(other.amount for other in self.loans.values())
        return Give(ask.number, max(0, loan.amount - (-(-needed * loan.amount // lent) if lent else 0)))

    # As a taker.

    def ask(self, now: float, giver: str, want: int) -> Ask:
        have = self.borrowed.setdefault(giver, Borrowed())
        if now >= have.until:
            have.amount = 0
        have.amount = min(have.amount, want)
        self.number += 1
        have.tries = have.tries + 1 if want > have.amount else 0
        have.number, have.asked_at, have.answered, have.want = self.number, now, False, want
        return Ask(self.number, have.amount, want)

    def given(self, now: float, giver: str, give: Give) -> None:
        have = self.borrowed.get(giver)
        if have is None or not self._is_latest(have, give):
            return
        have.answered = True
        if give.have > have.amount:
            have.tries = 0
        have.until = self._counted_from(have, now) + self.bounds.lease
        have.amount = give.have

    # Whom to ask for how much.

    def plan(self, now: float, demand: float, spares: list[tuple[str, int]]) -> list[tuple[str, int]]:
        """Asks that are due: giver and what is wished for in all. `spares` are others with what they can do without, the
        most first, as their last reports said."""
        due: list[tuple[str, int]] = []
        for giver, have in list(self.borrowed.items()):
            if now >= have.until and not have.amount and now - have.asked_at > COLLECT:
                del self.borrowed[giver]
        lacks = self._wished(demand, ROOM) - self.usable(now)
        held = {giver: have.amount for giver, have in self.borrowed.items() if now < have.until}
        if lacks <= 0:
            give_back = self.usable(now) - self._wished(demand, KEEP)  # between the two nothing moves
            wants = {}
            for giver in sorted(held):
                back = max(0, min(held[giver], give_back))
                wants[giver], give_back = held[giver] - back, give_back - back
        else:
            # What was asked for a moment ago is set aside by now, and no longer in its giver's reports.
            wants = {
                giver: max(held.get(giver, 0), have.want if have.tries < TRIES else 0)
                for giver, have in self.borrowed.items()
                if giver in held or have.want
            }
            lacks -= sum(want - held.get(giver, 0) for giver, want in wants.items())
            chosen = [
                (giver, spare)
                for giver, spare in spares
                if spare > 0
                and giver != self.name
                and wants.get(giver, 0) <= held.get(giver, 0)
                and not self._gave_nothing(now, giver)
            ][:GIVERS]
            whole = sum(spare for _, spare in chosen)
            for giver, spare in chosen if lacks > 0 else ():
                wants[giver] = held.get(giver, 0) + min(spare, -(-lacks * spare // whole))
                if giver in self.borrowed:
                    self.borrowed[giver].tries = 0  # else what it sets aside now would not be collected
        for giver, want in wants.items():
            have = self.borrowed.get(giver)
            if have and now - have.asked_at < self.ask_every * (1.0 if have.answered else ASK_AGAIN):
                continue
            if want or have and have.amount:
                due.append((giver, want))
        return due

    def _gave_nothing(self, now: float, giver: str) -> bool:
        have = self.borrowed.get(giver)
        return have is not None and have.tries >= TRIES and now - have.asked_at < COLLECT

    def spare(self, now: float, demand: float) -> int:
        return max(0, self.own(now) - self._wished(demand, ROOM))

    @staticmethod
    def _wished(demand: float, roots: float) -> int:
        """What a demand that comes by chance needs: its root is how much it scatters."""
        return int(demand + roots * sqrt(demand) + 1.0)

    def needed(self, now: float, demand: float) -> int:
        """What of the lent we want back: as an own part beyond which others' demand must not push us."""
        return max(0, min(self.home, int(demand)) - self.own(now))


class Meter:
    """Keeps one instance to its part of a rate: in no window are more units used than the part that held then.

    >>> meter = Meter(window=1.0); [meter.take(0.1 * n, part=3) for n in range(5)], meter.take(1.05, part=3)
    ([True, True, True, False, False], True)
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self.used: list[float] = []
        self.asked: list[float] = []

    def take(self, now: float, part: int) -> bool:
        self._pass(now)
        self.asked.append(now)
        if len(self.used) >= part:
            return False
        self.used.append(now)
        return True

    def demand(self, now: float) -> int:
        """Units asked for in the last window, those refused too."""
        self._pass(now)
        return len(self.asked)

    def _pass(self, now: float) -> None:
        for times in (self.used, self.asked):
            gone = 0
            while gone < len(times) and times[gone] <= now - self.window:
                gone += 1
            del times[:gone]
