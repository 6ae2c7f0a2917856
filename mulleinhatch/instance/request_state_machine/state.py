"""State that all parts of the reducer share, and how a client is answered."""

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
from mulleinhatch.instance.retry_storms.duplicate_detection import Likeness
from mulleinhatch.instance.retry_storms.request_log import Lately
from mulleinhatch.instance.retry_storms.retry_admission import Desk

DEFAULT_REQUEST_TIMEOUT_S = 10.0  # seconds after its arrival in which a try may be read, where the op type names no time
COMPLETED_IDS_SPAN_S, MAX_COMPLETED_IDS = (
    10.0,
    8192,
)  # seconds for which the id of an op that ran is known, and at most so many in each


class ReducerState:
    """What is known of the open requests, of the interpreter and of the peers.

    The parts of the reducer derive from this class: each handles the events and decisions of one concern, none has state of its
    own, and all append what must be done to `actions`.
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
        """`record` puts something between us and the module that keeps what passes, given when the instance started."""
        self.record = record
        self.deployment, self.seed = deployment, seed
        hold_off = deployment.get("max_hold_off", 0.0) if deployment.get("hold_off_allowed", False) else 0.0
        self.storms = storms and Desk(storms, hold_off, seed)
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
        self.last_run_end_at = self.idle_until = -math.inf  # when a run last ended; when one was asked for with none in hand
        self.run_count = 0  # runs asked for that have not ended
        self.early_rejections = 0  # retries turned back that the module has not heard of
        self.request_types = {name: index for index, name in enumerate(request_types)}
        self.tenants = {name: index for index, name in enumerate(tenants)}
        self.controller: Any = None  # the module, or what stands before it
        self.requests: dict[str, PendingRequest] = {}
        self.request_by_connection: dict[int, str] = {}
        self.followers: dict[str, list[str]] = {}
        # By op type, of keyed ones: the window of a repeat, and how long after its arrival one may be read.
        self.duplicate_windows = {
            name: (request_type.get("repeat_window", 0.0), request_type.get("op_timeout") or DEFAULT_REQUEST_TIMEOUT_S)
            for name, request_type in zip(request_types, deployment.get("op_types", []))
            if request_type.get("effect") is Effect.KEYED
        }
        self.keys = IdempotencyKeys()
        self.completed_ids = Lately(
            COMPLETED_IDS_SPAN_S, MAX_COMPLETED_IDS
        )  # ids of ops that may not run twice, and may have run
        self.healthy, self.advice_level = True, None
        self.gauge_readings: Sequence[float] = ()
        self.gauges_read_at = -math.inf
        self.last_notice = self.last_gauge_mark = 0
        self.reconnected_at_notice = -1  # the last notice when the link was made anew for a broken line
        self.unconfirmed_runs: dict[str, int] = {}  # runs asked for, each after so many gauge marks
        self.unconfirmed_resumes: dict[str, tuple[int, tuple]] = {}  # what runs were told at a call, each after so many marks
        self.is_link_new = False  # a new link has said nothing with a number yet
        self.resync_mark: float = 0
        self.interpreter_message_at = math.inf  # when the interpreter last said something about runs or gauges
        self.stop_at: float | None = None
        self.warmed_up_at = -math.inf  # at the slowest warming
        self.counts: Counter[str] = Counter()
        self.parked_retries: dict[
            str, tuple[float, float, PendingRequest, Likeness, tuple]
        ] = {}  # until, since, op, likeness, told
        self.dependency_share: float | None = None
        self.on_run_ended: Callable[[float, float, float, bool], None] | None = (
            None  # told of runs: seconds, work, failed or not
        )
        self.on_client_request: Callable[[float, float], None] | None = None  # told of the work of each op of our own callers
        self.on_tenant_request: Callable[[float, str], None] | None = None  # told of each op that is read, for its demand
        # By tenant, and whether it is a rate or a cap: window, pieces.
        self.tenant_budgets: dict[tuple[str, bool], tuple[float, Sequence[tuple[float, float]]]] = {}
        self.peer_load: tuple[float, bool, float, float] | None = None
        self.handed_over_count = 0  # ops that peers have
        self.keeps_handover_data = False  # whether ops may be handed to peers: then what a peer must be told is kept
        self.actions: list[tuple] = []

    def _respond(self, now: float, request: PendingRequest, action: Action, *arguments: object) -> None:
        if request.connection_id is not None:
            self.actions.append((action, request.connection_id, *arguments, self.advice_level))
            self._detach_connection(request)
        self._remove_if_finished(now, request)

    def _detach_connection(self, request: PendingRequest) -> None:
        """Nobody waits for it any more."""
        self.request_by_connection.pop(request.connection_id, None)
        request.connection_id = None
        if self.storms:
            self.storms.tries.closed(request.fingerprints)

    def _remove_if_finished(self, now: float, request: PendingRequest) -> None:
        if request.connection_id is None and not request.running and not request.is_handed_over:
            self.requests.pop(request.request_id, None)
            if request.may_have_run and request.request_type not in self.retryable_types:
                self.completed_ids.add(now, request.request_id)

    def _request_gauges(self) -> None:
        self.last_gauge_mark += 1
        self.actions.append((Action.REQUEST_GAUGES, self.last_gauge_mark))
