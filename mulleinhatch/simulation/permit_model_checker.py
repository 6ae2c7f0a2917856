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

MOST_COPIES = 2


class Model(NamedTuple):
    """The number of voters and requesters, the failures allowed, and the implementation to explore."""

    voters: int = 5
    askers: int = 2
    most: int = 1
    wipes: bool = False  # voters may lose their disks
    elects: bool = False  # the voters may change
    releases: bool = False  # a person gives back the permit of one that serves, by what a voter shows
    voter: type[Voter] = Voter
    round: type[ProposalRound] = ProposalRound
    table: type[PermitTable] = PermitTable
    waits: bool = True  # who lost its disk waits until no round of before is under way


class Go:
    """A picklable table change: take a permit."""

    def __init__(self, name: str) -> None:
        self.name = name

    def __call__(self, table: PermitTable) -> PermitTable:
        """Return the table with a permit for this machine, if one is free."""
        return table.grant(self.name, "z", "work")


class Back(Go):
    """A picklable table change: return the permit with this fencing token."""

    def __init__(self, name: str, fencing_token: int) -> None:
        super().__init__(name)
        self.fencing_token = fencing_token

    def __call__(self, table: PermitTable) -> PermitTable:
        """Return the table without the permit."""
        return table.release(self.name, self.fencing_token)


class Elect(Go):
    """A picklable table change of the operator: replace the electorate."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        self.voters = voters

    def __call__(self, table: PermitTable) -> PermitTable:
        """Return the table with the new electorate."""
        return table.set_voters(self.voters)


class Asker:
    """A machine that requests permits, or the operator."""

    def __init__(self, name: str, known: PermitTable) -> None:
        self.name, self.known, self.incarnation, self.number = name, known, 0, 0
        self.round: ProposalRound | None = None
        self.fencing_token = 0  # of the permit by which it is out
        self.down = False  # crashed
        self.is_out = False  # really


class State:
    """Voters, requesters, copied messages, and voters without a disk."""

    def __init__(self, model: Model) -> None:
        names = tuple("abcdefghi"[: model.voters])
        first = model.table(voters=names, most=model.most, zone_most=model.most)
        spare = "abcdefghi"[model.voters : model.voters + (2 if model.elects else 0)]
        self.voters = {name: model.voter(name, VoterState()) for name in (*names, *spare)}
        self.askers = [Asker(f"n{place}", first) for place in range(model.askers)]
        if model.elects or model.releases:
            self.askers.append(Asker("operator", first))
        self.copies: list[tuple[int, int, str, RegisterRequest]] = []  # asker, its incarnation, voter, ask
        self.wiped: dict[str, list[tuple[int, int]]] = {}  # voters without a disk, and the rounds of that time


def actions(model: Model, state: State) -> Iterator[tuple]:
    """Yield the actions that are possible in `state`."""
    for place, asker in enumerate(state.askers):
        if asker.down:
            yield "restart", place
            continue
        if asker.name == "operator":
            if asker.round is None and model.releases:
                for target, other in enumerate(state.askers):
                    for name, voter in state.voters.items():
                        # Who asks just now may be out by the time that the word arrives: a person must not release it.
                        if (
                            not (other.is_out or other.down or other.round)
                            and voter.voter_state.table
                            and (voter.voter_state.table.permit(other.name))
                        ):
                            yield "release", place, target, name
            if asker.round is None and model.elects:
                for voters in _electorates(model, state, asker.known):
                    yield "elect", place, voters
        elif asker.round is None:
            yield ("return" if asker.is_out else "want"), place
        if asker.round is not None:
            yield "stop", place
            for voter, _ in asker.round.pending_requests():
                yield "step", place, voter
                yield "lost", place, voter
                if len(state.copies) < MOST_COPIES:
                    yield "copy", place, voter
        if asker.name != "operator":
            yield "crash", place
    for index in range(len(state.copies)):
        yield "deliver", index
    if model.wipes:
        for name in state.voters:
            if name in state.wiped:
                yield "learn", name
            elif not state.wiped:  # a minority at a time
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
        asker = state.askers[place]
        ask = next(ask for voter, ask in asker.round.pending_requests() if voter == name)
        if what == "copy":
            state.copies.append((place, asker.incarnation, name, ask))
            return
        answer = state.voters[name].handle_request(ask)
        if what == "step":
            _heard(asker, answer)
    elif what == "deliver":
        place, incarnation, name, ask = state.copies.pop(arguments[0])
        answer, asker = state.voters[name].handle_request(ask), state.askers[place]
        if asker.incarnation == incarnation and not asker.down and asker.round is not None:
            _heard(asker, answer)
    elif what == "wipe":
        state.wiped[arguments[0]] = [(place, asker.incarnation) for place, asker in enumerate(state.askers) if asker.round]
        state.voters[arguments[0]] = model.voter(arguments[0], VoterState(), is_abstaining=True)
    elif what == "learn":
        name = arguments[0]
        # As many others as a majority of the voters that the latest of them names; rounds of before the loss are over.
        under_way = model.waits and any(
            state.askers[place].incarnation == incarnation and state.askers[place].round
            for place, incarnation in state.wiped[name]
        )
        others = [voter.voter_state for voter in state.voters.values() if voter.name != name and not voter.is_abstaining]
        if (
            not under_way
            and not (model.waits and state.copies)
            and state.voters[name].learn(others[: model.voters // 2 + 1], model.voters)
        ):
            del state.wiped[name]
    else:
        _asker_does(model, state, what, *arguments)


def _asker_does(model: Model, state: State, what: str, place: int, *more: Any) -> None:
    asker = state.askers[place]
    if what == "crash":
        asker.down, asker.round = True, None
    elif what == "restart":
        # It serves again, whatever it was out for; what it knows is the operator's file.
        asker.down, asker.is_out, asker.fencing_token, asker.incarnation = False, False, 0, asker.incarnation + 1
        asker.known = State(model).askers[place].known
    elif what == "stop":
        asker.round = None
    else:
        asker.number += 1
        asker.incarnation += 1
        if what == "release":
            name = state.askers[more[0]].name
            change = Back(name, state.voters[more[1]].voter_state.table.permit(name).fence)
        else:
            change = _change_of(asker, what, more)
        asker.round = model.round(f"{asker.name}.{asker.incarnation}", asker.number, asker.known, change)
        if what == "return":
            asker.is_out = False  # it serves from here on; the permit follows


def _change_of(asker: Asker, what: str, more: tuple[Any, ...]) -> Go:
    if what == "want":
        return Go(asker.name)
    if what == "return":
        return Back(asker.name, asker.fencing_token)
    return Elect(more[0])


def _heard(asker: Asker, answer: object) -> None:
    asker.round.handle_response(answer)
    if not asker.round.outcome:
        return
    done, asker.round = asker.round, None
    asker.number = max(asker.number, done.highest)
    if done.outcome == "moved":
        asker.known = done.known
    elif done.outcome == "agreed":
        asker.known = done.table
        permit = done.table.permit(asker.name)
        if isinstance(done.change, Back):
            asker.fencing_token = 0
        elif permit:
            asker.is_out, asker.fencing_token = True, permit.fence


def broken(model: Model, state: State) -> str:
    """Return the violated bound on machines out of service, or an empty text."""
    out = [asker.name for asker in state.askers if asker.is_out]
    return f"{' and '.join(out)} are out, {model.most} may be" if len(out) > model.most else ""


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


LIKELY = {
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
            able = list(actions(model, state))
            action = draw.choices(able, [LIKELY[action[0]] for action in able])[0]
            were_out = sum(asker.is_out for asker in state.askers)
            act(model, state, action)
            agreed += sum(asker.is_out for asker in state.askers) > were_out
            history.append(action)
            if what := broken(model, state):
                return agreed, exploring.describe_violation(what, history)
    return agreed, ""
