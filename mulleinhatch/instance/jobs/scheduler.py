"""Which job takes its next step when: by priority that improves with waiting, within budgets, not while the service is pressed.

A job is a name; its work is the runner's matter. The runner asks `next_step`, carries that out, and tells `stepped` what it
took. A step is paid for afterwards, by what it really cost: budgets go into debt, and the debt is waited for.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum
from typing import NamedTuple

from mulleinhatch.instance.jobs.wheel import Wheel

AGEING = 10.0  # seconds of waiting that are worth one priority: none waits for ever
OVERDUE = 10.0  # priorities that a passed deadline is worth
FIRST_RETRY, LONGEST_RETRY = 1.0, 300.0  # seconds after a failure, doubled for each in a row
PRESSED_PART = 0.1  # of the budgets, for jobs past their deadline while the service is pressed
MOST_DEBT = 10.0  # seconds of its budget that a step may cost: a wrong figure must not stop all work


class State(Enum):
    READY = "ready"
    RUNNING = "running"
    WAITING = "waiting"  # for its time: not yet due, or to be tried again


class Outcome(Enum):
    MORE = "more"
    DONE = "done"
    FAILED = "failed"


class Budgets(NamedTuple):
    cpu_share: float = 0.05  # of one core
    bytes_a_second: float = 20e6
    at_once: int = 1  # steps under way
    most_jobs: int = 1000


class Job:
    def __init__(self, name: str, priority: float, since: float, deadline: float, every: float) -> None:
        self.name, self.priority, self.since, self.deadline, self.every = name, priority, since, deadline, every
        self.state = State.READY
        self.failures = 0
        self.cancelled = False


class Debt:
    """A budget that is paid afterwards: what was used is worked off at the rate."""

    def __init__(self, rate: float) -> None:
        self.rate, self.owed, self.at = rate, 0.0, -math.inf

    def free_at(self, now: float, part: float) -> float:
        """When the next step may begin; `part` of the rate is in force."""
        self._work_off(now, part)
        return now + self.owed / (self.rate * part) if self.owed > 0.0 else now

    def _work_off(self, now: float, part: float) -> None:
        if self.at > -math.inf:
            self.owed = max(0.0, self.owed - max(0.0, now - self.at) * self.rate * part)
        self.at = max(self.at, now)

    def use(self, now: float, amount: float, part: float) -> None:
        self._work_off(now, part)
        self.owed = min(self.owed + max(0.0, amount), MOST_DEBT * self.rate)


class QueueFullError(Exception):
    """More jobs than the bound: the submitter has to come again."""


class Scheduler:
    """
    >>> jobs = Scheduler(Budgets(cpu_share=0.1), now=0.0)
    >>> jobs.submit(0.0, "pack", priority=2); jobs.submit(0.0, "expire", priority=1)
    >>> jobs.next_step(0.0), jobs.next_step(0.0)
    ('expire', None)
    >>> jobs.stepped(0.0, "expire", Outcome.DONE, cpu=0.02); jobs.next_step(0.1), round(jobs.wake_at(0.1), 3)
    (None, 0.2)
    >>> jobs.next_step(0.2), jobs.press(0.2, True)
    ('pack', None)
    >>> jobs.stepped(0.2, "pack", Outcome.MORE, cpu=0.0); jobs.next_step(5.0) is None
    True
    """

    def __init__(self, budgets: Budgets, now: float) -> None:
        self.budgets = budgets
        self.jobs: dict[str, Job] = {}
        self.wheel = Wheel(now)
        self.cpu, self.bytes = Debt(budgets.cpu_share), Debt(budgets.bytes_a_second)
        self.pressed = False
        self.running = 0
        self.counts: Counter[str] = Counter()

    def submit(
        self, now: float, name: str, priority: float = 5.0, after: float = 0.0, within: float = math.inf, every: float = 0.0
    ) -> None:
        """A job from now on, or `after` so many seconds; past `within` it steps even while the service is pressed. With
        `every` it comes again so long after each end. One that is known keeps its place; only what was asked for changes."""
        if name in self.jobs:
            job = self.jobs[name]
            job.priority, job.every, job.cancelled = priority, every, False
            job.deadline = min(job.deadline, now + within)
            return
        if len(self.jobs) >= self.budgets.most_jobs:
            self.counts["jobs_refused"] += 1
            raise QueueFullError(f"{name}: {len(self.jobs)} jobs are waiting")
        job = self.jobs[name] = Job(name, priority, now, now + within, every)
        if after > 0.0:
            self._wait(job, now + after)

    def cancel(self, name: str) -> bool:
        """Whether there was such a job. One whose step is under way ends with it."""
        job = self.jobs.get(name)
        if job is None:
            return False
        job.cancelled = True
        if job.state is not State.RUNNING:
            self._drop(job)
        return True

    def press(self, now: float, on: bool) -> None:
        """Whether the service needs the machine for itself: a storm, a loop that runs late."""
        for debt in (self.cpu, self.bytes):
            debt.free_at(now, self._part())
        self.pressed = on

    def next_step(self, now: float) -> str | None:
        """The job whose step is to be carried out now, from then on running; None while there is none, or no budget."""
        self._pass_time(now)
        if self.running >= self.budgets.at_once or self._free_at(now) > now:
            return None
        ready = [job for job in self.jobs.values() if job.state is State.READY and (not self.pressed or job.deadline <= now)]
        if not ready:
            return None
        job = min(ready, key=lambda job: self._place(now, job))
        job.state = State.RUNNING
        self.running += 1
        return job.name

    @staticmethod
    def _place(now: float, job: Job) -> float:
        """Past its deadline far ahead, yet not for ever: a job without an end must not keep out the others."""
        return job.priority - (now - job.since) / AGEING - (OVERDUE if job.deadline <= now else 0.0)

    def stepped(self, now: float, name: str, outcome: Outcome, cpu: float = 0.0, used_bytes: float = 0.0) -> None:
        """What a step came to, and what it cost."""
        job = self.jobs[name]
        if job.state is not State.RUNNING:
            raise ValueError(f"{name}: no step of it is under way")
        self.running -= 1
        self.cpu.use(now, cpu, self._part())
        self.bytes.use(now, used_bytes, self._part())
        self.counts["job_steps"] += 1
        job.state, job.since = State.READY, now
        if job.cancelled:
            self._drop(job)
        elif outcome is Outcome.FAILED:
            self.counts["job_failures"] += 1
            self._wait(job, now + min(LONGEST_RETRY, FIRST_RETRY * 2.0**job.failures))
            job.failures = min(job.failures + 1, 30)
        elif outcome is Outcome.DONE:
            self.counts["jobs_done"] += 1
            job.failures = 0
            if job.every > 0.0:
                job.deadline = math.inf
                self._wait(job, now + job.every)
            else:
                self._drop(job)
        else:
            job.failures = 0

    def wake_at(self, now: float) -> float:
        """When to ask again at the latest, if nothing happens before; infinite without any job."""
        self._pass_time(now)
        if not self.jobs:
            return math.inf
        ready = [job for job in self.jobs.values() if job.state is State.READY]
        moments = [now + 1.0] if len(self.wheel) else []  # a waiting one: the wheel is looked at once a second
        if any(not self.pressed or job.deadline <= now for job in ready) and self.running < self.budgets.at_once:
            moments.append(self._free_at(now))
        elif ready:
            moments.append(max(now, min(job.deadline for job in ready)))
        return min(moments, default=math.inf)

    def _free_at(self, now: float) -> float:
        return max(self.cpu.free_at(now, self._part()), self.bytes.free_at(now, self._part()))

    def _part(self) -> float:
        return PRESSED_PART if self.pressed else 1.0

    def _pass_time(self, now: float) -> None:
        for name in self.wheel.due(now):
            job = self.jobs[name]
            job.state, job.since = State.READY, now

    def _wait(self, job: Job, until: float) -> None:
        job.state = State.WAITING
        self.wheel.set(job.name, until)

    def _drop(self, job: Job) -> None:
        self.wheel.cancel(job.name)
        del self.jobs[job.name]
