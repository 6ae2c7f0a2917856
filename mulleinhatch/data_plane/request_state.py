"""The state machine of one client request: how far it may have executed, and the next step after each event. Pure.

| event | retried at another backend |
| --- | --- |
| a backend reports that it did not execute the request | until it was sent to `MAX_SENDS` backends |
| no byte reached the backend | until 2 x `MAX_SENDS` backends were tried |
| connection lost, or malformed response | up to `max_attempts` if idempotent; once a response started, only if resumable |
| deadline exceeded, no backend, or no permit of the tenant's quota | never |

`FINAL_STEPS` lists the next step after an event if the request is not retried.

Each send is settled by itself (`send.Settlement`). A send counts as an execution from its start on, until it is settled by the
backend's report that it did not execute the request, or because no byte was written. Statuses that promise "not executed" (408,
421, 429, 503) are sent only while no send counts as an execution.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from mulleinhatch.data_plane.send import Send

MAX_SENDS = 4  # Backends that a request is sent to while each rejects it without executing it.
MISDIRECTED = 421
UNAVAILABLE = 503
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


def states_not_executed(status: int, fields: Mapping[bytes, bytes]) -> bool:
    """Return whether a response head states that the backend did not execute the request.

    A 421 does by itself (RFC 9110, section 15.5.20). `Not-Executed` does in a rejection: a 4xx, or a 503.
    Other statuses are the outcome of an execution, so the field can't be believed there.

    >>> states_not_executed(503, {b"not-executed": b"1"}), states_not_executed(500, {b"not-executed": b"1"})
    (True, False)
    """
    return status == MISDIRECTED or (b"not-executed" in fields and (400 <= status < 500 or status == UNAVAILABLE))


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
    if states_not_executed(status, fields):
        return ResponseVerdict.NOT_EXECUTED
    if b"not-executed" in fields:
        return ResponseVerdict.UNUSABLE  # It contradicts the status, which says that the request was executed.
    is_encoded = fields.get(b"content-encoding", b"identity").lower() != b"identity"
    if 200 <= status < 300 and (b"server-signature" not in fields or is_encoded):
        return ResponseVerdict.UNUSABLE
    if status in NOT_EXECUTED_STATUSES and not idempotent:
        # Forwarding it would tell the client that the request was not executed, but the backend did not state that.
        return ResponseVerdict.UNUSABLE
    return ResponseVerdict.FORWARDABLE


@dataclass(slots=True)
class RequestState:
    """The sends of one request and what settled them; decides on its next step.

    Attributes:
        idempotent: Whether the request may be executed more than once.
        resumable: Whether its stream may be continued at another backend.
        max_attempts: Maximum number of backends that may execute it.
        sends: Its sends, in order.
        is_response_started: Whether the head of a response was forwarded to the client.
    """

    idempotent: bool
    resumable: bool
    max_attempts: int
    sends: list[Send] = field(default_factory=list)
    is_response_started: bool = False

    @property
    def written_sends(self) -> int:
        """Number of sends of which a byte may have reached a backend."""
        return sum(send.was_written for send in self.sends)

    @property
    def possible_executions(self) -> int:
        """Number of sends that a backend may have executed."""
        return sum(send.may_have_executed for send in self.sends)

    @property
    def progress(self) -> Progress:
        """How far the execution may have got."""
        if self.is_response_started:
            return Progress.RESPONSE_STARTED
        return Progress.MAYBE_EXECUTED if self.possible_executions else Progress.NOT_EXECUTED

    @property
    def may_run_again(self) -> bool:
        """Whether another backend may execute the request although one may have executed it."""
        is_repeatable = self.idempotent and (not self.is_response_started or self.resumable)
        return is_repeatable and self.possible_executions < self.max_attempts

    @property
    def may_be_sent(self) -> bool:
        """Whether the request may be sent to a backend now: no earlier send may have executed it, or it may run again."""
        return self.progress is Progress.NOT_EXECUTED or self.may_run_again

    def begin_send(self, backend_id: str, now: float) -> Send:
        """Add a send; until it is settled otherwise, the request counts as executed by that backend."""
        send = Send(len(self.sends) + 1, backend_id, now)
        self.sends.append(send)
        return send

    def unreachable(self, backends_tried: int) -> NextStep:
        """Handle a backend that no byte reached; `backends_tried` counts the backends tried so far, including it."""
        return self._retry_or_give_up(backends_tried <= 2 * MAX_SENDS)

    def not_executed(self) -> NextStep:
        """Handle a backend's report that it did not execute the request."""
        return self._retry_or_give_up(self.written_sends < MAX_SENDS)

    def _retry_or_give_up(self, has_sends_left: bool) -> NextStep:
        return NextStep.RETRY if has_sends_left and self.may_be_sent else self.no_backend()

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
