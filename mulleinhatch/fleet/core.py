"""One instance's side of the fleet: a beat or a datagram goes in, datagrams and news come out. No I/O, no clock.

Members, counts, budgets and judgements each keep their own state; here their words are put into letters that fit, and taken
apart again. What is local is told at each beat as `Local`; what the module may hear is asked of `parts`.
"""
from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from mulleinhatch.fleet import words
from mulleinhatch.fleet.bounds import FleetBounds
from mulleinhatch.fleet.budgets import Ask, Give, Part
from mulleinhatch.fleet.counts import FIGURES, FRESH, MOST_LOUD, Counts
from mulleinhatch.fleet.judgements import Verdicts
from mulleinhatch.fleet.members import Change, Members
from mulleinhatch.fleet.words import MOST_BYTES, Letter, Report, Trade, Unfit

MOST_MEMBERS = 1000
REPORT_EVERY = 0.3      # seconds between reports of our own
ENVELOPE = 64           # bytes of a letter beside its names and lists, at most
RUMOURS = 780           # bytes of it for rumours, at most; reports get the rest
JUDGE_EVERY = 0.5
MOST_OPINIONS = 3       # in a report
SMOOTH = 3.0            # seconds that demand is smoothed over


def interpreter_of(name: str) -> str:
    """The subject of opinions on a member's interpreter."""
    return f"interpreter of {name}"[:40]


class Local(NamedTuple):
    """What this instance says of itself, by `FIGURES`; demand by budget in units a window; its loudest tenants; opinions."""

    figures: list[int] = [0] * len(FIGURES)
    demands: tuple[float, ...] = ()
    loudest: list[tuple[str, float]] = []
    opinions: list[tuple[str, int, int]] = []       # subject, percent of the evidence that is bad, pieces of it


class Fleet:
    """
    >>> bounds = FleetBounds("f", seeds=("10.0.0.1:1",), beat=0.1)
    >>> one, two = Fleet(bounds, "a", "10.0.0.1:1", 7, 1, 0.0), Fleet(bounds, "b", "10.0.0.1:2", 8, 2, 0.0)
    >>> [(to, datagram)] = two.beat(0.1, Local()); to
    '10.0.0.1:1'
    >>> [(to, datagram)] = one.datagram(0.1, datagram); to, one.members.alive()
    ('10.0.0.1:2', ['b'])
    >>> two.datagram(0.2, datagram), two.members.alive(), two.datagram(0.2, b"?"), two.counts["unfit_garbage"]
    ([], ['a'], [], 1)
    """

    def __init__(self, bounds: FleetBounds, name: str, address: str, life: int, seed: int, now: float) -> None:
        self.bounds, self.name = bounds, name
        self.members = Members(name, address, life, bounds, seed, now)
        self.known = Counts(MOST_MEMBERS)
        self.verdicts = Verdicts()
        self.parts = [Part(budget, name, now) for budget in bounds.budgets]
        self.local, self.demands, self.beat_at = Local(), [0.0] * len(self.parts), now
        self.counts: Counter[str] = Counter()
        self.reported_at, self.judged_at, self.reports = -1e9, now, 0
        self.order: list[str] = []      # whose reports are passed on next
        self.out: list[str] = []
        self.ops_at = ""    # where peers may send ops, if they may
        self.want = 0       # ops that we hold and would hand over, told in each letter
        # For who stands on us: each letter of a member's present life.
        self.listeners: list[Callable[[float, Letter], None]] = []
        # Of interpreters as the host says, and of members by our own probes, as in our last report.
        self.said: list[tuple[str, int, int]] = []

    # What comes in.

    def beat(self, now: float, local: Local) -> list[tuple[str, bytes]]:
        self.local = local
        weight, self.beat_at = min(1.0, (now - self.beat_at) / SMOOTH), now
        for place, demand in enumerate(local.demands[:len(self.demands)]):
            self.demands[place] += weight * (demand - self.demands[place])
        if now - self.reported_at >= REPORT_EVERY:
            self._report(now)
        errands = list(self.members.beat(now))
        doubled = self.members.doubled(now)
        for place, part in enumerate(self.parts):
            part.stripped = doubled
            errands += self._asks(now, place, part)
        if now - self.judged_at >= JUDGE_EVERY:
            self.judged_at = now
            self.known.forget(now)
            self._judge(now)
        return [self._sent(now, *errand) for errand in errands]

    def datagram(self, now: float, data: bytes) -> list[tuple[str, bytes]]:
        """Whatever it is; what is none of ours is counted and dropped."""
        self.counts["datagrams_heard"] += 1
        try:
            letter = words.decode(data, self.bounds.fleet)
        except Unfit as error:
            self.counts[f"unfit_{error}"] += 1
            return []
        return [self._sent(now, *errand) for errand in self.letter(now, letter)]

    def letter(self, now: float, letter: Letter) -> list[tuple[str, dict]]:
        if letter.sender not in self.members.view and len(self.members.view) >= MOST_MEMBERS:
            self.counts["members_refused"] += 1
            return []
        errands = list(self.members.heard(now, letter))
        if letter.sender == self.name or letter.life < self.members.view[letter.sender].life:
            return errands
        for report in letter.reports:
            if report.name != self.name and report.name in self.members.view and self.known.heard(now, report):
                for subject, bad, evidence in report.opinions:
                    self.verdicts.heard(now, report.name, subject, bad / 100.0, evidence, report.age)
        for listener in self.listeners:
            listener(now, letter)
        answers = [answer for trade in letter.trades if (answer := self._trade(now, letter, trade))]
        if answers:
            errands.append((letter.address, {"what": "word", "to": letter.sender, "trades": answers}))
        return errands

    def leave(self, now: float) -> list[tuple[str, bytes]]:
        """In order: what is borrowed goes back, and some are told."""
        errands = list(self.members.leave())
        for place, part in enumerate(self.parts):
            for giver, have in part.borrowed.items():
                if have.amount and giver in self.members.view:
                    errands.append(self._ask(now, place, part, giver, 0))
        return [self._sent(now, *errand) for errand in errands]

    def changes(self) -> list[Change]:
        told, self.members.changes = self.members.changes, []
        return told

    def word_to(self, now: float, name: str, **told: object) -> list[tuple[str, bytes]]:
        """A short word to a member, with `offers` or `more`; none to one that we do not know. What others think and count goes
        along with the beats: hundreds of these a second would pay for it each."""
        member = self.members.view.get(name)
        return [self._sent(now, member.address, {"what": "word", "to": name, "short": True, **told})] if member else []

    # Budgets.

    def _asks(self, now: float, place: int, part: Part) -> Iterator[tuple[str, dict]]:
        demand = self._demand(place)
        spares = []
        if part.usable(now) < demand + 1:
            for name, row in self.known.rows.items():
                if now - row.made_at <= FRESH and place < len(row.report.spares) and self._there(name):
                    spares.append((name, row.report.spares[place]))
            # Not all to the richest: who has much is chosen by chance, or all that lack would ask the same one.
            start = self.members.draw(len(spares)) if spares else 0
            spares = sorted(spares[start:] + spares[:start], key=lambda spare: -spare[1].bit_length())
        for giver, want in part.plan(now, demand, spares):
            if giver in self.members.view:
                yield self._ask(now, place, part, giver, want)

    def _there(self, name: str) -> bool:
        member = self.members.view.get(name)
        return member is not None and member.state == words.ALIVE

    def _demand(self, place: int) -> float:
        """Of the last seconds: parts that ran after each window's chance would never rest."""
        return self.demands[place]

    def _ask(self, now: float, place: int, part: Part, giver: str, want: int) -> tuple[str, dict]:
        ask = part.ask(now, giver, want)
        self.counts["asks"] += 1
        return self.members.view[giver].address, {"what": "word", "to": giver, "trades": [
            Trade(place, ask.number, False, ask.have, ask.want)]}

    def _trade(self, now: float, letter: Letter, trade: Trade) -> Trade | None:
        if trade.budget >= len(self.parts):
            self.counts["trades_unknown"] += 1
            return None
        part, demand = self.parts[trade.budget], self._demand(trade.budget)
        if trade.give:
            if trade.life == self.members.life:
                part.given(now, letter.sender, Give(trade.number, trade.have))
                self.counts["gives_heard"] += 1
            return None
        give = part.asked(now, (letter.sender, letter.life), Ask(trade.number, trade.have, trade.want),
                          part.spare(now, demand), part.needed(now, demand))
        return give and Trade(trade.budget, give.number, True, give.have, 0, letter.life)

    def part(self, now: float, place: int, lasts: float = 0.0) -> int:
        """Units of a budget that this instance may use now."""
        return self.parts[place].usable(now, lasts)

    # Judgements.

    def _judge(self, now: float) -> None:
        for subject, bad, evidence in self.said:
            self.verdicts.heard(now, self.name, subject, bad / 100.0, evidence)
        self.out = self.verdicts.judge(now, {self.name, *self.members.alive()}, self.members.frozen)

    def judged_ill(self) -> bool:
        """Whether the others' verdict is that we, or our interpreter, should not serve. Nobody's while we hear nobody."""
        return not self.members.frozen and (self.name in self.out or interpreter_of(self.name) in self.out)

    def free(self, now: float) -> float:
        """`Counts.free` of the others; not known while most are silent to us."""
        return -1.0 if self.members.frozen else self.known.free(now, set(self.members.alive()))

    # Letters.

    def _report(self, now: float) -> None:
        self.reported_at = now
        self.reports += 1
        # In every other: they make a report half as long again, and more reports pass on in a letter without.
        self.said = [*self.local.opinions, *self.members.opinions(now)][:MOST_OPINIONS] if self.reports % 2 else []

    def _own_report(self, now: float) -> Report:
        local = self.local
        spares = [part.spare(now, self._demand(place)) for place, part in enumerate(self.parts)]
        return Report(self.name, self.members.life, self.reports, max(0.0, now - self.reported_at),
                      local.figures, spares, local.loudest[:MOST_LOUD], self.said, self.ops_at)

    def _sent(self, now: float, address: str, told: dict) -> tuple[str, bytes]:
        members, to = self.members, told.get("to", "")
        trades, offers = told.get("trades", []), told.get("offers", [])
        room = (MOST_BYTES - ENVELOPE - len(members.name) - len(members.address) - len(self.bounds.fleet)
                - len(told.get("about", "")) - 40 * len(trades) - 45 * len(offers))
        rumours = [] if "short" in told else members.rumours(now, min(RUMOURS, room), to)
        room -= sum(34 + len(rumour.name) + len(rumour.address) for rumour in rumours)
        letter = Letter(words.VERSION, self.bounds.fleet, members.name, members.address, members.life, members.incarnation,
                        told["what"], told.get("number", 0), told.get("about", ""), rumours,
                        [] if "short" in told else self._passed_on(now, room), trades, self.want, offers, told.get("more", b""))
        data = words.encode(letter)
        self.counts["datagrams_sent"] += 1
        self.counts["bytes_sent"] += len(data)
        return address, data

    def _passed_on(self, now: float, room: int) -> list[Report]:
        """Our own report and the next of the others in turn."""
        chosen: list[Report] = []
        if self.reports and self._size(own := self._own_report(now)) <= room:
            room -= self._size(own)
            chosen.append(own)
        for _ in range(8):
            if not self.order:
                self.order = list(self.known.rows)
                if not self.order:
                    break
                start = self.members.draw(len(self.order))
                self.order = self.order[start:] + self.order[:start]
            row = self.known.rows.get(self.order[-1])
            if row is None or now - row.made_at > FRESH:
                self.order.pop()
                continue
            report = row.report
            if self._size(report) > room:
                break
            self.order.pop()
            room -= self._size(report)
            chosen.append(Report(report.name, report.life, report.number, now - row.made_at, report.figures, report.spares,
                                 report.loudest, report.opinions, report.at))
        return chosen

    @staticmethod
    def _size(report: Report) -> int:
        whole = [*report.figures, *report.spares]
        return (35 + len(report.name) + len(report.at)
                + sum(2 if figure < 128 else 3 if figure < 1 << 16 else 9 for figure in whole)
                + sum(12 + len(name) for name, _ in report.loudest) + sum(14 + len(name) for name, *_ in report.opinions))
