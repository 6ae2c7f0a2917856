"""Who is there: probes, probes through others, suspicion, incarnations, and doubt of oneself.

After SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2018), with two differences: an instance that was
late itself, or to whom many fall silent at once, declares nobody gone; and who spoke to us himself a moment ago is not
gone whatever others say. A beat costs the same whatever the fleet's size. `docs/design/fleet.md` has the table of states.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.messages import ALIVE, GONE, LEFT, STATES, SUSPECT, Letter, Rumour
from mulleinhatch.random_source import Chance

HEARD_LATELY = 1.0  # seconds: who spoke to us in this time is not declared gone
OUTCOMES = 16  # of our own last probes, by which we judge whether it is we who hear nothing
FEW_OUTCOMES = 4
EVIDENCE_FADES = 3.0  # seconds after which a probe's outcome counts half
TOLD_OF = 2  # members that we tell our opinion of at a time: the worst one, and one by turns
TOLD_TIMES = 1.0  # of a rumour, for each doubling of the fleet
SEEDS_EVERY = 10  # beats, for each 16 members
MOST_NEWS = 24  # in a letter
OUTSIDE = 0.4  # of the members: so many silent, and the view is frozen; half, less what is not known yet
GONE_COUNTS = 10.0  # seconds that one declared gone still counts as silent: else a part would go on, one by one
DOUBLED_FOR = 3.0  # seconds that a second instance of our name counts after a word of it


class Member:
    __slots__ = ("name", "address", "life", "incarnation", "state", "since", "heard_at")

    def __init__(self, rumour: Rumour, now: float) -> None:
        self.name, self.address, self.life, self.incarnation = rumour.name, rumour.address, rumour.life, rumour.incarnation
        self.state, self.since, self.heard_at = rumour.state, now - rumour.age, -1e9

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.life, self.incarnation, self.state


class Change(NamedTuple):
    """One line of the log."""

    name: str
    state: str
    why: str


class Probe(NamedTuple):
    name: str
    at: float
    helped: bool


class Members:
    """Happenings: `beat`, `heard`; errands: letters to be sent, as address and keywords of a `Letter`, and `changes`."""

    def __init__(self, name: str, address: str, life: int, bounds: FleetBounds, seed: int, now: float) -> None:
        self.name, self.address, self.life, self.incarnation = name, address, life, 0
        self.bounds, self.draw = bounds, Chance(seed).below
        self.view: dict[str, Member] = {}  # of the others
        self.probes: dict[int, Probe] = {}
        self.helping: dict[int, tuple[str, int, str]] = {}  # number of our ping: for whom, its number, about whom
        self.rounds: list[str] = []
        self.outcomes: list[bool] = []
        self.evidence: dict[str, list[float]] = {}  # by member: probes that failed, all, when it was faded last
        self.told_of = 0  # whose turn it is to be told of
        self.number = 0
        self.beat_at, self.started, self.seed_in = now, now, SEEDS_EVERY
        self.frozen = self.left = False
        self.patient_until = -1e9  # others' suspicions tell nothing until then
        self.doubled_at, self.outlived = -1e9, False
        self.news: dict[str, int] = {}  # names that changed, and how often that was told on; the longest untold first
        self.changes: list[Change] = []
        self.counts = dict.fromkeys(
            (
                "probes",
                "probes_failed",
                "suspected",
                "declared_gone",
                "refuted",
                "beats_late",
                "earlier_lives",
                "frozen",
                "thawed",
            ),
            0,
        )

    # What others need to know.

    def alive(self) -> list[str]:
        """Names of the others that serve as far as we know, suspected ones too."""
        return [member.name for member in self.view.values() if member.state <= SUSPECT]

    def heard_lately(self, now: float, name: str) -> bool:
        member = self.view.get(name)
        return member is not None and now - member.heard_at <= HEARD_LATELY

    def doubled(self, now: float) -> bool:
        """Whether another instance goes by our name, and was there first or is there still."""
        return self.outlived or now - self.doubled_at < DOUBLED_FOR

    # The beat.

    def beat(self, now: float) -> Iterator[tuple[str, dict]]:
        bounds, late = self.bounds, now - self.beat_at - self.bounds.beat
        self.beat_at = now
        if late > bounds.late:
            # What we did not hear meanwhile says nothing of others: their time starts anew.
            self.counts["beats_late"] += 1
            self.probes.clear()
            self.helping.clear()
            for member in self.view.values():
                if member.state == SUSPECT:
                    member.since = now
        yield from self._look_after(now)
        self._judge_ourselves(now)
        self._declare(now)
        if self.left:
            # Until the process ends: where most leave together, word from a few would not reach those that stay.
            for member in self._some(bounds.probes, ""):
                yield member.address, {"what": "word", "to": member.name}
            return
        yield from self._ask_around(now)

    def _ask_around(self, now: float) -> Iterator[tuple[str, dict]]:
        bounds = self.bounds
        for name in self._next(bounds.probes):
            yield self._probe(now, self.view[name])
        yield from self._ask_the_gone(now)
        known = len(self.alive())
        self.seed_in -= 1
        if bounds.seeds and (known < 2 or self.seed_in <= 0):
            # Not only to join: two that started together by different seeds would stay two fleets for good. The more there
            # are the rarer each asks, or the work of a seed would grow with the fleet.
            self.seed_in = SEEDS_EVERY * (1 + known // 16)
            seed = bounds.seeds[self.draw(len(bounds.seeds))]
            if seed != self.address:
                yield seed, {"what": "ping", "number": 0}

    def _ask_the_gone(self, now: float) -> Iterator[tuple[str, dict]]:
        """A cut that heals is found by those that are asked for still."""
        if gone := [member for member in self.view.values() if member.state >= GONE]:
            lost = gone[self.draw(len(gone))]
            if now - lost.since > self.bounds.forget:
                del self.view[lost.name]
                self.news.pop(lost.name, None)
            elif lost.state == GONE:
                yield lost.address, {"what": "word", "to": lost.name}

    def _next(self, count: int) -> list[str]:
        """Round after round in a new order each: no member waits longer than two rounds."""
        chosen: list[str] = []
        known = len(self.alive())
        while len(chosen) < min(count, known):
            if not self.rounds:
                self.rounds = self.alive()
                for last in range(len(self.rounds) - 1, 0, -1):
                    other = self.draw(last + 1)
                    self.rounds[last], self.rounds[other] = self.rounds[other], self.rounds[last]
            name = self.rounds.pop()
            if name in self.view and self.view[name].state <= SUSPECT and name not in chosen:
                chosen.append(name)
        return chosen

    def _probe(self, now: float, member: Member) -> tuple[str, dict]:
        self.number += 1
        self.counts["probes"] += 1
        self.probes[self.number] = Probe(member.name, now, False)
        return member.address, {"what": "ping", "number": self.number, "to": member.name}

    def _look_after(self, now: float) -> Iterator[tuple[str, dict]]:
        """Probes without an answer: others are asked to try, then the member is suspected."""
        bounds = self.bounds
        for number, probe in list(self.probes.items()):
            member = self.view.get(probe.name)
            if member is None or member.state > SUSPECT:
                del self.probes[number]
            elif now - probe.at >= bounds.probe_fails:
                del self.probes[number]
                self._outcome(now, probe.name, False)
                self.counts["probes_failed"] += 1
                if member.state == ALIVE and not self.heard_lately(now, member.name):
                    self._become(now, member, SUSPECT, "no answer to us")
                    self.counts["suspected"] += 1
            elif now - probe.at >= 0.5 * bounds.probe_wait:
                # Asked again at each beat: at 20% loss one try in three fails, and a wrong suspicion costs the whole fleet.
                yield member.address, {"what": "ping", "number": number, "to": probe.name}
                if not probe.helped and now - probe.at >= bounds.probe_wait:
                    self.probes[number] = probe._replace(helped=True)
                    for helper in self._some(bounds.helpers, probe.name):
                        yield helper.address, {"what": "help", "number": number, "about": probe.name, "to": helper.name}
        for number in list(self.helping):
            if number < self.number - 64 * bounds.probes:
                del self.helping[number]

    def _some(self, count: int, but: str) -> list[Member]:
        able = [member for member in self.view.values() if member.state == ALIVE and member.name != but]
        return [able.pop(self.draw(len(able))) for _ in range(min(count, len(able)))]

    def _outcome(self, now: float, name: str, good: bool) -> None:
        self.outcomes = [*self.outcomes[1 - OUTCOMES :], good]
        failed, whole = self._faded(now, name)
        self.evidence[name] = [failed + (not good), whole + 1.0, now]

    def _faded(self, now: float, name: str) -> tuple[float, float]:
        failed, whole, at = self.evidence.get(name, (0.0, 0.0, now))
        left = 0.5 ** ((now - at) / EVIDENCE_FADES)
        return left * failed, left * whole

    def opinions(self, now: float) -> list[tuple[str, int, int]]:
        """Of members by our own probes: name, percent that failed, probes. Not only of the bad: who hears of those alone
        would think all ill. None while we hear little ourselves."""
        if self.frozen:
            return []
        said = []
        for name in [name for name in self.evidence if name not in self.view or self.view[name].state > SUSPECT]:
            del self.evidence[name]
        for name in self.evidence:
            failed, whole = self._faded(now, name)
            if whole >= 0.5:
                said.append((name, round(100.0 * failed / whole), max(1, round(whole))))
        worst = sorted(said, key=lambda told: (-told[1], told[0]))[: TOLD_OF // 2]
        rest = [told for told in said if told not in worst]
        self.told_of += TOLD_OF // 2
        return worst + [rest[(self.told_of + turn) % len(rest)] for turn in range(min(len(rest), TOLD_OF - len(worst)))]

    def _judge_ourselves(self, now: float) -> None:
        """Silence of many is news about us: more than half of our probes, or `OUTSIDE` of the members."""
        living, silent, gone = 1, 0, 0
        for member in self.view.values():
            if member.state == SUSPECT and not self.heard_lately(now, member.name):
                silent += 1
            elif member.state <= SUSPECT:
                living += 1
            elif member.state == GONE and now - member.since < GONE_COUNTS:
                gone += 1
        failed = self.outcomes.count(False)
        cut = len(self.outcomes) >= FEW_OUTCOMES and failed > len(self.outcomes) / 2
        frozen = silent > 0 and (cut or silent + gone >= OUTSIDE * (living + silent + gone))
        thaws = self.frozen and not frozen
        if frozen is not self.frozen:
            self.frozen = frozen
            self.counts["frozen" if frozen else "thawed"] += 1
            self.changes.append(Change(self.name, "frozen" if frozen else "thawed", f"{silent} silent of {living + silent}"))
        if frozen:
            self.patient_until = now + 2.0 * self.bounds.suspect_for
        for member in self.view.values() if frozen or thaws else ():
            if member.state == SUSPECT:
                # While we heard nothing we could judge nobody. Hundreds would have to refute it, each to all the others.
                member.state, member.since = SUSPECT if frozen else ALIVE, now

    def _declare(self, now: float) -> None:
        if self.frozen:
            return
        for member in self.view.values():
            if (
                member.state == SUSPECT
                and now - member.since >= self.bounds.suspect_for
                and not self.heard_lately(now, member.name)
            ):
                self._become(now, member, GONE, "silent")
                self.counts["declared_gone"] += 1

    def _become(self, now: float, member: Member, state: int, why: str) -> None:
        member.state, member.since = state, now
        self.news[member.name] = 0
        self.changes.append(Change(member.name, STATES[state], why))

    # What comes.

    def heard(self, now: float, letter: Letter) -> Iterator[tuple[str, dict]]:
        """A letter of our fleet. Who is no member yet becomes one by its first; who is an earlier life changes nothing."""
        if letter.sender == self.name:
            if letter.life != self.life and letter.address != self.address:
                self._our_name(now, letter.life, letter.address)
            return
        known = self.view.get(letter.sender)
        if known and letter.life < known.life:
            self.counts["earlier_lives"] += 1
            yield letter.address, {"what": "word", "to": letter.sender}  # it may be a second one of that name
            return
        self._take(now, Rumour(letter.sender, letter.address, letter.life, letter.incarnation, ALIVE))
        member = self.view[letter.sender]
        if letter.life == member.life:
            member.heard_at = now
        for rumour in letter.rumours:
            self._take(now, rumour)
        if letter.what == "ping":
            yield letter.address, {"what": "ack", "number": letter.number, "to": letter.sender}
        elif letter.what == "help":
            about = self.view.get(letter.about)
            if about and about.state <= SUSPECT:
                to, number = self._probe(now, about)
                del self.probes[self.number]  # it is not our own: no accusation follows
                self.helping[self.number] = letter.sender, letter.number, letter.about
                yield to, number
        elif letter.what == "ack":
            if letter.about:
                self._answered(now, letter.number, letter.about)
            elif letter.number in self.helping:
                asker, number, about = self.helping.pop(letter.number)
                if (member := self.view.get(asker)) and about == letter.sender:
                    yield member.address, {"what": "ack", "number": number, "about": about, "to": asker}
            else:
                self._answered(now, letter.number, letter.sender)

    def _answered(self, now: float, number: int, name: str) -> None:
        probe = self.probes.get(number)
        if probe and probe.name == name:
            del self.probes[number]
            self._outcome(now, name, True)

    def _our_name(self, now: float, life: int, address: str) -> None:
        """Somebody else goes by our name. Under our own address it is our former self, whose clock ran ahead: we go on
        as a later one. Elsewhere it lives beside us: the later of the two stays, the other is outlived."""
        if life == self.life:
            return
        if address == self.address:
            if life > self.life:
                self.life, self.incarnation = life + 1, 0
            return
        self.doubled_at = now
        if life > self.life and not self.outlived:
            self.outlived = True
            self.changes.append(Change(self.name, "outlived", f"a later instance of this name is at {address}"))

    def _take(self, now: float, rumour: Rumour) -> None:
        if rumour.name == self.name:
            return self._of_us(now, rumour)
        member = self.view.get(rumour.name)
        if member is None:
            if rumour.state <= SUSPECT:
                self.view[rumour.name] = Member(rumour, now)
                self.news[rumour.name] = 0
                self.changes.append(Change(rumour.name, STATES[rumour.state], "told"))
            return
        if (rumour.life, rumour.incarnation, rumour.state) <= member.rank:
            again = rumour.state == SUSPECT == member.state and rumour.incarnation == member.incarnation
            if again and now >= self.patient_until:
                member.since = min(member.since, max(now - rumour.age, self.started))
            return
        if (
            rumour.state == SUSPECT
            and not self.frozen
            and now < self.patient_until
            and rumour.life == member.life
            and (rumour.incarnation == member.incarnation)
        ):
            return  # of the time when we heard nothing, or from one that does so still
        if rumour.state == GONE and (self.frozen or self.heard_lately(now, rumour.name)):
            return  # the part that hears nothing declares nobody, and who speaks is there
        was = member.state
        member.address, member.life, member.incarnation = rumour.address, rumour.life, rumour.incarnation
        member.state = rumour.state
        self.news[rumour.name] = 0
        member.since = now - rumour.age if rumour.state == SUSPECT and now >= self.patient_until else now
        if was != rumour.state:
            self.changes.append(Change(rumour.name, STATES[rumour.state], "told"))

    def _of_us(self, now: float, rumour: Rumour) -> None:
        if rumour.life != self.life:
            if rumour.address != self.address and rumour.state <= SUSPECT:
                self._our_name(now, rumour.life, rumour.address)
            elif rumour.life > self.life:
                self._our_name(now, rumour.life, self.address)
        elif rumour.state in (SUSPECT, GONE) and rumour.incarnation >= self.incarnation and not self.left:
            self.incarnation = rumour.incarnation + 1
            self.counts["refuted"] += 1

    def leave(self) -> Iterator[tuple[str, dict]]:
        """In order: told to some at once, who pass it on."""
        self.left = True
        for member in self._some(4 * self.bounds.helpers, ""):
            yield member.address, {"what": "word", "to": member.name}

    # What is told along.

    def rumours(self, now: float, room: int, to: str, new: bool = False) -> list[Rumour]:
        """As many as fit: of ourselves, what we think of whom it goes to, the least told news, and others by chance, from
        which a new member learns the fleet and two views become one."""
        own = Rumour(self.name, self.address, self.life, self.incarnation, LEFT if self.left else ALIVE)
        chosen: dict[str, Rumour] = {}
        room -= self._add(chosen, own, room)
        if member := self.view.get(to):
            room -= self._add(chosen, self._rumour(now, member), room)
        room -= self._add_news(now, chosen, room)
        self._add_some(now, chosen, room, 8)
        return list(chosen.values())

    def doubt(self, now: float, to: str) -> list[Rumour]:
        """What a short word tells: nothing here."""
        return []

    def _add_news(self, now: float, chosen: dict[str, Rumour], room: int) -> int:
        """The bytes that they take."""
        whole = room
        times = TOLD_TIMES * (len(self.view) + 1).bit_length()
        for name in list(islice(self.news, MOST_NEWS)):
            if room < 110:
                break
            told = self.news.pop(name)
            if name in self.view and name not in chosen:
                room -= self._add(chosen, self._rumour(now, self.view[name]), room)
                if told + 1 < times:
                    self.news[name] = told + 1
            elif name in self.view:
                self.news[name] = told
        return whole - room

    def _add_some(self, now: float, chosen: dict[str, Rumour], room: int, most: int) -> None:
        """By chance."""
        names = list(self.view)
        for _ in range(min(len(names), most)):
            member = self.view[names[self.draw(len(names))]]
            if room >= 110 and member.name not in chosen:
                room -= self._add(chosen, self._rumour(now, member), room)

    def _rumour(self, now: float, member: Member) -> Rumour:
        age = max(0.0, now - member.since) if member.state == SUSPECT else 0.0
        return Rumour(member.name, member.address, member.life, member.incarnation, member.state, min(age, 86_400.0))

    @staticmethod
    def _add(chosen: dict[str, Rumour], rumour: Rumour, room: int) -> int:
        size = 34 + len(rumour.name) + len(rumour.address)
        if size > room:
            return 0
        chosen[rumour.name] = rumour
        return size
