"""Classifies second runs of non-retryable requests: an instance's fault, or a retry that its client sent.

An instance answers for its own incarnation alone: a request that ran in it is not run in it again, and while the instance lives
its client has one final answer and no reason to ask elsewhere. When it dies, its connections break, and clients may retry what
they had sent there: the next instance can't know what the dead one ran. Nothing else explains a second run. All inputs are
observed from outside: by interpreters, clients and the harness. Times are seconds on one machine's system clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple


class Run(NamedTuple):
    """A run, as an interpreter saw it begin."""

    request: str  # who it is, by its body
    at: float
    place: int
    incarnation: int  # of the interpreter there, which dies with its instance
    ref: str  # id of the try


class BrokenTry(NamedTuple):
    """An attempt whose connection ended before its answer, as a client saw it."""

    place: int  # where the client sent it
    sent_at: float
    broken_at: float


class Death(NamedTuple):
    """A process that the harness killed: signalled no earlier than `begun_at`, gone by `gone_at`."""

    place: int
    begun_at: float
    gone_at: float


class SecondRuns(NamedTuple):
    """The second runs that were found, by who caused them."""

    faults: list[str]  # of instances, in words
    repeats: list[str]  # requests that their callers sent again after a death, and that ran again by it


def find_second_runs(runs: Iterable[Run], broken: Mapping[str, BrokenTry], deaths: Iterable[Death]) -> SecondRuns:
    """Compare each run with all earlier runs of its request.

    A later run counts as the client's retry only if each earlier attempt had lost its connection to a death by then, and none
    ran in the same incarnation.

    Args:
        runs: All runs of non-retryable requests.
        broken: Attempts that lost their connection, by id.
        deaths: The processes that were killed.

    >>> first, second = Run("a", 5.0, 0, 1, "r1"), Run("a", 5.2, 1, 1, "r2")
    >>> find_second_runs([first, second], {"r1": BrokenTry(0, 4.9, 5.1)}, [Death(0, 5.05, 5.1)])
    SecondRuns(faults=[], repeats=['a'])
    >>> find_second_runs([first, second], {}, [])
    SecondRuns(faults=['a ran at 0 as r1, and at 1 as r2: the first try had not ended by a death'], repeats=[])
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


def _fault(first: Run, later: Run, broken: BrokenTry | None, deaths: list[Death]) -> str:
    """Return why the later of two runs is an instance's fault; empty if its client may have retried."""
    if first.ref == later.ref:
        return "one try"
    if (first.place, first.incarnation) == (later.place, later.incarnation):
        return "one life"
    if broken is None or broken.broken_at > later.at or not _by_a_death(broken, deaths):
        return "the first try had not ended by a death"
    return ""


def _by_a_death(broken: BrokenTry, deaths: list[Death]) -> bool:
    """Return whether a death explains the broken attempt.

    It was sent before the process was gone, and its connection ended after the kill had begun. An instance that lives, or
    leaves, and closes a connection on which it owes an answer has no excuse.
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
    broken = {ref: BrokenTry(*seen) for client in report["stubs"] for ref, seen in client["broken_once"].items()}
    return find_second_runs(runs, broken, [Death(*death) for death in report["deaths"]])
