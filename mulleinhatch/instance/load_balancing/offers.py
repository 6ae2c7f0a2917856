"""Room is offered, not guessed: an instance with room gives out a few short-lived offers, never more than room.

The giver counts an offer as room taken from when it is given until its end and what a datagram may take, or until an op comes
on it. So however many hear of a free instance, no more ops come than it has places: no herd can form. The taker has an offer
until its own clock says that it is over, counted from when it came, which is later than when it was given; one that comes on
an offer that is over is an op like any other. Each is used once.
"""

from __future__ import annotations

from typing import NamedTuple

from mulleinhatch.random_source import Chance

SLACK = 0.1  # seconds that an op may be under way after its offer's end
MOST_HELD = 64  # offers that a taker keeps
FADES = 5.0  # seconds after which what a peer did with our ops counts half
BAD, BAD_ENOUGH = 0.5, 1.5  # share of bad ends from which a peer's offers are left alone, and bad ones at least
REST = 3.0  # seconds for which a peer that broke off or was not there is left alone
NEEDS_LAST = 1.5  # seconds that a word on what somebody holds is worth an offer


class Given(NamedTuple):
    to: str
    until: float


class Giver:
    """
    >>> giver = Giver(offer_for=0.3, most=8, seed=1)
    >>> [(to, number) for to, number in giver.give(0.0, room=2, needs={"a": 5, "b": 1})]
    [('a', 1), ('a', 2)]
    >>> list(giver.give(0.1, room=2, needs={"a": 5})), giver.came(0.2, 1), giver.outstanding(0.2)
    ([], True, 1)
    >>> giver.came(0.2, 1), len(list(giver.give(0.41, room=2, needs={"a": 5})))
    (False, 2)
    """

    def __init__(self, offer_for: float, most: int, seed: int) -> None:
        self.offer_for, self.most, self.draw = offer_for, most, Chance(seed).below
        self.given: dict[int, Given] = {}
        self.number = 0
        self.counts = dict.fromkeys(("offers_given", "offers_used", "offers_over"), 0)

    def outstanding(self, now: float) -> int:
        for number in [number for number, given in self.given.items() if given.until <= now]:
            del self.given[number]
            self.counts["offers_over"] += 1
        return len(self.given)

    def give(self, now: float, room: int, needs: dict[str, int]) -> list[tuple[str, int]]:
        """To whom, and the offer's number. `needs` are ops that others hold, as heard lately; one of them is drawn by how
        much it needs, so that all that have room do not choose the neediest."""
        free = min(room - self.outstanding(now), self.most)
        had: dict[str, int] = {}
        for given in self.given.values():
            had[given.to] = had.get(given.to, 0) + 1
        wants = {name: need - had.get(name, 0) for name, need in sorted(needs.items()) if need > had.get(name, 0)}
        offers = []
        while free > 0 and wants:
            at = self.draw(sum(wants.values()))
            for name, want in wants.items():
                at -= want
                if at < 0:
                    break
            wants[name] -= 1
            if not wants[name]:
                del wants[name]
            free -= 1
            self.number += 1
            self.given[self.number] = Given(name, now + self.offer_for + SLACK)
            self.counts["offers_given"] += 1
            offers.append((name, self.number))
        return offers

    def came(self, now: float, number: int) -> bool:
        """An op on an offer of ours: its place is now taken by the op itself."""
        used = self.given.pop(number, None) is not None
        self.counts["offers_used"] += used
        return used


class Offered(NamedTuple):
    giver: str
    at: str  # host:port where its ops go
    number: int
    until: float


class Deeds:
    """What a peer did with our ops, faded."""

    __slots__ = ("bad", "all", "at", "rests_until")

    def __init__(self) -> None:
        self.bad = self.all = 0.0
        self.at = self.rests_until = -1e9

    def fade(self, now: float) -> None:
        left = 0.5 ** (max(0.0, now - self.at) / FADES)
        self.bad, self.all, self.at = left * self.bad, left * self.all, now


class Taker:
    """Offers heard, and which of them an op goes on.

    >>> taker = Taker(seed=1)
    >>> taker.heard(0.0, "b", "h:1", 7, lasts=0.3); taker.heard(0.0, "b", "h:1", 7, lasts=0.3); taker.count(0.1)
    1
    >>> taker.take(0.1).number, taker.take(0.1), taker.count(0.1)
    (7, None, 0)
    >>> for number in range(3):
    ...     taker.ended(0.2, "b", bad=True)
    >>> taker.heard(0.2, "b", "h:1", 8, lasts=0.3); taker.count(0.2)     # a black hole looks idle
    0
    """

    def __init__(self, seed: int) -> None:
        self.draw = Chance(seed).below
        self.offers: list[Offered] = []
        self.deeds: dict[str, Deeds] = {}
        self.last: dict[str, int] = {}  # by giver: the highest number heard; a repeated datagram brings nothing new
        self.shunned: set[str] = set()  # by the fleet's verdict
        self.counts = dict.fromkeys(("offers_heard", "offers_unused", "offers_shunned"), 0)

    def heard(self, now: float, giver: str, at: str, number: int, lasts: float) -> None:
        if number <= self.last.get(giver, 0):
            return
        self.last[giver] = number
        self.counts["offers_heard"] += 1
        if self.well(now, giver):
            self.offers.append(Offered(giver, at, number, now + lasts))
            del self.offers[:-MOST_HELD]
        else:
            self.counts["offers_shunned"] += 1

    def new_life(self, giver: str) -> None:
        self.last.pop(giver, None)
        self.offers = [offer for offer in self.offers if offer.giver != giver]

    def well(self, now: float, giver: str) -> bool:
        if giver in self.shunned:
            return False
        deeds = self.deeds.get(giver)
        if deeds is None:
            return True
        deeds.fade(now)
        return now >= deeds.rests_until and not (deeds.bad >= BAD_ENOUGH and deeds.bad >= BAD * deeds.all)

    def count(self, now: float) -> int:
        before = len(self.offers)
        self.offers = [offer for offer in self.offers if offer.until > now and self.well(now, offer.giver)]
        self.counts["offers_unused"] += before - len(self.offers)
        return len(self.offers)

    def take(self, now: float) -> Offered | None:
        """By chance among those that are good still: the freshest would be everybody's choice."""
        if not self.count(now):
            return None
        return self.offers.pop(self.draw(len(self.offers)))

    def ended(self, now: float, giver: str, bad: bool, gone: bool = False) -> None:
        """What became of an op there; `gone`: it broke off, or was not there."""
        deeds = self.deeds.setdefault(giver, Deeds())
        deeds.fade(now)
        deeds.bad, deeds.all = deeds.bad + bad, deeds.all + 1.0
        if gone:
            deeds.rests_until = now + REST
            self.offers = [offer for offer in self.offers if offer.giver != giver]
        if len(self.deeds) > 1000:
            for name in [name for name, seen in self.deeds.items() if now - seen.at > 10.0 * FADES]:
                del self.deeds[name]

    def opinions(self, now: float, most: int) -> list[tuple[str, int, int]]:
        """Of peers by what became of our ops: name, percent bad, ops. The worst first, and good ones beside them."""
        said = []
        for name, deeds in sorted(self.deeds.items()):
            deeds.fade(now)
            if deeds.all >= 0.5:
                said.append((name, round(100.0 * deeds.bad / deeds.all), max(1, round(deeds.all))))
        said.sort(key=lambda told: (-told[1], -told[2], told[0]))
        return said[:most]
