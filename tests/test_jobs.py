"""The timer wheel against a plain dictionary, and the scheduler under random operations."""

from __future__ import annotations

import math
import random

import pytest

from mulleinhatch.instance.jobs.scheduler import Budgets, JobState, QueueFullError, Scheduler, StepOutcome
from mulleinhatch.instance.jobs.timer_wheel import TimerWheel


@pytest.mark.parametrize("seed", range(8))
def test_timer_wheel_matches_a_dictionary(seed: int) -> None:
    """Timers up to days ahead, moved and cancelled, never expire early and at most two ticks late."""
    rng, wheel, expected, now = random.Random(seed), TimerWheel(5.0, tick=0.01), {}, 5.0
    for number in range(3000):
        name = rng.randrange(400)
        if rng.random() < 0.3:
            assert wheel.cancel(name) == (expected.pop(name, None) is not None)
        else:
            expected[name] = now + rng.choice((0.0, 0.5, 3.0, 700.0, 200_000.0)) * rng.random()
            wheel.set(name, expected[name])
        if rng.random() < 0.3:
            now += rng.choice((0.004, 0.3, 50.0, 20_000.0)) * rng.random()
            due = wheel.pop_due(now)
            assert len(due) == len(set(due))
            for expired in due:
                assert expected.pop(expired) <= now + 1e-6, number
            late = [at for at in expected.values() if at < now - 0.021]
            assert not late, (number, now, late)
    assert len(wheel) == len(expected)


@pytest.mark.parametrize("seed", range(6))
def test_scheduler_stays_within_budgets_and_starves_no_job(seed: int) -> None:
    rng, jobs, now = random.Random(seed), Scheduler(Budgets(0.1, 1e6, max_running=2, max_jobs=20), 0.0), 0.0
    running: list[str] = []
    cpu = used = 0.0
    last_step: dict[str, float] = {}
    is_under_load = False
    for _ in range(4000):
        now += rng.uniform(0.0, 0.2)
        if rng.random() < 0.05:
            try:
                jobs.submit(
                    now,
                    f"job {rng.randrange(30)}",
                    priority=rng.randrange(8),
                    within=rng.choice((5.0, math.inf)),
                    after=rng.choice((0.0, 3.0)),
                )
            except QueueFullError:
                assert len(jobs.jobs) == 20
        if rng.random() < 0.01:
            is_under_load = not is_under_load
            jobs.set_under_load(now, is_under_load)
        if rng.random() < 0.02 and jobs.jobs:
            jobs.cancel(rng.choice(sorted(jobs.jobs)))
        if name := jobs.next_step(now):
            assert not is_under_load or jobs.jobs[name].deadline <= now
            running.append(name)
            last_step[name] = now
        assert len(running) <= 2 and jobs.running == len(running)
        if running and rng.random() < 0.7:
            cost, data = rng.uniform(0.0, 0.05), rng.uniform(0.0, 3e5)
            cpu, used = cpu + cost, used + data
            jobs.record_step(now, running.pop(rng.randrange(len(running))), rng.choice(list(StepOutcome)), cost, data)
    assert cpu <= 0.1 * now + 0.2 and used <= 1e6 * now + 2e6
    if is_under_load:
        jobs.set_under_load(now, False)
    for name in running:
        jobs.record_step(now, name, StepOutcome.DONE)
    waiting = {name for name, job in jobs.jobs.items() if job.state is not JobState.RUNNING}
    seen: set[str] = set()
    for _ in range(30_000):
        now += 0.05
        if name := jobs.next_step(now):
            seen.add(name)
            jobs.record_step(now, name, StepOutcome.MORE, 0.004)
    assert waiting <= seen


def test_failed_job_is_retried_with_backoff_and_periodic_job_is_repeated() -> None:
    jobs = Scheduler(Budgets(), 0.0)
    jobs.submit(0.0, "a", every=10.0)
    started_at, now = [], 0.0
    while now < 30.0:
        if jobs.next_step(now):
            started_at.append(round(now))
            jobs.record_step(now, "a", StepOutcome.FAILED if len(started_at) < 4 else StepOutcome.DONE)
        now += 0.25
    assert started_at == [0, 1, 3, 7, 17, 27]


def test_cancelled_job_ends_after_the_step_in_progress() -> None:
    jobs = Scheduler(Budgets(), 0.0)
    jobs.submit(0.0, "a")
    assert jobs.next_step(0.0) == "a" and jobs.cancel("a")
    jobs.record_step(0.1, "a", StepOutcome.MORE)
    assert not jobs.jobs and jobs.wake_at(0.2) == math.inf and not jobs.cancel("a")


def test_overdue_job_runs_while_the_service_is_under_load() -> None:
    jobs = Scheduler(Budgets(), 0.0)
    jobs.set_under_load(0.0, True)
    jobs.submit(0.0, "index", within=4.0)
    assert jobs.next_step(3.9) is None and jobs.wake_at(3.9) == 4.0 and jobs.next_step(4.0) == "index"
