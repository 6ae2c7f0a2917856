"""State shared by all components of the reducer, and the answers to clients."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Deployment, Effect
from mulleinhatch.instance.request_state_machine.events import Action
from mulleinhatch.instance.request_state_machine.tables import IdempotencyKeys, PendingRequest
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.duplicate_detection import RequestFingerprint
from mulleinhatch.instance.retry_storms.request_log import ExpiringSet
from mulleinhatch.instance.retry_storms.retry_admission import RetryAdmission

DEFAULT_REQUEST_TIMEOUT_S = 10.0  # how long after its arrival a request may be read, if its type sets no timeout
COMPLETED_IDS_SPAN_S = 10.0  # how long the id of a request that was executed is remembered
MAX_COMPLETED_IDS = 8192  # per span


class ReducerState:
    """State of the open requests, the interpreter and the peers.

    The components of the reducer derive from this class. Each handles the events and decisions of one concern, has no state of
    its own, and appends actions to `actions`. A component calls only its own methods and those of its base classes.
    """

    def __init__(
        self,
        deployment: Deployment,
        request_types: Sequence[str],
        tenants: Sequence[str],
        seed: int,
        storms: StormBounds | None = None,
        record: Callable[[AdmissionController, float, bool, float], Any] | None = None,
    ) -> None:
        self.record = record
        self.deployment, self.seed = deployment, seed
        hold_off = deployment.get("max_hold_off", 0.0) if deployment.get("hold_off_allowed", False) else 0.0
        self.storms = storms and RetryAdmission(storms, hold_off, seed)
        self.retryable_types = {
            name
            for name, request_type in zip(request_types, deployment.get("op_types", []))
            if request_type.get("effect", Effect.NON_RETRYABLE) is Effect.RETRYABLE
        }
        self.non_retryable_types = {
            name
            for name, request_type in zip(request_types, deployment.get("op_types", []))
            if request_type.get("effect", Effect.NON_RETRYABLE) is Effect.NON_RETRYABLE
        }
        self.last_run_end_at = self.idle_until = -math.inf  # idle_until: start of the last run while none was active
        self.run_count = 0  # runs started and not ended
        self.early_rejections = 0  # not yet reported to the admission controller
        self.request_types = {name: index for index, name in enumerate(request_types)}
        self.tenants = {name: index for index, name in enumerate(tenants)}
        self.controller: Any = None  # an `AdmissionController`, or the recorder that wraps it
        self.requests: dict[str, PendingRequest] = {}
        self.request_by_connection: dict[int, str] = {}
        self.followers: dict[str, list[str]] = {}
        # By keyed request type, in seconds: the window in which duplicates may arrive, and the time from arrival until read.
        self.duplicate_windows = {
            name: (request_type.get("repeat_window", 0.0), request_type.get("op_timeout") or DEFAULT_REQUEST_TIMEOUT_S)
            for name, request_type in zip(request_types, deployment.get("op_types", []))
            if request_type.get("effect") is Effect.KEYED
        }
        self.keys = IdempotencyKeys()
        # Ids of requests that must not execute twice and may have executed.
        self.completed_ids = ExpiringSet(COMPLETED_IDS_SPAN_S, MAX_COMPLETED_IDS)
        self.healthy, self.advice_level = True, None
        self.gauge_readings: Sequence[float] = ()
        self.gauges_read_at = -math.inf
        self.last_notice = self.last_gauge_mark = 0
        self.reconnected_at_notice = -1  # last notice at the time when a malformed line caused a reconnect
        self.unconfirmed_runs: dict[str, int] = {}  # by request id: the last gauge mark before the run was started
        self.unconfirmed_resumes: dict[str, tuple[int, tuple]] = {}  # the last gauge mark, and the action to repeat
        self.is_link_new = False  # no numbered notice has arrived on this connection yet
        self.resync_mark: float = 0
        self.interpreter_message_at = math.inf  # time of the last message about runs or gauges
        self.stop_at: float | None = None
        self.warmed_up_at = -math.inf  # end of the slowest possible warm-up
        self.counts: Counter[str] = Counter()
        # By request id: until, since, request, fingerprint, arguments of `_admit`.
        self.parked_retries: dict[str, tuple[float, float, PendingRequest, RequestFingerprint, tuple]] = {}
        self.dependency_share: float | None = None
        # Arguments: now, seconds, cost, whether it failed.
        self.on_run_ended: Callable[[float, float, float, bool], None] | None = None
        # Arguments: now, cost. Not called for requests of peers.
        self.on_client_request: Callable[[float, float], None] | None = None
        self.on_tenant_request: Callable[[float, str], None] | None = None  # arguments: now, tenant; measures the demand
        # By tenant, and whether the budget is a rate (else a limit on concurrency): window, pieces.
        self.tenant_budgets: dict[tuple[str, bool], tuple[float, Sequence[tuple[float, float]]]] = {}
        self.peer_load: tuple[float, bool, float, float] | None = None
        self.handed_over_count = 0  # requests that peers execute for this instance
        self.keeps_handover_data = False  # whether requests may be handed over to peers
        self.actions: list[tuple] = []

    def _respond(self, now: float, request: PendingRequest, action: Action, *arguments: object) -> None:
        """Send an answer if the client still waits, and remove the request if nothing else is pending."""
        if request.connection_id is not None:
            self.actions.append((action, request.connection_id, *arguments, self.advice_level))
            self._detach_connection(request)
        self._remove_if_finished(now, request)

    def _detach_connection(self, request: PendingRequest) -> None:
        """Record that the client no longer waits for the request."""
        self.request_by_connection.pop(request.connection_id, None)
        request.connection_id = None
        if self.storms:
            self.storms.duplicates.record_closed(request.fingerprints)

    def _remove_if_finished(self, now: float, request: PendingRequest) -> None:
        """Remove the request once it has neither a client, nor a run, nor a peer that executes it."""
        if request.connection_id is None and not request.running and not request.is_handed_over:
            self.requests.pop(request.request_id, None)
            if request.may_have_run and request.request_type not in self.retryable_types:
                self.completed_ids.add(now, request.request_id)

    def _request_gauges(self) -> None:
        """Request the gauges, with a mark that orders them after all runs started so far."""
        self.last_gauge_mark += 1
        self.actions.append((Action.REQUEST_GAUGES, self.last_gauge_mark))
