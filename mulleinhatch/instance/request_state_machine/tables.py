"""Ops that are owed something, and what is remembered by key."""

from __future__ import annotations

import heapq
from typing import NamedTuple


class Owed:
    """An op between its reading and the last that is expected of it: its answer, and the end of its run."""

    __slots__ = (
        "ref",
        "place",
        "op_type",
        "tenant",
        "key",
        "body",
        "repeats",
        "running",
        "arrived",
        "due",
        "looks",
        "handed",
        "from_peer",
        "told",
        "started",
        "may_have_run",
        "query",
        "in_doubt",
    )

    def __init__(
        self, ref: str, place: int, op_type: str, tenant: str, key: str, body: bytes, arrived: float, due: float
    ) -> None:
        self.ref, self.op_type, self.tenant, self.key, self.body = ref, op_type, tenant, key, body
        self.arrived, self.due = arrived, due
        self.may_have_run = False
        self.in_doubt = False  # it may have ended, and the word on that is lost
        self.query = b""  # what its run asks for at a call
        self.repeats = ""  # the op that stands for its key
        self.looks: tuple[bytes, ...] = ()  # what the storm books know its tries by
        self.place: int | None = place  # the connection that waits; None once answered or gone
        self.running = False
        self.handed = self.from_peer = False  # a peer has it; it came from one
        self.started = 0.0  # when its run was asked for
        self.told: tuple = ()  # what a peer must be told of it, where ops are handed over: when it arrived, and its figures

    @property
    def same(self) -> tuple[str, str, bytes]:
        """What another request under its id must be to be the same try."""
        return self.op_type, self.tenant, self.body

    @property
    def key_place(self) -> tuple[str, str, str]:
        return self.op_type, self.tenant, self.key


class Entry(NamedTuple):
    until: float  # who reached the machine before that is a repeat, however late it is read
    gone: float  # when nobody of these can be read any more
    place: tuple[str, str, str]  # op type, tenant, key: a key of another of these is another key
    looks: bytes  # what a repeat has in common with it


class Keys:
    """Which op stands for a key, and the result that its repeats are answered from.

    An op keeps its entry until all that came within its time were read: `linger` more. Of several for one key the newest
    counts whose time has not run out when the repeat reached the machine; one that is forgotten leaves the older ones.

    >>> keys, place = Keys(), ("op", "tenant", "k")
    >>> keys.keep(place, "r1", b"looks", until=5.0, linger=2.0); keys.store("r1", b"x")
    >>> [keys.standing(place, arrived, now) for arrived, now in ((4.0, 4.0), (4.9, 6.9), (5.0, 6.9))], keys.result("r1")
    (['r1', 'r1', ''], b'x')
    >>> keys.keep(place, "r2", b"looks", until=11.0, linger=2.0); keys.forget("r2"); keys.standing(place, 4.9, 6.9)
    'r1'
    >>> keys.standing(place, 4.9, 7.0), keys.result("r1"), keys.entries
    ('', None, {})
    """

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str, str], list[str]] = {}  # the newest last
        self.kept: dict[str, Entry] = {}
        self.results: dict[str, bytes] = {}
        self.ends: list[tuple[float, str]] = []

    def keep(self, place: tuple[str, str, str], ref: str, looks: bytes, until: float, linger: float) -> None:
        """Or gives the entry of an op a later time."""
        if ref not in self.kept:
            self.entries.setdefault(place, []).append(ref)
        self.kept[ref] = Entry(until, until + linger, place, looks)
        heapq.heappush(self.ends, (until + linger, ref))

    def repeated(self, ref: str, until: float) -> None:
        """A repeat of an op that has not run yet may stand in its place, and its own time counts then."""
        entry = self.kept.get(ref)
        if entry and until > entry.until:
            self.keep(entry.place, ref, entry.looks, until, entry.gone - entry.until)

    def standing(self, place: tuple[str, str, str], arrived: float, now: float) -> str:
        while self.ends and self.ends[0][0] <= now:
            gone, ref = heapq.heappop(self.ends)
            if ref in self.kept and self.kept[ref].gone == gone:
                self.forget(ref)
        return next((ref for ref in reversed(self.entries.get(place, ())) if arrived < self.kept[ref].until), "")

    def known(self, place: tuple[str, str, str]) -> bool:
        """Whether a try with this key may be a repeat of something here."""
        return place in self.entries

    def like(self, ref: str, looks: bytes) -> bool:
        return self.kept[ref].looks == looks

    def store(self, ref: str, result: bytes) -> None:
        if ref in self.kept:
            self.results[ref] = result

    def result(self, ref: str) -> bytes | None:
        return self.results.get(ref)

    def forget(self, ref: str) -> None:
        self.results.pop(ref, None)
        if entry := self.kept.pop(ref, None):
            refs = self.entries[entry.place]
            refs.remove(ref)
            if not refs:
                del self.entries[entry.place]
