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

USUAL = StormBounds()
PAUSE = 0.05  # seconds before the next try of a caller that heeds nothing
ANSWER_SLACK = 0.15  # seconds past its time that an answer may take
KINDS = (("read", Effect.RETRYABLE, 0.8), ("signoff", Effect.NON_RETRYABLE, 0.1), ("stamp", Effect.KEYED, 0.1))


class InvariantBrokenError(AssertionError):
    """An invariant did not hold; the text says when and which."""


class Scenario(NamedTuple):
    """Load, client behaviour and outage of one history; times in seconds, rates in requests a second."""

    rate: float = 70.0
    heeding: float = 0.0
    marked: float = 1.0
    patience: float = 10.0
    outage: tuple[float, float] = (4.0, 8.0)  # from when to when
    kind: str = "kill"  # kill: the instance starts anew; freeze: runs stand still; refuse: nobody connects
    load_until: float = 20.0
    until: float = 40.0
    cores: int = 4
    work: float = 0.05
    callers: int = 8
    reconnects: float = 0.0  # chance that a caller uses a new connection for a try
    alike: float = 0.0  # share of the requests whose bodies are all the same
    steady: float = 1.0  # share of the clients whose rank and cost stay over the tries of a request
    lost_acks: float = 0.0  # chance that a connection is reset as an answer arrives: its caller may try again


class Request:
    """A client's request through all its attempts."""

    def __init__(self, number: int, born: float, draw: random.Random, scenario: Scenario) -> None:
        self.number, self.born = number, born
        self.kind = draw.choices(KINDS, [kind[2] for kind in KINDS])[0]
        self.caller = draw.randrange(scenario.callers)
        self.heeds, self.marks = draw.random() < scenario.heeding, draw.random() < scenario.marked
        self.tries, self.over, self.back_at = 0, False, 0.0
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
        self, scenario: Scenario, seed: int, storm_bounds: StormBounds | None = USUAL, record: Callable[..., Any] | None = None
    ) -> None:
        super().__init__()
        self.record = record
        self.scenario, self.draw, self.storm_bounds = scenario, random.Random(seed), storm_bounds
        self.first: Counter[int] = Counter()
        self.in_time: Counter[int] = Counter()
        self.counts: Counter[str] = Counter()
        self.stages: list[tuple[float, str]] = []
        self.slots: list[tuple[float, float]] = []  # when each slot lies, and the rate that it was given at
        self.incarnation, self.up, self.alive, self.frozen = 0, False, False, False
        self.number = self.places = 0
        self.effect: dict[int, bool] = {}  # by number of the request: whether it may not run again
        self.number_of: dict[str, int] = {}  # by id of the try: the number of its request
        self._start()
        self.at(0.0, self._born)
        self.at(scenario.outage[0], self._fall)
        self.at(scenario.outage[1], self._rise)

    def at(self, when: float, act: Callable[..., None], *arguments: Any) -> None:
        """Schedule `act(*arguments)` at a virtual time, now at the earliest."""
        super().at(max(when, self.now), act, *arguments)

    def play(self) -> World:
        """Run all events up to the end of the scenario, checking the invariants after each."""
        for _ in self.run_until(self.scenario.until):
            self._check()
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
        self.incarnation, self.up, self.alive = self.incarnation + 1, True, True
        self.deployment = deployment
        self.reducer = Reducer(deployment, [kind[0] for kind in KINDS], [], self.incarnation, self.storm_bounds, self.record)
        self.running: dict[str, float] = {}
        self.ran: Counter[int] = Counter()
        self.waiting: dict[int, tuple[Request, str, float]] = {}  # by place: request, id, due time
        self.idle: list[int] = []  # connections with nothing open, the last used last
        self.notices = 0
        self.shed = False
        if self.reducer.storms:
            self._spy(self.reducer.storms.calendar)
        self.take(Event.LINK_OPENED)
        self.take(Event.INTERPRETER_READY, False, 100.0)

    def _spy(self, calendar: Any) -> None:
        reserve_slot = calendar.reserve_slot

        def spied(now: float, least: float, draw: float) -> float:
            booked, rate = calendar.booked, calendar.rate
            seconds = reserve_slot(now, least, draw)
            if calendar.booked > booked and seconds > least:
                self.slots.append((now + seconds, rate))
            return seconds

        calendar.reserve_slot = spied

    def take(self, event: Event, *arguments: Any) -> None:
        """Feed an event to the reducer and carry out its effects."""
        for action, *fields in self.reducer.reduce(self.now, event, *arguments):
            self._do(action, fields)

    def _do(self, action: Action, fields: list[Any]) -> None:
        if action is Action.START_RUN:
            ref = fields[0]
            number = self.number_of[ref]
            self.ran[number] += 1
            self.running[ref] = self.scenario.work * self.draw.uniform(0.7, 1.3)
            if not self.frozen:
                self.at(self.now + self.running[ref], self._ended, self.incarnation, ref)
        elif action is Action.REQUEST_GAUGES:
            self.at(self.now, self._gauges, self.incarnation, fields[0])
        elif action is Action.SET_TIMER:
            self.at(self.now + fields[0], self._alarm, self.incarnation, fields[1])
        elif action is Action.SET_EARLY_REJECTION:
            self.shed = fields[0]
        elif action in (Action.SEND_RESULT, Action.SEND_REJECTION, Action.SEND_FAILURE, Action.SEND_INVALID):
            self._answered(action, *fields)

    def _ended(self, incarnation: int, ref: str) -> None:
        if incarnation == self.incarnation and self.alive and not self.frozen and self.running.pop(ref, None) is not None:
            self.notices += 1
            self.take(Event.RUN_ENDED, self.notices, ref, Ending.OK, b"done " + ref.encode())

    def _gauges(self, incarnation: int, mark: int) -> None:
        if incarnation == self.incarnation and self.alive and not self.frozen:
            self.take(Event.GAUGES_RECEIVED, mark, [])

    def _alarm(self, incarnation: int, token: int) -> None:
        if incarnation == self.incarnation and self.alive:
            self.take(Event.TIMER_EXPIRED, token)

    def _fall(self) -> None:
        if self.scenario.kind == "freeze":
            self.frozen = True
            return
        self.up = False
        if self.scenario.kind != "kill":
            return
        self.alive = False
        lost, self.waiting = self.waiting, {}
        for request, _, _ in lost.values():
            self._again(request, PAUSE)

    def _rise(self) -> None:
        if self.scenario.kind == "kill":
            self._start()
        self.up = True
        if self.frozen:
            self.frozen = False
            for ref, left in self.running.items():
                self.at(self.now + left, self._ended, self.incarnation, ref)

    # The callers.

    def _born(self) -> None:
        if self.now >= self.scenario.load_until:
            return
        self.number += 1
        request = Request(self.number, self.now, self.draw, self.scenario)
        self.effect[request.number] = request.kind[1] is not Effect.RETRYABLE
        self.first[int(self.now)] += 1
        self._try(request)
        self.at(self.now + self.draw.expovariate(self.scenario.rate), self._born)

    def _try(self, request: Request) -> None:
        if request.over:
            return
        if self.now - request.born > self.scenario.patience:
            request.over = True
            return
        request.tries += 1
        if not self.up:
            self._again(request, PAUSE)
            return
        self.counts["tries"] += 1
        again, ref = request.tries > 1 and request.marks, f"{self.draw.getrandbits(64):016x}"
        wait = min(4.5, request.born + self.scenario.patience - self.now)
        if wait <= 0.05:
            request.over = True
            return
        back_at = 0.0 if self.draw.random() < self.scenario.reconnects else request.back_at
        arguments, figures = (request.kind[0], "", request.caller), request.figures
        self.number_of[ref] = request.number
        key = f"k{request.number}" if request.kind[1] is Effect.KEYED else ""
        if self.shed:
            soon = self.now < back_at - 0.02
            seconds = self.reducer.reject_early(
                self.now,
                ref,
                *arguments,
                again,
                key,
                request.body,
                connection_id=self._place(request),
                is_punctual=back_at > 0.0 and not soon,
                is_too_early=soon,
                figures=lambda: figures,
            )
            if seconds is not None:
                self.counts["turned back"] += 1
                if request.kind[1] is not Effect.RETRYABLE and self.ran[request.number]:
                    raise InvariantBrokenError(f"at {self.now:.3f} an op that ran was nacked: {request.number}")
                self._rejected(request, seconds)
                return
        place = self._place(request)
        self.idle.pop()
        self.waiting[place] = (request, ref, self.now + wait)
        rank, cost, kb = figures
        self.take(
            Event.REQUEST_RECEIVED,
            place,
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

    def _place(self, request: Request) -> int:
        """Return an idle connection for the next attempt, as clients keep them, or a new one."""
        if not self.idle:
            self.places += 1
            self.idle.append(self.places)
        return self.idle[-1]

    def _answered(self, action: Action, place: int, *arguments: Any) -> None:
        if place not in self.waiting:
            raise InvariantBrokenError(f"at {self.now:.3f} a second answer, or one to nobody")
        request, ref, due = self.waiting.pop(place)
        if self.now > due + ANSWER_SLACK:
            raise InvariantBrokenError(f"at {self.now:.3f} an answer came {self.now - due:.2f} s late")
        self.counts[action.value] += 1
        self.idle.append(place)
        if action is Action.SEND_RESULT:
            if self.draw.random() < self.scenario.lost_acks:
                self.counts["acks lost"] += 1
                self.idle.pop()
                self._again(request, PAUSE)
                return
            if not request.over and self.now - request.born <= 1.8:
                self.in_time[int(request.born)] += 1
            request.over = True
        elif action is Action.SEND_REJECTION:
            if request.kind[1] is not Effect.RETRYABLE and ref in self.running:
                raise InvariantBrokenError(f"at {self.now:.3f} an op that runs was nacked")
            self._rejected(request, arguments[0])
        elif request.kind[1] is Effect.NON_RETRYABLE:
            request.over = True
            self.counts["failed unrun"] += not self.ran[request.number]
        else:
            self._again(request, PAUSE)

    def _rejected(self, request: Request, seconds: float) -> None:
        request.back_at = self.now + seconds
        self._again(request, max(PAUSE, seconds) if request.heeds else PAUSE)

    def _again(self, request: Request, pause: float) -> None:
        self.at(self.now + pause, self._try, request)

    # What must hold.

    def _check(self) -> None:
        for place, (_, _, due) in self.waiting.items():
            if self.up and self.now > due + ANSWER_SLACK:
                raise InvariantBrokenError(f"at {self.now:.3f} place {place} waits past its time")
            break  # the oldest place that waits tells of the others: waits differ by the patience at most
        retry_admission = self.reducer.storms
        if retry_admission is None:
            return
        for bucket in (retry_admission.budget.punctual, retry_admission.budget.others):
            if not 0.0 <= bucket.tokens <= bucket.max_tokens + 1e-9:
                raise InvariantBrokenError(f"at {self.now:.3f} a budget of {bucket.tokens}")
        bounds = retry_admission.bounds
        has_too_many_callers = len(retry_admission.callers) > bounds.callers_kept
        if has_too_many_callers or len(retry_admission.duplicates.outstanding) > 2 * bounds.repeats_kept:
            raise InvariantBrokenError(f"at {self.now:.3f} the books outgrew their bound")
        stage = retry_admission.detector.stage.value
        if not self.stages or self.stages[-1][1] != stage:
            self.stages.append((self.now, stage))

    def ran_twice(self) -> list[int]:
        """Return the non-retryable requests that ran more than once in the instance's present incarnation."""
        return [number for number, count in self.ran.items() if count > 1 and self.effect[number]]

    def share_in_time(self, since: float, until: float) -> float:
        """Return the share of first attempts in those seconds that was served within the target."""
        seconds = range(int(since), int(until))
        return sum(self.in_time[second] for second in seconds) / max(1, sum(self.first[second] for second in seconds))
