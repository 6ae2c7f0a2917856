"""Callers, connections and an interpreter in virtual time round a real `Reducer`: one seed, one history.

No socket and no clock: an hour passes in seconds and the same seed gives the same history to the last answer. What must
hold is checked at each step, whatever the player is told to let happen; `InvariantBrokenError` names the first
thing that did not.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from mulleinhatch.admission.interface import Deployment, Effect, Ending
from mulleinhatch.instance.request_state_machine.events import Action, Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.retry_storms.bounds import StormBounds

USUAL = StormBounds()
PAUSE = 0.05  # seconds before the next try of a caller that heeds nothing
ANSWER_SLACK = 0.15  # seconds past its time that an answer may take
KINDS = (("read", Effect.RETRYABLE, 0.8), ("signoff", Effect.NON_RETRYABLE, 0.1), ("stamp", Effect.KEYED, 0.1))


class InvariantBrokenError(AssertionError):
    """A rule or a bound did not hold; the text says when."""


class Weather(NamedTuple):
    """What the player lets happen; times are seconds, rates ops a second."""

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
    alike: float = 0.0  # share of the ops whose bodies are all the same
    steady: float = 1.0  # share of the clients whose rank and cost stay over the tries of an op
    lost_acks: float = 0.0  # chance that a connection is reset as an ack arrives: its caller may try again


class Op:
    """A client's op through all its tries."""

    def __init__(self, number: int, born: float, draw: random.Random, weather: Weather) -> None:
        self.number, self.born = number, born
        self.kind = draw.choices(KINDS, [kind[2] for kind in KINDS])[0]
        self.caller = draw.randrange(weather.callers)
        self.heeds, self.marks = draw.random() < weather.heeding, draw.random() < weather.marked
        self.tries, self.over, self.back_at = 0, False, 0.0
        self.body = b"any op" if draw.random() < weather.alike else b"op %d of the virtual callers" % number
        self.steady, self.draw, self.weather = draw.random() < weather.steady, draw, weather
        self.drawn = draw.random(), weather.work * draw.uniform(0.8, 1.2)

    @property
    def figures(self) -> tuple[float, float, float]:
        """Rank, cost in seconds, memory in KB, as a try of it tells them."""
        rank, cost = self.drawn if self.steady else (self.draw.random(), self.weather.work * self.draw.uniform(0.8, 1.2))
        return rank, cost, 1.0


class World:
    def __init__(
        self, weather: Weather, seed: int, storms: StormBounds | None = USUAL, record: Callable[..., Any] | None = None
    ) -> None:
        self.record = record
        self.weather, self.draw, self.storms = weather, random.Random(seed), storms
        self.now, self.turn = 0.0, 0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.first: Counter[int] = Counter()
        self.in_time: Counter[int] = Counter()
        self.counts: Counter[str] = Counter()
        self.stages: list[tuple[float, str]] = []
        self.slots: list[tuple[float, float]] = []  # when each slot lies, and the rate that it was given at
        self.life, self.up, self.alive, self.frozen = 0, False, False, False
        self.number = self.places = 0
        self.effect: dict[int, bool] = {}  # by number of the op: whether it may not run again
        self.number_of: dict[str, int] = {}  # by id of the try: the number of its op
        self._start()
        self.at(0.0, self._born)
        self.at(weather.outage[0], self._fall)
        self.at(weather.outage[1], self._rise)

    def at(self, when: float, act: Callable[..., None], *told: Any) -> None:
        self.turn += 1
        heapq.heappush(self.events, (max(when, self.now), self.turn, act, told))

    def play(self) -> World:
        while self.events and self.events[0][0] <= self.weather.until:
            self.now, _, act, told = heapq.heappop(self.events)
            act(*told)
            self._check()
        return self

    # The instance and its interpreter.

    def _start(self) -> None:
        weather = self.weather
        deployment: Deployment = {
            "op_types": [
                {"effect": kind[1], "importance": 1.0, "target_latency": 1.8, "op_timeout": 4.5, "repeat_window": 60.0}
                for kind in KINDS
            ],
            "cores": weather.cores,
            "crowd_per_core": 8.0,
            "callers": weather.callers,
            "hold_off_allowed": True,
            "max_hold_off": 10.0,
        }
        self.life, self.up, self.alive = self.life + 1, True, True
        self.deployment = deployment
        self.reducer = Reducer(deployment, [kind[0] for kind in KINDS], [], self.life, self.storms, self.record)
        self.running: dict[str, float] = {}
        self.ran: Counter[int] = Counter()
        self.waiting: dict[int, tuple[Op, str, float]] = {}  # by place: op, id, due time
        self.idle: list[int] = []  # connections with nothing open, the last used last
        self.notices = 0
        self.shed = False
        if self.reducer.storms:
            self._spy(self.reducer.storms.calendar)
        self.take(Event.LINK_OPENED)
        self.take(Event.INTERPRETER_READY, False, 100.0)

    def _spy(self, calendar: Any) -> None:
        book = calendar.book

        def spied(now: float, least: float, draw: float) -> float:
            booked, rate = calendar.booked, calendar.rate
            seconds = book(now, least, draw)
            if calendar.booked > booked and seconds > least:
                self.slots.append((now + seconds, rate))
            return seconds

        calendar.book = spied

    def take(self, event: Event, *told: Any) -> None:
        for action, *fields in self.reducer.reduce(self.now, event, *told):
            self._do(action, fields)

    def _do(self, action: Action, fields: list[Any]) -> None:
        if action is Action.START_RUN:
            ref = fields[0]
            number = self.number_of[ref]
            self.ran[number] += 1
            self.running[ref] = self.weather.work * self.draw.uniform(0.7, 1.3)
            if not self.frozen:
                self.at(self.now + self.running[ref], self._ended, self.life, ref)
        elif action is Action.REQUEST_GAUGES:
            self.at(self.now, self._gauges, self.life, fields[0])
        elif action is Action.SET_TIMER:
            self.at(self.now + fields[0], self._alarm, self.life, fields[1])
        elif action is Action.SET_EARLY_REJECTION:
            self.shed = fields[0]
        elif action in (Action.SEND_RESULT, Action.SEND_REJECTION, Action.SEND_FAILURE, Action.SEND_INVALID):
            self._answered(action, *fields)

    def _ended(self, life: int, ref: str) -> None:
        if life == self.life and self.alive and not self.frozen and self.running.pop(ref, None) is not None:
            self.notices += 1
            self.take(Event.RUN_ENDED, self.notices, ref, Ending.OK, b"done " + ref.encode())

    def _gauges(self, life: int, mark: int) -> None:
        if life == self.life and self.alive and not self.frozen:
            self.take(Event.GAUGES_RECEIVED, mark, [])

    def _alarm(self, life: int, token: int) -> None:
        if life == self.life and self.alive:
            self.take(Event.TIMER_EXPIRED, token)

    def _fall(self) -> None:
        if self.weather.kind == "freeze":
            self.frozen = True
            return
        self.up = False
        if self.weather.kind != "kill":
            return
        self.alive = False
        lost, self.waiting = self.waiting, {}
        for op, _, _ in lost.values():
            self._again(op, PAUSE)

    def _rise(self) -> None:
        if self.weather.kind == "kill":
            self._start()
        self.up = True
        if self.frozen:
            self.frozen = False
            for ref, left in self.running.items():
                self.at(self.now + left, self._ended, self.life, ref)

    # The callers.

    def _born(self) -> None:
        if self.now >= self.weather.load_until:
            return
        self.number += 1
        op = Op(self.number, self.now, self.draw, self.weather)
        self.effect[op.number] = op.kind[1] is not Effect.RETRYABLE
        self.first[int(self.now)] += 1
        self._try(op)
        self.at(self.now + self.draw.expovariate(self.weather.rate), self._born)

    def _try(self, op: Op) -> None:
        if op.over:
            return
        if self.now - op.born > self.weather.patience:
            op.over = True
            return
        op.tries += 1
        if not self.up:
            self._again(op, PAUSE)
            return
        self.counts["tries"] += 1
        again, ref = op.tries > 1 and op.marks, f"{self.draw.getrandbits(64):016x}"
        wait = min(4.5, op.born + self.weather.patience - self.now)
        if wait <= 0.05:
            op.over = True
            return
        back_at = 0.0 if self.draw.random() < self.weather.reconnects else op.back_at
        told, figures = (op.kind[0], "", op.caller), op.figures
        self.number_of[ref] = op.number
        key = f"k{op.number}" if op.kind[1] is Effect.KEYED else ""
        if self.shed:
            soon = self.now < back_at - 0.02
            seconds = self.reducer.reject_early(
                self.now,
                ref,
                *told,
                again,
                key,
                op.body,
                connection_id=self._place(op),
                is_punctual=back_at > 0.0 and not soon,
                is_too_early=soon,
                figures=lambda: figures,
            )
            if seconds is not None:
                self.counts["turned back"] += 1
                if op.kind[1] is not Effect.RETRYABLE and self.ran[op.number]:
                    raise InvariantBrokenError(f"at {self.now:.3f} an op that ran was nacked: {op.number}")
                self._nacked(op, seconds)
                return
        place = self._place(op)
        self.idle.pop()
        self.waiting[place] = (op, ref, self.now + wait)
        rank, cost, kb = figures
        self.take(Event.REQUEST_RECEIVED, place, ref, *told[:2], 0.0, wait, op.caller, cost, kb, again, key, op.body, rank)

    def _place(self, op: Op) -> int:
        """The connection for its next try: one that is free, as a stub keeps them, or a new one."""
        if not self.idle:
            self.places += 1
            self.idle.append(self.places)
        return self.idle[-1]

    def _answered(self, action: Action, place: int, *told: Any) -> None:
        if place not in self.waiting:
            raise InvariantBrokenError(f"at {self.now:.3f} a second answer, or one to nobody")
        op, ref, due = self.waiting.pop(place)
        if self.now > due + ANSWER_SLACK:
            raise InvariantBrokenError(f"at {self.now:.3f} an answer came {self.now - due:.2f} s late")
        self.counts[action.value] += 1
        self.idle.append(place)
        if action is Action.SEND_RESULT:
            if self.draw.random() < self.weather.lost_acks:
                self.counts["acks lost"] += 1
                self.idle.pop()
                self._again(op, PAUSE)
                return
            if not op.over and self.now - op.born <= 1.8:
                self.in_time[int(op.born)] += 1
            op.over = True
        elif action is Action.SEND_REJECTION:
            if op.kind[1] is not Effect.RETRYABLE and ref in self.running:
                raise InvariantBrokenError(f"at {self.now:.3f} an op that runs was nacked")
            self._nacked(op, told[0])
        elif op.kind[1] is Effect.NON_RETRYABLE:
            op.over = True
            self.counts["failed unrun"] += not self.ran[op.number]
        else:
            self._again(op, PAUSE)

    def _nacked(self, op: Op, seconds: float) -> None:
        op.back_at = self.now + seconds
        self._again(op, max(PAUSE, seconds) if op.heeds else PAUSE)

    def _again(self, op: Op, pause: float) -> None:
        self.at(self.now + pause, self._try, op)

    # What must hold.

    def _check(self) -> None:
        for place, (_, _, due) in self.waiting.items():
            if self.up and self.now > due + ANSWER_SLACK:
                raise InvariantBrokenError(f"at {self.now:.3f} place {place} waits past its time")
            break  # the oldest place that waits tells of the others: waits differ by the patience at most
        desk = self.reducer.storms
        if desk is None:
            return
        for bucket in (desk.budget.punctual, desk.budget.others):
            if not 0.0 <= bucket.tokens <= bucket.most + 1e-9:
                raise InvariantBrokenError(f"at {self.now:.3f} a budget of {bucket.tokens}")
        if len(desk.callers) > desk.bounds.callers_kept or len(desk.tries.outstanding) > 2 * desk.bounds.repeats_kept:
            raise InvariantBrokenError(f"at {self.now:.3f} the books outgrew their bound")
        stage = desk.watch.stage.value
        if not self.stages or self.stages[-1][1] != stage:
            self.stages.append((self.now, stage))

    def ran_twice(self) -> list[int]:
        """Ops with an effect that ran more than once in the present life of the instance."""
        return [number for number, count in self.ran.items() if count > 1 and self.effect[number]]

    def share_in_time(self, since: float, until: float) -> float:
        """Of the first tries of those seconds, the share acked within the target."""
        seconds = range(int(since), int(until))
        return sum(self.in_time[second] for second in seconds) / max(1, sum(self.first[second] for second in seconds))
