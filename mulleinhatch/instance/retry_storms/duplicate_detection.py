"""Recognises attempts of the same request by their fingerprints.

Each caller is a service with thousands of users, so different requests may have identical bodies. A fingerprint that occurs
on two pending requests, or again after a response, is shared by different requests and proves nothing from then on. The
detailed fingerprint, which adds the stated costs of the request, then decides. `docs/design/lookalikes.md` has the table.
"""

from __future__ import annotations

import math
import struct
from collections import Counter
from collections.abc import Callable, Hashable
from typing import NamedTuple

from mulleinhatch.instance.retry_storms.expiring_items import ExpiringItems
from mulleinhatch.instance.retry_storms.request_log import ExpiringSet, fingerprint

REJECTED_LIFETIME_S = 10.0  # minimum time for which a rejected request is recognised; the maximum is twice that
EXECUTED_LIFETIME_S = 30.0  # the same for an executed request whose response may be lost
# Costs are considered stable after this time and this many retries, all with the costs of an earlier attempt.
STABLE_COSTS_S, STABLE_COSTS_RETRIES = 5.0, 64
RESPONSE_MARGIN_S = 0.25  # a response must be written this long before the deadline to count as read


class RequestFingerprint(NamedTuple):
    """Two fingerprints of a request.

    Attributes:
        coarse: 16 bytes of caller, request type, tenant, key and body.
        detailed: `coarse` with rank, cost in seconds and memory in KB.
    """

    coarse: bytes
    detailed: bytes


def request_fingerprint(
    caller: int, request_type: str, tenant: str, key: str, body: bytes, rank: float, work: float, kb: float
) -> RequestFingerprint:
    """Return both fingerprints of a request; `work` is its cost in seconds, `kb` its memory in KB."""
    coarse = fingerprint(caller, request_type, tenant, key, body)
    return RequestFingerprint(coarse, detailed_fingerprint(coarse, rank, work, kb))


def detailed_fingerprint(coarse: bytes, rank: float, work: float, kb: float) -> bytes:
    """Extend a coarse fingerprint by rank, cost in seconds and memory in KB."""
    return coarse + struct.pack("<3d", rank, work, kb)


class ExpiringCounter(ExpiringItems[Counter[Hashable]]):
    """Counts items added during the last one to two spans and not removed, in two generations.

    Args:
        span: Seconds after which a new generation begins.
        capacity: Maximum number of items of a generation; a full one is replaced early.

    >>> tally = ExpiringCounter(span=5.0, capacity=2); tally.add(0.0, "a"); tally.add(4.0, "a")
    >>> tally.remove_one(6.0, "a"), tally.contains(6.0, "a"), tally.remove_one(6.0, "a"), tally.remove_one(6.0, "a")
    (True, True, True, False)
    """

    def __init__(self, span: float, capacity: int) -> None:
        super().__init__(Counter, span, capacity)

    def add(self, now: float, item: Hashable) -> None:
        """Count an item at the time `now`."""
        self._rotate(now)
        if len(self.current) >= self.capacity and item not in self.current:
            self._begin_generation(now)
        self.current[item] += 1

    def remove_one(self, now: float, item: Hashable) -> bool:
        """Decrease an item's count, the older generation first; return whether there was one."""
        self._rotate(now)
        for counts in (self.previous, self.current):
            if count := counts.get(item):
                if count > 1:
                    counts[item] = count - 1
                else:
                    del counts[item]
                return True
        return False


class DuplicateDetector:
    """Decides whether an attempt without a retry mark repeats a rejected request.

    A fingerprint has as many known repeats as rejections that were not retried yet, so a request that was served since then is
    not a repeat. `classify` returns the keys of the attempt, by which its rejection, response and end are reported; the
    detailed key is included only if it is needed.

    Args:
        capacity: Maximum number of fingerprints in each of two generations.

    >>> detector, fingerprints = DuplicateDetector(capacity=100), RequestFingerprint(b"p", b"p1")
    >>> repeat, keys = detector.classify(0.0, fingerprints, is_marked_retry=False)
    >>> detector.record_closed(keys); detector.record_rejected(0.1, keys); repeat, keys
    (False, (b'p',))
    >>> repeat, keys = detector.classify(0.2, fingerprints, is_marked_retry=False)
    >>> detector.record_closed(keys); detector.record_served(0.3, keys); repeat
    True
    >>> detector.classify(0.4, fingerprints, is_marked_retry=False), detector.counts["likenesses_shared"]
    ((False, (b'p', b'p1')), 1)
    """

    def __init__(self, capacity: int) -> None:
        self.open: Counter[bytes] = Counter()
        self.outstanding = ExpiringCounter(REJECTED_LIFETIME_S, capacity)
        self.served, self.shared = ExpiringSet(REJECTED_LIFETIME_S, capacity), ExpiringSet(REJECTED_LIFETIME_S, capacity)
        self.counts: Counter[str] = Counter()
        self.stable_retries = 0  # consecutive marked retries with the costs of an earlier attempt
        self.unstable_at = -math.inf  # time of the last marked retry with different costs

    def classify(
        self, now: float, fingerprints: RequestFingerprint, is_marked_retry: bool, is_non_retryable: bool = False
    ) -> tuple[bool, tuple[bytes, ...]]:
        """Classify an attempt that was read in full.

        Args:
            now: Monotonic seconds.
            fingerprints: Fingerprints of the attempt.
            is_marked_retry: Whether the caller marked it as a retry.
            is_non_retryable: Whether it must not execute twice; such requests show whether the costs are equal in all
                attempts.

        Returns:
            Whether it is a retry, marked or not, and its keys.
        """
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
        """Mark a fingerprint as shared if a first attempt equals a request that is pending here or was served.

        An unmarked duplicate of a request looks the same; it then counts as a first attempt, with no other effect.
        """
        if item in self.open or self.served.contains(now, item):
            self.counts["likenesses_shared"] += not self.shared.contains(now, item)
            self.shared.add(now, item)

    def is_known_repeat(self, now: float, coarse: bytes, detailed: Callable[[], bytes]) -> bool:
        """Return whether an unmarked attempt that was not read in full certainly repeats a rejected request.

        One that equals a pending or served request must be read and compared.

        Args:
            now: Monotonic seconds.
            coarse: Coarse fingerprint.
            detailed: Computes the detailed fingerprint, which is rarely needed.
        """
        item = detailed() if self.shared.contains(now, coarse) else coarse
        return (
            self.outstanding.contains(now, item)
            and item not in self.open
            and not self.served.contains(now, item)
            and not self.shared.contains(now, item)
        )

    def record_rejected_unread(self, now: float, coarse: bytes, detailed: Callable[[], bytes], is_marked_retry: bool) -> None:
        """Record a rejection of an attempt that was not read in full; its fingerprint stays known while retries arrive.

        Marked retries need no fingerprint, but show whether the costs stay equal if the fingerprint is shared.
        """
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
        """Record the rejection of an attempt."""
        for item in keys:
            self.outstanding.add(now, item)

    def record_served(self, now: float, keys: tuple[bytes, ...]) -> None:
        """Record the response to an attempt."""
        for item in keys:
            self.served.add(now, item)

    def record_closed(self, keys: tuple[bytes, ...]) -> None:
        """Record that an attempt is no longer pending, because it was answered or its caller disconnected."""
        for item in keys:
            if self.open[item] > 1:
                self.open[item] -= 1
            else:
                del self.open[item]

    def _record_costs(self, now: float, are_costs_equal: bool) -> None:
        """Record whether a retry has the costs of the rejected attempt.

        The first attempt may have reached another instance, which looks like a change of costs; therefore costs prove nothing
        for a while after a start.
        """
        self.stable_retries += 1
        if not are_costs_equal:
            self.stable_retries, self.unstable_at = 0, now

    def are_costs_stable(self, now: float) -> bool:
        """Return whether retries had the costs of their first attempts often and long enough to rely on the costs."""
        return self.stable_retries >= STABLE_COSTS_RETRIES and now - self.unstable_at >= STABLE_COSTS_S


class ExecutedRequest(NamedTuple):
    """An executed request and the time until which its caller waits."""

    fingerprints: RequestFingerprint
    due: float


class ExecutedRequests:
    """Executions of non-retryable requests, kept while a retry is still possible.

    An entry is kept until its response is known to have been read, or for one to two lifetimes.

    Args:
        capacity: Maximum number of entries in each of two generations.

    >>> executed, fingerprints = ExecutedRequests(100), RequestFingerprint(b"p", b"p1")
    >>> executed.add(0.0, "r1", fingerprints, due=4.5); executed.may_have_executed(0.1, fingerprints, False)
    True
    >>> executed.may_have_executed(0.1, RequestFingerprint(b"p", b"p2"), True)
    False
    >>> executed.record_response(0.2, "r1", connection=7); executed.may_have_executed(0.3, fingerprints, False)
    True
    >>> executed.confirm_response_read(7); executed.may_have_executed(0.3, fingerprints, False)
    False
    """

    def __init__(self, capacity: int) -> None:
        self.capacity, self.rotated_at = capacity, 0.0
        self.current: dict[str, ExecutedRequest] = {}
        self.previous: dict[str, ExecutedRequest] = {}
        self.by_coarse: dict[bytes, dict[str, bytes]] = {}  # detailed fingerprint by request ID, by coarse fingerprint
        self.answers: dict[int, str] = {}  # by connection: request of the last response

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
        """Record the start of an execution; the caller waits until `due`."""
        self._rotate(now)
        self.current[ref] = ExecutedRequest(fingerprints, due)
        self.by_coarse.setdefault(fingerprints.coarse, {})[ref] = fingerprints.detailed

    def remove(self, ref: str) -> None:
        """Remove a request that cannot be retried, because it did not execute or its caller has the response."""
        for executed in (self.current, self.previous):
            if executed_request := executed.pop(ref, None):
                self._forget(ref, executed_request)

    def record_response(self, now: float, ref: str, connection: int) -> None:
        """Record that the response was written; one written just before the deadline may not have been read."""
        executed_request = self.current.get(ref) or self.previous.get(ref)
        if executed_request and now <= executed_request.due - RESPONSE_MARGIN_S:
            self.answers[connection] = ref

    def confirm_response_read(self, connection: int) -> None:
        """Confirm the last response on a connection: its caller has sent another request on it."""
        if ref := self.answers.pop(connection, None):
            self.remove(ref)

    def may_have_executed(self, now: float, fingerprints: RequestFingerprint, are_costs_stable: bool) -> bool:
        """Return whether this marked retry may belong to a request that was executed."""
        self._rotate(now)
        same_coarse = self.by_coarse.get(fingerprints.coarse)
        return bool(same_coarse) and (not are_costs_stable or fingerprints.detailed in same_coarse.values())

    def __len__(self) -> int:
        return len(self.current) + len(self.previous)
