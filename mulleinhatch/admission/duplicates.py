"""Duplicates of a request: remembered idempotency keys, and followers that get their leader's answer."""

from __future__ import annotations

import heapq

from mulleinhatch.admission.interface import Decision, Deployment, Ref, Verb
from mulleinhatch.admission.request import Request, Stage
from mulleinhatch.admission.request_table import RequestTable


class Duplicates:
    """Remembers keyed requests for their repeat window, and answers duplicates of requests that ran."""

    def __init__(self, deployment: Deployment, table: RequestTable) -> None:
        self._table = table
        self._following = table.by_stage[Stage.FOLLOWING]
        self._key_kb = deployment.get("key_kb", 0.0)
        self._expires_at: dict[Ref, float] = {}
        self._expirations: list[tuple[float, Ref]] = []  # a heap; outdated entries stay until their time

    def remembers(self, ref: Ref) -> bool:
        """Return whether the key of a request is remembered."""
        return ref in self._expires_at

    def key_memory_kb(self, request: Request) -> float:
        """Return the memory that a request's key takes."""
        return self._key_kb if request.request_class.is_keyed else 0.0

    def keep_key(self, request: Request) -> Decision:
        """Remember a request's key for the rest of its repeat window."""
        table = self._table
        left_s = max(0.0, request.arrived_at + request.request_class.repeat_window_s - table.now) + table.answer_margin_s
        request.is_key_kept, self._expires_at[request.ref] = True, table.now + left_s
        heapq.heappush(self._expirations, (table.now + left_s, request.ref))
        table.memory_used_kb += self._key_kb
        return Decision(Verb.KEEP, request.ref, left_s)

    def expire_keys(self, now: float) -> None:
        """Forget keys whose repeat window has ended."""
        while self._expirations and self._expirations[0][0] <= now:
            end, ref = heapq.heappop(self._expirations)
            if self._expires_at.get(ref) == end:
                self._forget(ref)

    def forget_unused_key(self) -> Decision | None:
        """Forget the key of a request that ended without a run: its duplicate counts as a first try."""
        if not self._table.unused_keys:
            return None
        ref = self._table.unused_keys.pop()
        self._forget(ref)
        return Decision(Verb.FORGET, ref)

    def answer_follower(self) -> Decision | None:
        """Answer a follower from its leader's result once the leader has started to run."""
        for request in self._following.values():
            if request.leader.may_have_run:
                request.may_have_run = True
                return self.share_answer(request)
        return None

    def share_answer(self, request: Request) -> Decision:
        """Answer a request from the result of the request that it duplicates."""
        self._table.move(request, Stage.SHARING_ANSWER)
        return Decision(Verb.ANSWER_FROM, request.ref)

    def _forget(self, ref: Ref) -> None:
        if self._expires_at.pop(ref, None) is not None:
            self._table.memory_used_kb -= self._key_kb
