"""A model checker for maintenance permits: voters and requesters, every order of events to a stated depth, and random walks.

It drives `Voter`, `ProposalRound` and `PermitTable` unchanged and counts from outside the machines that are really out of
service. A message is delivered with its answer, delivered with the answer lost, or copied and delivered at any later time.
Requesters may stop, crash and restart; voters may lose their disks; the electorate may change; an operator may release a
machine in service. A state is identified by its content, so each is visited once.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

from mulleinhatch.instance.maintenance.paxos_register import ProposalRound, RegisterRequest, Voter, VoterState
from mulleinhatch.instance.maintenance.table import PermitTable
from mulleinhatch.simulation import state_exploration as exploring

MAX_COPIES = 2


class Model(NamedTuple):
    """The number of voters and requesters, the failures allowed, and the implementation to explore."""

    voters: int = 5
    requesters: int = 2
    most: int = 1
    wipes: bool = False  # voters may lose their disks
    elects: bool = False  # the voters may change
    releases: bool = False  # an operator releases the permit of a machine in service, as a voter lists it
    voter: type[Voter] = Voter
    round: type[ProposalRound] = ProposalRound
    table: type[PermitTable] = PermitTable
    waits: bool = True  # a voter that lost its disk learns only when no earlier round is in progress


class RequestPermit:
    """A picklable table change: take a permit."""

    def __init__(self, name: str) -> None:
        self.name = name

    def __call__(self, table: PermitTable) -> PermitTable:
        """Return the table with a permit for this machine, if one is free."""
        return table.grant(self.name, "z", "work")


class ReturnPermit(RequestPermit):
    """A picklable table change: return the permit with this fencing token."""

    def __init__(self, name: str, fencing_token: int) -> None:
        super().__init__(name)
        self.fencing_token = fencing_token

    def __call__(self, table: PermitTable) -> PermitTable:
        """Return the table without the permit."""
        return table.release(self.name, self.fencing_token)


class ChangeElectorate(RequestPermit):
    """A picklable table change of the operator: replace the electorate."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        self.voters = voters

    def __call__(self, table: PermitTable) -> PermitTable:
        """Return the table with the new electorate."""
        return table.set_voters(self.voters)


class Requester:
    """A machine that requests permits, or the operator."""

    def __init__(self, name: str, known: PermitTable) -> None:
        self.name, self.known, self.incarnation, self.number = name, known, 0, 0
        self.round: ProposalRound | None = None
        self.fencing_token = 0  # of the permit by which it is out of service
        self.is_crashed = False
        self.is_out = False  # whether it is really out of service


class State:
    """Voters, requesters, copied messages, and voters without a disk."""

    def __init__(self, model: Model) -> None:
        names = tuple("abcdefghi"[: model.voters])
        first = model.table(voters=names, most=model.most, zone_most=model.most)
        spare = "abcdefghi"[model.voters : model.voters + (2 if model.elects else 0)]
        self.voters = {name: model.voter(name, VoterState()) for name in (*names, *spare)}
        self.requesters = [Requester(f"n{place}", first) for place in range(model.requesters)]
        if model.elects or model.releases:
            self.requesters.append(Requester("operator", first))
        self.copies: list[tuple[int, int, str, RegisterRequest]] = []  # requester, its incarnation, voter, request
        self.wiped: dict[
            str, list[tuple[int, int]]
        ] = {}  # voters that lost their disk, and the rounds in progress at that time


def actions(model: Model, state: State) -> Iterator[tuple]:
    """Yield the actions that are possible in `state`."""
    for place, requester in enumerate(state.requesters):
        if requester.is_crashed:
            yield "restart", place
            continue
        if requester.name == "operator":
            if requester.round is None and model.releases:
                for target, other in enumerate(state.requesters):
                    for name, voter in state.voters.items():
                        # A machine with a round in progress may be out of service when the release arrives, so it must
                        # not be released.
                        if (
                            not (other.is_out or other.is_crashed or other.round)
                            and voter.voter_state.table
                            and (voter.voter_state.table.permit(other.name))
                        ):
                            yield "release", place, target, name
            if requester.round is None and model.elects:
                for voters in _electorates(model, state, requester.known):
                    yield "elect", place, voters
        elif requester.round is None:
            yield ("return" if requester.is_out else "want"), place
        if requester.round is not None:
            yield "stop", place
            for voter, _ in requester.round.pending_requests():
                yield "step", place, voter
                yield "lost", place, voter
                if len(state.copies) < MAX_COPIES:
                    yield "copy", place, voter
        if requester.name != "operator":
            yield "crash", place
    for index in range(len(state.copies)):
        yield "deliver", index
    if model.wipes:
        for name in state.voters:
            if name in state.wiped:
                yield "learn", name
            elif not state.wiped:  # only one voter at a time
                yield "wipe", name


def _electorates(model: Model, state: State, known: PermitTable) -> Iterator[tuple[str, ...]]:
    names = tuple(state.voters)
    yield names[: model.voters + 1]
    yield names
    yield names[: model.voters]
    if model.voters > 2:
        yield names[: model.voters - 1]
        yield names[model.voters - 2 : model.voters]


def act(model: Model, state: State, action: tuple) -> None:
    """Apply `action` to `state`."""
    what, *arguments = action
    if what in ("step", "lost", "copy"):
        place, name = arguments
        requester = state.requesters[place]
        request = next(request for voter, request in requester.round.pending_requests() if voter == name)
        if what == "copy":
            state.copies.append((place, requester.incarnation, name, request))
            return
        answer = state.voters[name].handle_request(request)
        if what == "step":
            _handle_response(requester, answer)
    elif what == "deliver":
        place, incarnation, name, request = state.copies.pop(arguments[0])
        answer, requester = state.voters[name].handle_request(request), state.requesters[place]
        if requester.incarnation == incarnation and not requester.is_crashed and requester.round is not None:
            _handle_response(requester, answer)
    elif what == "wipe":
        state.wiped[arguments[0]] = [
            (place, requester.incarnation) for place, requester in enumerate(state.requesters) if requester.round
        ]
        state.voters[arguments[0]] = model.voter(arguments[0], VoterState(), is_abstaining=True)
    elif what == "learn":
        name = arguments[0]
        # It learns from as many others as form a majority; the rounds in progress at the loss must have ended.
        has_earlier_round = model.waits and any(
            state.requesters[place].incarnation == incarnation and state.requesters[place].round
            for place, incarnation in state.wiped[name]
        )
        others = [voter.voter_state for voter in state.voters.values() if voter.name != name and not voter.is_abstaining]
        if (
            not has_earlier_round
            and not (model.waits and state.copies)
            and state.voters[name].learn(others[: model.voters // 2 + 1], model.voters)
        ):
            del state.wiped[name]
    else:
        _apply_to_requester(model, state, what, *arguments)


def _apply_to_requester(model: Model, state: State, what: str, place: int, *more: Any) -> None:
    requester = state.requesters[place]
    if what == "crash":
        requester.is_crashed, requester.round = True, None
    elif what == "restart":
        # It is in service again; it knows only the initial table, from the operator's file.
        requester.is_crashed, requester.is_out, requester.fencing_token, requester.incarnation = (
            False,
            False,
            0,
            requester.incarnation + 1,
        )
        requester.known = State(model).requesters[place].known
    elif what == "stop":
        requester.round = None
    else:
        requester.number += 1
        requester.incarnation += 1
        if what == "release":
            name = state.requesters[more[0]].name
            change = ReturnPermit(name, state.voters[more[1]].voter_state.table.permit(name).fence)
        else:
            change = _create_change(requester, what, more)
        requester.round = model.round(f"{requester.name}.{requester.incarnation}", requester.number, requester.known, change)
        if what == "return":
            requester.is_out = False  # in service from now on; the permit is returned afterwards


def _create_change(requester: Requester, what: str, more: tuple[Any, ...]) -> RequestPermit:
    if what == "want":
        return RequestPermit(requester.name)
    if what == "return":
        return ReturnPermit(requester.name, requester.fencing_token)
    return ChangeElectorate(more[0])


def _handle_response(requester: Requester, answer: object) -> None:
    requester.round.handle_response(answer)
    if not requester.round.outcome:
        return
    finished, requester.round = requester.round, None
    requester.number = max(requester.number, finished.highest)
    if finished.outcome == "moved":
        requester.known = finished.known
    elif finished.outcome == "agreed":
        requester.known = finished.table
        permit = finished.table.permit(requester.name)
        if isinstance(finished.change, ReturnPermit):
            requester.fencing_token = 0
        elif permit:
            requester.is_out, requester.fencing_token = True, permit.fence


def broken(model: Model, state: State) -> str:
    """Return the violated bound on machines out of service, or an empty text."""
    out = [requester.name for requester in state.requesters if requester.is_out]
    return f"{' and '.join(out)} are out of service, {model.most} allowed" if len(out) > model.most else ""


def explore(model: Model, depth: int, before: tuple[tuple, ...] = (), most_states: int = 10**9) -> tuple[int, str]:
    """Explore every order of events to `depth` steps after `before`.

    Returns:
        The number of states, and the first history that exceeds the bound (empty if none does).
    """
    start = State(model)
    for action in before:
        act(model, start, action)
    return exploring.explore(
        start,
        lambda state: actions(model, state),
        lambda state, action: act(model, state, action),
        lambda state: broken(model, state),
        depth,
        before,
        most_states,
    )


ACTION_WEIGHTS = {
    "step": 6.0,
    "lost": 1.0,
    "copy": 1.0,
    "deliver": 1.0,
    "stop": 0.4,
    "crash": 0.2,
    "restart": 1.0,
    "want": 2.0,
    "return": 2.0,
    "elect": 0.6,
    "release": 1.0,
    "wipe": 0.3,
    "learn": 2.0,
}


def explore_random_walks(model: Model, seed: int, walks: int, steps: int, before: tuple[tuple, ...] = ()) -> tuple[int, str]:
    """Play long random histories after `before`; return the permits agreed and the first violation."""
    draw, agreed = random.Random(seed), 0
    for _ in range(walks):
        state, history = State(model), list(before)
        for action in before:
            act(model, state, action)
        for _ in range(steps):
            possible = list(actions(model, state))
            action = draw.choices(possible, [ACTION_WEIGHTS[action[0]] for action in possible])[0]
            were_out = sum(requester.is_out for requester in state.requesters)
            act(model, state, action)
            agreed += sum(requester.is_out for requester in state.requesters) > were_out
            history.append(action)
            if what := broken(model, state):
                return agreed, exploring.describe_violation(what, history)
    return agreed, ""
