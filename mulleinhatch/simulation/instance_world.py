"""Clients, connections and an interpreter in virtual time around a real `Reducer`: one seed gives one history.

There is no socket and no real clock, so an hour passes in seconds and the same seed gives the same history to the last answer.
Invariants are checked at each step; `InvariantBrokenError` names the first one violated.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from mulleinhatch.admission.interface import Deployment, Effect, Ending
from mulleinhatch.instance.request_state_machine.events import Action, Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.simulation.virtual_time import EventQueue

DEFAULT_BOUNDS = StormBounds()
RETRY_PAUSE_S = 0.05  # seconds before the next attempt of a client that ignores hold-offs
RESPONSE_SLACK_S = 0.15  # seconds after its deadline at which a response may still arrive
KINDS = (("read", Effect.RETRYABLE, 0.8), ("signoff", Effect.NON_RETRYABLE, 0.1), ("stamp", Effect.KEYED, 0.1))


class InvariantBrokenError(AssertionError):
    """An invariant was violated; the text says when and which."""


class Scenario(NamedTuple):
    """Load, client behaviour and outage of one history; times in seconds, rates in requests a second."""

    rate: float = 70.0
    heeding: float = 0.0
    marked: float = 1.0
    patience: float = 10.0
    outage: tuple[float, float] = (4.0, 8.0)  # start and end
    kind: str = "kill"  # kill: the instance restarts; freeze: runs make no progress; refuse: no client can connect
    load_until: float = 20.0
    until: float = 40.0
    cores: int = 4
    work: float = 0.05
    callers: int = 8
    reconnects: float = 0.0  # probability that a client uses a new connection for an attempt
    alike: float = 0.0  # fraction of the requests with identical bodies
    steady: float = 1.0  # fraction of the clients that repeat rank and cost in each attempt
    lost_acks: float = 0.0  # probability that the connection is reset as the result arrives; the client retries


class Request:
    """A client's request through all its attempts."""

    def __init__(self, number: int, born: float, draw: random.Random, scenario: Scenario) -> None:
        self.number, self.born = number, born
        self.kind = draw.choices(KINDS, [kind[2] for kind in KINDS])[0]
        self.caller = draw.randrange(scenario.callers)
        self.heeds, self.marks_retries = draw.random() < scenario.heeding, draw.random() < scenario.marked
        self.tries, self.is_finished, self.retry_at = 0, False, 0.0
        self.body = b"any op" if draw.random() < scenario.alike else b"op %d of the virtual callers" % number
        self.steady, self.draw, self.scenario = draw.random() < scenario.steady, draw, scenario
        self.drawn = draw.random(), scenario.work * draw.uniform(0.8, 1.2)

    @property
    def figures(self) -> tuple[float, float, float]:
        """Rank, cost in seconds and memory in KB, as an attempt reports them."""
        rank, cost = self.drawn if self.steady else (self.draw.random(), self.scenario.work * self.draw.uniform(0.8, 1.2))
        return rank, cost, 1.0


class World(EventQueue):
    """One service instance with its clients and interpreter, on one event queue."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        storm_bounds: StormBounds | None = DEFAULT_BOUNDS,
        record: Callable[..., Any] | None = None,
    ) -> None:
        super().__init__()
        self.record = record
        self.scenario, self.draw, self.storm_bounds = scenario, random.Random(seed), storm_bounds
        self.first: Counter[int] = Counter()
        self.in_time: Counter[int] = Counter()
        self.counts: Counter[str] = Counter()
        self.stages: list[tuple[float, str]] = []
        self.slots: list[tuple[float, float]] = []  # time of each reserved slot, and the rate in force at its reservation
        self.incarnation, self.up, self.is_running, self.frozen = 0, False, False, False
        self.request_count = self.connection_count = 0
        self.effect: dict[int, bool] = {}  # by request number: whether it must not run again
        self.request_numbers: dict[str, int] = {}  # by ref of the attempt: the number of its request
        self._start()
        self.at(0.0, self._create_request)
        self.at(scenario.outage[0], self._begin_outage)
        self.at(scenario.outage[1], self._end_outage)

    def at(self, when: float, act: Callable[..., None], *arguments: Any) -> None:
        """Schedule `act(*arguments)` at a virtual time, now at the earliest."""
        super().at(max(when, self.now), act, *arguments)

    def play(self) -> World:
        """Run all events up to the end of the scenario, checking the invariants after each."""
        for _ in self.run_until(self.scenario.until):
            self._check_invariants()
        return self

    # The instance and its interpreter.

    def _start(self) -> None:
        scenario = self.scenario
        deployment: Deployment = {
            "op_types": [
                {"effect": kind[1], "importance": 1.0, "target_latency": 1.8, "op_timeout": 4.5, "repeat_window": 60.0}
                for kind in KINDS
            ],
            "cores": scenario.cores,
            "crowd_per_core": 8.0,
            "callers": scenario.callers,
            "hold_off_allowed": True,
            "max_hold_off": 10.0,
        }
        self.incarnation, self.up, self.is_running = self.incarnation + 1, True, True
        self.deployment = deployment
        self.reducer = Reducer(deployment, [kind[0] for kind in KINDS], [], self.incarnation, self.storm_bounds, self.record)
        self.running: dict[str, float] = {}
        self.ran: Counter[int] = Counter()
        self.waiting: dict[int, tuple[Request, str, float]] = {}  # by connection id: request, ref, deadline
        self.idle: list[int] = []  # idle connections, the most recently used last
        self.notice_count = 0
        self.is_rejecting_early = False
        if self.reducer.storms:
            self._record_reserved_slots(self.reducer.storms.calendar)
        self.handle_event(Event.LINK_OPENED)
        self.handle_event(Event.INTERPRETER_READY, False, 100.0)

    def _record_reserved_slots(self, calendar: Any) -> None:
        reserve_slot = calendar.reserve_slot

        def recorded(now: float, least: float, draw: float) -> float:
            booked, rate = calendar.booked, calendar.rate
            seconds = reserve_slot(now, least, draw)
            if calendar.booked > booked and seconds > least:
                self.slots.append((now + seconds, rate))
            return seconds

        calendar.reserve_slot = recorded

    def handle_event(self, event: Event, *arguments: Any) -> None:
        """Feed an event to the reducer and carry out its effects."""
        for action, *fields in self.reducer.reduce(self.now, event, *arguments):
            self._execute(action, fields)

    def _execute(self, action: Action, fields: list[Any]) -> None:
        if action is Action.START_RUN:
            ref = fields[0]
            number = self.request_numbers[ref]
            self.ran[number] += 1
            self.running[ref] = self.scenario.work * self.draw.uniform(0.7, 1.3)
            if not self.frozen:
                self.at(self.now + self.running[ref], self._on_run_end, self.incarnation, ref)
        elif action is Action.REQUEST_GAUGES:
            self.at(self.now, self._send_gauges, self.incarnation, fields[0])
        elif action is Action.SET_TIMER:
            self.at(self.now + fields[0], self._on_timer, self.incarnation, fields[1])
        elif action is Action.SET_EARLY_REJECTION:
            self.is_rejecting_early = fields[0]
        elif action in (Action.SEND_RESULT, Action.SEND_REJECTION, Action.SEND_FAILURE, Action.SEND_INVALID):
            self._on_response(action, *fields)

    def _on_run_end(self, incarnation: int, ref: str) -> None:
        if incarnation == self.incarnation and self.is_running and not self.frozen and self.running.pop(ref, None) is not None:
            self.notice_count += 1
            self.handle_event(Event.RUN_ENDED, self.notice_count, ref, Ending.OK, b"done " + ref.encode())

    def _send_gauges(self, incarnation: int, mark: int) -> None:
        if incarnation == self.incarnation and self.is_running and not self.frozen:
            self.handle_event(Event.GAUGES_RECEIVED, mark, [])

    def _on_timer(self, incarnation: int, token: int) -> None:
        if incarnation == self.incarnation and self.is_running:
            self.handle_event(Event.TIMER_EXPIRED, token)

    def _begin_outage(self) -> None:
        if self.scenario.kind == "freeze":
            self.frozen = True
            return
        self.up = False
        if self.scenario.kind != "kill":
            return
        self.is_running = False
        lost, self.waiting = self.waiting, {}
        for request, _, _ in lost.values():
            self._schedule_retry(request, RETRY_PAUSE_S)

    def _end_outage(self) -> None:
        if self.scenario.kind == "kill":
            self._start()
        self.up = True
        if self.frozen:
            self.frozen = False
            for ref, left in self.running.items():
                self.at(self.now + left, self._on_run_end, self.incarnation, ref)

    # Clients.

    def _create_request(self) -> None:
        if self.now >= self.scenario.load_until:
            return
        self.request_count += 1
        request = Request(self.request_count, self.now, self.draw, self.scenario)
        self.effect[request.number] = request.kind[1] is not Effect.RETRYABLE
        self.first[int(self.now)] += 1
        self._send_attempt(request)
        self.at(self.now + self.draw.expovariate(self.scenario.rate), self._create_request)

    def _send_attempt(self, request: Request) -> None:
        if request.is_finished:
            return
        if self.now - request.born > self.scenario.patience:
            request.is_finished = True
            return
        request.tries += 1
        if not self.up:
            self._schedule_retry(request, RETRY_PAUSE_S)
            return
        self.counts["tries"] += 1
        again, ref = request.tries > 1 and request.marks_retries, f"{self.draw.getrandbits(64):016x}"
        wait = min(4.5, request.born + self.scenario.patience - self.now)
        if wait <= 0.05:
            request.is_finished = True
            return
        retry_at = 0.0 if self.draw.random() < self.scenario.reconnects else request.retry_at
        arguments, figures = (request.kind[0], "", request.caller), request.figures
        self.request_numbers[ref] = request.number
        key = f"k{request.number}" if request.kind[1] is Effect.KEYED else ""
        if self.is_rejecting_early:
            is_too_early = self.now < retry_at - 0.02
            seconds = self.reducer.reject_early(
                self.now,
                ref,
                *arguments,
                again,
                key,
                request.body,
                connection_id=self._idle_connection(request),
                is_punctual=retry_at > 0.0 and not is_too_early,
                is_too_early=is_too_early,
                figures=lambda: figures,
            )
            if seconds is not None:
                self.counts["turned back"] += 1
                if request.kind[1] is not Effect.RETRYABLE and self.ran[request.number]:
                    raise InvariantBrokenError(f"at {self.now:.3f} a request that ran was rejected: {request.number}")
                self._on_rejection(request, seconds)
                return
        connection_id = self._idle_connection(request)
        self.idle.pop()
        self.waiting[connection_id] = (request, ref, self.now + wait)
        rank, cost, kb = figures
        self.handle_event(
            Event.REQUEST_RECEIVED,
            connection_id,
            ref,
            *arguments[:2],
            0.0,
            wait,
            request.caller,
            cost,
            kb,
            again,
            key,
            request.body,
            rank,
        )

    def _idle_connection(self, request: Request) -> int:
        """Return an idle connection for the next attempt, as clients keep them, or a new one."""
        if not self.idle:
            self.connection_count += 1
            self.idle.append(self.connection_count)
        return self.idle[-1]

    def _on_response(self, action: Action, connection_id: int, *arguments: Any) -> None:
        if connection_id not in self.waiting:
            raise InvariantBrokenError(f"at {self.now:.3f} a second or unexpected answer")
        request, ref, due = self.waiting.pop(connection_id)
        if self.now > due + RESPONSE_SLACK_S:
            raise InvariantBrokenError(f"at {self.now:.3f} an answer was {self.now - due:.2f} s late")
        self.counts[action.value] += 1
        self.idle.append(connection_id)
        if action is Action.SEND_RESULT:
            if self.draw.random() < self.scenario.lost_acks:
                self.counts["acks lost"] += 1
                self.idle.pop()
                self._schedule_retry(request, RETRY_PAUSE_S)
                return
            if not request.is_finished and self.now - request.born <= 1.8:
                self.in_time[int(request.born)] += 1
            request.is_finished = True
        elif action is Action.SEND_REJECTION:
            if request.kind[1] is not Effect.RETRYABLE and ref in self.running:
                raise InvariantBrokenError(f"at {self.now:.3f} a running request was rejected")
            self._on_rejection(request, arguments[0])
        elif request.kind[1] is Effect.NON_RETRYABLE:
            request.is_finished = True
            self.counts["failed unrun"] += not self.ran[request.number]
        else:
            self._schedule_retry(request, RETRY_PAUSE_S)

    def _on_rejection(self, request: Request, seconds: float) -> None:
        request.retry_at = self.now + seconds
        self._schedule_retry(request, max(RETRY_PAUSE_S, seconds) if request.heeds else RETRY_PAUSE_S)

    def _schedule_retry(self, request: Request, pause: float) -> None:
        self.at(self.now + pause, self._send_attempt, request)

    # Invariants.

    def _check_invariants(self) -> None:
        for connection_id, (_, _, due) in self.waiting.items():
            if self.up and self.now > due + RESPONSE_SLACK_S:
                raise InvariantBrokenError(f"at {self.now:.3f} connection {connection_id} waits past its deadline")
            break  # checking the oldest is enough: deadlines differ by the patience at most
        retry_admission = self.reducer.storms
        if retry_admission is None:
            return
        for bucket in (retry_admission.budget.punctual, retry_admission.budget.others):
            if not 0.0 <= bucket.tokens <= bucket.max_tokens + 1e-9:
                raise InvariantBrokenError(f"at {self.now:.3f} a retry budget has {bucket.tokens} tokens")
        bounds = retry_admission.bounds
        has_too_many_callers = len(retry_admission.callers) > bounds.callers_kept
        if has_too_many_callers or len(retry_admission.duplicates.outstanding) > 2 * bounds.repeats_kept:
            raise InvariantBrokenError(f"at {self.now:.3f} the retry tables outgrew their bounds")
        stage = retry_admission.detector.stage.value
        if not self.stages or self.stages[-1][1] != stage:
            self.stages.append((self.now, stage))

    def ran_twice(self) -> list[int]:
        """Return the non-retryable requests that ran more than once in the instance's present incarnation."""
        return [number for number, count in self.ran.items() if count > 1 and self.effect[number]]

    def share_in_time(self, since: float, until: float) -> float:
        """Return the fraction of first attempts in those seconds that were served within the target."""
        seconds = range(int(since), int(until))
        return sum(self.in_time[second] for second in seconds) / max(1, sum(self.first[second] for second in seconds))
