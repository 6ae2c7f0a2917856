"""Ops that are owed something, and what is remembered by key."""

from __future__ import annotations

import heapq
from typing import NamedTuple


class PendingRequest:
    """An op between its reading and the last that is expected of it: its answer, and the end of its run."""

    __slots__ = (
        "request_id",
        "connection_id",
        "request_type",
        "tenant",
        "key",
        "body",
        "duplicate_of",
        "running",
        "arrived_at",
        "deadline",
        "fingerprints",
        "is_handed_over",
        "is_from_peer",
        "handover_data",
        "run_started_at",
        "may_have_run",
        "call_payload",
        "is_run_end_unknown",
    )

    def __init__(
        self,
        request_id: str,
        connection_id: int,
        request_type: str,
        tenant: str,
        key: str,
        body: bytes,
        arrived_at: float,
        deadline: float,
    ) -> None:
        self.request_id, self.request_type, self.tenant, self.key, self.body = request_id, request_type, tenant, key, body
        self.arrived_at, self.deadline = arrived_at, deadline
        self.may_have_run = False
        self.is_run_end_unknown = False  # it may have ended, and the word on that is lost
        self.call_payload = b""  # what its run asks for at a call
        self.duplicate_of = ""  # the op that stands for its key
        self.fingerprints: tuple[bytes, ...] = ()  # what the storm books know its tries by
        self.connection_id: int | None = connection_id  # the connection that waits; None once answered or gone
        self.running = False
        self.is_handed_over = self.is_from_peer = False  # a peer has it; it came from one
        self.run_started_at = 0.0  # when its run was asked for
        # What a peer must be told of it, where ops are handed over: when it arrived, and its figures.
        self.handover_data: tuple = ()

    @property
    def identity(self) -> tuple[str, str, bytes]:
        """What another request under its id must be to be the same try."""
        return self.request_type, self.tenant, self.body

    @property
    def key_scope(self) -> tuple[str, str, str]:
        return self.request_type, self.tenant, self.key


class KeyEntry(NamedTuple):
    until: float  # who reached the machine before that is a repeat, however late it is read
    expires_at: float  # when nobody of these can be read any more
    scope: tuple[str, str, str]  # op type, tenant, key: a key of another of these is another key
    fingerprint: bytes  # what a repeat has in common with it


class IdempotencyKeys:
    """Which op stands for a key, and the result that its repeats are answered from.

    An op keeps its entry until all that came within its time were read: `linger` more. Of several for one key the newest
    counts whose time has not run out when the repeat reached the machine; one that is forgotten leaves the older ones.

    >>> keys, scope = IdempotencyKeys(), ("op", "tenant", "k")
    >>> keys.remember(scope, "r1", b"print", until=5.0, linger=2.0); keys.store_result("r1", b"x")
    >>> [keys.find_original(scope, at, now) for at, now in ((4.0, 4.0), (4.9, 6.9), (5.0, 6.9))], keys.result("r1")
    (['r1', 'r1', ''], b'x')
    >>> keys.remember(scope, "r2", b"print", until=11.0, linger=2.0); keys.forget("r2"); keys.find_original(scope, 4.9, 6.9)
    'r1'
    >>> keys.find_original(scope, 4.9, 7.0), keys.result("r1"), keys.request_ids_by_scope
    ('', None, {})
    """

    def __init__(self) -> None:
        self.request_ids_by_scope: dict[tuple[str, str, str], list[str]] = {}  # the newest last
        self.entries: dict[str, KeyEntry] = {}
        self.results: dict[str, bytes] = {}
        self.expiries: list[tuple[float, str]] = []

    def remember(self, scope: tuple[str, str, str], request_id: str, fingerprint: bytes, until: float, linger: float) -> None:
        """Or gives the entry of an op a later time."""
        if request_id not in self.entries:
            self.request_ids_by_scope.setdefault(scope, []).append(request_id)
        self.entries[request_id] = KeyEntry(until, until + linger, scope, fingerprint)
        heapq.heappush(self.expiries, (until + linger, request_id))

    def extend_window(self, request_id: str, until: float) -> None:
        """A repeat of an op that has not run yet may stand in its place, and its own time counts then."""
        entry = self.entries.get(request_id)
        if entry and until > entry.until:
            self.remember(entry.scope, request_id, entry.fingerprint, until, entry.expires_at - entry.until)

    def find_original(self, scope: tuple[str, str, str], arrived_at: float, now: float) -> str:
        while self.expiries and self.expiries[0][0] <= now:
            expires_at, request_id = heapq.heappop(self.expiries)
            if request_id in self.entries and self.entries[request_id].expires_at == expires_at:
                self.forget(request_id)
        return next(
            (
                request_id
                for request_id in reversed(self.request_ids_by_scope.get(scope, ()))
                if arrived_at < self.entries[request_id].until
            ),
            "",
        )

    def is_known(self, scope: tuple[str, str, str]) -> bool:
        """Whether a try with this key may be a repeat of something here."""
        return scope in self.request_ids_by_scope

    def matches(self, request_id: str, fingerprint: bytes) -> bool:
        return self.entries[request_id].fingerprint == fingerprint

    def store_result(self, request_id: str, result: bytes) -> None:
        if request_id in self.entries:
            self.results[request_id] = result

    def result(self, request_id: str) -> bytes | None:
        return self.results.get(request_id)

    def forget(self, request_id: str) -> None:
        self.results.pop(request_id, None)
        if entry := self.entries.pop(request_id, None):
            request_ids = self.request_ids_by_scope[entry.scope]
            request_ids.remove(request_id)
            if not request_ids:
                del self.request_ids_by_scope[entry.scope]
