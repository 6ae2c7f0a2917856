"""One instance's side of the spread: what it has room for and holds goes in; offers, wants and a wish come out.

No I/O, no clock. Stands on `fleet/` for members, figures and letters. It falls back to what each does alone, in this order: a
leaving instance only gives away; in a storm nothing passes (a repeat handed on is a repeat still); who hears nobody, is
frozen or of whose fleet most look ill neither offers nor asks; without offers it may guess by two reports. All is counted.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from mulleinhatch.instance.gossip import messages as words
from mulleinhatch.instance.gossip.core import Fleet, interpreter_of
from mulleinhatch.instance.gossip.counters import Row
from mulleinhatch.instance.gossip.messages import Letter, Offer
from mulleinhatch.instance.load_balancing.bounds import SpreadBounds
from mulleinhatch.instance.load_balancing.estimates import SCATTER, Estimate, Evidence, Window, drawn, usual
from mulleinhatch.instance.load_balancing.offers import NEEDS_LAST, Giver, Offered, Taker
from mulleinhatch.instance.load_balancing.shares import Seen, Share

PACE_MEMORY = 10.0  # seconds over which runs, and ops that came, tell of us
LOAD_MEMORY = 8.0
ASKED = 2  # members that are told a beat what we want, besides those that are written to anyway
GUESS_FRESH = 1.0  # seconds: an older report is nothing to guess by
GUESS_ROOM = 2  # places free at least, less what we sent there since
FAILING, FEW_RUNS = 0.5, 4.0  # of own runs: who fails that many offers no room, however idle it looks
EVEN_EVERY = 0.5  # seconds between looks at how full the fleet is


class Here(NamedTuple):
    """What this instance knows of itself just now."""

    room: int  # ops that could start at once
    held: int  # that it holds and might hand over
    places: int  # ops that may run at a time
    leaving: bool = False
    storm: bool = False


class Spread:
    def __init__(self, bounds: SpreadBounds, fleet: Fleet, seed: int, now: float, returns: bool) -> None:
        self.bounds, self.fleet = bounds, fleet
        self.giver = Giver(bounds.offer_for, bounds.most_offers, seed)
        self.taker = Taker(seed + 1)
        self.share = Share(bounds.step, bounds.step_every, seed + 2, now, returns)
        self.pace, self.loads = Window(PACE_MEMORY), Window(LOAD_MEMORY)
        self.failed = Window(PACE_MEMORY)
        self.needs: dict[str, tuple[int, float]] = {}
        self.lives: dict[str, int] = {}
        self.sent_to: dict[str, list[float]] = {}  # guesses of ours, by member
        self.counts: Counter[str] = Counter()
        self.here = Here(0, 0, 1)
        self.started, self.evened_at = now, now
        self.seen = Seen(0.0, -1.0)
        self.wish = 0.0
        self.letters: list[tuple[str, bytes]] = []  # to be sent since the last beat
        self.guessed_at = now
        fleet.listeners.append(self._letter)

    # What happens here.

    def came(self, now: float, work: float) -> None:
        """An op of our own callers: by its work, or as one where none is told."""
        self.loads.add(now, work or 1.0)

    def ran(self, now: float, seconds: float, work: float, failed: bool) -> None:
        self.pace.add(now, seconds / (work or 1.0))
        self.failed.add(now, float(failed))

    def beat(self, now: float, here: Here) -> list[tuple[str, bytes]]:
        """Letters to be sent. `offered` and `wish` may have changed."""
        self.here = here
        letters, self.letters = self.letters, []
        self._forget(now)
        self.taker.shunned = {
            name for name in self.fleet.members.alive() if name in self.fleet.out or interpreter_of(name) in self.fleet.out
        }
        held_back = self.held_back()
        if held_back:
            self.counts["held_back_" + held_back] += 1
        self.fleet.want = here.held if self.bounds.hand_over and not held_back else 0
        if self.fleet.want and not self.taker.count(now):
            letters += self._ask(now)
        letters += self._give(now)
        if now - self.evened_at >= EVEN_EVERY:
            self.evened_at = now
            self._look_round(now)
        self.wish = self.share.beat(now, self.seen) if self.bounds.advice else 0.0
        return letters

    def nudge(self, now: float, here: Here) -> list[tuple[str, bytes]]:
        """An op came or a run ended between two beats: who just began to hold asks at once, who just got room offers it."""
        before, self.here = self.here, here
        letters = self._give(now) if here.room and self.needs else []
        if here.held and not before.held and self.bounds.hand_over and not self.taker.count(now) and not self.held_back():
            self.fleet.want = here.held
            letters += self._ask(now)
        return letters

    def held_back(self) -> str:
        """Why nothing is handed over just now; empty where it may be."""
        fleet = self.fleet
        if self.here.storm:
            return "storm"
        if fleet.members.frozen or not fleet.members.alive():
            return "deaf"
        return "sick" if fleet.verdicts.held_back > 1 and not fleet.out else ""

    def _forget(self, now: float) -> None:
        for name in [name for name, (_, at) in self.needs.items() if now - at > NEEDS_LAST]:
            del self.needs[name]
        for name in [name for name, times in self.sent_to.items() if now - times[-1] > GUESS_FRESH]:
            del self.sent_to[name]

    # Letters.

    def _letter(self, now: float, letter: Letter) -> None:
        if letter.life != self.lives.get(letter.sender):
            self.lives[letter.sender] = letter.life
            self.taker.new_life(letter.sender)
        for offer in letter.offers:
            self.taker.heard(now, letter.sender, offer.at, offer.number, offer.lasts)
        if letter.want:
            self.needs[letter.sender] = letter.want, now
            self.letters += self._give(now)
        else:
            self.needs.pop(letter.sender, None)

    def said(self) -> list[tuple[str, bytes]]:
        """What letters that came made us write; to be sent at once."""
        letters, self.letters = self.letters, []
        return letters

    def _give(self, now: float) -> list[tuple[str, bytes]]:
        if not self.bounds.hand_over or not self.needs or self.held_back() or self.here.leaving or self._fails(now):
            return []
        offers: dict[str, list[Offer]] = {}
        for to, number in self.giver.give(now, self.here.room, {name: need for name, (need, _) in self.needs.items()}):
            offers.setdefault(to, []).append(Offer(number, self.bounds.offer_for, self.bounds.at))
        return [letter for to, several in offers.items() for letter in self.fleet.word_to(now, to, offers=several)]

    def _fails(self, now: float) -> bool:
        failed = self.failed.evidence(now)
        fails = failed.count >= FEW_RUNS and failed.mean >= FAILING
        self.counts["held_back_failing"] += fails
        return fails

    def _ask(self, now: float) -> list[tuple[str, bytes]]:
        """What we want, which stands in each letter, to some that are not written to anyway."""
        return [letter for name in self._to_ask(now) for letter in self.fleet.word_to(now, name)]

    def _to_ask(self, now: float) -> list[str]:
        """Those that told of room lately, by chance; others where too few did."""
        fleet = self.fleet
        there = fleet.members.alive()
        with_room = [
            name
            for name, row in fleet.known.rows.items()
            if now - row.made_at <= fleet.known.fresh and row.value("room") > 0.0 and name in fleet.members.view
        ]
        chosen = [with_room.pop(self.taker.draw(len(with_room))) for _ in range(min(ASKED, len(with_room)))]
        while len(chosen) < min(ASKED, len(there)):
            name = there.pop(self.taker.draw(len(there)))
            if name not in chosen:
                chosen.append(name)
        return chosen

    # Handing over.

    def offered(self, now: float) -> int:
        """Ops that peers have room for, as the module is told."""
        if not self.bounds.hand_over or self.held_back():
            return 0
        return self.taker.count(now) or int(self._guess(now) is not None)

    def take(self, now: float) -> Offered | None:
        """Where the op goes that the module hands over; None where what was offered is over by now."""
        if offer := self.taker.take(now):
            self.counts["handed_on_offers"] += 1
            return offer
        if guess := self._guess(now):
            self.guessed_at = now
            self.sent_to.setdefault(guess.giver, []).append(now)
            self.counts["handed_on_guesses"] += 1
        return guess

    def _guess(self, now: float) -> Offered | None:
        """Of two by chance the one with more room by its report, less what we sent there since; at most one a beat."""
        if not self.bounds.guesses or now - self.guessed_at < self.fleet.bounds.beat:
            return None
        known = [
            (row.value("room") - len(self.sent_to.get(name, ())), name, row)
            for name, row in self.fleet.known.rows.items()
            if now - row.made_at <= GUESS_FRESH
            and row.report.at
            and self.taker.well(now, name)
            and row.value("healthy")
            and name in self.fleet.members.view
        ]
        known = [told for told in known if told[0] >= GUESS_ROOM]
        if len(known) < 2:
            return None
        first, second = self.taker.draw(len(known)), self.taker.draw(len(known))
        _, name, row = max(known[first], known[second], key=lambda told: told[:2])
        return Offered(name, row.report.at, 0, now)

    def ended(self, now: float, offer: Offered, bad: bool, gone: bool) -> None:
        self.taker.ended(now, offer.giver, bad, gone)

    def opinions(self, now: float) -> list[tuple[str, int, int]]:
        return [(interpreter_of(name), bad, evidence) for name, bad, evidence in self.taker.opinions(now, 2)]

    # How full we are and the fleet is.

    def figures(self, now: float) -> list[int]:
        """Ours for the report, by `FIGURES`: places, evidence and figures of pace and load."""
        pace, load = self.pace.evidence(now), self._own_load(now)
        return [
            self.here.places,
            round(10 * pace.count),
            round(1000 * min(1e6, pace.mean)),
            round(10 * load.count),
            round(1000 * min(1e6, load.mean)),
        ]

    def estimate(self, now: float) -> Estimate | None:
        """Our pace, drawn towards that of our like."""
        return self._drawn_to(now, *self._like(now))

    def _drawn_to(self, now: float, mean: float, differ: float) -> Estimate | None:
        return drawn(now, self.pace.evidence(now), self.pace.scatter(), mean, differ)

    def _like(self, now: float) -> tuple[float, float]:
        """Of those with as many places: mean pace and how far they differ."""
        rows = [row for row in self._fresh(now) if row.value("places") == self.here.places]
        return usual([self._evidence(row, "pace_runs", "pace") for row in rows], SCATTER)

    def _fresh(self, now: float) -> list[Row]:
        return [
            row
            for name, row in self.fleet.known.rows.items()
            if now - row.made_at <= self.fleet.known.fresh
            and (member := self.fleet.members.view.get(name))
            and member.state <= words.SUSPECT
        ]

    @staticmethod
    def _evidence(row: Row, count: str, figure: str) -> Evidence:
        return Evidence(row.value(count) / 10.0, row.value(figure) / 1000.0, row.made_at)

    def _own_load(self, now: float) -> Evidence:
        """Work that came over what can be served: by the time of a slot that it takes here."""
        came = self.loads.evidence(now)
        span = LOAD_MEMORY * (1.0 - 2.718281828459045 ** (-max(0.1, now - self.started) / LOAD_MEMORY))
        pace = self.pace.evidence(now).mean
        return Evidence(came.count, came.count * came.mean * pace / span / max(1, self.here.places), came.at)

    def _look_round(self, now: float) -> None:
        """The fleet's figure needs half of the members: nobody moves on the word of a few."""
        rows = self._fresh(now)
        if self.fleet.members.frozen or 2 * len(rows) < len(self.fleet.members.alive()) or not rows:
            self.seen = Seen(0.0, -1.0)
            return
        loads = [self._evidence(row, "load_ops", "load") for row in rows]
        mean, differ = usual(loads, 1.0)
        own = drawn(now, self._own_load(now), 1.0, mean, differ)
        like, apart = self._like(now)
        pace = self._drawn_to(now, like, apart)
        self.seen = Seen(own.value if own else 0.0, mean, pace.value / like if pace and like else 0.0)
