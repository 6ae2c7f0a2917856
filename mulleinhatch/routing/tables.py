"""Ops that are owed something, and what is remembered by key."""
from __future__ import annotations

import heapq


class Owed:
    """An op between its reading and the last that is expected of it: its answer, and the end of its run."""

    __slots__ = ("ref", "place", "op_type", "tenant", "key", "body", "repeats", "running",
                 "due", "looks", "handed", "from_peer", "told", "started")

    def __init__(self, ref: str, place: int, op_type: str, tenant: str, key: str, body: bytes,
                 due: float) -> None:
        self.ref, self.op_type, self.tenant, self.key, self.body = ref, op_type, tenant, key, body
        self.due = due
        self.repeats = ""       # the op that stands for its key
        self.looks: tuple[bytes, ...] = ()      # what the storm books know its tries by
        self.place: int | None = place      # the connection that waits; None once answered or gone
        self.running = False
        self.handed = self.from_peer = False    # a peer has it; it came from one
        self.started = 0.0      # when its run was asked for
        self.told: tuple = ()   # what a peer must be told of it, where ops are handed over: when it arrived, and its figures

    @property
    def same(self) -> tuple[str, str, bytes]:
        """What another request under its id must be to be the same try."""
        return self.op_type, self.tenant, self.body


class Keys:
    """Which op stands for a key until when, and the result that its repeats are answered from.

    >>> keys = Keys(); keys.keep("op", "k", "r1", 5.0); keys.store("r1", b"x")
    >>> keys.standing("op", "k", 4.0), keys.result("r1"), keys.standing("op", "k", 5.0), keys.result("r1")
    ('r1', b'x', '', None)
    """

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], str] = {}
        self.kept: dict[str, tuple[float, tuple[str, str]]] = {}
        self.results: dict[str, bytes] = {}
        self.ends: list[tuple[float, str]] = []

    def keep(self, op_type: str, key: str, ref: str, until: float) -> None:
        """An entry moves to the newer op that repeats it; a result stays with its op to its end."""
        if key:
            self.entries[op_type, key] = ref
            self.kept[ref] = until, (op_type, key)
            heapq.heappush(self.ends, (until, ref))

    def standing(self, op_type: str, key: str, now: float) -> str:
        while self.ends and self.ends[0][0] <= now:
            until, ref = heapq.heappop(self.ends)
            if self.kept.get(ref, (0.0,))[0] == until:
                self.forget(ref)
        return self.entries.get((op_type, key), "") if key else ""

    def store(self, ref: str, result: bytes) -> None:
        if ref in self.kept:
            self.results[ref] = result

    def result(self, ref: str) -> bytes | None:
        return self.results.get(ref)

    def forget(self, ref: str) -> None:
        self.results.pop(ref, None)
        if (kept := self.kept.pop(ref, None)) and self.entries.get(kept[1]) == ref:
            del self.entries[kept[1]]
