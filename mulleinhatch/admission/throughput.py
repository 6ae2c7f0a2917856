"""Speed of the instance: slot time per unit of work, and work completed per second at the running limit."""

from __future__ import annotations

from mulleinhatch.admission.concurrency_limit import ConcurrencyLimit
from mulleinhatch.admission.request import Request, Stage
from mulleinhatch.admission.request_table import RequestTable
from mulleinhatch.sliding_window import BUCKET_S, SlidingWindow

# Seconds at the running limit before the service rate is used, and the factor on them if no run ended in that time.
MIN_FULL_TIME_S = 0.5
MIN_FULL_TIME_FACTOR_WITHOUT_ENDS = 4

# Work assumed as done where no run ended: above 0, so that the service rate is known and the bound defined.
MIN_WORK_DONE = 0.001


class ThroughputMeter:
    """Measures pace and service rate over the last 2.5 seconds.

    Attributes:
        pace: Slot seconds per unit of work; 0 while unknown.
        service_rate: Work per second while the running limit is reached and requests are queued (the mechanism's mu); 0 while
            unknown.
    """

    def __init__(self, table: RequestTable, limit: ConcurrencyLimit) -> None:
        self._table = table
        self._limit = limit
        self._queued = table.by_stage[Stage.QUEUED]
        self._running = table.by_stage[Stage.RUNNING]
        self.pace = 0.0
        self.service_rate = 0.0
        self._run_time = SlidingWindow()
        self._work_done = SlidingWindow()
        self._full_time = SlidingWindow()
        self._work_done_full = SlidingWindow()
        self._hint_count = SlidingWindow(1.0)
        self._hinted_work = SlidingWindow(1.0)

    def record_hint(self, now: float, work: float) -> None:
        """Count the work given by a request's hint."""
        self._hint_count.add(now, 1.0)
        self._hinted_work.add(now, work)

    def record_elapsed(self, now: float, elapsed_s: float) -> None:
        """Count time spent at the running limit."""
        self._full_time.add(now, elapsed_s if now >= self._limit.full_since else 0.0)

    def record_run(self, now: float, request: Request, run_time_s: float) -> None:
        """Count a run that ended with a result or an error."""
        self._run_time.add(now, run_time_s)
        self._work_done.add(now, request.work)
        self._work_done_full.add(now, request.work if now >= self._limit.full_since else 0.0)

    def mean_work(self) -> float:
        """Return the mean work of requests with a hint; 1 without any."""
        count = self._hint_count.total(self._table.now)
        return self._hinted_work.total(self._table.now) / count if count else 1.0

    def queued_wait_s(self) -> float:
        """Return how long the queued work takes at the service rate."""
        work = sum(request.work for request in self._queued.values())
        return work / self.service_rate if self.service_rate else 0.0

    def capacity(self) -> float:
        """Return the requests per second that can be served, by the current pace, else by the last service rate."""
        slots = self._limit.current
        return (slots / self.pace if self.pace else self.service_rate or slots) / self.mean_work()

    def update(self) -> None:
        """Measure pace and service rate again."""
        now = self._table.now
        self.pace = self._measure_pace()
        full_time, work_done = self._full_time.total(now), self._work_done_full.total(now)
        if full_time >= MIN_FULL_TIME_S * (1 if work_done else MIN_FULL_TIME_FACTOR_WITHOUT_ENDS):
            self.service_rate = max(work_done, MIN_WORK_DONE) / full_time

    def _measure_pace(self) -> float:
        """Divide slot time by work; a run in progress counts with the work expected so far, at most all its work.

        Otherwise a long request on few cores would look like a slow machine, and a stuck machine like a healthy one.
        """
        now, table = self._table.now, self._table
        running = [(table.run_time(request), request.work) for request in self._running.values()]
        run_time = self._run_time.total(now) + sum(time for time, _ in running)
        if run_time <= BUCKET_S * self._limit.cores:
            return 0.0
        work_done = self._work_done.total(now)
        pace = self.pace or run_time / (work_done + sum(work for _, work in running))
        return run_time / (work_done + sum(min(work, time / pace) for time, work in running))
