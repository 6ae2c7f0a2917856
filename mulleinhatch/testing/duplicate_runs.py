"""Classifies second runs of non-retryable requests as the fault of an instance, or as the retry of a client.

An instance is responsible for its own incarnation only: it must not run a request twice, and while it lives its client gets one
final answer and has no reason to retry elsewhere. When it dies, its connections break and clients may retry, and the next
instance can't know what the dead one ran. Every other second run is a fault. All inputs are observed from outside: by
interpreters, clients and the harness. Times are seconds on one machine's system clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple


class Run(NamedTuple):
    """The start of a run, as an interpreter observed it."""

    request: str  # identity, from the body
    at: float
    place: int
    incarnation: int  # of the interpreter, which dies with its instance
    ref: str  # id of the attempt


class BrokenAttempt(NamedTuple):
    """An attempt whose connection ended before the answer, as a client observed it."""

    place: int  # where the client sent it
    sent_at: float
    broken_at: float


class Death(NamedTuple):
    """A process killed by the harness: signalled no earlier than `begun_at`, gone by `gone_at`."""

    place: int
    begun_at: float
    gone_at: float


class SecondRuns(NamedTuple):
    """Second runs by cause."""

    faults: list[str]  # descriptions of faults of instances
    repeats: list[str]  # requests that ran again because their clients retried them after a death


def find_second_runs(runs: Iterable[Run], broken: Mapping[str, BrokenAttempt], deaths: Iterable[Death]) -> SecondRuns:
    """Compare each run with all earlier runs of its request.

    A later run counts as the client's retry only if each earlier attempt had lost its connection to a death by then, and none
    ran in the same incarnation.

    Args:
        runs: All runs of non-retryable requests.
        broken: Attempts that lost their connection, by id.
        deaths: The processes that were killed.

    >>> first, second = Run("a", 5.0, 0, 1, "r1"), Run("a", 5.2, 1, 1, "r2")
    >>> find_second_runs([first, second], {"r1": BrokenAttempt(0, 4.9, 5.1)}, [Death(0, 5.05, 5.1)])
    SecondRuns(faults=[], repeats=['a'])
    >>> find_second_runs([first, second], {}, [])
    SecondRuns(faults=['a ran at 0 as r1, and at 1 as r2: the first attempt had not ended by a death'], repeats=[])
    """
    deaths = list(deaths)
    by_request: dict[str, list[Run]] = {}
    for run in sorted(runs, key=lambda run: run.at):
        by_request.setdefault(run.request, []).append(run)
    faults: list[str] = []
    repeats: list[str] = []
    for request, runs_of_request in by_request.items():
        wrong = [
            f"{request} ran at {first.place} as {first.ref}, and at {later.place} as {later.ref}: {why}"
            for number, later in enumerate(runs_of_request)
            for first in runs_of_request[:number]
            if (why := _fault(first, later, broken.get(first.ref), deaths))
        ]
        faults += wrong
        repeats += [request] if len(runs_of_request) > 1 and not wrong else []
    return SecondRuns(faults, repeats)


def _fault(first: Run, later: Run, broken: BrokenAttempt | None, deaths: list[Death]) -> str:
    """Return why the later of two runs is an instance's fault; empty if its client may have retried."""
    if first.ref == later.ref:
        return "same attempt"
    if (first.place, first.incarnation) == (later.place, later.incarnation):
        return "same incarnation"
    if broken is None or broken.broken_at > later.at or not _ended_by_death(broken, deaths):
        return "the first attempt had not ended by a death"
    return ""


def _ended_by_death(broken: BrokenAttempt, deaths: list[Death]) -> bool:
    """Return whether a death explains the broken attempt.

    It was sent before the process was gone, and its connection ended after the kill had begun. A live or draining instance
    that closes a connection with an unanswered request is at fault.
    """
    return any(
        death.place == broken.place and broken.sent_at <= death.gone_at and death.begun_at <= broken.broken_at
        for death in deaths
    )


def second_runs_of_fleet(report: Mapping[str, Any]) -> SecondRuns:
    """Classify the second runs in the report of `FleetHarness.finish`."""
    runs = [
        Run(request, at, place, incarnation, ref)
        for place, host in enumerate(report["ran"])
        for at, incarnation, ref, request in host["once"]
    ]
    broken = {ref: BrokenAttempt(*seen) for client in report["stubs"] for ref, seen in client["broken_once"].items()}
    return find_second_runs(runs, broken, [Death(*death) for death in report["deaths"]])
