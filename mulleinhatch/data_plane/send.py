"""One send of a request to a backend: where it went, and what settled it. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mulleinhatch.networking.http_streaming import BodyFraming, Head


class Settlement(Enum):
    """What settled a send. The values are part of log lines."""

    OPEN = "open"  # Not settled: the send is under way.
    COMPLETED = "complete response"
    NOT_EXECUTED = "rejected without execution"
    UNREACHABLE = "no connection"
    NO_PERMIT = "permit expired before the write"
    NO_RESPONSE = "connection ended without a response"
    UNUSABLE = "response broken off or unusable"
    ABANDONED = "abandoned by this data plane"  # The client left, or the time was over.


UNWRITTEN = frozenset({Settlement.UNREACHABLE, Settlement.NO_PERMIT})  # No byte reached the backend.
NEVER_EXECUTED = UNWRITTEN | {Settlement.NOT_EXECUTED}


@dataclass(slots=True)
class Send:
    """One send of a request. Times are loop times in seconds.

    Attributes:
        number: 1 for the first send of the request.
        backend_id: Backend that it is meant for.
        started_at: When the send began; a new connection is opened after that.
        connection: Number of the connection in this process, 0 until it is written to one.
        reuse: Number of requests that the connection had carried before.
        settlement: What settled it.
        status: Status of the response that settled it, 0 if none did.
        framing: What told the end of that response, None if none settled it.
        settled_at: When it was settled, 0 until then.
    """

    number: int
    backend_id: str
    started_at: float
    connection: int = 0
    reuse: int = 0
    settlement: Settlement = Settlement.OPEN
    status: int = 0
    framing: BodyFraming | None = None
    settled_at: float = 0.0

    @property
    def was_written(self) -> bool:
        """Whether a byte of it may have reached the backend; true while it is open."""
        return self.settlement not in UNWRITTEN

    @property
    def may_have_executed(self) -> bool:
        """Whether the backend may have executed the request, or still may."""
        return self.settlement not in NEVER_EXECUTED

    def settle(self, settlement: Settlement, now: float, head: Head | None = None) -> None:
        """Record what settled the send; only the first settlement counts.

        Args:
            settlement: What settled it.
            now: Loop time in seconds.
            head: Head of the response that settled it, None without one.
        """
        if self.settlement is not Settlement.OPEN:
            return
        self.settlement, self.settled_at = settlement, now
        if head is not None:
            self.status, self.framing = head.status, head.framing

    def log_fields(self, since: float, now: float) -> dict[str, str | int | float]:
        """Return the send for a log line, with its times relative to `since`."""
        return {
            "send": self.number,
            "backend": self.backend_id,
            "connection": self.connection,
            "reuse": self.reuse,
            "at_s": round(self.started_at - since, 4),
            "took_s": round((self.settled_at or now) - self.started_at, 4),
            "settled_by": self.settlement.value,
            "status": self.status,
            "framing": self.framing.value if self.framing is not None else "",
        }
