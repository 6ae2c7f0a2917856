"""Pending requests, and the entries and results stored by idempotency key."""

from __future__ import annotations

import heapq
from typing import NamedTuple


class PendingRequest:
    """A request from its arrival until its answer was sent and its run ended."""

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
        self.is_run_end_unknown = False  # the notice of its end may have been lost
        self.call_payload = b""  # of the call that its run waits for
        self.duplicate_of = ""  # id of the original request with the same key
        self.fingerprints: tuple[bytes, ...] = ()  # identify the request in the retry storm detection
        self.connection_id: int | None = connection_id  # None once answered or disconnected
        self.running = False
        self.is_handed_over = self.is_from_peer = False  # handed over to a peer, received from a peer
        self.run_started_at = 0.0  # seconds, monotonic
        # Arrival, client id, cost, memory, is retry, rank: only where requests may be handed over.
        self.handover_data: tuple = ()

    @property
    def identity(self) -> tuple[str, str, bytes]:
        """The fields that must be equal for a request with the same id to be the same request."""
        return self.request_type, self.tenant, self.body

    @property
    def key_scope(self) -> tuple[str, str, str]:
        """The request type, tenant and idempotency key."""
        return self.request_type, self.tenant, self.key


class KeyEntry(NamedTuple):
    """Entry of a keyed request."""

    until: float  # end of the window: a request that arrived before is a duplicate, however late it is read
    expires_at: float  # time after which no such duplicate can be read any more
    scope: tuple[str, str, str]  # request type, tenant, key: keys are compared within one type and tenant
    fingerprint: bytes  # of type, tenant, key and body


class IdempotencyKeys:
    """The original request of each idempotency key, and the result with which its duplicates are answered.

    An entry stays for `linger` seconds after its window, until all duplicates that arrived within the window were read. Of
    several requests with one key, the original is the newest one whose window contains the arrival of the duplicate; once
    that is forgotten, the next older one.

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
        """Add a request, or extend the window of one that is known."""
        if request_id not in self.entries:
            self.request_ids_by_scope.setdefault(scope, []).append(request_id)
        self.entries[request_id] = KeyEntry(until, until + linger, scope, fingerprint)
        heapq.heappush(self.expiries, (until + linger, request_id))

    def extend_window(self, request_id: str, until: float) -> None:
        """Extend the window: a duplicate may replace a request that has not run, with a window from its own arrival on."""
        entry = self.entries.get(request_id)
        if entry and until > entry.until:
            self.remember(entry.scope, request_id, entry.fingerprint, until, entry.expires_at - entry.until)

    def find_original(self, scope: tuple[str, str, str], arrived_at: float, now: float) -> str:
        """Return the id of the newest request whose window contains the arrival, or an empty string."""
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
        """Return whether a request with this key may be a duplicate."""
        return scope in self.request_ids_by_scope

    def matches(self, request_id: str, fingerprint: bytes) -> bool:
        """Return whether the fingerprint is that of the remembered request."""
        return self.entries[request_id].fingerprint == fingerprint

    def store_result(self, request_id: str, result: bytes) -> None:
        """Store the result with which duplicates are answered."""
        if request_id in self.entries:
            self.results[request_id] = result

    def result(self, request_id: str) -> bytes | None:
        """Return the stored result, or None."""
        return self.results.get(request_id)

    def forget(self, request_id: str) -> None:
        """Remove a request and its result."""
        self.results.pop(request_id, None)
        if entry := self.entries.pop(request_id, None):
            request_ids = self.request_ids_by_scope[entry.scope]
            request_ids.remove(request_id)
            if not request_ids:
                del self.request_ids_by_scope[entry.scope]
