"""Records of a soak of answers. All times are in seconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from benchmarks.soak_parts.records import Disturbance


@dataclass
class Try:
    """One try of a client's request, with an id of its own.

    Attributes:
        id: Its `Request-Id`.
        original_id: Id of the first try of the same request.
        route: Name of its route.
        data_plane: Data plane that it was sent to.
        sent_at: When it was written.
        ended_at: When its response was complete, its connection ended or the client gave up.
        status: Status of the response, 0 without one.
        answered_id: `Request-Id` of the response.
        body: Body of the response.
        is_complete: Whether the complete response arrived.
        was_unread: Whether the connection was reset before any byte of a response: the request had not been read.
    """

    id: str
    original_id: str
    route: str
    data_plane: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    answered_id: str = ""
    body: bytes = b""
    is_complete: bool = False
    was_unread: bool = False


@dataclass(frozen=True)
class Execution:
    """One execution of a request: a backend began to work on it.

    Attributes:
        id: `Request-Id` of the request.
        at: When it began.
        backend: Id of the backend.
        target: Path of the request.
        body: Body of the request.
    """

    id: str
    at: float
    backend: str
    target: bytes
    body: bytes


@dataclass
class AnswerRecords:
    """What one soak recorded.

    Attributes:
        tries: Tries of all clients.
        executions: Executions at all backends.
        troubles: Number of troubles that the backends made, by kind.
        disturbances: Faults of processes and backends.
        unrecovered: Lines about what did not recover after the faults.
        capacity_violations: Orders that exceeded a backend's memory.
        log_lines: Lines of the data planes' logs that end a request, by request id.
    """

    tries: list[Try] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    troubles: dict[str, int] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    unrecovered: list[str] = field(default_factory=list)
    capacity_violations: int = 0
    log_lines: dict[str, list[dict]] = field(default_factory=dict)
