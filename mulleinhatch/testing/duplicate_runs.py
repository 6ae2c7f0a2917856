"""Which second runs of an op that may not run twice are an instance's fault, and which its caller asked for.

An instance answers for its own life alone: an op that ran in it is not run in it again, and while the instance lives its caller
has one final answer and no reason to ask elsewhere. When it dies, its connections break, and callers may repeat what they had
sent there: the next instance can't know what the dead one ran. Nothing else explains a second run. All is told by those who
saw it from outside: interpreters, caller stubs, the rig. Times are seconds on the system's clock, of one machine.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple


class Run(NamedTuple):
    """As an interpreter saw it begin."""

    request: str  # who it is, by its body
    at: float
    place: int
    incarnation: int  # of the interpreter there, which dies with its instance
    ref: str  # id of the try


class BrokenTry(NamedTuple):
    """A try whose connection ended before its answer, as a stub saw it."""

    place: int  # where the stub sent it
    sent_at: float
    broken_at: float


class Death(NamedTuple):
    """A process that the rig killed: the signal was not sent before the one, and it was gone by the other."""

    place: int
    begun_at: float
    gone_at: float


class SecondRuns(NamedTuple):
    faults: list[str]  # of instances, in words
    repeats: list[str]  # ops that their callers sent again after a death, and that ran again by it


def find_second_runs(runs: Iterable[Run], broken: Mapping[str, BrokenTry], deaths: Iterable[Death]) -> SecondRuns:
    """`broken` by the id of the try. Each run is held against all runs of its op before: it is its caller's repeat only where
    each of those tries had lost its connection to a death by then, and none ran in the same life.

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
    """Why the later of two runs is an instance's fault; empty if its caller may have asked for it."""
    if first.ref == later.ref:
        return "one try"
    if (first.place, first.incarnation) == (later.place, later.incarnation):
        return "one life"
    if broken is None or broken.broken_at > later.at or not _by_a_death(broken, deaths):
        return "the first try had not ended by a death"
    return ""


def _by_a_death(broken: BrokenTry, deaths: list[Death]) -> bool:
    """It was sent before that process was gone, and its connection ended after the kill had begun. An instance that lives, or
    leaves, and ends a connection that it owes an answer on is no excuse."""
    return any(
        death.place == broken.place and broken.sent_at <= death.gone_at and death.begun_at <= broken.broken_at
        for death in deaths
    )


def second_runs_of_fleet(report: Mapping[str, Any]) -> SecondRuns:
    """By what `FleetHarness.finish` tells."""
    runs = [
        Run(request, at, place, incarnation, ref)
        for place, host in enumerate(report["ran"])
        for at, incarnation, ref, request in host["once"]
    ]
    broken = {ref: BrokenTry(*seen) for client in report["stubs"] for ref, seen in client["broken_once"].items()}
    return find_second_runs(runs, broken, [Death(*death) for death in report["deaths"]])
