"""One instance's side of the fleet: a beat or a datagram goes in, datagrams and news come out. No I/O, no clock.

Members, counts, budgets and judgements each keep their own state; here their words are put into letters that fit, and taken
apart again. What is local is told at each beat as `Local`; what the module may hear is asked of `parts`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from mulleinhatch.instance.gossip import messages as words
from mulleinhatch.instance.gossip.aggregation_tree import MOST_GROUP, Levels, Total, place_of
from mulleinhatch.instance.gossip.bounds import FleetBounds, levelled
from mulleinhatch.instance.gossip.budgets import Ask, Give, Part
from mulleinhatch.instance.gossip.counters import FIGURES, MOST_LOUD, Counts
from mulleinhatch.instance.gossip.members import Change, Members
from mulleinhatch.instance.gossip.messages import MOST_BYTES, InvalidMessageError, Letter, Report, Trade
from mulleinhatch.instance.gossip.outlier_detection import Verdicts
from mulleinhatch.instance.gossip.peer_groups import Mates

MOST_MEMBERS = 1000
ENVELOPE = 64  # bytes of a letter beside its names and lists, at most
RUMOURS = 780  # bytes of it for rumours, at most; reports get the rest
JUDGE_EVERY = 0.5
MOST_OPINIONS = 3  # in a report
SMOOTH = 3.0  # seconds that demand is smoothed over
# In levels, where bytes are few:
REPORTS = 150  # bytes of a letter for reports
TOLD_REPORTS = 3  # times that a report is passed on by each
SPARING = 1000.0  # bytes over the pace beyond which others' reports are not passed on
OPINIONS_EVERY = 4  # reports
LOUD_IN_LEVELS = 1  # tenants that a report names


def interpreter_of(name: str) -> str:
    """The subject of opinions on a member's interpreter."""
    return f"interpreter of {name}"[:40]


class Local(NamedTuple):
    """What this instance says of itself, by `FIGURES`; demand by budget in units a window; its loudest tenants; opinions."""

    figures: list[int] = [0] * len(FIGURES)
    demands: tuple[float, ...] = ()
    loudest: list[tuple[str, float]] = []
    opinions: list[tuple[str, int, int]] = []  # subject, percent of the evidence that is bad, pieces of it


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
        place = place_of(bounds, name)
        self.bounds = bounds = levelled(bounds) if place else bounds
        self.name = name
        self.members: Members = (Mates if place else Members)(name, address, life, bounds, seed, now)
        self.most = MOST_GROUP if place else MOST_MEMBERS
        self.known = Counts(self.most, bounds.fresh)
        self.levels = Levels(bounds, place, self.members, self.known, seed + 5, now) if place else None
        self.ours = Counts(1)  # our own report as others see it
        self.verdicts = Verdicts()
        seat = f"{place.region}/{place.zone}/{name}" if place else name
        self.parts = [Part(budget, seat, now, bounds.ask_every) for budget in bounds.budgets]
        self.local, self.demands, self.beat_at = Local(), [0.0] * len(self.parts), now
        self.counts: Counter[str] = Counter()
        self.reported_at, self.judged_at, self.reports = -1e9, now, 0
        self.order: list[str] = []  # whose reports are passed on next
        self.passed: dict[str, tuple[int, int]] = {}  # in levels: number of the report, how often we passed it on
        self.out: list[str] = []
        self.ops_at = ""  # where peers may send ops, if they may
        self.want = 0  # ops that we hold and would hand over, told in each letter
        # For who stands on us: each letter of a member's present life.
        self.listeners: list[Callable[[float, Letter], None]] = []
        # Of interpreters as the host says, and of members by our own probes, as in our last report.
        self.said: list[tuple[str, int, int]] = []

    # What comes in.

    def beat(self, now: float, local: Local) -> list[tuple[str, bytes]]:
        self.local = local
        weight, self.beat_at = min(1.0, (now - self.beat_at) / SMOOTH), now
        for place, demand in enumerate(local.demands[: len(self.demands)]):
            self.demands[place] += weight * (demand - self.demands[place])
        if now - self.reported_at >= self.bounds.report_every:
            self._report(now)
        errands = list(self.members.beat(now))
        if self.levels:
            errands += self.levels.beat(now, self.ours.rows.get(self.name))
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
        if self.levels:
            self.levels.pace.add(now, len(data))
        try:
            letter = words.decode(data, self.bounds.fleet)
        except InvalidMessageError as error:
            self.counts[f"unfit_{error}"] += 1
            return []
        return [self._sent(now, *errand) for errand in self.letter(now, letter)]

    def letter(self, now: float, letter: Letter) -> list[tuple[str, dict]]:
        if self.levels and not self.levels.is_mate(letter):
            return self._from_outside(now, letter)
        if letter.sender not in self.members.view and len(self.members.view) >= self.most:
            self.counts["members_refused"] += 1
            return []
        errands = list(self.members.heard(now, letter))
        if self.levels:
            upward = self.levels.upward(letter)
            if letter.what == "ping" and self.levels.tells_all(now, upward):
                errands = [(address, {**told, "new": True}) for address, told in errands]
            errands += self.levels.heard(now, letter, upward)
        if letter.sender == self.name or letter.life < self.members.view[letter.sender].life:
            return errands
        for report in letter.reports:
            if report.name == self.name or report.name not in self.members.view:
                continue
            if not self.known.heard(now, report):
                # Heard again: others tell it too, so that we may tell something else.
                self.passed[report.name] = report.number, self._times(report.name, report.number) + 1
            else:
                for subject, bad, evidence in report.opinions:
                    self.verdicts.heard(now, report.name, subject, bad / 100.0, evidence, report.age)
        for listener in self.listeners:
            listener(now, letter)
        answers = [answer for trade in letter.trades if (answer := self._trade(now, letter, trade))]
        if answers:
            errands.append((letter.address, self._short({"what": "word", "to": letter.sender, "trades": answers})))
        return errands

    def _from_outside(self, now: float, letter: Letter) -> list[tuple[str, dict]]:
        """Of another group, or of a member that knows of no levels: it is answered, so that it thinks us alive, and no mate."""
        if letter.sender == self.name:
            self.counts["names_elsewhere"] += letter.address != self.members.address
        else:
            self.members.stranger(now, letter)
        if letter.place:
            return list(self.levels.heard(now, letter, self.levels.upward(letter)))
        self.counts["letters_without_levels"] += 1
        if letter.what != "ping":
            return []
        return [(letter.address, {"what": "ack", "number": letter.number, "short": True})]

    def totals(self, now: float) -> dict[str, Total]:
        """What is known of `group`, `zone`, `region` and `fleet`; empty where there are no levels."""
        return self.levels.totals(now) if self.levels else {}

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
                if now - row.made_at <= self.known.fresh and place < len(row.report.spares) and self._there(name):
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
        return self.members.view[giver].address, self._short(
            {"what": "word", "to": giver, "trades": [Trade(place, ask.number, False, ask.have, ask.want)]}
        )

    def _short(self, told: dict) -> dict:
        """In levels what is traded goes without what is told along."""
        return {**told, "short": True} if self.levels else told

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
        give = part.asked(
            now,
            (letter.sender, letter.life),
            Ask(trade.number, trade.have, trade.want),
            part.spare(now, demand),
            part.needed(now, demand),
        )
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
        """`Counts.free` of the others; not known while most are silent to us. In levels of our group: its members are
        drawn by a hash from the zone, so that they stand for it, and their figures are younger than any sum."""
        return -1.0 if self.members.frozen else self.known.free(now, set(self.members.alive()))

    # Letters.

    def _report(self, now: float) -> None:
        self.reported_at = now
        self.reports += 1
        # In every other: they make a report half as long again, and more reports pass on in a letter without.
        tells = self.reports % OPINIONS_EVERY == 0 if self.levels else self.reports % 2
        self.said = [*self.local.opinions, *self.members.opinions(now)][:MOST_OPINIONS] if tells else []
        if self.levels:
            self.ours.heard(now, self._own_report(now))

    def _own_report(self, now: float) -> Report:
        local = self.local
        spares = [part.spare(now, self._demand(place)) for place, part in enumerate(self.parts)]
        loud = MOST_LOUD if not self.levels else LOUD_IN_LEVELS if self.reports % OPINIONS_EVERY == 0 else 0
        return Report(
            self.name,
            self.members.life,
            self.reports,
            max(0.0, now - self.reported_at),
            local.figures,
            spares,
            local.loudest[:loud],
            self.said,
            self.ops_at,
        )

    def _sent(self, now: float, address: str, told: dict) -> tuple[str, bytes]:
        members, to = self.members, told.get("to", "")
        trades, offers = told.get("trades", []), told.get("offers", [])
        room = (
            MOST_BYTES
            - ENVELOPE
            - len(members.name)
            - len(members.address)
            - len(self.bounds.fleet)
            - len(told.get("about", ""))
            - 40 * len(trades)
            - 45 * len(offers)
        )
        upward = told.get("upward", b"")
        if self.levels and not upward and to in members.view and "short" not in told:
            upward = self.levels.to_mate(now, told["what"] == "ping")
        room -= len(upward)
        rumours = (
            members.doubt(now, to)
            if "short" in told
            else members.rumours(now, room - 60 if "new" in told else min(RUMOURS, room), to, "new" in told)
        )
        room -= (
            sum(34 + len(rumour.name) + len(rumour.address) for rumour in rumours)
            if not self.levels
            else sum(25 + len(rumour.name) + len(rumour.address) for rumour in rumours)
        )
        reports = [] if "short" in told else self._passed_to_mates(now, room, to) if self.levels else self._passed_on(now, room)
        letter = Letter(
            words.VERSION,
            self.bounds.fleet,
            members.name,
            members.address,
            members.life,
            members.incarnation,
            told["what"],
            told.get("number", 0),
            told.get("about", ""),
            rumours,
            reports,
            trades,
            self.want,
            offers,
            told.get("more", b""),
            self.levels.place.key if self.levels else 0,
            upward,
        )
        data = words.encode(letter)
        self.counts["datagrams_sent"] += 1
        self.counts["bytes_sent"] += len(data)
        if self.levels:
            self.levels.pace.add(now, len(data))
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
            if row is None or now - row.made_at > self.known.fresh:
                self.order.pop()
                continue
            report = row.report
            if self._size(report) > room:
                break
            self.order.pop()
            room -= self._size(report)
            chosen.append(
                Report(
                    report.name,
                    report.life,
                    report.number,
                    now - row.made_at,
                    report.figures,
                    report.spares,
                    report.loudest,
                    report.opinions,
                    report.at,
                )
            )
        return chosen

    def _passed_to_mates(self, now: float, room: int, to: str) -> list[Report]:
        """Those that we passed on least, the newest first, each some times: most mates then hear it, and the rest its next."""
        room, chosen = min(room, REPORTS), []
        line = []
        busy = self.levels.pace.over > SPARING  # who speaks for the group leaves it to the others
        if self.reports:
            line.append((self._times(self.name, self.reports), 0.0, self.name))
        for name, row in self.known.rows.items():
            times = self._times(name, row.report.number)
            if name != to and not busy and times < TOLD_REPORTS and now - row.made_at <= self.known.fresh:
                line.append((times, now - row.made_at, name))
        for times, age, name in sorted(line):
            report = self._own_report(now)
            if name != self.name:
                told = self.known.rows[name].report
                report = Report(
                    told.name, told.life, told.number, age, told.figures, told.spares, told.loudest, told.opinions, told.at
                )
            room -= words.size(report)
            if times >= TOLD_REPORTS or room < 0:
                break
            self.passed[name] = report.number, times + 1
            chosen.append(report)
        if len(self.passed) > 2 * self.most:
            self.passed = {name: told for name, told in self.passed.items() if name in self.known.rows}
        return chosen

    def _times(self, name: str, number: int) -> int:
        passed = self.passed.get(name, (0, 0))
        return passed[1] if passed[0] == number else 0

    @staticmethod
    def _size(report: Report) -> int:
        whole = [*report.figures, *report.spares]
        return (
            35
            + len(report.name)
            + len(report.at)
            + sum(2 if figure < 128 else 3 if figure < 1 << 16 else 9 for figure in whole)
            + sum(12 + len(name) for name, _ in report.loudest)
            + sum(14 + len(name) for name, *_ in report.opinions)
        )
