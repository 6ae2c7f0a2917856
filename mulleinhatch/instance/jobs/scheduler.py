"""Chooses the job that takes the next step: by priority, which improves with waiting, and within budgets.

The scheduler knows only the name of a job; the runner knows its work. The runner calls `next_step`, executes the step, and
reports its cost with `record_step`. A step is charged its actual cost after it ran: a budget goes into debt, and the next step
waits until the debt is paid off.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum
from typing import NamedTuple

from mulleinhatch.instance.jobs.timer_wheel import TimerWheel

AGEING_S = 10.0  # seconds of waiting that improve the priority by one, so that no job starves
OVERDUE_BONUS = 10.0  # improvement of the priority by a passed deadline
FIRST_RETRY_S, MAX_RETRY_S = 1.0, 300.0  # seconds until a failed job is retried, doubled for each consecutive failure
UNDER_LOAD_RATE_FRACTION = 0.1  # fraction of the budgets for overdue jobs while the service is under load
MAX_DEBT_S = 10.0  # maximum debt in seconds of the rate, so that a wrong cost does not stop all jobs


class JobState(Enum):
    """State of a job."""

    READY = "ready"
    RUNNING = "running"
    WAITING = "waiting"  # not due yet, or to be retried


class StepOutcome(Enum):
    """Outcome of a step: the job has more steps, is done, or failed and is retried."""

    MORE = "more"
    DONE = "done"
    FAILED = "failed"


class Budgets(NamedTuple):
    """Limits of all jobs together.

    Attributes:
        cpu_share: Share of one CPU core.
        bytes_per_second: Bytes read and written per second.
        max_running: Maximum number of steps in progress.
        max_jobs: Maximum number of jobs.
    """

    cpu_share: float = 0.05
    bytes_per_second: float = 20e6
    max_running: int = 1
    max_jobs: int = 1000


class Job:
    """A submitted job.

    Args:
        name: Name of the job.
        priority: Lower runs first.
        since: Time since which it waits, in monotonic seconds.
        deadline: Time from which it runs even while the service is under load.
        every: Seconds from its end to its next run; 0 for a single run.
    """

    def __init__(self, name: str, priority: float, since: float, deadline: float, every: float) -> None:
        self.name, self.priority, self.since, self.deadline, self.every = name, priority, since, deadline, every
        self.state = JobState.READY
        self.failures = 0
        self.is_cancelled = False


class DebtBudget:
    """A budget charged after use; the debt is paid off at `rate` units per second."""

    def __init__(self, rate: float) -> None:
        self.rate, self.debt, self.updated_at = rate, 0.0, -math.inf

    def available_at(self, now: float, rate_fraction: float) -> float:
        """Return when the next step may begin, with `rate_fraction` of the rate in force."""
        self._pay_off(now, rate_fraction)
        return now + self.debt / (self.rate * rate_fraction) if self.debt > 0.0 else now

    def _pay_off(self, now: float, rate_fraction: float) -> None:
        if self.updated_at > -math.inf:
            self.debt = max(0.0, self.debt - max(0.0, now - self.updated_at) * self.rate * rate_fraction)
        self.updated_at = max(self.updated_at, now)

    def charge(self, now: float, amount: float, rate_fraction: float) -> None:
        """Charge an amount that was used."""
        self._pay_off(now, rate_fraction)
        self.debt = min(self.debt + max(0.0, amount), MAX_DEBT_S * self.rate)


class QueueFullError(Exception):
    """Raised when the maximum number of jobs is reached; the submitter may retry later."""


class Scheduler:
    """Schedules the steps of jobs within budgets. It has no clock: `now` is monotonic seconds.

    Args:
        budgets: Limits of all jobs together.
        now: Current time.

    >>> jobs = Scheduler(Budgets(cpu_share=0.1), now=0.0)
    >>> jobs.submit(0.0, "pack", priority=2); jobs.submit(0.0, "expire", priority=1)
    >>> jobs.next_step(0.0), jobs.next_step(0.0)
    ('expire', None)
    >>> jobs.record_step(0.0, "expire", StepOutcome.DONE, cpu=0.02); jobs.next_step(0.1), round(jobs.wake_at(0.1), 3)
    (None, 0.2)
    >>> jobs.next_step(0.2), jobs.set_under_load(0.2, True)
    ('pack', None)
    >>> jobs.record_step(0.2, "pack", StepOutcome.MORE, cpu=0.0); jobs.next_step(5.0) is None
    True
    """

    def __init__(self, budgets: Budgets, now: float) -> None:
        self.budgets = budgets
        self.jobs: dict[str, Job] = {}
        self.wheel = TimerWheel(now)
        self.cpu, self.bytes = DebtBudget(budgets.cpu_share), DebtBudget(budgets.bytes_per_second)
        self.is_under_load = False
        self.running = 0
        self.counts: Counter[str] = Counter()

    def submit(
        self, now: float, name: str, priority: float = 5.0, after: float = 0.0, within: float = math.inf, every: float = 0.0
    ) -> None:
        """Submit a job; for a name that is already submitted only the parameters change.

        Args:
            now: Current time.
            name: Name of the job.
            priority: Lower runs first.
            after: Seconds until it may run.
            within: Seconds after which it runs even while the service is under load.
            every: Seconds from its end to its next run; 0 for a single run.

        Raises:
            QueueFullError: The maximum number of jobs is reached.
        """
        if name in self.jobs:
            job = self.jobs[name]
            job.priority, job.every, job.is_cancelled = priority, every, False
            job.deadline = min(job.deadline, now + within)
            return
        if len(self.jobs) >= self.budgets.max_jobs:
            self.counts["jobs_refused"] += 1
            raise QueueFullError(f"{name}: {len(self.jobs)} jobs are waiting")
        job = self.jobs[name] = Job(name, priority, now, now + within, every)
        if after > 0.0:
            self._schedule(job, now + after)

    def cancel(self, name: str) -> bool:
        """Cancel a job and return whether it existed; a step in progress is completed first."""
        job = self.jobs.get(name)
        if job is None:
            return False
        job.is_cancelled = True
        if job.state is not JobState.RUNNING:
            self._remove(job)
        return True

    def set_under_load(self, now: float, is_under_load: bool) -> None:
        """Set whether the service is under load, for example in a retry storm or when its event loop is late."""
        for debt in (self.cpu, self.bytes):
            debt.available_at(now, self._rate_fraction())
        self.is_under_load = is_under_load

    def next_step(self, now: float) -> str | None:
        """Return the job whose step the runner must execute now and mark it running; None if no job or budget is available."""
        self._wake_due_jobs(now)
        if self.running >= self.budgets.max_running or self._budgets_available_at(now) > now:
            return None
        ready = [
            job for job in self.jobs.values() if job.state is JobState.READY and (not self.is_under_load or job.deadline <= now)
        ]
        if not ready:
            return None
        job = min(ready, key=lambda job: self._effective_priority(now, job))
        job.state = JobState.RUNNING
        self.running += 1
        return job.name

    @staticmethod
    def _effective_priority(now: float, job: Job) -> float:
        """Return the priority improved by the waiting time.

        A passed deadline adds a large but finite bonus, so that an endless job does not starve the others.
        """
        return job.priority - (now - job.since) / AGEING_S - (OVERDUE_BONUS if job.deadline <= now else 0.0)

    def record_step(self, now: float, name: str, outcome: StepOutcome, cpu: float = 0.0, used_bytes: float = 0.0) -> None:
        """Record the outcome and the cost of a step.

        Args:
            now: Current time.
            name: Job of the step.
            outcome: Outcome of the step.
            cpu: CPU seconds used.
            used_bytes: Bytes read and written.

        Raises:
            ValueError: No step of the job is in progress.
        """
        job = self.jobs[name]
        if job.state is not JobState.RUNNING:
            raise ValueError(f"{name}: no step is in progress")
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
        """Return when `next_step` must be called again at the latest; infinite without jobs."""
        self._wake_due_jobs(now)
        if not self.jobs:
            return math.inf
        ready = [job for job in self.jobs.values() if job.state is JobState.READY]
        wake_times = [now + 1.0] if len(self.wheel) else []  # with a waiting job, the timer wheel is checked once a second
        if any(not self.is_under_load or job.deadline <= now for job in ready) and self.running < self.budgets.max_running:
            wake_times.append(self._budgets_available_at(now))
        elif ready:
            wake_times.append(max(now, min(job.deadline for job in ready)))
        return min(wake_times, default=math.inf)

    def _budgets_available_at(self, now: float) -> float:
        return max(self.cpu.available_at(now, self._rate_fraction()), self.bytes.available_at(now, self._rate_fraction()))

    def _rate_fraction(self) -> float:
        return UNDER_LOAD_RATE_FRACTION if self.is_under_load else 1.0

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
