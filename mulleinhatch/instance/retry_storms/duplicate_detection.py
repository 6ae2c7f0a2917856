"""Which tries are of one op: what they have in common, and what that proves here and now.

Callers are stubs with thousands of clients behind each, so two ops may look the same to the last byte of their bodies.
A likeness that was seen on two ops at once, or again after an ack, is shared and proves nothing from then on; then the
finer one decides, by the figures that belong to one client's op. `docs/design/lookalikes.md` has the table.
"""

from __future__ import annotations

import math
import struct
from collections import Counter
from collections.abc import Callable, Hashable
from typing import NamedTuple

from mulleinhatch.instance.retry_storms.request_log import ExpiringSet, fingerprint

REJECTED_LIFETIME_S = 10.0  # seconds in which a nacked op is known again; twice that at most
EXECUTED_LIFETIME_S = 30.0  # and one that ran, when its answer may not have arrived
STABLE_COSTS_S, STABLE_COSTS_RETRIES = 5.0, 64  # seconds and retries, all with the figures of a try before, until figures tell
RESPONSE_MARGIN_S = 0.25  # seconds before its time that an answer must leave to have found its caller waiting


class RequestFingerprint(NamedTuple):
    """16 bytes of caller, op type, tenant, key and body; and those with rank, cost (seconds) and memory (KB)."""

    coarse: bytes
    detailed: bytes


def request_fingerprint(
    caller: int, request_type: str, tenant: str, key: str, body: bytes, rank: float, work: float, kb: float
) -> RequestFingerprint:
    coarse = fingerprint(caller, request_type, tenant, key, body)
    return RequestFingerprint(coarse, detailed_fingerprint(coarse, rank, work, kb))


def detailed_fingerprint(coarse: bytes, rank: float, work: float, kb: float) -> bytes:
    return coarse + struct.pack("<3d", rank, work, kb)


class ExpiringCounter:
    """How often each was seen in the last one to two spans and not taken back; at most `capacity` in each of two generations.

    >>> tally = ExpiringCounter(span=5.0, capacity=2); tally.add(0.0, "a"); tally.add(4.0, "a")
    >>> tally.remove_one(6.0, "a"), tally.contains(6.0, "a"), tally.remove_one(6.0, "a"), tally.remove_one(6.0, "a")
    (True, True, True, False)
    """

    def __init__(self, span: float, capacity: int) -> None:
        self.span, self.capacity, self.rotated_at = span, capacity, 0.0
        self.current: Counter[Hashable] = Counter()
        self.previous: Counter[Hashable] = Counter()

    def _rotate(self, now: float) -> None:
        if now - self.rotated_at >= self.span:
            self.previous = self.current if now - self.rotated_at < 2.0 * self.span else Counter()
            self.current, self.rotated_at = Counter(), now

    def add(self, now: float, item: Hashable) -> None:
        self._rotate(now)
        if len(self.current) >= self.capacity and item not in self.current:
            self.previous, self.current, self.rotated_at = self.current, Counter(), now
        self.current[item] += 1

    def remove_one(self, now: float, item: Hashable) -> bool:
        """One less, of the older ones first; whether there was one."""
        self._rotate(now)
        for counts in (self.previous, self.current):
            if count := counts.get(item):
                if count > 1:
                    counts[item] = count - 1
                else:
                    del counts[item]
                return True
        return False

    def contains(self, now: float, item: Hashable) -> bool:
        self._rotate(now)
        return item in self.current or item in self.previous

    def __len__(self) -> int:
        return len(self.current) + len(self.previous)


class DuplicateDetector:
    """Told of each try that is read in full, answered or lost; says whether an unmarked one repeats a nacked one.

    As many repeats of a likeness are known as nacks of it are outstanding, so an op that was acked since is no repeat.
    What `classify` gives beside are the op's looks, by which all that becomes of it is told: the finer ones are kept only
    where they are needed.

    >>> detector, fingerprints = DuplicateDetector(capacity=100), RequestFingerprint(b"p", b"p1")
    >>> repeat, keys = detector.classify(0.0, fingerprints, is_marked_retry=False); detector.record_closed(keys); detector.record_rejected(0.1, keys); repeat, keys
    (False, (b'p',))
    >>> repeat, keys = detector.classify(0.2, fingerprints, is_marked_retry=False); detector.record_closed(keys); detector.record_served(0.3, keys); repeat
    True
    >>> detector.classify(0.4, fingerprints, is_marked_retry=False), detector.counts["likenesses_shared"]
    ((False, (b'p', b'p1')), 1)
    """

    def __init__(self, capacity: int) -> None:
        self.open: Counter[bytes] = Counter()
        self.outstanding = ExpiringCounter(REJECTED_LIFETIME_S, capacity)
        self.served, self.shared = ExpiringSet(REJECTED_LIFETIME_S, capacity), ExpiringSet(REJECTED_LIFETIME_S, capacity)
        self.counts: Counter[str] = Counter()
        self.stable_retries = 0  # marked retries in a row that came with the figures of a try before
        self.unstable_at = -math.inf  # when one came with others

    def classify(
        self, now: float, fingerprints: RequestFingerprint, is_marked_retry: bool, is_non_retryable: bool = False
    ) -> tuple[bool, tuple[bytes, ...]]:
        """Whether it is a repeat, marked or not. `is_non_retryable` ones, of op types that may not run twice, tell whether the
        figures of an op stay over its tries."""
        if not is_marked_retry:
            self._mark_if_shared(now, fingerprints.coarse)
        shared = self.shared.contains(now, fingerprints.coarse)
        if shared and not is_marked_retry:
            self._mark_if_shared(now, fingerprints.detailed)
        proving_key = (
            fingerprints.coarse
            if not shared
            else None
            if self.shared.contains(now, fingerprints.detailed)
            else fingerprints.detailed
        )
        is_known_repeat = proving_key is not None and self.outstanding.contains(now, proving_key)
        keys = (fingerprints.coarse, fingerprints.detailed) if shared or is_non_retryable else (fingerprints.coarse,)
        coarse, *detailed = (self.outstanding.remove_one(now, item) for item in keys)
        if is_marked_retry and is_non_retryable and coarse:
            self._record_costs(now, detailed[0])
        for item in keys:
            self.open[item] += 1
        return is_marked_retry or is_known_repeat, keys

    def _mark_if_shared(self, now: float, item: bytes) -> None:
        """A first try that looks like one which waits here, or was acked, is another op with the same looks. So is a
        second copy that nobody marked: then it counts as a first try, and does no other harm."""
        if item in self.open or self.served.contains(now, item):
            self.counts["likenesses_shared"] += not self.shared.contains(now, item)
            self.shared.add(now, item)

    def is_known_repeat(self, now: float, coarse: bytes, detailed: Callable[[], bytes]) -> bool:
        """Whether an unmarked try that was not read in full yet repeats a nacked one for certain. One that looks like
        what waits here or was acked must be read, and compared."""
        item = detailed() if self.shared.contains(now, coarse) else coarse
        return (
            self.outstanding.contains(now, item)
            and item not in self.open
            and not self.served.contains(now, item)
            and not self.shared.contains(now, item)
        )

    def record_rejected_unread(self, now: float, coarse: bytes, detailed: Callable[[], bytes], is_marked_retry: bool) -> None:
        """Nacked before it was read in full, perhaps once more: it stays known for as long as it keeps coming. Of a marked
        one nothing needs to be known, but whether its figures stay, where looks are shared."""
        shared = self.shared.contains(now, coarse)
        if is_marked_retry and not shared:
            return
        removed = []
        for item in (coarse, detailed()) if shared else (coarse,):
            removed.append(self.outstanding.remove_one(now, item))
            self.outstanding.add(now, item)
        if is_marked_retry and removed[0]:
            self._record_costs(now, removed[1])

    def record_rejected(self, now: float, keys: tuple[bytes, ...]) -> None:
        for item in keys:
            self.outstanding.add(now, item)

    def record_served(self, now: float, keys: tuple[bytes, ...]) -> None:
        for item in keys:
            self.served.add(now, item)

    def record_closed(self, keys: tuple[bytes, ...]) -> None:
        """It waits for nothing any more: answered, or its caller is gone."""
        for item in keys:
            if self.open[item] > 1:
                self.open[item] -= 1
            else:
                del self.open[item]

    def _record_costs(self, now: float, are_costs_equal: bool) -> None:
        """Of a retry whose looks were nacked before. One whose first try another instance had looks changed, too: after a
        start figures tell nothing for a while."""
        self.stable_retries += 1
        if not are_costs_equal:
            self.stable_retries, self.unstable_at = 0, now

    def are_costs_stable(self, now: float) -> bool:
        return self.stable_retries >= STABLE_COSTS_RETRIES and now - self.unstable_at >= STABLE_COSTS_S


class ExecutedRequest(NamedTuple):
    fingerprints: RequestFingerprint
    due: float  # until when its caller waits


class ExecutedRequests:
    """Runs of ops that may not run twice, while a retry of them is still possible: until the answer is known to have
    been read, or for one to two spans. Bounded: at most `capacity` in each of two generations.

    >>> executed, fingerprints = ExecutedRequests(100), RequestFingerprint(b"p", b"p1")
    >>> executed.add(0.0, "r1", fingerprints, due=4.5); executed.may_have_executed(0.1, fingerprints, False), executed.may_have_executed(0.1, RequestFingerprint(b"p", b"p2"), True)
    (True, False)
    >>> executed.record_response(0.2, "r1", connection=7); executed.may_have_executed(0.3, fingerprints, False); executed.confirm_response_read(7); executed.may_have_executed(0.3, fingerprints, False)
    True
    False
    """

    def __init__(self, capacity: int) -> None:
        self.capacity, self.rotated_at = capacity, 0.0
        self.current: dict[str, ExecutedRequest] = {}
        self.previous: dict[str, ExecutedRequest] = {}
        self.by_coarse: dict[bytes, dict[str, bytes]] = {}  # and there by id: the fine likeness
        self.answers: dict[int, str] = {}  # by connection: the run whose ack was the last word on it

    def _rotate(self, now: float) -> None:
        if now - self.rotated_at >= EXECUTED_LIFETIME_S or len(self.current) >= self.capacity:
            expired = self.previous if now - self.rotated_at < 2.0 * EXECUTED_LIFETIME_S else {**self.previous, **self.current}
            kept = self.current if expired is self.previous else {}
            for ref, executed_request in expired.items():
                self._forget(ref, executed_request)
            self.previous, self.current, self.rotated_at = kept, {}, now
            self.answers = {connection: ref for connection, ref in self.answers.items() if ref in self.previous}

    def _forget(self, ref: str, executed_request: ExecutedRequest) -> None:
        same_coarse = self.by_coarse[executed_request.fingerprints.coarse]
        del same_coarse[ref]
        if not same_coarse:
            del self.by_coarse[executed_request.fingerprints.coarse]

    def add(self, now: float, ref: str, fingerprints: RequestFingerprint, due: float) -> None:
        self._rotate(now)
        self.current[ref] = ExecutedRequest(fingerprints, due)
        self.by_coarse.setdefault(fingerprints.coarse, {})[ref] = fingerprints.detailed

    def remove(self, ref: str) -> None:
        """Nothing ran, or its caller has the answer: no retry of it can come."""
        for executed in (self.current, self.previous):
            if executed_request := executed.pop(ref, None):
                self._forget(ref, executed_request)

    def record_response(self, now: float, ref: str, connection: int) -> None:
        """The answer was written. One that left at the last moment may have found nobody."""
        executed_request = self.current.get(ref) or self.previous.get(ref)
        if executed_request and now <= executed_request.due - RESPONSE_MARGIN_S:
            self.answers[connection] = ref

    def confirm_response_read(self, connection: int) -> None:
        """The next request on a connection: its caller has read the answer before."""
        if ref := self.answers.pop(connection, None):
            self.remove(ref)

    def may_have_executed(self, now: float, fingerprints: RequestFingerprint, are_costs_stable: bool) -> bool:
        """Whether this marked retry may be of an op that ran."""
        self._rotate(now)
        same_coarse = self.by_coarse.get(fingerprints.coarse)
        return bool(same_coarse) and (not are_costs_stable or fingerprints.detailed in same_coarse.values())

    def __len__(self) -> int:
        return len(self.current) + len(self.previous)
