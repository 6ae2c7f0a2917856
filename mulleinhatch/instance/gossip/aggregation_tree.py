"""Beyond the own group only sums travel: of the zone's other groups, the region's other zones, the other regions.

Who speaks for a group is the first of its living members by a rendezvous hash (Thaler, Ravishankar 1998), worked out by each
for itself: no election that can stall, and two who speak at once do no harm, since a sum is a figure with an age and the
latest holds. Speakers of a zone's groups pass rows to each other at steps of 1, 2, 4, ... groups (dissemination, Hensgen,
Finkel, Manber 1988); for each other zone and region one of them, chosen by the same hash, keeps the link. What is new in
who is there is passed on at once, all else in turn, and all of it within a bound of bytes a second. `Fleet` calls it.
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b
from math import ceil
from typing import NamedTuple

import msgspec

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.counters import FIGURES, Counts, Row
from mulleinhatch.instance.gossip.messages import (
    ALIVE,
    GROUP,
    REGION,
    SUSPECT,
    ZONE,
    Letter,
    Sum,
    Upward,
    decode_upward,
    encode_upward,
)
from mulleinhatch.instance.gossip.peer_groups import Mates
from mulleinhatch.random_source import Chance

SUMMED = FIGURES[:11]  # what is a sum over members; the rest are means with evidence of their own
MOST_GROUP = 96  # members of a group
MOST_ROWS = (63, 15, 15)  # other groups of the zone, zones of the region, regions
STALE = (10.0, 12.0, 16.0)  # seconds without a word of it, by level: its members count as silent
PATIENCE = 2.0  # times as long for who speaks for nobody
MESH_ROUND, STANDBY_EVERY = 2.0, 4.0  # seconds for as many words of a speaker as its zone's groups have bits; of the next one
LINK_EVERY, LINK_AGAIN = 2.5, 5.0  # seconds between words to another zone or region, by who keeps the link and by the second
BEYOND_EVERY, SEEDS_EVERY = 5.0, 20.0
ALONE_EVERY, ALONE_MOST, ALONE_MORE = 1.0, 8.0, 0.7  # seconds between words to seeds of who knows no mate: growing
SETTLE = 5.0  # seconds after its start for which a member speaks for nobody: it knows too few yet
GAP, AGAIN = 0.1, 0.4  # seconds between words about news, and of what another group's speaker missed
TELL_ALL_EVERY = 0.5  # seconds between words of all mates, to those that see others there
REFRESH = (8.0, 4.0, 4.0)  # seconds after which a row is passed on between groups though nothing changed
REFRESH_MATES = 12.0  # and between mates
TOLD_MESH, TOLD_MATES = 3, 3  # times that news is passed on
FAN_MESH, FAN_MATES = 2, 2  # groups and mates to whom it is passed on at once; the other times go with other words
LINK_TOLD = 2  # times that news goes over a link at once: one may be lost
WORTH = 0.125  # change of a figure from which our sum is told anew
SUMS_TO_MATES, SUMS_TO_GROUPS = 3, 6
MOST_UPWARD = 640  # bytes
HEADERS = 28  # bytes of IP and UDP a datagram
PACE, URGENT, OPTIONAL = 2600.0, 4000.0, 8000.0  # bytes a second in and out; what may be over when news, or turns, still go
NEWCOMERS = 128  # places of which those that asked last are kept, to introduce them to each other
CONTACTS = 4


@lru_cache(maxsize=65536)
def score(*names: str) -> int:
    """A hash of 64 bits, the same everywhere.

    >>> score("a", "b") == score("a", "b") != score("ab")
    True
    """
    return int.from_bytes(blake2b("\0".join(names).encode(), digest_size=8).digest())


class Place(NamedTuple):
    region: str
    zone: str
    group: str  # its number of how many, as `3/16`
    index: int
    groups: int
    key: int  # of 32 bits, in each letter: who has the same is a mate


def place_of(bounds: FleetBounds, name: str) -> Place | None:
    """
    >>> place_of(FleetBounds("f"), "a")
    >>> here = place_of(FleetBounds("f", zone="z", region="r", groups=16), "a"); here.groups, 0 <= here.index < 16
    (16, True)
    """
    if not bounds.zone:
        return None
    index = score(name) * bounds.groups >> 64
    group = f"{index}/{bounds.groups}"
    return Place(bounds.region, bounds.zone, group, index, bounds.groups, score(bounds.region, bounds.zone, group) >> 32 | 1)


def pack(addresses: Iterable[str]) -> bytes:
    """
    >>> unpack(pack(["127.0.0.1:80", "10.1.2.3:65535"]))
    ['127.0.0.1:80', '10.1.2.3:65535']
    """
    packed = b""
    for address in addresses:
        host, _, port = address.rpartition(":")
        try:
            packed += struct.pack("!4BH", *map(int, host.split(".")), int(port))
        except (struct.error, ValueError):
            continue  # a number that no address has
    return packed[: 6 * CONTACTS]


def unpack(packed: bytes) -> list[str]:
    return ["%d.%d.%d.%d:%d" % told for told in struct.iter_unpack("!4BH", packed[: len(packed) // 6 * 6])]


class Total(NamedTuple):
    """Of a group, zone, region or the fleet, as far as is known here."""

    members: int  # that are there
    silent: int  # those of whom no figures count: of them, or of a part that nothing is heard of
    unknown: float  # requests a second that the silent could serve: what a sum may be more
    oldest: float  # seconds: of the figures that count
    figures: dict[str, float]

    def plus(self, other: Total) -> Total:
        return Total(
            self.members + other.members,
            self.silent + other.silent,
            self.unknown + other.unknown,
            max(self.oldest, other.oldest),
            {name: value + other.figures.get(name, 0.0) for name, value in self.figures.items()},
        )

    def most(self, figure: str) -> float:
        return self.figures[figure] + self.unknown


class Pace:
    """A leaky bucket of the bytes that went in and out: by how much the last seconds were over the rate."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.at, self.over = rate, now, 0.0

    def add(self, now: float, size: int) -> None:
        self.over = max(0.0, self.over - self.rate * max(0.0, now - self.at)) + size + HEADERS
        self.at = max(self.at, now)


class Known:
    """The latest sum of another group, zone or region."""

    __slots__ = ("sum", "made_at", "seen_at", "contacts", "to_groups", "to_mates", "groups_at", "mates_at")

    def __init__(self, told: Sum, made_at: float) -> None:
        self.sum, self.made_at = told, made_at
        self.seen_at = made_at  # when somebody spoke for it: told on in a byte, where its figures go in turn
        self.contacts: list[str] = []
        self.to_groups, self.to_mates = TOLD_MESH, TOLD_MATES  # times that it still is to be passed on as news
        self.groups_at = self.mates_at = -1e9

    def total(self, now: float, patience: float = 1.0) -> Total:
        told, age = self.sum, now - self.made_at
        if now - self.seen_at > patience * STALE[told.level]:
            return Total(
                0,
                told.members,
                float(told.unknown + (told.figures[PLACE_OF_CAPACITY:] or [0])[0]),
                0.0,
                dict.fromkeys(SUMMED, 0.0),
            )
        figures = dict(zip(SUMMED, map(float, told.figures)))
        return Total(
            told.members,
            told.silent,
            float(told.unknown),
            age + told.oldest / 10.0,
            {name: figures.get(name, 0.0) for name in SUMMED},
        )


PLACE_OF_CAPACITY = SUMMED.index("capacity")
Names = tuple[int, str]  # level and name of a row


class Levels:
    """Happenings: `beat`, `heard`; errands: letters as address and keywords, as of `Members`."""

    def __init__(self, bounds: FleetBounds, place: Place, members: Mates, known: Counts, seed: int, now: float) -> None:
        self.bounds, self.place, self.members, self.known = bounds, place, members, known
        self.draw, self.started = Chance(seed).below, now
        self.pace = Pace(PACE, now)
        self.rows: dict[Names, Known] = {}
        self.own: Row | None = None  # our own report, for what is counted a second
        self.told: Sum | None = None  # of our group, as we told it last
        self.told_at = self.mesh_at = self.urgent_at = self.seeds_at = self.beyond_at = now - 0.01 * self.draw(70)
        self.told_all_at = self.again_at = now
        self.own_news, self.step = 0, 0
        self.asks, self.turn = 0, self.draw(64)  # of seeds while alone; whose turn it is
        self.link_at: dict[Names, float] = {}
        self.link_told: dict[Names, tuple[list[int], int]] = {}  # members that we told of on it last, and how often
        self.newcomers: dict[Names, list[str]] = {}
        self.asked_at: dict[str, float] = {}
        self.counts: Counter[str] = Counter()
        self.ranked: list[str] = []
        self.mesh_every = MESH_ROUND / max(2, (place.groups - 1).bit_length())
        self.patience = 1.0  # who does not speak hears of other parts by its mates alone, which takes longer

    # Who speaks.

    def rank(self) -> int:
        """Our place among the living of the group; 0 speaks. A view that hears little says nothing to others."""
        members = self.members
        names = [member.name for member in members.view.values() if member.state == ALIVE] + [members.name]
        self.ranked = sorted(names, key=lambda name: score(self.place.group, self.place.zone, name), reverse=True)
        rank = len(names) if members.frozen or members.left else self.ranked.index(members.name)
        self.patience = 1.0 if rank <= 1 else PATIENCE
        return rank

    def speaks(self, now: float) -> bool:
        return now - self.started >= SETTLE and self.rank() == 0

    def _keeps(self, now: float, link: Names) -> int:
        """Our group's place for a link among the zone's, and our zone's among the region's: 0 keeps it, 1 is the second."""
        ways = [(GROUP, self.place.group)]
        if link[0] == REGION:
            ways.append((ZONE, self.place.zone))
        place = 0
        for level, own in ways:
            names = [
                own,
                *(
                    name
                    for (row_level, name), row in self.rows.items()
                    if row_level == level and now - row.seen_at <= STALE[level]
                ),
            ]
            names.sort(key=lambda name: score(link[1], name), reverse=True)
            place += names.index(own)
        return place

    # Sums.

    def _group(self, now: float) -> Total:
        """Our own, from what each mate reported."""
        members, known = self.members, self.known
        there = [member.name for member in members.view.values() if member.state <= SUSPECT]
        rows, silent, unknown, oldest = [self.own] if self.own else [], 0, 0.0, 0.0
        for name in there:
            row = known.rows.get(name)
            if row is None or now - row.made_at > known.fresh:
                silent += 1
                unknown += row.value("capacity") if row else 0.0
            else:
                rows.append(row)
                oldest = max(oldest, now - row.made_at)
        figures = {figure: float(sum(row.value(figure) for row in rows)) for figure in SUMMED}
        return Total(1 + len(there), silent, unknown, oldest, figures)

    def _beside(self, now: float, level: int) -> Total:
        total = Total(0, 0, 0.0, 0.0, dict.fromkeys(SUMMED, 0.0))
        for (row_level, _), row in self.rows.items():
            if row_level == level:
                total = total.plus(row.total(now, self.patience))
        return total

    def totals(self, now: float) -> dict[str, Total]:
        """Of `group`, `zone`, `region` and `fleet`."""
        group = self._group(now)
        zone = group.plus(self._beside(now, GROUP))
        region = zone.plus(self._beside(now, ZONE))
        return {"group": group, "zone": zone, "region": region, "fleet": region.plus(self._beside(now, REGION))}

    def _sum(self, level: int, name: str, total: Total, contacts: Iterable[str]) -> Sum:
        return Sum(
            level,
            name,
            0,
            total.members,
            total.silent,
            int(total.unknown),
            ceil(10.0 * total.oldest),
            [int(total.figures[figure]) for figure in SUMMED],
            pack(contacts),
        )

    def _tell_own(self, now: float) -> None:
        """A new version of our group's sum where it changed by what is worth a word, or is old."""
        total, told = self._group(now), self.told
        contacts = [
            self.members.address if name == self.members.name else self.members.view[name].address for name in self.ranked[:2]
        ]
        fresh = self._sum(GROUP, self.place.group, total, contacts)
        news = told is None or told.members != fresh.members or told.contacts != fresh.contacts
        changed = (
            told is not None
            and now - self.told_at >= 2.0
            and any(abs(one - other) > WORTH * max(one, other) + 4 for one, other in zip(told.figures, fresh.figures))
        )
        if news or changed or now - self.told_at >= REFRESH[GROUP]:
            self.told, self.told_at = fresh, now
            self.own_news = TOLD_MESH if news else 1

    def _own_sum(self, now: float) -> Sum | None:
        """As told last, with its age: who spoke before us and does so again must not tell an old one as new."""
        if self.told is None:
            return None
        return msgspec.structs.replace(self.told, age=min(864_000, int(10.0 * (now - self.told_at))))

    # What passes.

    @staticmethod
    def _aged(now: float, row: Known) -> Sum:
        """Its age is rounded up: passed round and round it must not stay young. Of two parts of a group that do not know each
        other each names two contacts: the third is of the other part, and by it they become one."""
        return msgspec.structs.replace(
            row.sum, age=min(864_000, int(10.0 * (now - row.made_at)) + 1), contacts=pack(row.contacts[:3])
        )

    def _parts(self) -> tuple[list[Names], bytes]:
        """What ages are told of, in order, and two bytes by which another knows that it tells of the same."""
        groups = [(GROUP, f"{index}/{self.place.groups}") for index in range(self.place.groups)]
        named = sorted(names for names in self.rows if names[0] != GROUP)
        return groups + named, (score(*(name for _, name in named)) & 0xFFFF).to_bytes(2)

    def _ages(self, now: float, speaks: bool) -> bytes:
        """Two bytes for each part: tenths of a second, and members by which it shows who missed news of them."""
        parts, check = self._parts()
        ages = bytearray(check)
        for names in parts:
            if row := self.rows.get(names):
                ages += bytes((min(255, int(10.0 * (now - row.seen_at)) + 1), row.sum.members & 0xFF))
            elif speaks and self.told and names[1] == self.place.group:
                ages += bytes((0, self.told.members & 0xFF))
            else:
                ages += b"\xff\0"
        return bytes(ages)

    def _take_ages(self, now: float, ages: bytes) -> list[Known]:
        """What the other heard lately we need not hear again; told are the parts of which one of us missed news."""
        differ: list[Known] = []
        parts, check = self._parts()
        same = ages[:2] == check and len(ages) == 2 + 2 * len(parts)  # else only the groups' places are sure
        told = struct.iter_unpack("2B", ages[2 : len(ages) // 2 * 2])
        for names, (age, members) in zip(parts if same else parts[: self.place.groups], told):
            row = self.rows.get(names)
            if row is None:
                continue
            if age < 255 and members == row.sum.members & 0xFF:
                row.seen_at = max(row.seen_at, now - age / 10.0)
            elif now - row.seen_at <= STALE[row.sum.level]:
                differ.append(row)
        return differ + [self.rows[names] for names in parts[self.place.groups :] if not same]

    def _told_again(self, now: float, address: str, differ: list[Known]) -> Iterator[tuple[str, dict]]:
        """To another group's speaker at once: our next word would go to somebody else. Where it knows better than we do, it
        finds that by our ages and answers in the same way."""
        if not differ or now - self.again_at < AGAIN or self.pace.over > OPTIONAL:
            return
        self.again_at = now
        sums = [self._aged(now, row) for row in sorted(differ, key=lambda row: -row.made_at)[:SUMS_TO_GROUPS]]
        own = [own] if self.rank() == 0 and (own := self._own_sum(now)) else []
        upward = self._fitting(self._named(ages=self._ages(now, self.rank() == 0), sums=[*own, *sums]))
        yield address, {"what": "word", "short": True, "upward": upward}

    def to_mate(self, now: float, asks: bool) -> bytes:
        """News, and of the rest what a mate heard longest ago; in an ask the ages too, and by whom we see there the wish to be
        told of the others."""
        chosen: list[Sum] = []
        for row in sorted(self.rows.values(), key=lambda row: (-row.to_mates, row.mates_at)):
            if len(chosen) >= SUMS_TO_MATES or not row.to_mates and now - row.mates_at < REFRESH_MATES:
                break
            row.to_mates, row.mates_at = max(0, row.to_mates - 1), now
            chosen.append(self._aged(now, row))
        if not chosen and not asks:
            return b""
        return self._fitting(Upward(ages=self._ages(now, False) if asks else b"", sums=chosen, view=self.view() if asks else 0))

    def view(self) -> int:
        """Two bytes of whom we see there, ourselves too; never 0."""
        seen = score(self.members.name)
        for member in self.members.view.values():
            if member.state <= SUSPECT:
                seen ^= score(member.name)
        return seen & 0xFFFF or 1

    def tells_all(self, now: float, upward: Upward) -> bool:
        """Whether who asked is told of all mates: it sees others there than we do. Not often, where many come and go."""
        if (
            not upward.view
            or upward.view == self.view()
            or now - self.told_all_at < TELL_ALL_EVERY
            or self.pace.over > 2.0 * OPTIONAL
        ):
            return False
        self.told_all_at = now
        return True

    def to_group(self, now: float) -> bytes:
        """Of the zone's speakers to each other: our own sum, news, and the rest in turn."""
        chosen: list[Sum] = []
        if self.own_news and (own := self._own_sum(now)):
            self.own_news -= 1
            chosen.append(own)
        due = [row for (level, _), row in self.rows.items() if row.to_groups or now - row.groups_at >= REFRESH[level]]
        for row in sorted(due, key=lambda row: (-row.to_groups, row.groups_at))[: SUMS_TO_GROUPS - len(chosen)]:
            row.to_groups, row.groups_at = max(0, row.to_groups - 1), now
            chosen.append(self._aged(now, row))
        return self._fitting(self._named(ages=self._ages(now, self.rank() == 0), sums=chosen))

    def _abroad(self, now: float, level: int) -> list[Sum]:
        """What another zone or region is told: our zone's sum or our region's, and those of the others that it stands beside:
        by them it finds those."""
        totals = self.totals(now)
        contacts = [self.members.address, *self._others_contacts(now)]
        own = (
            self._sum(REGION, self.place.region, totals["region"], contacts)
            if level == REGION
            else self._sum(ZONE, self.place.zone, totals["zone"], contacts)
        )
        rows = [
            self._aged(now, row)
            for (row_level, _), row in self.rows.items()
            if row_level >= level and now - row.seen_at <= STALE[row_level]
        ]
        return [own, *rows]

    def _others_contacts(self, now: float) -> list[str]:
        """A speaker of another group, to be asked if all of ours are gone."""
        groups = sorted(
            name
            for (level, name), row in self.rows.items()
            if level == GROUP and row.contacts and now - row.seen_at <= STALE[GROUP]
        )
        return self.rows[GROUP, groups[self.draw(len(groups))]].contacts[:1] if groups else []

    def _named(self, **told: object) -> Upward:
        return Upward(self.place.region, self.place.zone, self.place.group, **told)

    @staticmethod
    def _fitting(upward: Upward) -> bytes:
        sums = list(upward.sums)
        while len(data := encode_upward(upward)) > MOST_UPWARD and sums:
            sums.pop()
            upward = msgspec.structs.replace(upward, sums=sums)
        return data

    # The beat.

    def beat(self, now: float, own: Row | None) -> Iterator[tuple[str, dict]]:
        self.own = own
        if self.members.left:
            return
        for name in [name for name, row in self.rows.items() if now - row.seen_at > self.bounds.forget]:
            del self.rows[name]
        rank = self.rank()
        alone = len(self.ranked) == 1
        groups = 1 + sum(level == GROUP for level, _ in self.rows)
        every = SEEDS_EVERY if groups >= self.place.groups else LINK_AGAIN
        if alone:  # each seed once: then whoever of our group asks any of them is told of us
            every = min(ALONE_MOST, ALONE_EVERY + ALONE_MORE * max(0, self.asks - len(self.bounds.seeds)))
        if (alone or rank == 0) and now - self.seeds_at >= every:
            self.seeds_at = now
            self.asks = self.asks + 1 if alone else 0
            yield from self._introduced(now, self.bounds.seeds)
        if rank > 1 or now - self.started < SETTLE:
            yield from self.pass_on(now)
            return
        since, every = now - self.mesh_at, self.mesh_every if rank == 0 else STANDBY_EVERY
        if rank == 0 or since >= every:
            self._tell_own(now)
        if rank == 0:
            yield from self._links(now)
        if since >= every and (self.pace.over < OPTIONAL or since >= 3.0 * every):
            self.mesh_at = now
            yield from self._to_groups(now, 1)
        elif rank == 0:
            yield from self.pass_on(now)

    def _to_groups(self, now: float, fan: int) -> Iterator[tuple[str, dict]]:
        """At steps that double: after as many words as the number of groups has bits each has heard of each."""
        groups = self.place.groups
        for _ in range(fan):
            for _ in range(max(1, groups.bit_length())):
                self.step += 1
                index = (self.place.index + (1 << self.step % max(1, (groups - 1).bit_length()))) % groups
                row = self.rows.get((GROUP, f"{index}/{groups}"))
                if row and row.contacts and (now - row.seen_at <= STALE[GROUP] or not self.draw(4)):
                    yield self._contact(now, row), {"what": "word", "short": True, "upward": self.to_group(now)}
                    break

    def _contact(self, now: float, row: Known) -> str:
        """Mostly the first: the second in case that it can't hear us, earlier ones where nothing is heard from there."""
        known = len(row.contacts) if now - row.seen_at > 0.5 * STALE[row.sum.level] else min(2, len(row.contacts))
        return row.contacts[0 if self.draw(8) else self.draw(known)]

    def pass_on(self, now: float) -> Iterator[tuple[str, dict]]:
        """News goes at once where the bytes allow it, and else with the next turn."""
        if now - self.urgent_at < GAP or self.pace.over > URGENT:
            return
        speaks = self.rank() == 0 and now - self.started >= SETTLE
        if speaks and (self.own_news == TOLD_MESH or any(row.to_groups == TOLD_MESH for row in self.rows.values())):
            self.urgent_at = now
            yield from self._to_groups(now, FAN_MESH)
        if any(row.to_mates == TOLD_MATES for row in self.rows.values()):
            self.urgent_at = now
            upward = self.to_mate(now, False)
            for mate in self.members._some(FAN_MATES, ""):
                yield mate.address, {"what": "word", "to": mate.name, "short": True, "upward": upward}

    def _links(self, now: float) -> Iterator[tuple[str, dict]]:
        """To other zones and regions: one keeper, and a second at a slower pace in case that the first can't get through."""
        totals: dict[str, Total] = {}
        for names, row in list(self.rows.items()):
            if names[0] == GROUP or not row.contacts:
                continue
            since = now - self.link_at.get(names, -1e9)
            if since < GAP:
                continue
            place = self._keeps(now, names)
            if place > 1:
                self.link_at.pop(names, None)
                continue
            totals = totals or self.totals(now)
            counted = (
                [totals["region"].members]
                if names[0] == REGION
                else [
                    totals["zone"].members,
                    *(other.sum.members for (level, _), other in self.rows.items() if level == REGION),
                ]
            )
            before, times = self.link_told.get(names, ([], 0))
            times = times if before == counted else 0
            news = place == 0 and self.pace.over < URGENT and times < LINK_TOLD
            if since >= (LINK_EVERY if place == 0 else LINK_AGAIN) or news:
                self.link_at[names], self.link_told[names] = now, (counted, times + 1)
                upward = self._fitting(self._named(sums=self._abroad(now, names[0])))
                yield self._contact(now, row), {"what": "word", "short": True, "upward": upward}
        # Where other zones are heard they are asked seldom, only for those that nobody here knows of yet.
        abroad = [now - row.seen_at <= STALE[level] for (level, _), row in self.rows.items() if level != GROUP]
        every = SEEDS_EVERY if abroad and all(abroad) else BEYOND_EVERY
        if self.bounds.beyond and now - self.beyond_at >= every and self._keeps(now, (ZONE, "")) == 0:
            self.beyond_at = now
            yield from self._introduced(now, self.bounds.beyond)

    def _introduced(self, now: float, addresses: tuple[str, ...] | list[str]) -> Iterator[tuple[str, dict]]:
        """The next of them in turn."""
        others = [address for address in addresses if address != self.members.address] or self.bounds.beyond
        if others:
            self.turn += 1
            yield self._ask(now, others[self.turn % len(others)])

    def _ask(self, now: float, address: str) -> tuple[str, dict]:
        self.asked_at[address] = now
        if len(self.asked_at) > 64:
            del self.asked_at[min(self.asked_at, key=lambda other: self.asked_at[other])]
        sums = []
        if self.speaks(now) and len(self.ranked) > 1:  # who is alone wants nothing but contacts
            sums = [*((own,) if (own := self._own_sum(now)) else ()), *self._abroad(now, REGION)[:1], *self._abroad(now, ZONE)]
        upward = self._fitting(self._named(wants=True, sums=sums, view=self.view()))
        return address, {"what": "ping", "number": 0, "short": True, "upward": upward}

    # What comes.

    def is_mate(self, letter: Letter) -> bool:
        return letter.place == self.place.key

    def upward(self, letter: Letter) -> Upward:
        """What a letter tells upward; what can't be read is counted, and tells nothing."""
        upward = decode_upward(letter.upward) if letter.upward else Upward()
        self.counts["upward_unfit"] += upward is None
        return upward or Upward()

    def heard(self, now: float, letter: Letter, upward: Upward) -> Iterator[tuple[str, dict]]:
        """Of mates and strangers; the letter's own matter (members, reports, trades) is not looked at here."""
        mate = self.is_mate(letter)
        news = False
        for told in upward.sums:
            news |= self._take(now, told, mate, upward)
            yield from self._of_our_group(now, told)
        differ = self._take_ages(now, upward.ages) if upward.ages and (mate or self._in_our_zone(upward)) else []
        if mate:  # it has asked us, or is answered soon: with our next word to it
            for row in differ:
                row.to_mates = max(1, row.to_mates)
        else:
            yield from self._told_again(now, letter.address, differ)
        if news:
            yield from self.pass_on(now)
        if not mate and letter.what == "ping":
            yield self._answer(now, letter, upward)
        for address in unpack(upward.contacts) if letter.what == "ack" else ():
            if address != self.members.address and now - self.asked_at.get(address, -1e9) >= ALONE_EVERY:
                yield self._ask(now, address)

    def _in_our_zone(self, upward: Upward) -> bool:
        return (upward.region, upward.zone) == self.place[:2]

    def _concerns_us(self, told: Sum, mate: bool, upward: Upward) -> bool:
        """A sum of a part that we stand beside, told by who can know it: else it would be counted twice."""
        if told.level == REGION:
            return told.name != self.place.region
        if told.level == ZONE:
            return told.name != self.place.zone and (mate or upward.region == self.place.region)
        return told.name != self.place.group and (mate or self._in_our_zone(upward))

    def _take(self, now: float, told: Sum, mate: bool, upward: Upward) -> bool:
        """Whether it is news who is there."""
        if not self._concerns_us(told, mate, upward):
            return False
        names, made_at = (told.level, told.name), now - told.age / 10.0
        row = self.rows.get(names)
        if row is None:
            if (
                sum(level == told.level for level, _ in self.rows) >= MOST_ROWS[told.level]
                or told.age / 10.0 > self.bounds.forget
                or not self._fits(told)
            ):
                self.counts["sums_refused"] += 1
                return False
            row = self.rows[names] = Known(told, made_at)
        elif made_at <= row.made_at + 0.05:
            return False
        else:
            # One that was silent for a moment, and is as it was, is none: passed on at once it would cost a word to everybody.
            news = told.members != row.sum.members or now - row.seen_at > PATIENCE * STALE[told.level]
            row.sum, row.made_at, row.seen_at = told, made_at, max(made_at, row.seen_at)
            if not news:
                self._learn(row, told)
                return False
        row.to_groups, row.to_mates = TOLD_MESH, TOLD_MATES
        self.counts["news"] += 1
        self._learn(row, told)
        return True

    @staticmethod
    def _fits(told: Sum) -> bool:
        index, _, groups = told.name.partition("/")
        return told.level != GROUP or index.isdigit() and groups.isdigit() and int(index) < int(groups) <= MOST_ROWS[GROUP] + 1

    @staticmethod
    def _learn(row: Known, told: Sum) -> None:
        fresh = unpack(told.contacts)
        row.contacts = [*fresh, *(address for address in row.contacts if address not in fresh)][:CONTACTS]

    def _of_our_group(self, now: float, told: Sum) -> Iterator[tuple[str, dict]]:
        """Somebody else speaks for our group: a part that doesn't know us, or one that we don't know yet."""
        if (told.level, told.name) != (GROUP, self.place.group):
            return
        known = {member.address for member in self.members.view.values() if member.state <= SUSPECT} | {self.members.address}
        for address in unpack(told.contacts):
            if address not in known and now - self.asked_at.get(address, -1e9) >= 2.0:
                yield self._ask(now, address)

    def _answer(self, now: float, letter: Letter, upward: Upward) -> tuple[str, dict]:
        """To a stranger's ping: who is nearer to it, and what it may want to know of us."""
        told: dict = {"what": "ack", "number": letter.number, "short": True}
        if upward.region:
            near = self._near(upward)
            contacts = []
            if upward.wants and near:
                row = self.rows.get(near)
                contacts = [*(row.contacts[:2] if row else ()), *self.newcomers.get(near, ())]
                contacts = [address for address in dict.fromkeys(contacts) if address != letter.address][:CONTACTS]
                if near in self.newcomers or len(self.newcomers) < NEWCOMERS:
                    self.newcomers[near] = [
                        letter.address,
                        *(other for other in self.newcomers.get(near, ()) if other != letter.address),
                    ][:2]
            # Who told of no sum speaks for nobody: it wants to know where to go, and that soon.
            sums = self._for(now, upward) if upward.sums else []
            told["upward"] = self._fitting(self._named(contacts=pack(contacts), sums=sums))
        return letter.address, told

    def _for(self, now: float, upward: Upward) -> list[Sum]:
        """What a stranger does not know as we do: of our zone its groups, else our zone or region where we speak for it."""
        if self._in_our_zone(upward):
            rows = [row for (level, name), row in self.rows.items() if level == GROUP and name != upward.group]
            own = self._own_sum(now) if self.rank() == 0 else None
            some = [rows.pop(self.draw(len(rows))) for _ in range(min(len(rows), SUMS_TO_GROUPS))]
            return [*([own] if own else []), *(self._aged(now, row) for row in some)]
        return [] if self.rank() else self._abroad(now, REGION if upward.region != self.place.region else ZONE)

    def _near(self, upward: Upward) -> Names | None:
        """The row in which a stranger's own place is found, here."""
        if upward.region != self.place.region:
            return REGION, upward.region
        if upward.zone != self.place.zone:
            return ZONE, upward.zone
        return GROUP, upward.group
