"""Input and output of the reducer: events and actions."""

from __future__ import annotations

from enum import Enum


class Event(Enum):
    """What can happen to a service instance; the comments list the arguments that `Reducer.reduce` takes with each."""

    INTERPRETER_READY = "interpreter ready"  # is a cold start, seconds since it started
    LINK_OPENED = "link opened"
    MALFORMED_LINE_RECEIVED = "malformed line received"
    # connection id, request id, request type, tenant, age, remaining wait, client id, cost, memory, is retry, key, body, rank,
    # is handed over by a peer
    REQUEST_RECEIVED = "request received"
    RUN_ENDED = "run ended"  # notice number, request id, ending, result
    RUN_REJECTED = "run rejected"  # request id
    CALL_REQUESTED = "call requested"  # notice number, request id, payload
    CALL_ENDED = "call ended"  # request id, ending, result
    OTHER_NOTICE_RECEIVED = "other notice received"  # notice number
    UNREADABLE_RUN_END_RECEIVED = "unreadable run end received"  # request id
    GAUGES_RECEIVED = "gauges received"  # mark, readings
    TIMER_EXPIRED = "timer expired"  # token
    HEALTH_CHECK_RECEIVED = "health check received"  # connection id
    CLIENT_DISCONNECTED = "client disconnected"  # connection id
    SHUTDOWN_REQUESTED = "shutdown requested"  # seconds until the stop
    TENANT_BUDGET_CHANGED = "tenant budget changed"  # tenant, window, pieces: units and the end of each
    DEPENDENCY_SHARE_CHANGED = "dependency share changed"  # share
    PEER_LOAD_CHANGED = "peer load changed"  # free fraction, is unhealthy, retries per second, fraction to divert
    PEER_OFFERS_CHANGED = "peer offers changed"  # number of requests that peers currently offer capacity for
    HANDOVER_ENDED = "handover ended"  # request id, ending, result

    # Members are singletons. `Enum.__hash__` is Python code and the handler tables are looked up for every event.
    __hash__ = object.__hash__


class Action(Enum):
    """What the runtime must do; the comments list the fields that follow the member in the tuple.

    Not named `Effect`: that is the admission package's enum of whether a request may be executed twice.
    The simulations read the values of the `SEND_...` members.
    """

    SEND_RESULT = "ack"  # connection id, result, advice level
    SEND_REJECTION = "nack"  # connection id, hold-off in seconds, whether other instances reject as well, advice level
    SEND_FAILURE = "fail"  # connection id, advice level
    SEND_INVALID = "refuse"  # connection id, cause
    SEND_HEALTH = "health"  # connection id, is healthy, advice level
    ABANDON_CONNECTION = "abandon connection"  # connection id: the response is sent on another connection
    REPORT_AVAILABILITY = "report availability"  # whether the directory lists this instance as open
    SET_EARLY_REJECTION = "set early rejection"  # whether retries may be rejected before they are read in full
    BEGIN_SHUTDOWN = "begin shutdown"  # seconds until the stop
    GREET_INTERPRETER = "greet interpreter"  # number of the last notice
    RECONNECT_LINK = "reconnect link"
    START_RUN = "start run"  # request id, request type, body
    START_CALL = "start call"  # request id, timeout in seconds, payload
    RESUME_RUN = "resume run"  # request id, result of the call
    SKIP_CALL = "skip call"  # request id: the run continues without its call
    REQUEST_GAUGES = "request gauges"  # mark
    SET_TIMER = "set timer"  # seconds, token
    SET_IDLE_TIMEOUT = "set idle timeout"  # seconds after which an idle connection is closed
    # request id, request type, tenant, body, age, seconds left, client id, cost, memory, is retry, rank, key
    HAND_OVER = "hand over"

    __hash__ = object.__hash__
