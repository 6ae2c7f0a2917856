"""The wheel beside a sorted list, the scheduler under a seeded player."""

from __future__ import annotations

import math
import random

import pytest

from mulleinhatch.instance.jobs.scheduler import Budgets, JobState, QueueFullError, Scheduler, StepOutcome
from mulleinhatch.instance.jobs.timer_wheel import TimerWheel


@pytest.mark.parametrize("seed", range(8))
def test_the_wheel_beside_a_plain_list(seed: int) -> None:
    """Alarms near and far, set again and cancelled, looked at after moments and days: never early, a tick late at most."""
    draw, wheel, plain, now = random.Random(seed), TimerWheel(5.0, tick=0.01), {}, 5.0
    for number in range(3000):
        name = draw.randrange(400)
        if draw.random() < 0.3:
            assert wheel.cancel(name) == (plain.pop(name, None) is not None)
        else:
            plain[name] = now + draw.choice((0.0, 0.5, 3.0, 700.0, 200_000.0)) * draw.random()
            wheel.set(name, plain[name])
        if draw.random() < 0.3:
            now += draw.choice((0.004, 0.3, 50.0, 20_000.0)) * draw.random()
            due = wheel.pop_due(now)
            assert len(due) == len(set(due))
            for fired in due:
                assert plain.pop(fired) <= now + 1e-6, number
            late = [at for at in plain.values() if at < now - 0.021]
            assert not late, (number, now, late)
    assert len(wheel) == len(plain)


@pytest.mark.parametrize("seed", range(6))
def test_the_scheduler_keeps_its_budgets_and_starves_nobody(seed: int) -> None:
    draw, jobs, now = random.Random(seed), Scheduler(Budgets(0.1, 1e6, at_once=2, most_jobs=20), 0.0), 0.0
    under_way: list[str] = []
    cpu = used = 0.0
    last_step: dict[str, float] = {}
    is_pressed = False
    for _ in range(4000):
        now += draw.uniform(0.0, 0.2)
        if draw.random() < 0.05:
            try:
                jobs.submit(
                    now,
                    f"job {draw.randrange(30)}",
                    priority=draw.randrange(8),
                    within=draw.choice((5.0, math.inf)),
                    after=draw.choice((0.0, 3.0)),
                )
            except QueueFullError:
                assert len(jobs.jobs) == 20
        if draw.random() < 0.01:
            is_pressed = not is_pressed
            jobs.set_pressed(now, is_pressed)
        if draw.random() < 0.02 and jobs.jobs:
            jobs.cancel(draw.choice(sorted(jobs.jobs)))
        if name := jobs.next_step(now):
            assert not is_pressed or jobs.jobs[name].deadline <= now
            under_way.append(name)
            last_step[name] = now
        assert len(under_way) <= 2 and jobs.running == len(under_way)
        if under_way and draw.random() < 0.7:
            cost, data = draw.uniform(0.0, 0.05), draw.uniform(0.0, 3e5)
            cpu, used = cpu + cost, used + data
            jobs.record_step(now, under_way.pop(draw.randrange(len(under_way))), draw.choice(list(StepOutcome)), cost, data)
    assert cpu <= 0.1 * now + 0.2 and used <= 1e6 * now + 2e6
    if is_pressed:
        jobs.set_pressed(now, False)
    for name in under_way:
        jobs.record_step(now, name, StepOutcome.DONE)
    waiting = {name for name, job in jobs.jobs.items() if job.state is not JobState.RUNNING}
    seen: set[str] = set()
    for _ in range(30_000):
        now += 0.05
        if name := jobs.next_step(now):
            seen.add(name)
            jobs.record_step(now, name, StepOutcome.MORE, 0.004)
    assert waiting <= seen


def test_a_failure_is_tried_again_later_each_time_and_an_end_comes_again() -> None:
    jobs = Scheduler(Budgets(), 0.0)
    jobs.submit(0.0, "a", every=10.0)
    moments, now = [], 0.0
    while now < 30.0:
        if jobs.next_step(now):
            moments.append(round(now))
            jobs.record_step(now, "a", StepOutcome.FAILED if len(moments) < 4 else StepOutcome.DONE)
        now += 0.25
    assert moments == [0, 1, 3, 7, 17, 27]


def test_a_cancelled_step_under_way_ends_the_job() -> None:
    jobs = Scheduler(Budgets(), 0.0)
    jobs.submit(0.0, "a")
    assert jobs.next_step(0.0) == "a" and jobs.cancel("a")
    jobs.record_step(0.1, "a", StepOutcome.MORE)
    assert not jobs.jobs and jobs.wake_at(0.2) == math.inf and not jobs.cancel("a")


def test_past_its_deadline_a_job_steps_though_the_service_is_pressed() -> None:
    jobs = Scheduler(Budgets(), 0.0)
    jobs.set_pressed(0.0, True)
    jobs.submit(0.0, "index", within=4.0)
    assert jobs.next_step(3.9) is None and jobs.wake_at(3.9) == 4.0 and jobs.next_step(4.0) == "index"
