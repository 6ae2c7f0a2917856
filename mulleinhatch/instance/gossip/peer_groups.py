"""Who is there in one group of a zone: `Members` at a fraction of the words, for groups of bounded size.

Each asks the next on a ring of names, and now and then one by chance; who misses the word of the one before it asks that
one. Before anybody is declared gone each mate has asked it itself, and who refutes tells all its mates at once: in a
group of a few dozen that costs little, and a stall of two seconds among lost letters declares nobody.
"""

from __future__ import annotations

from collections.abc import Iterator

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.members import Members
from mulleinhatch.instance.gossip.messages import ALIVE, GONE, LEFT, SUSPECT, Letter, Rumour

RING_EVERY, OTHERS_EVERY = 1.0, 3.0  # seconds between probes of the next on the ring, and of one by chance
UNASKED = 1.75  # seconds without a word of the one before us, after which we ask it
GONE_EVERY = 4.0  # seconds between words to one of the gone
CHECKS = (0.0, 1.2)  # seconds after a suspicion began at which each mate asks for itself
REFUTED_TIMES = 2  # beats at which who refutes tells all
LIVED_ELSEWHERE = "moved"


class Mates(Members):
    """
    >>> from mulleinhatch.instance.gossip.messages import STATES
    >>> one = Mates("a", "10.0.0.1:1", 7, FleetBounds("f"), 1, 0.0)
    >>> _ = list(one.heard(0.1, Letter(1, "f", "b", "10.0.0.1:2", 7, 0, "ping", 3)))
    >>> one.moved(0.2, "b", 8); STATES[one.view["b"].state], one.alive()
    ('left', [])
    """

    def __init__(self, name: str, address: str, life: int, bounds: FleetBounds, seed: int, now: float) -> None:
        super().__init__(name, address, life, bounds, seed, now)
        # Started together they would ask together.
        self.ring_at = now - RING_EVERY * self.draw(100) / 100.0
        self.others_at = now - OTHERS_EVERY * self.draw(100) / 100.0
        self.watched_at = self.gone_at = now
        self.refuting = 0
        self.checked: dict[str, int] = {}  # by suspect: how often we asked it ourselves

    def _ask_around(self, now: float) -> Iterator[tuple[str, dict]]:
        yield from self._refute()
        yield from self._check(now)
        half = 0.5 * self.bounds.beat
        if now - self.ring_at >= RING_EVERY - half:
            self.ring_at = max(self.ring_at + RING_EVERY, now - RING_EVERY)
            if name := self._beside(1):
                yield self._probe(now, self.view[name])
        if now - self.others_at >= OTHERS_EVERY - half:
            self.others_at = now
            for name in self._next(1):
                yield self._probe(now, self.view[name])
        before = self._beside(-1)
        if before and now - max(self.view[before].heard_at, self.watched_at) >= UNASKED:
            self.watched_at = now
            yield self._probe(now, self.view[before])
        if now - self.gone_at >= GONE_EVERY:
            self.gone_at = now
            yield from self._ask_the_gone(now)

    def _beside(self, step: int) -> str:
        """The next of the living by name, or the one before us; empty where we are alone."""
        ring = sorted([self.name, *(member.name for member in self.view.values() if member.state == ALIVE)])
        name = ring[(ring.index(self.name) + step) % len(ring)]
        return name if name != self.name else ""

    def _check(self, now: float) -> Iterator[tuple[str, dict]]:
        """Each asks a suspect itself; what it answers is heard whoever suspected it. No probe: it is not our accusation."""
        suspects = {member.name: member for member in self.view.values() if member.state == SUSPECT}
        self.checked = {name: done for name, done in self.checked.items() if name in suspects}
        for name, member in suspects.items():
            done = self.checked.get(name, 0)
            if done < len(CHECKS) and now - member.since >= CHECKS[done]:
                self.checked[name] = done + 1
                if member.heard_at > member.since:
                    continue
                self.number += 1
                yield member.address, {"what": "ping", "number": self.number, "to": name, "short": True}

    def _refute(self) -> Iterator[tuple[str, dict]]:
        if self.refuting:
            self.refuting -= 1
            for name in self.alive():
                yield self.view[name].address, {"what": "word", "to": name, "short": True}

    def _of_us(self, now: float, rumour: Rumour) -> None:
        before = self.incarnation
        super()._of_us(now, rumour)
        if self.incarnation > before:
            self.refuting = REFUTED_TIMES

    def stranger(self, now: float, letter: Letter) -> None:
        """A letter from outside the group: what it says of us is ours to refute, all else is its own group's matter."""
        for rumour in letter.rumours:
            if rumour.name == self.name and rumour.address == self.address:
                self._of_us(now, rumour)
        member = self.view.get(letter.sender)
        if member and member.address == letter.address and letter.life >= member.life:
            self.moved(now, letter.sender, letter.life)

    def moved(self, now: float, name: str, life: int) -> None:
        """A mate that was started anew in another group, or as a member that knows of no groups: it left, and is not gone."""
        member = self.view[name]
        if member.state != LEFT:
            member.life = life
            self._become(now, member, LEFT, LIVED_ELSEWHERE)

    def doubt(self, now: float, to: str) -> list[Rumour]:
        """That we suspect whom it goes to, which else might answer us again and again and never refute it."""
        member = self.view.get(to)
        return [self._rumour(now, member)] if member and member.state in (SUSPECT, GONE) else []

    def rumours(self, now: float, room: int, to: str, new: bool = False) -> list[Rumour]:
        """News, and whatever is wrong with whom it goes to; all to a `new` one, which sees others there than we do."""
        chosen: dict[str, Rumour] = {}
        if self.left:  # else the letter itself says that we live
            room -= self._add(chosen, Rumour(self.name, self.address, self.life, self.incarnation, LEFT), room)
        if (member := self.view.get(to)) and member.state != ALIVE:
            room -= self._add(chosen, self._rumour(now, member), room)
        room -= self._add_news(now, chosen, room)
        if new:
            there = [member for member in self.view.values() if member.state <= SUSPECT and member.name != to]
            start = self.draw(len(there)) if there else 0  # where not all fit, others another time
            for member in there[start:] + there[:start]:
                room -= self._add(chosen, self._rumour(now, member), room)
        return list(chosen.values())

    @staticmethod
    def _add(chosen: dict[str, Rumour], rumour: Rumour, room: int) -> int:
        """By what it takes as bytes: all of a group of a few dozen then fit into one letter."""
        taken = 25 + len(rumour.name) + len(rumour.address)
        if taken > room or rumour.name in chosen:
            return 0
        chosen[rumour.name] = rumour
        return taken
