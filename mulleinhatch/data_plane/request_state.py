"""What is known of one client's request, and what follows: whether it may go to another backend, what may be said. Pure.

| known | event | what follows |
| --- | --- | --- |
| sent to nobody, or only to backends that did not run it | none takes it, time over, leave | 503 with Retry-After: a promise |
| on its way to a backend | no byte reached the backend | another backend |
| sent | the backend says that it did not run it | another backend; after `MOST_SENDS` 503 |
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

MOST_SENDS = 4  # backends that may send one request back unrun
PROMISES = (408, 421, 429, 503)  # statuses that say "not run"


class Next(Enum):
    """What becomes of a request."""

    ANOTHER_BACKEND = "another backend"
    REFUSE = "503 with Retry-After: it has not run and will not"
    FAIL = "502: whether it ran is not known"
    TIME_OVER = "504: it may have run"
    BREAK_OFF = "the answer is broken off, so that it does not look complete"


class Answer(Enum):
    """What the head of an answer says."""

    NOT_RUN = "the backend says that it did not run the request"
    SPOILT = "no answer that may be passed on; the request may have run"
    WHOLE = "passed on"


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
        return Answer.SPOILT
    if status in PROMISES and not idempotent:
        return Answer.SPOILT
    return Answer.WHOLE


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

    def unreached(self, backends_tried: int) -> Next:
        """No byte of it reached the backend, one of `backends_tried` so far."""
        self.sends -= 1
        self.runs -= 1
        return Next.ANOTHER_BACKEND if backends_tried <= 2 * MOST_SENDS else self.unserved()

    def not_run(self) -> Next:
        """The backend says that it did not run it."""
        self.runs -= 1
        return Next.ANOTHER_BACKEND if self.sends < MOST_SENDS else self.unserved()

    @property
    def may_run_again(self) -> bool:
        """Whether a further backend may run it, though this one may have."""
        repeatable = self.idempotent and (not self.head_passed or self.resumable)
        return repeatable and self.runs < self.max_attempts

    def lost(self) -> Next:
        """What became of it at the backend is not known."""
        if self.may_run_again:
            return Next.ANOTHER_BACKEND
        return Next.BREAK_OFF if self.head_passed else Next.FAIL

    def unserved(self) -> Next:
        """No backend will take it."""
        if self.head_passed:
            return Next.BREAK_OFF
        return Next.FAIL if self.runs else Next.REFUSE

    def time_over(self) -> Next:
        if self.head_passed:
            return Next.BREAK_OFF
        return Next.TIME_OVER if self.runs else Next.REFUSE
