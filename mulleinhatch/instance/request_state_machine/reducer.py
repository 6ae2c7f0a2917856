"""The one place where state changes: a happening goes in, what is to be done comes out.

`reduce` tells the happening to the module, pulls its decisions until there is none, and gives the errands
that carry them out, in order. It reads no clock and touches no socket; places are the numbers of the
connections that wait for an answer.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any

from mulleinhatch.admission import NOT_EXECUTED_ENDINGS, AdmissionController
from mulleinhatch.admission.interface import Decision, Deployment, Effect, Ending, Verb
from mulleinhatch.instance.request_state_machine.tables import IdempotencyKeys, PendingRequest
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.duplicate_detection import Likeness, finer, likeness
from mulleinhatch.instance.retry_storms.request_log import Lately, fingerprint
from mulleinhatch.instance.retry_storms.retry_admission import Desk
from mulleinhatch.invariants import must_hold

GAUGES_VALID_S = 1.0  # seconds: gauges that stopped coming tell nothing of the cores now
RUN_GAP_S = 1.0  # seconds in which no run ended, though some were asked for: the interpreter stood still
MAX_PARKED_S = 1.0  # seconds that a retry waits for a word on its twin: a run and the next request of its caller
PARKED_MARGIN_S = 0.5  # and no longer than leaves the module time to decide on it
MAX_NOTICE_GAP = 4000  # by the interpreter: a number further on than that is no next one
DEFAULT_REQUEST_TIMEOUT_S = 10.0  # seconds after its arrival in which a try may be read, where the op type names no time
COMPLETED_IDS_SPAN_S, MAX_COMPLETED_IDS = (
    10.0,
    8192,
)  # seconds for which the id of an op that ran is known, and at most so many in each
RUN_END_COUNTERS = {ending: "run_" + ending.name.lower() for ending in Ending}


class Event(Enum):
    """What can happen to a service instance; the comments list the arguments that `Reducer.reduce` takes with each."""

    INTERPRETER_READY = "interpreter ready"  # is it a cold start, seconds since it started
    LINK_OPENED = "link opened"
    MALFORMED_LINE_RECEIVED = "malformed line received"
    # connection id, request id, request type, tenant, age, remaining wait, client id, cost, memory, is retry, key, body, rank,
    # whether a peer handed it over
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
    TENANT_BUDGET_CHANGED = "tenant budget changed"  # tenant, window, pieces: units and when each ends
    DEPENDENCY_SHARE_CHANGED = "dependency share changed"  # share
    PEER_LOAD_CHANGED = "peer load changed"  # free share, judged unhealthy, retries per second, share to redirect
    PEER_OFFERS_CHANGED = "peer offers changed"  # requests that peers have capacity for now
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
    ABANDON_CONNECTION = "abandon connection"  # connection id: the answer goes to another one
    REPORT_AVAILABILITY = "report availability"  # whether the directory shall list this instance as open
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
    SET_IDLE_TIMEOUT = "set idle timeout"  # seconds that an idle connection is kept
    # request id, request type, tenant, body, age, seconds left, client id, cost, memory, is retry, rank, key
    HAND_OVER = "hand over"

    __hash__ = object.__hash__


class Reducer:
    """
    >>> reducer = Reducer({"op_types": [{}], "cores": 1}, ["read"], [], seed=7)
    >>> def happens(now, *arguments):
    ...     return [(action.value, *more) for action, *more in reducer.reduce(now, *arguments)]
    >>> happens(0.0, Event.INTERPRETER_READY, False, 9.0)
    [('report availability', True), ('request gauges', 1)]
    >>> happens(0.0, Event.REQUEST_RECEIVED, 4, "r1", "read", "", 0.0, 2.0, 1, 0.1, 8.0, False, "", b"in")
    [('start run', 'r1', 'read', b'in'), ('request gauges', 2), ('set timer', 0.1, 1)]
    >>> happens(1.2, Event.RUN_ENDED, 1, "r1", Ending.OK, b"out")
    [('ack', 4, b'out', None)]
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
        self.event_handlers = {event: getattr(self, "_" + event.name.lower()) for event in Event}
        self.decision_handlers = {
            verb: ("decided_" + verb.value.replace(" ", "_"), getattr(self, "_do_" + verb.name.lower(), self._do_unsupported))
            for verb in Verb
        }

    def reduce(self, now: float, event: Event, *arguments: object) -> list[tuple]:
        """The errands stay in `actions` until the next happening, for a host that meets an error here."""
        self.actions = []
        self.event_handlers[event](now, *arguments)
        if self.storms and self.controller:
            self._update_storm_state(now)
            if self.parked_retries:
                self._resolve_parked_retries(now)
        while self.controller and (decision := self.controller.next_decision(now)):
            name, act = self.decision_handlers[decision.verb]
            self.counts[name] += 1
            act(now, decision)
        return self.actions

    # What happens.

    def _interpreter_ready(self, now: float, cold: bool, since: float) -> None:
        """The gauges that are asked for here come after all notices that were missed: only then is it known
        which runs asked for last never arrived. Asked before the interpreter is up, they never come."""
        if self.controller is None:
            if self.record:
                now, since = round(now, 6), round(since, 6)  # what is kept is what the module hears
            self.controller = AdmissionController({**self.deployment, "fresh_start": cold}, self.seed, now - since)
            if cold:
                self.warmed_up_at = now - since + self.deployment.get("cold_for", 0.0)
            if self.record:
                self.controller = self.record(self.controller, now, cold, since)
            if self.stop_at is not None:
                self.controller.begin_drain(now, self.stop_at - now)
            for (tenant, _), part in list(self.tenant_budgets.items()):
                self._tenant_budget_changed(now, tenant, *part)
            if self.peer_load:
                self._peer_load_changed(now, *self.peer_load)
            if self.dependency_share is not None:
                self._dependency_share_changed(now, self.dependency_share)
        elif now - since > self.interpreter_message_at:
            # It began after the last word of the one before: it is another interpreter.
            if self.last_notice:
                # The greeting named a notice of the one before: this one keeps to itself what it says up to that number.
                self.actions.append((Action.RECONNECT_LINK,))
            self.last_notice, self.reconnected_at_notice, self.interpreter_message_at = 0, -1, now
            for request in [request for request in self.requests.values() if request.running]:
                self._end_run(now, request.request_id, Ending.ERROR, b"")
        self.actions.append((Action.REPORT_AVAILABILITY, self.healthy))
        self._request_gauges()
        self.resync_mark = self.last_gauge_mark

    def _link_opened(self, now: float) -> None:
        if self.storms:
            self.storms.watch.outage(now)
        self.is_link_new = True
        self.actions.append((Action.GREET_INTERPRETER, self.last_notice))
        self.resync_mark = math.inf

    def _malformed_line_received(self, now: float) -> None:
        """Where the next line begins is open, so the link is made anew, and what was missed comes again. What
        comes broken again is passed over, or nothing behind it would be read."""
        if self.last_notice > self.reconnected_at_notice:
            self.reconnected_at_notice = self.last_notice
            self.actions.append((Action.RECONNECT_LINK,))

    def _request_received(
        self,
        now: float,
        connection_id: int,
        request_id: str,
        request_type: str,
        tenant: str,
        age_s: float,
        remaining_wait_s: float,
        client_id: int,
        cost_s: float,
        memory_kb: float,
        is_retry: bool,
        key: str,
        body: bytes,
        rank: float = 0.0,
        is_handed_over: bool = False,
    ) -> None:
        self.counts["ops_read"] += 1
        if self.storms:
            self.storms.runs.asks_again(connection_id)
        if request_type not in self.request_types:
            self.actions.append((Action.SEND_INVALID, connection_id, "op type"))
        elif self.tenants and tenant not in self.tenants:
            self.actions.append((Action.SEND_INVALID, connection_id, "tenant"))
        elif request_id in self.requests:
            self._move_to_new_connection(connection_id, request_id, request_type, tenant, body)
        elif self.controller is None:
            self.actions.append((Action.SEND_REJECTION, connection_id, 0.0, False, self.advice_level))
        elif self.completed_ids.seen(now, request_id):
            self._answer_completed_id(connection_id, request_id, fingerprint(0, request_type, tenant, key, body))
        elif self._is_key_in_use(now, now - age_s, request_type, tenant, key, body):
            self.actions.append((Action.SEND_INVALID, connection_id, "key in use"))
        else:
            arguments = (request_type, tenant, age_s, remaining_wait_s, client_id, cost_s, memory_kb, is_retry, key, rank)
            request = self.requests[request_id] = PendingRequest(
                request_id, connection_id, request_type, tenant, key, body, now - age_s, now + (remaining_wait_s or math.inf)
            )
            self.request_by_connection[connection_id] = request_id
            if self.keeps_handover_data:
                request.handover_data, request.is_from_peer = (
                    (now - age_s, client_id, cost_s, memory_kb, is_retry, rank),
                    is_handed_over,
                )
                self.counts["ops_from_peers"] += is_handed_over
            like = likeness(client_id, request_type, tenant, key, body, rank, cost_s, memory_kb) if self.storms else None
            if (
                like
                and is_retry
                and request_type in self.non_retryable_types
                and self.storms.runs.doubt(now, like, self.storms.tries.figures_stay(now))
            ):
                return self._park_retry(now, request, like, arguments)
            self._admit(now, request, like, *arguments)

    def _admit(
        self,
        now: float,
        request: PendingRequest,
        like: Likeness | None,
        request_type: str,
        tenant: str,
        age_s: float,
        remaining_wait_s: float,
        client_id: int,
        cost_s: float,
        memory_kb: float,
        is_retry: bool,
        key: str,
        rank: float,
    ) -> None:
        if request_type in self.duplicate_windows:
            request.duplicate_of = self._find_original(now, request)
        if self.on_tenant_request:
            self.on_tenant_request(now, tenant)
        if self.on_client_request and not request.is_from_peer:
            self.on_client_request(now, cost_s)
        if self.storms:
            repeat, request.fingerprints = self.storms.tries.read(now, like, is_retry, request_type in self.non_retryable_types)
            self.storms.read(now, client_id, repeat, age_s)
            self.storms.counts["repeats_unmarked"] += repeat and not is_retry
            is_retry = is_retry or repeat and self.storms.on  # unmarked, it is one more of those that crowd
        self.controller.record_arrival(
            now,
            request.request_id,
            self.request_types[request_type],
            age_s,
            remaining_wait_s,
            self.tenants.get(tenant, 0),
            request.duplicate_of,
            client_id,
            cost_s,
            memory_kb,
            is_retry,
        )
        if request.is_from_peer:
            self.controller.mark_received_from_peer(now, request.request_id)

    def _park_retry(self, now: float, request: PendingRequest, like: Likeness, arguments: tuple) -> None:
        """A marked retry of a non-retryable op that may have run here. With the figures of that run it is its retry, and
        fails: nobody can tell it that the first had its effect, and a second one is what must not be. With others it
        waits a moment, until the answer of its twin is known to have been read: then it is another op for certain."""
        until = min(now + MAX_PARKED_S, request.deadline - PARKED_MARGIN_S)
        if self.storms.runs.doubt(now, like, True) or until <= now:
            return self._fail_possible_second_run(request, like, now)
        self.parked_retries[request.request_id] = until, now, request, like, arguments
        self.actions.append((Action.SET_TIMER, until - now, 0))

    def _resolve_parked_retries(self, now: float) -> None:
        for request_id, (until, since, request, like, arguments) in list(self.parked_retries.items()):
            if request.connection_id is None:
                del self.parked_retries[request_id]  # its caller is gone
            elif not self.storms.runs.doubt(now, like, self.storms.tries.figures_stay(now)):
                del self.parked_retries[request_id]
                self.storms.counts["retries_told_apart"] += 1
                request_type, tenant, age_s, remaining_wait_s, *more = arguments
                self._admit(
                    now,
                    request,
                    like,
                    request_type,
                    tenant,
                    age_s + now - since,
                    remaining_wait_s and remaining_wait_s - (now - since),
                    *more,
                )
            elif now >= until:
                del self.parked_retries[request_id]
                self._fail_possible_second_run(request, like, now)

    def _is_key_in_use(self, now: float, arrived_at: float, request_type: str, tenant: str, key: str, body: bytes) -> bool:
        """A keyed op that comes with the key of another one is nobody's repeat: answered from that one's result it would
        have what no run made for it, and run it might have an effect twice."""
        scope = request_type, tenant, key
        if request_type not in self.duplicate_windows or not self.keys.is_known(scope):
            return False
        request_id = self.keys.find_original(scope, arrived_at, now)
        return bool(request_id) and not self.keys.matches(request_id, fingerprint(0, request_type, tenant, key, body))

    def _find_original(self, now: float, request: PendingRequest) -> str:
        """The op that a keyed one repeats. One that has not run yet may be given up, and this one stand in its place: a
        later repeat must find it, so that one's time counts from here."""
        if not request.key or not (request_id := self.keys.find_original(request.key_scope, request.arrived_at, now)):
            return ""
        leader = self.requests.get(request_id)
        if leader and not leader.may_have_run:
            self.keys.extend_window(request_id, request.arrived_at + self.duplicate_windows[request.request_type][0])
        return request_id

    def _answer_completed_id(self, connection_id: int, request_id: str, fingerprints: bytes) -> None:
        """The id of an op that ran and was answered: its caller did not get the answer, and must not have it run again. A
        stranger that uses the id must not have its result."""
        self.counts["ops_sent_again"] += 1
        result = self.keys.result(request_id)
        if result is None or not self.keys.matches(request_id, fingerprints):
            self.actions.append((Action.SEND_FAILURE, connection_id, self.advice_level))
        else:
            self.actions.append((Action.SEND_RESULT, connection_id, result, self.advice_level))

    def _fail_possible_second_run(self, request: PendingRequest, like: Likeness, now: float) -> None:
        self.counts["repeats_of_run"] += 1
        self.storms.counts["repeats_of_run_alike"] += self.storms.tries.shared.seen(now, like.plain)  # perhaps a twin's
        self._respond(now, request, Action.SEND_FAILURE)

    def reject_early(
        self,
        now: float,
        request_id: str,
        request_type: str,
        tenant: str,
        client_id: int,
        is_retry: bool,
        key: str,
        body: bytes,
        is_punctual: bool,
        is_too_early: bool,
        connection_id: int = -1,
        figures: Callable[[], tuple[float, float, float]] = lambda: (0.0, 0.0, 0.0),
    ) -> float | None:
        """Asked for a try before it is read in full: seconds that its nack tells to stay away, or None where it
        goes the ordinary way. Only a repeat is turned back, by the rate that the module named, and none of an op
        that may have run here or is under way. It counts as read, and is no op: it never comes to the module. `figures`
        gives its rank, cost and memory, which few need: to read them costs."""
        desk = self.storms
        if (
            request_id in self.requests
            or request_type not in self.request_types
            or key
            and self.keys.is_known((request_type, tenant, key))
        ):
            return None
        plain, is_non_retryable = b"", request_type in self.non_retryable_types
        if not is_retry or is_non_retryable:  # else its likeness tells nothing new, and costs
            plain = fingerprint(client_id, request_type, tenant, key, body)
            if (
                not desk.tries.known(now, plain, lambda: finer(plain, *figures()))
                if not is_retry
                else plain in desk.runs.by_plain
            ):
                return None
        if not desk.turned_back(now, client_id, is_punctual):
            return None
        if plain:
            desk.tries.turned_back(now, plain, lambda: finer(plain, *figures()), is_retry)
        desk.runs.asks_again(connection_id)
        desk.read(now, client_id, True, 0.0)
        desk.turned += 1
        desk.stubborn += is_too_early
        self.early_rejections += 1
        return desk.come_back(now, 0.0, is_too_early)

    def warmth(self, now: float) -> float:
        """The share of its speed that it has at the slowest warming; 1 once it is warm."""
        left = (self.warmed_up_at - now) / self.deployment["cold_for"] if now < self.warmed_up_at else 0.0
        return 1.0 - (1.0 - self.deployment.get("cold_speed", 1.0)) * min(1.0, left)

    def free_capacity(self, now: float) -> int:
        """Ops that could start here at once; none where this instance should not be asked for more. While it is cold its places
        count for the share of its speed that it has: what all peers together send on our word is bounded by our word alone."""
        if self.controller is None or not self.healthy or self.stop_at is not None or self.storms and self.storms.on:
            return 0
        return max(0, max(1, int(self.controller.limit * self.warmth(now))) - len(self.requests) + self.handed_over_count)

    def advertised_capacity(self, now: float) -> int:
        """As others hear of it, who may guess by it, each for itself: none while it is cold, when their sum would fell it."""
        return 0 if now < self.warmed_up_at else self.free_capacity(now)

    def transferable_count(self) -> int:
        """Ops held here that might go to a peer."""
        return sum(
            not (
                request.running
                or request.is_handed_over
                or request.is_from_peer
                or request.connection_id is None
                or request.request_type in self.duplicate_windows
            )
            for request in self.requests.values()
        )

    def record_connection(self) -> None:
        """A caller's connection was accepted: counted alone, for hundreds come at once and nothing is decided by one."""
        self.storms.watch.count(connects=1)

    def _update_storm_state(self, now: float) -> None:
        if self.storms.watch.due(now):
            if self.early_rejections:
                self.controller.record_early_rejections(now, self.early_rejections)
                self.early_rejections = 0
            if self.storms.judge(now, self.controller.capacity()):
                self.controller.set_retry_storm(now, *self.storms.told)

    def _move_to_new_connection(self, connection_id: int, request_id: str, *identity: object) -> None:
        """The same try on another connection, as it crossed the close of its first: it moves there. Anything
        else under the id of an open op is a stranger's, who must not get its answer nor end its wait."""
        request = self.requests[request_id]
        self.counts["ops_sent_again"] += 1
        if identity != request.identity:
            self.actions.append((Action.SEND_INVALID, connection_id, "id in use"))
        elif request.connection_id is None:
            self.actions.append((Action.SEND_FAILURE, connection_id, self.advice_level))
        else:
            self.request_by_connection.pop(request.connection_id, None)
            self.actions.append((Action.ABANDON_CONNECTION, request.connection_id))
            request.connection_id, self.request_by_connection[connection_id] = connection_id, request_id

    def _accept_notice(self, now: float, number: int, request_id: str) -> bool:
        """Of a numbered notice. One whose number is no next one is believed only of a run in hand: taken at its word, no notice
        after it would be believed any more."""
        if number <= self.last_notice:
            self.counts["notices_repeated"] += 1
            return False
        self.interpreter_message_at = now
        if self.is_link_new and number > self.last_notice + 1:
            self._handle_lost_notices(now)
        self.is_link_new = False
        if number <= self.last_notice + MAX_NOTICE_GAP:
            self.last_notice = number
            return True
        self.counts["notices_strange"] += 1
        return request_id in self.requests

    def _other_notice_received(self, now: float, number: int) -> None:
        self._accept_notice(now, number, "")

    def _handle_lost_notices(self, now: float) -> None:
        """More came while there was no link than the interpreter keeps. Which runs ended nobody can tell: they may not run
        again, and those that nobody waits for any more, or will when their time is over, must not keep their places."""
        self.counts["notices_lost"] += 1
        for request in list(self.requests.values()):
            request.is_run_end_unknown = request.running and request.request_id not in self.unconfirmed_runs
            if request.is_run_end_unknown and request.connection_id is None:
                self._end_run(now, request.request_id, Ending.ERROR, b"")

    def _run_ended(self, now: float, number: int, request_id: str, ending: Ending, result: bytes) -> None:
        if not self._accept_notice(now, number, request_id):
            return
        if self.storms and now - max(self.last_run_end_at, self.idle_until) > RUN_GAP_S:
            self.storms.watch.outage(now)
        self.last_run_end_at = now
        self._end_run(now, request_id, ending, result)

    def _call_requested(self, now: float, number: int, request_id: str, call_payload: bytes) -> None:
        """A run waits for a call. So it is with the interpreter, and goes on from the call before."""
        request = self.requests.get(request_id)
        if not self._accept_notice(now, number, request_id) or request is None or not request.running:
            return
        self.unconfirmed_runs.pop(request_id, None)
        self.unconfirmed_resumes.pop(request_id, None)
        self.counts["calls_wanted"] += 1
        request.call_payload = call_payload
        self.controller.record_call_request(now, request_id)

    def _call_ended(self, now: float, request_id: str, ending: Ending, result: bytes) -> None:
        request = self.requests.get(request_id)
        if request is None or not request.running:
            return
        self.controller.record_call_end(now, request_id, ending)
        if ending is Ending.OK and request.connection_id is not None:
            self._resume_run(request_id, (Action.RESUME_RUN, request_id, result))

    def _resume_run(self, request_id: str, action: tuple) -> None:
        """Kept until gauges confirm it, as a run is: lost with a link, the run would wait for ever."""
        self.unconfirmed_resumes[request_id] = self.last_gauge_mark, action
        self.actions.append(action)

    def _unreadable_run_end_received(self, now: float, request_id: str) -> None:
        self.counts["runs_spoilt"] += 1
        self._end_run(now, request_id, Ending.ERROR, b"")

    def _run_rejected(self, now: float, request_id: str) -> None:
        """No op that came to the machine: its sender is refused, and nothing that ran is measured by it."""
        self.counts["runs_unknown"] += 1
        if request := self.requests.get(request_id):
            if request.connection_id is not None:
                self.actions.append((Action.SEND_INVALID, request.connection_id, "op id"))
                self._detach_connection(request)
            request.may_have_run = False
            self._end_run(now, request_id, Ending.MOOT, b"")
            self.keys.forget(request_id)  # nothing ran for its key

    def _end_run(self, now: float, request_id: str, ending: Ending, result: bytes) -> None:
        request = self.requests.get(request_id)
        self.unconfirmed_runs.pop(request_id, None)
        self.unconfirmed_resumes.pop(request_id, None)
        if request is None or not request.running:
            self.counts["endings_unexpected"] += 1
            return
        request.running = False
        self.run_count -= 1
        if ending is Ending.MOOT and self.storms:
            self.storms.runs.settled(request_id)
        if ending is Ending.STOPPED and request.connection_id is not None:
            ending = Ending.ERROR  # nobody here stopped it, and the module would take it for paused
        self.counts[RUN_END_COUNTERS[ending]] += 1
        if self.on_run_ended and ending in (Ending.OK, Ending.ERROR):
            self.on_run_ended(
                now,
                now - request.run_started_at,
                request.handover_data[2] if request.handover_data else 0.0,
                ending is Ending.ERROR,
            )
        self._record_run_end(now, request, ending, result)
        for follower in self.followers.pop(request_id, ()):
            if follower in self.requests:
                self._answer_duplicate(now, self.requests[follower])

    def _gauges_received(self, now: float, mark: int, gauge_readings: Sequence[float]) -> None:
        """A run that was asked for before gauges that have come is with the interpreter, unless a link was
        lost between: behind the mark set then, it never arrived."""
        if mark > self.last_gauge_mark:
            self.counts["notices_strange"] += 1  # nobody asked for these: what it would confirm may be under way
            return
        self.gauge_readings, self.gauges_read_at, self.interpreter_message_at = gauge_readings, now, now
        before = [request_id for request_id, asked in self.unconfirmed_runs.items() if asked < mark]
        went_on = [request_id for request_id, (asked, _) in self.unconfirmed_resumes.items() if asked < mark]
        if mark < self.resync_mark:
            return
        for request_id in before:
            del self.unconfirmed_runs[request_id]
            if self.resync_mark:
                self.counts["runs_asked_again"] += 1
                self._start_run(self.requests[request_id])
        for request_id in went_on:
            _, action = self.unconfirmed_resumes.pop(request_id)
            if self.resync_mark:
                self.counts["calls_told_again"] += 1
                self._resume_run(request_id, action)
        self.resync_mark = 0

    def _timer_expired(self, now: float, token: int) -> None:
        if self.controller and token:
            fresh = now - self.gauges_read_at <= GAUGES_VALID_S
            self.controller.handle_wakeup(now, token, self.gauge_readings if fresh else ())

    def _health_check_received(self, now: float, connection_id: int) -> None:
        self.counts["checks"] += 1
        if self.storms:
            self.storms.runs.asks_again(connection_id)
        self.actions.append((Action.SEND_HEALTH, connection_id, self.healthy, self.advice_level))

    def _client_disconnected(self, now: float, connection_id: int) -> None:
        request_id = self.request_by_connection.get(connection_id)
        if request_id is None:
            return
        self.counts["callers_lost"] += 1
        request = self.requests[request_id]
        self._detach_connection(request)
        self.controller.record_abandonment(now, request_id)
        self._remove_if_finished(now, request)

    def _shutdown_requested(self, now: float, grace: float) -> None:
        if self.stop_at is not None:
            return  # the first notice counts
        self.healthy, self.stop_at = False, now + grace
        self.actions.append((Action.BEGIN_SHUTDOWN, grace))
        if self.controller:
            self.controller.begin_drain(now, grace)

    def _tenant_budget_changed(self, now: float, tenant: str, window: float, pieces: Sequence[tuple[float, float]]) -> None:
        """Before the module is there it is kept for it: a tenant with a total must never run without its part."""
        self.tenant_budgets[tenant, window > 0.0] = window, pieces
        if self.controller and tenant in self.tenants:
            self.controller.set_tenant_budget(now, self.tenants[tenant], window, pieces)

    def _dependency_share_changed(self, now: float, share: float) -> None:
        self.dependency_share = share
        if self.controller:
            self.controller.set_dependency_share(now, share)

    def _peer_load_changed(self, now: float, *arguments: Any) -> None:
        self.peer_load = arguments
        if self.controller:
            self.controller.update_peer_load(now, *arguments)

    def _peer_offers_changed(self, now: float, count: int) -> None:
        if self.controller:
            self.controller.set_peer_offers(now, count)

    def _handover_ended(self, now: float, request_id: str, ending: Ending, result: bytes) -> None:
        """Its answer is the peer's. A nack, or a peer that was never reached, says that it did not run there; a link that
        broke says nothing, and what may not run twice fails. What its caller no longer waits for is only closed."""
        request = self.requests.get(request_id)
        if request is None or not request.is_handed_over:
            return
        request.is_handed_over = False
        self.handed_over_count -= 1
        self.counts["hand_" + ending.name.lower()] += 1
        unrun = ending in NOT_EXECUTED_ENDINGS
        request.may_have_run = request.may_have_run and not unrun
        if unrun and self.storms:
            self.storms.runs.settled(request_id)
        if request.connection_id is None:
            self._remove_if_finished(now, request)
            return
        self.controller.record_handover_end(now, request_id, ending)
        if not unrun and not (ending is Ending.INTERRUPTED and request.request_type in self.retryable_types):
            self._respond_to_run(now, request, ending, result)

    # What the module decides.

    def _do_hand_over(self, now: float, decision: Decision) -> None:
        request = self.requests.get(decision.ref)
        must_hold(
            request and request.handover_data and request.connection_id is not None and not request.running,
            "only an op that is held is handed over",
        )
        if request:
            request.is_handed_over = request.may_have_run = True
            self.handed_over_count += 1
            if self.storms and request.request_type in self.non_retryable_types:
                self.storms.runs.started(now, request.request_id, Likeness(*request.fingerprints), request.deadline)
            arrived_at, *figures = request.handover_data
            left = request.deadline - now if request.deadline < math.inf else 0.0
            self.actions.append(
                (
                    Action.HAND_OVER,
                    request.request_id,
                    request.request_type,
                    request.tenant,
                    request.body,
                    now - arrived_at,
                    left,
                    *figures,
                    request.key,
                )
            )

    def _do_run(self, now: float, decision: Decision) -> None:
        request = self.requests.get(decision.ref)
        must_hold(request and not request.running, "only an op that is held is run")
        if request:
            if not self.run_count:
                self.idle_until = now
            self.run_count += 1
            request.running, request.run_started_at, request.may_have_run = True, now, True
            if self.storms and request.request_type in self.non_retryable_types:
                self.storms.runs.started(now, request.request_id, Likeness(*request.fingerprints), request.deadline)
            self._start_run(request)

    def _do_call(self, now: float, decision: Decision) -> None:
        if request := self.requests.get(decision.ref):
            self.actions.append((Action.START_CALL, request.request_id, decision.seconds, request.call_payload))

    def _do_skip_call(self, now: float, decision: Decision) -> None:
        self._resume_run(decision.ref, (Action.SKIP_CALL, decision.ref))

    def _do_reject(self, now: float, decision: Decision) -> None:
        request = self.requests.get(decision.ref)
        must_hold(request and not request.running and request.connection_id is not None, "only an op that never ran is nacked")
        if request:
            seconds = decision.seconds
            if self.storms:
                self.storms.tries.nacked(now, request.fingerprints)
                if seconds > 0.0:
                    seconds = self.storms.come_back(now, seconds, False)
            self._respond(now, request, Action.SEND_REJECTION, seconds, decision.flag)

    def _do_fail(self, now: float, decision: Decision) -> None:
        request = self.requests.get(decision.ref)
        must_hold(request and request.connection_id is not None, "only an op that is owed an answer fails")
        if request:
            self._respond(now, request, Action.SEND_FAILURE)
            if request.is_run_end_unknown and request.running:
                self._end_run(now, request.request_id, Ending.ERROR, b"")

    def _do_keep(self, now: float, decision: Decision) -> None:
        if (request := self.requests.get(decision.ref)) and request.key:
            fingerprints = fingerprint(0, request.request_type, request.tenant, request.key, request.body)
            self.keys.remember(
                request.key_scope,
                request.request_id,
                fingerprints,
                now + decision.seconds,
                self.duplicate_windows[request.request_type][1],
            )

    def _do_forget(self, now: float, decision: Decision) -> None:
        self.keys.forget(decision.ref)

    def _do_answer_from(self, now: float, decision: Decision) -> None:
        if request := self.requests.get(decision.ref):
            self._answer_duplicate(now, request)

    def _do_health(self, now: float, decision: Decision) -> None:
        self.healthy = decision.flag
        self.actions.append((Action.REPORT_AVAILABILITY, decision.flag))

    def _do_advise(self, now: float, decision: Decision) -> None:
        self.advice_level = decision.level

    def _do_trim(self, now: float, decision: Decision) -> None:
        self.actions.append((Action.SET_IDLE_TIMEOUT, decision.seconds))

    def _do_wake(self, now: float, decision: Decision) -> None:
        """The gauges are asked for ahead: waiting for them when the alarm goes off would delay answers."""
        self._request_gauges()
        self.actions.append((Action.SET_TIMER, decision.seconds, decision.ref))

    def _do_limit_retries(self, now: float, decision: Decision) -> None:
        self.storms.limit(now, decision.level)
        self.actions.append((Action.SET_EARLY_REJECTION, self.storms.sheds))

    def _do_unsupported(self, now: float, decision: Decision) -> None:
        must_hold(False, f"the link has no word for {decision.verb.value}")

    # What both come to.

    def _start_run(self, request: PendingRequest) -> None:
        self.unconfirmed_runs[request.request_id] = self.last_gauge_mark
        self.actions.append((Action.START_RUN, request.request_id, request.request_type, request.body))

    def _request_gauges(self) -> None:
        self.last_gauge_mark += 1
        self.actions.append((Action.REQUEST_GAUGES, self.last_gauge_mark))

    def _answer_duplicate(self, now: float, request: PendingRequest) -> None:
        """By the result of the op that it repeats, at once or when that has run. Where that one was given up unrun, another
        repeat of it may stand in its place."""
        leaders = (request.duplicate_of, self.keys.find_original(request.key_scope, request.arrived_at, now))
        for leader in leaders:
            if (result := self.keys.result(leader)) is not None:
                return self._record_run_end(now, request, Ending.OK, result)
        for leader in leaders:
            if leader in self.requests and self.requests[leader].running:
                self.followers.setdefault(leader, []).append(request.request_id)
                return
        self._record_run_end(now, request, Ending.ERROR, b"")

    def _record_run_end(self, now: float, request: PendingRequest, ending: Ending, result: bytes) -> None:
        """The end of a run, its own or that of the op it repeats, for the module, the keys and the caller."""
        self.controller.record_run_end(now, request.request_id, ending)
        self._respond_to_run(now, request, ending, result)

    def _respond_to_run(self, now: float, request: PendingRequest, ending: Ending, result: bytes) -> None:
        if ending is Ending.OK:
            self.keys.store_result(request.request_id, result)
            if self.storms and request.connection_id is not None:
                self.storms.tries.acked(now, request.fingerprints)
                self.storms.runs.acked(now, request.request_id, request.connection_id)
            self._respond(now, request, Action.SEND_RESULT, result)
        else:
            self._respond(now, request, Action.SEND_FAILURE)

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
