"""Which job takes its next step when: by priority that improves with waiting, within budgets, not while the service is pressed.

A job is a name; its work is the runner's matter. The runner asks `next_step`, carries that out, and tells `record_step` what it
took. A step is paid for afterwards, by what it really cost: budgets go into debt, and the debt is waited for.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum
from typing import NamedTuple

from mulleinhatch.instance.jobs.timer_wheel import TimerWheel

AGEING_S = 10.0  # seconds of waiting that are worth one priority: none waits for ever
OVERDUE_BONUS = 10.0  # priorities that a passed deadline is worth
FIRST_RETRY_S, MAX_RETRY_S = 1.0, 300.0  # seconds after a failure, doubled for each in a row
PRESSED_RATE_FRACTION = 0.1  # of the budgets, for jobs past their deadline while the service is pressed
MAX_DEBT_S = 10.0  # seconds of its budget that a step may cost: a wrong figure must not stop all work


class JobState(Enum):
    READY = "ready"
    RUNNING = "running"
    WAITING = "waiting"  # for its time: not yet due, or to be tried again


class StepOutcome(Enum):
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
        self.state = JobState.READY
        self.failures = 0
        self.is_cancelled = False


class DebtBudget:
    """A budget that is paid afterwards: what was used is worked off at the rate."""

    def __init__(self, rate: float) -> None:
        self.rate, self.debt, self.updated_at = rate, 0.0, -math.inf

    def available_at(self, now: float, rate_fraction: float) -> float:
        """When the next step may begin; `rate_fraction` of the rate is in force."""
        self._pay_off(now, rate_fraction)
        return now + self.debt / (self.rate * rate_fraction) if self.debt > 0.0 else now

    def _pay_off(self, now: float, rate_fraction: float) -> None:
        if self.updated_at > -math.inf:
            self.debt = max(0.0, self.debt - max(0.0, now - self.updated_at) * self.rate * rate_fraction)
        self.updated_at = max(self.updated_at, now)

    def charge(self, now: float, amount: float, rate_fraction: float) -> None:
        self._pay_off(now, rate_fraction)
        self.debt = min(self.debt + max(0.0, amount), MAX_DEBT_S * self.rate)


class QueueFullError(Exception):
    """More jobs than the bound: the submitter has to come again."""


class Scheduler:
    """
    >>> jobs = Scheduler(Budgets(cpu_share=0.1), now=0.0)
    >>> jobs.submit(0.0, "pack", priority=2); jobs.submit(0.0, "expire", priority=1)
    >>> jobs.next_step(0.0), jobs.next_step(0.0)
    ('expire', None)
    >>> jobs.record_step(0.0, "expire", StepOutcome.DONE, cpu=0.02); jobs.next_step(0.1), round(jobs.wake_at(0.1), 3)
    (None, 0.2)
    >>> jobs.next_step(0.2), jobs.set_pressed(0.2, True)
    ('pack', None)
    >>> jobs.record_step(0.2, "pack", StepOutcome.MORE, cpu=0.0); jobs.next_step(5.0) is None
    True
    """

    def __init__(self, budgets: Budgets, now: float) -> None:
        self.budgets = budgets
        self.jobs: dict[str, Job] = {}
        self.wheel = TimerWheel(now)
        self.cpu, self.bytes = DebtBudget(budgets.cpu_share), DebtBudget(budgets.bytes_a_second)
        self.is_pressed = False
        self.running = 0
        self.counts: Counter[str] = Counter()

    def submit(
        self, now: float, name: str, priority: float = 5.0, after: float = 0.0, within: float = math.inf, every: float = 0.0
    ) -> None:
        """A job from now on, or `after` so many seconds; past `within` it steps even while the service is pressed. With
        `every` it comes again so long after each end. One that is known keeps its place; only what was asked for changes."""
        if name in self.jobs:
            job = self.jobs[name]
            job.priority, job.every, job.is_cancelled = priority, every, False
            job.deadline = min(job.deadline, now + within)
            return
        if len(self.jobs) >= self.budgets.most_jobs:
            self.counts["jobs_refused"] += 1
            raise QueueFullError(f"{name}: {len(self.jobs)} jobs are waiting")
        job = self.jobs[name] = Job(name, priority, now, now + within, every)
        if after > 0.0:
            self._schedule(job, now + after)

    def cancel(self, name: str) -> bool:
        """Whether there was such a job. One whose step is under way ends with it."""
        job = self.jobs.get(name)
        if job is None:
            return False
        job.is_cancelled = True
        if job.state is not JobState.RUNNING:
            self._remove(job)
        return True

    def set_pressed(self, now: float, is_pressed: bool) -> None:
        """Whether the service needs the machine for itself: a storm, a loop that runs late."""
        for debt in (self.cpu, self.bytes):
            debt.available_at(now, self._rate_fraction())
        self.is_pressed = is_pressed

    def next_step(self, now: float) -> str | None:
        """The job whose step is to be carried out now, from then on running; None while there is none, or no budget."""
        self._wake_due_jobs(now)
        if self.running >= self.budgets.at_once or self._budgets_available_at(now) > now:
            return None
        ready = [
            job for job in self.jobs.values() if job.state is JobState.READY and (not self.is_pressed or job.deadline <= now)
        ]
        if not ready:
            return None
        job = min(ready, key=lambda job: self._effective_priority(now, job))
        job.state = JobState.RUNNING
        self.running += 1
        return job.name

    @staticmethod
    def _effective_priority(now: float, job: Job) -> float:
        """Past its deadline far ahead, yet not for ever: a job without an end must not keep out the others."""
        return job.priority - (now - job.since) / AGEING_S - (OVERDUE_BONUS if job.deadline <= now else 0.0)

    def record_step(self, now: float, name: str, outcome: StepOutcome, cpu: float = 0.0, used_bytes: float = 0.0) -> None:
        """What a step came to, and what it cost."""
        job = self.jobs[name]
        if job.state is not JobState.RUNNING:
            raise ValueError(f"{name}: no step of it is under way")
        self.running -= 1
        self.cpu.charge(now, cpu, self._rate_fraction())
        self.bytes.charge(now, used_bytes, self._rate_fraction())
        self.counts["job_steps"] += 1
        job.state, job.since = JobState.READY, now
        if job.is_cancelled:
            self._remove(job)
        elif outcome is StepOutcome.FAILED:
            self.counts["job_failures"] += 1
            self._schedule(job, now + min(MAX_RETRY_S, FIRST_RETRY_S * 2.0**job.failures))
            job.failures = min(job.failures + 1, 30)
        elif outcome is StepOutcome.DONE:
            self.counts["jobs_done"] += 1
            job.failures = 0
            if job.every > 0.0:
                job.deadline = math.inf
                self._schedule(job, now + job.every)
            else:
                self._remove(job)
        else:
            job.failures = 0

    def wake_at(self, now: float) -> float:
        """When to ask again at the latest, if nothing happens before; infinite without any job."""
        self._wake_due_jobs(now)
        if not self.jobs:
            return math.inf
        ready = [job for job in self.jobs.values() if job.state is JobState.READY]
        moments = [now + 1.0] if len(self.wheel) else []  # a waiting one: the wheel is looked at once a second
        if any(not self.is_pressed or job.deadline <= now for job in ready) and self.running < self.budgets.at_once:
            moments.append(self._budgets_available_at(now))
        elif ready:
            moments.append(max(now, min(job.deadline for job in ready)))
        return min(moments, default=math.inf)

    def _budgets_available_at(self, now: float) -> float:
        return max(self.cpu.available_at(now, self._rate_fraction()), self.bytes.available_at(now, self._rate_fraction()))

    def _rate_fraction(self) -> float:
        return PRESSED_RATE_FRACTION if self.is_pressed else 1.0

    def _wake_due_jobs(self, now: float) -> None:
        for name in self.wheel.pop_due(now):
            job = self.jobs[name]
            job.state, job.since = JobState.READY, now

    def _schedule(self, job: Job, until: float) -> None:
        job.state = JobState.WAITING
        self.wheel.set(job.name, until)

    def _remove(self, job: Job) -> None:
        self.wheel.cancel(job.name)
        del self.jobs[job.name]
