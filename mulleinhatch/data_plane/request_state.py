"""What is known of one client's request, and what follows: whether it may go to another backend, what may be said. Pure.

| known | event | what follows |
| --- | --- | --- |
| sent to nobody, or only to backends that did not run it | none takes it, time over, leave | 503 with Retry-After: a promise |
| on its way to a backend | no byte reached the backend | another backend |
| sent | the backend says that it did not run it | another backend; after `MAX_SENDS` 503 |
| sent, nothing passed on | close, reset, bytes that are no answer | idempotent: another backend within `max_attempts`; else
502 |
| sent, nothing passed on | time over | 504 |
| head passed on | close, reset, bytes that are no answer | resumable: taken up at another backend; else broken off |
| head passed on | time over | broken off |
| head passed on | the whole answer | complete |

A request counts as run from the moment at which its first byte may leave, and no longer only by the word of the backend that it
was sent to. Statuses that promise (408, 421, 429, 503) are said only while nothing counts as run.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

MAX_SENDS = 4  # backends that may send one request back unrun
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # statuses that say "not run"


class NextStep(Enum):
    """What becomes of a request."""

    ANOTHER_BACKEND = "another stub"
    REJECT = "503 with Retry-After: it has not run and will not"
    FAIL = "502: whether it ran is not known"
    TIME_OVER = "504: it may have run"
    ABORT = "the answer is broken off, so that it does not look complete"


class Answer(Enum):
    """What the head of an answer says."""

    NOT_RUN = "the stub says that it did not run the request"
    UNUSABLE = "no answer that may be passed on; the request may have run"
    FORWARDABLE = "passed on"


def read_answer(status: int, fields: Mapping[bytes, bytes], idempotent: bool) -> Answer:
    """What an answer's status and fields (names in lower case) say of the request.

    >>> read_answer(503, {b"not-executed": b"1"}, False), read_answer(503, {}, False), read_answer(200, {}, True)
    (<Answer.NOT_RUN: 'the backend says that it did not run the request'>, <Answer.SPOILT: 'no answer that may be passed on; \
the request may have run'>, <Answer.SPOILT: 'no answer that may be passed on; the request may have run'>)
    """
    if status == 421 or b"not-executed" in fields:
        return Answer.NOT_RUN
    encoded = fields.get(b"content-encoding", b"identity").lower() != b"identity"
    if 200 <= status < 300 and (b"server-signature" not in fields or encoded):
        return Answer.UNUSABLE
    if status in NOT_EXECUTED_STATUSES and not idempotent:
        return Answer.UNUSABLE
    return Answer.FORWARDABLE


@dataclass
class RequestState:
    """Counts what a request was sent to, and decides by it. `sends` are the backends that it was sent to, `runs` those of them
    that may have run it."""

    idempotent: bool
    resumable: bool
    max_attempts: int
    sends: int = 0
    runs: int = 0
    head_passed: bool = False

    def begin(self) -> None:
        """It goes to a backend: from here on it counts as run there."""
        self.sends += 1
        self.runs += 1

    def unreached(self, backends_tried: int) -> NextStep:
        """No byte of it reached the backend, one of `backends_tried` so far."""
        self.sends -= 1
        self.runs -= 1
        return NextStep.ANOTHER_BACKEND if backends_tried <= 2 * MAX_SENDS else self.unserved()

    def not_run(self) -> NextStep:
        """The backend says that it did not run it."""
        self.runs -= 1
        return NextStep.ANOTHER_BACKEND if self.sends < MAX_SENDS else self.unserved()

    @property
    def may_run_again(self) -> bool:
        """Whether a further backend may run it, though this one may have."""
        repeatable = self.idempotent and (not self.head_passed or self.resumable)
        return repeatable and self.runs < self.max_attempts

    def lost(self) -> NextStep:
        """What became of it at the backend is not known."""
        if self.may_run_again:
            return NextStep.ANOTHER_BACKEND
        return NextStep.ABORT if self.head_passed else NextStep.FAIL

    def unserved(self) -> NextStep:
        """No backend will take it."""
        if self.head_passed:
            return NextStep.ABORT
        return NextStep.FAIL if self.runs else NextStep.REJECT

    def time_over(self) -> NextStep:
        if self.head_passed:
            return NextStep.ABORT
        return NextStep.TIME_OVER if self.runs else NextStep.REJECT
