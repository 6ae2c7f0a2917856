"""The state machine of one client request: how far it may have executed, and the next step after each event. Pure.

| event | retried at another backend |
| --- | --- |
| a backend reports that it did not execute the request | until it was sent to `MAX_SENDS` backends |
| no byte reached the backend | until 2 x `MAX_SENDS` backends were tried |
| connection lost, or malformed response | up to `max_attempts` if idempotent; once a response started, only if resumable |
| deadline exceeded, no backend, or no permit of the tenant's quota | never |

`FINAL_STEPS` lists the next step after an event if the request is not retried.

A request counts as executed from the moment its first byte may have been sent, and stops counting only when the backend
that it was sent to reports that it did not execute it. Statuses that promise "not executed" (408, 421, 429, 503) are sent
only while nothing counts as executed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

MAX_SENDS = 4  # Backends that a request is sent to while each rejects it without executing it.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # A client may safely retry any request after one of these.


class Progress(Enum):
    """How far the execution of a request may have got."""

    NOT_EXECUTED = "sent to no backend, or rejected by each"
    MAYBE_EXECUTED = "sent to a backend whose response is not known"
    RESPONSE_STARTED = "the head of a response was forwarded to the client"


class Event(Enum):
    """Events that end an attempt or a wait."""

    NO_BACKEND = "no backend takes the request, or no retry is allowed"
    CONNECTION_LOST = "the connection was lost, or carried bytes that are no response"
    DEADLINE_EXCEEDED = "the client or the route gives the request up"
    NO_PERMIT = "the tenant's quota has no tokens for the request"


class NextStep(Enum):
    """The next step for a request."""

    RETRY = "send it to another backend"
    REJECT = "503 with Retry-After: it was not executed and will not be"
    LIMIT = "429 with Retry-After: the same, beyond the tenant's quota"
    FAIL = "502: whether it was executed is not known"
    TIME_OUT = "504: it may have been executed"
    ABORT = "reset the client's connection, so that the response does not look complete"


# The next step after an event if no other backend may be tried.
FINAL_STEPS: Mapping[tuple[Progress, Event], NextStep] = {
    (Progress.NOT_EXECUTED, Event.NO_BACKEND): NextStep.REJECT,
    (Progress.NOT_EXECUTED, Event.CONNECTION_LOST): NextStep.FAIL,
    (Progress.NOT_EXECUTED, Event.DEADLINE_EXCEEDED): NextStep.REJECT,
    (Progress.NOT_EXECUTED, Event.NO_PERMIT): NextStep.LIMIT,
    (Progress.MAYBE_EXECUTED, Event.NO_BACKEND): NextStep.FAIL,
    (Progress.MAYBE_EXECUTED, Event.CONNECTION_LOST): NextStep.FAIL,
    (Progress.MAYBE_EXECUTED, Event.DEADLINE_EXCEEDED): NextStep.TIME_OUT,
    (Progress.MAYBE_EXECUTED, Event.NO_PERMIT): NextStep.FAIL,
    (Progress.RESPONSE_STARTED, Event.NO_BACKEND): NextStep.ABORT,
    (Progress.RESPONSE_STARTED, Event.CONNECTION_LOST): NextStep.ABORT,
    (Progress.RESPONSE_STARTED, Event.DEADLINE_EXCEEDED): NextStep.ABORT,
    (Progress.RESPONSE_STARTED, Event.NO_PERMIT): NextStep.ABORT,
}


class ResponseVerdict(Enum):
    """How a backend's response is handled, judging by its head."""

    NOT_EXECUTED = "the backend did not execute the request"
    UNUSABLE = "not a response that may be forwarded; the request may have been executed"
    FORWARDABLE = "forwarded to the client"


def classify_response(status: int, fields: Mapping[bytes, bytes], idempotent: bool) -> ResponseVerdict:
    """Classify a backend's response by its head.

    >>> classify_response(503, {b"not-executed": b"1"}, False)
    <ResponseVerdict.NOT_EXECUTED: 'the backend did not execute the request'>
    >>> classify_response(503, {}, False)
    <ResponseVerdict.UNUSABLE: 'not a response that may be forwarded; the request may have been executed'>
    >>> classify_response(200, {}, True).name, classify_response(200, {b"server-signature": b"s"}, True).name
    ('UNUSABLE', 'FORWARDABLE')

    Args:
        status: HTTP status.
        fields: Header fields, names in lower case.
        idempotent: Whether the request may be executed more than once.
    """
    if status == 421 or b"not-executed" in fields:
        return ResponseVerdict.NOT_EXECUTED
    is_encoded = fields.get(b"content-encoding", b"identity").lower() != b"identity"
    if 200 <= status < 300 and (b"server-signature" not in fields or is_encoded):
        return ResponseVerdict.UNUSABLE
    if status in NOT_EXECUTED_STATUSES and not idempotent:
        # Forwarding it would tell the client that the request was not executed, but the backend did not state that.
        return ResponseVerdict.UNUSABLE
    return ResponseVerdict.FORWARDABLE


@dataclass(slots=True)
class RequestState:
    """Counts the attempts of one request and decides on its next step.

    Attributes:
        idempotent: Whether the request may be executed more than once.
        resumable: Whether its stream may be continued at another backend.
        max_attempts: Maximum number of backends that may execute it.
        sends: Number of backends that it was sent to.
        executions: Number of backends that may have executed it.
        is_response_started: Whether the head of a response was forwarded to the client.
    """

    idempotent: bool
    resumable: bool
    max_attempts: int
    sends: int = 0
    executions: int = 0
    is_response_started: bool = False

    @property
    def progress(self) -> Progress:
        """How far the execution may have got."""
        if self.is_response_started:
            return Progress.RESPONSE_STARTED
        return Progress.MAYBE_EXECUTED if self.executions else Progress.NOT_EXECUTED

    @property
    def may_run_again(self) -> bool:
        """Whether another backend may execute the request although the current one may have executed it."""
        is_repeatable = self.idempotent and (not self.is_response_started or self.resumable)
        return is_repeatable and self.executions < self.max_attempts

    def begin_attempt(self) -> None:
        """Count a send; from now on the request counts as executed by that backend."""
        self.sends += 1
        self.executions += 1

    def unsent(self) -> None:
        """Revert a send of which no byte was written."""
        self.sends -= 1
        self.executions -= 1

    def unreachable(self, backends_tried: int) -> NextStep:
        """Handle a backend that no byte reached; `backends_tried` counts the backends tried so far, including it."""
        self.unsent()
        return NextStep.RETRY if backends_tried <= 2 * MAX_SENDS else self.no_backend()

    def not_executed(self) -> NextStep:
        """Handle a backend's report that it did not execute the request."""
        self.executions -= 1
        return NextStep.RETRY if self.sends < MAX_SENDS else self.no_backend()

    def connection_lost(self) -> NextStep:
        """Handle a connection loss after which it is unknown whether the backend executed the request."""
        return NextStep.RETRY if self.may_run_again else FINAL_STEPS[self.progress, Event.CONNECTION_LOST]

    def no_backend(self) -> NextStep:
        """Handle that no backend accepts the request."""
        return FINAL_STEPS[self.progress, Event.NO_BACKEND]

    def no_permit(self) -> NextStep:
        """Handle that the tenant's quota has no tokens for the request."""
        return FINAL_STEPS[self.progress, Event.NO_PERMIT]

    def deadline_exceeded(self) -> NextStep:
        """Handle the expiry of the request's deadline."""
        return FINAL_STEPS[self.progress, Event.DEADLINE_EXCEEDED]
