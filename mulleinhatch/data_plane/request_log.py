"""Records the outcomes of requests for operators: counters, log lines, and the latest rejections."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from mulleinhatch.data_plane.access import UNAUTHORIZED, UNAVAILABLE, AccessDenied
from mulleinhatch.data_plane.admission_queue import PendingRequest
from mulleinhatch.data_plane.client_timeouts import ClientTimeouts
from mulleinhatch.data_plane.request_context import RequestContext
from mulleinhatch.data_plane.wait_reason import WaitReason

LOG = logging.getLogger(__name__)
MAX_RECENT_REJECTIONS = 100  # Rejections that the command `why` can explain.
MAX_REQUESTS_IN_LINE = 100


class RequestEnd(Enum):
    """How a request ended for its client. The values are part of log lines."""

    FORWARDED = "a backend's response was forwarded"
    ANSWERED = "answered by this data plane"
    RESET = "the response had started and was reset"
    CLIENT_LEFT = "the client closed its connection"


class ServedRequest(NamedTuple):
    """An entry of a log line: a request that its first send served.

    `reuse`: requests that the connection carried before; `framing`: what told the end of the response;
    `configuration_version`: the version by which it was routed.
    """

    request_id: str
    status: int
    held_s: float
    backend: str
    connection: int
    reuse: int
    framing: str
    configuration_version: int


class UnsentRequest(NamedTuple):
    """An entry of a log line: a request that ended without a send. `status` is 0 if its client left."""

    request_id: str
    status: int
    held_s: float
    reason: str
    configuration_version: int


class LoggedRequest(Protocol):
    """The logged data of a request; `request_lifecycle.ClientRequest` implements it."""

    context: RequestContext
    pending: PendingRequest
    wait_reason: WaitReason


class RequestLog:
    """Counts requests, logs late and rejected ones, and keeps the latest rejections for the status page.

    Args:
        clock: Loop time in seconds.
        timeouts: Detects probable retries.
    """

    def __init__(self, clock: Callable[[], float], timeouts: ClientTimeouts) -> None:
        self._clock, self._timeouts = clock, timeouts
        self.counters = {"served": 0, "refused": 0, "failed": 0, "over_quota": 0, "unauthorized": 0, "out_of_touch": 0}
        self._served: list[ServedRequest] = []
        self._unsent: list[UnsentRequest] = []
        self.recent_rejections: deque[dict[str, str | float]] = deque(maxlen=MAX_RECENT_REJECTIONS)

    def served(self) -> None:
        """Count a request whose response was forwarded completely."""
        self.counters["served"] += 1

    def failed(self) -> None:
        """Count a request that was answered with 502 or 504, because it may have executed or its deadline passed."""
        self.counters["failed"] += 1

    def over_quota(self) -> None:
        """Count a request that was answered with 429, because its tenant's quota was exhausted."""
        self.counters["over_quota"] += 1

    def denied(self, denied: AccessDenied) -> None:
        """Count a request that was denied: it had no known key, or this data plane may lack the newest configuration."""
        if denied.status == UNAUTHORIZED:
            self.counters["unauthorized"] += 1
        elif denied.status == UNAVAILABLE:
            self.counters["out_of_touch"] += 1

    def late(self, request: LoggedRequest, waited_s: float, backend_latency_s: float) -> None:
        """Log a response that started after the route's latency target.

        Args:
            request: The request.
            waited_s: From the request's arrival to the first byte of the response's body.
            backend_latency_s: From sending the request to the responding backend to that first byte.
        """
        times = {"waited_s": round(waited_s, 3), "backend_latency_s": round(backend_latency_s, 3)}
        LOG.info("response started after the latency target", extra=self._describe(request) | times)

    def not_served(self, request: LoggedRequest, why: str, retry_after_s: float) -> None:
        """Count, log and store the rejection of a request that was not executed."""
        self.counters["refused"] += 1
        context = request.context
        model_key = context.model_key
        outcome = {"reason": why, "retry_after_s": round(retry_after_s, 3)}
        LOG.info("request rejected", extra=self._describe(request) | outcome)
        self.recent_rejections.append(
            {
                "request_id": context.request_id_text,
                "route": context.route.name,
                "model": f"{model_key.model}/{model_key.adapter}" if model_key.adapter else model_key.model,
                "why": why,
                "held_s": round(self._clock() - request.pending.arrived_at, 3),
                "retry_after_s": round(retry_after_s, 2),
            }
        )

    def ended(self, request: LoggedRequest, end: RequestEnd, status: int = 0, reason: str = "") -> None:
        """Log the end of a request: the status that its client got, and each of its sends with what settled it.

        Args:
            request: The request.
            end: How it ended.
            status: Status that the client got, 0 if it got none or the response was reset.
            reason: Why this data plane answered it by itself.
        """
        context, now, arrived_at = request.context, self._clock(), request.pending.arrived_at
        if end is RequestEnd.FORWARDED and len(context.state.sends) == 1:
            self._record_served(context, status, now - arrived_at)
            return
        if not context.state.sends:
            reason = reason or end.value
            self._record_unsent(
                UnsentRequest(
                    context.request_id_text, status, round(now - arrived_at, 4), reason, context.configuration_version
                )
            )
            return
        LOG.info(
            "request ended",
            extra={
                "request_id": context.request_id_text,
                "end": end.value,
                "status": status,
                "reason": reason,
                "held_s": round(now - arrived_at, 4),
                "configuration_version": context.configuration_version,
                "attempts": [send.log_fields(arrived_at, now) for send in context.state.sends],
            },
        )

    def _record_served(self, context: RequestContext, status: int, held_s: float) -> None:
        """Remember a request that its first send served; such requests share a log line, which costs much less."""
        send = context.state.sends[0]
        served = ServedRequest(
            context.request_id_text,
            status,
            round(held_s, 4),
            send.backend_id,
            send.connection,
            send.reuse,
            send.framing.value if send.framing is not None else "",
            context.configuration_version,
        )
        self._served.append(served)
        if len(self._served) >= MAX_REQUESTS_IN_LINE:
            self.flush()

    def _record_unsent(self, unsent: UnsentRequest) -> None:
        """Remember a request that ended without a send; such requests share a log line, too."""
        self._unsent.append(unsent)
        if len(self._unsent) >= MAX_REQUESTS_IN_LINE:
            self.flush()

    def flush(self) -> None:
        """Log the requests that share a line and ended since the last call; called once a second and at the end."""
        if self._served:
            LOG.info("requests served by their first send", extra={"requests": self._served})
            self._served = []
        if self._unsent:
            LOG.info("requests that ended without a send", extra={"requests": self._unsent})
            self._unsent = []

    def ended_at_once(self, request_id: str, status: int, reason: str, configuration_version: int) -> None:
        """Log a request that was answered on its arrival, before it was queued."""
        self._record_unsent(UnsentRequest(request_id, status, 0.0, reason, configuration_version))

    def _describe(self, request: LoggedRequest) -> dict[str, str | bool | int]:
        context = request.context
        is_retry = self._timeouts.is_probable_retry(context.route, context.deadline - request.pending.arrived_at)
        return {
            "request_id": context.request_id_text,
            "route": context.route.name,
            "configuration_version": context.configuration_version,
            "priority": context.route.priority,
            "model": context.model_key.model,
            "adapter": context.model_key.adapter,
            "wait_reason": request.wait_reason.value,
            "is_probable_retry": is_retry,
            "sends": context.state.written_sends,
        }
