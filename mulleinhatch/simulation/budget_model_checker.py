"""A model checker for the shares of a budget: three members, every order of events to a stated depth.

It drives `LeasedQuota` unchanged and checks from outside that the units which all members could use in any window, including
members that crashed in it, stay within the total. Time advances in ticks and clocks may drift. A state is identified by its
content (shares and messages in flight), so each is visited once.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

from mulleinhatch.instance.gossip.bounds import BudgetBounds
from mulleinhatch.instance.gossip.budgets import LeasedQuota, LeaseGrant, LeaseRequest
from mulleinhatch.simulation import state_exploration as exploring

NAMES = ("a", "b", "c")
REQUEST_PAIRS = ((1, 0), (2, 0), (0, 1))  # pairs of borrower and lender
MAX_MESSAGES = 3  # messages in flight
WINDOW, LEASE = 2, 3  # ticks


class Model(NamedTuple):
    """The share implementation, clock drift and clock rates to explore."""

    share: type[LeasedQuota] = LeasedQuota
    drift: float = 0.25
    rates: tuple[float, float, float] = (1.1, 0.9, 1.0)  # of the members' clocks
    needed: int = 0

    @property
    def bounds(self) -> BudgetBounds:
        """Return the budget that the members share."""
        return BudgetBounds("m", 6, NAMES, WINDOW, LEASE, self.drift)


class State:
    """Shares by member (None: crashed), incarnations, messages in flight, the tick, usable units by tick of the window."""

    def __init__(self, model: Model) -> None:
        self.shares: list[LeasedQuota | None] = [model.share(model.bounds, name, -1e3) for name in NAMES]
        self.incarnations = [1, 1, 1]
        self.messages: list[tuple[int, int, int, Any]] = []  # sender, its incarnation, receiver, message
        self.tick = 0
        self.most = [[0, 0, 0] for _ in range(WINDOW)]  # usable units by tick of the window and member, the newest tick last

    def local(self, model: Model, place: int) -> float:
        """Return the member's local time in ticks."""
        return self.tick * model.rates[place]


def actions(state: State) -> Iterator[tuple]:
    """Yield the actions that are possible in `state`."""
    yield ("tick",)
    for index in range(len(state.messages)):
        yield "deliver", index
        yield "repeat", index
        yield "lose", index
    for place, share in enumerate(state.shares):
        yield ("crash" if share else "restart"), place
    if len(state.messages) < MAX_MESSAGES:
        for borrower, lender in REQUEST_PAIRS:
            if state.shares[borrower]:
                for want in (0, 2):
                    yield "ask", borrower, lender, want


def act(model: Model, state: State, action: tuple) -> None:
    """Apply `action` to `state`."""
    what, *arguments = action
    if what == "tick":
        state.tick += 1
        state.most = [*state.most[1:], [0, 0, 0]]
    elif what == "lose":
        del state.messages[arguments[0]]
    elif what == "crash":
        state.shares[arguments[0]] = None
    elif what == "restart":
        place = arguments[0]
        state.incarnations[place] += 1
        state.shares[place] = model.share(model.bounds, NAMES[place], state.local(model, place))
    elif what == "ask":
        borrower, lender, want = arguments
        request = state.shares[borrower].create_request(state.local(model, borrower), NAMES[lender], want)
        state.messages.append((borrower, state.incarnations[borrower], lender, request))
    else:
        message = state.messages[arguments[0]]
        if what == "deliver":
            del state.messages[arguments[0]]
        _deliver(model, state, *message)


def _deliver(model: Model, state: State, sender: int, incarnation: int, to: int, message: LeaseRequest | LeaseGrant) -> None:
    share, now = state.shares[to], state.local(model, to)
    if share is None:
        return
    if isinstance(message, LeaseRequest):
        grant = share.handle_request(
            now, (NAMES[sender], incarnation), message, spare=share.own_units(now), reclaim=model.needed
        )
        if grant and len(state.messages) < MAX_MESSAGES:
            state.messages.append((to, state.incarnations[to], sender, (incarnation, grant)))
    elif message[0] == state.incarnations[to]:  # a grant to an earlier incarnation of the borrower is dropped
        share.handle_grant(now, NAMES[sender], message[1])


def broken(model: Model, state: State) -> str:
    """Return the violated invariant, or an empty text; record what each member may use in this tick."""
    for place, share in enumerate(state.shares):
        usable = share.usable(state.local(model, place)) if share else 0
        if usable < 0:
            return f"{NAMES[place]} may use {usable}"
        state.most[-1][place] = max(state.most[-1][place], usable)
    total = sum(max(column) for column in zip(*state.most))
    return f"{total} of {model.bounds.total} in one window" if total > model.bounds.total else ""


def explore(model: Model, depth: int, before: tuple[tuple, ...] = (), most_states: int = 10**9) -> tuple[int, str]:
    """Explore every order of events to `depth` steps after `before`.

    Returns:
        The number of states, and the first history that exceeds the total (empty if none does).
    """
    start = State(model)
    for action in before:
        act(model, start, action)
        broken(model, start)
    return exploring.explore(
        start,
        actions,
        lambda state, action: act(model, state, action),
        lambda state: broken(model, state),
        depth,
        before,
        most_states,
    )


def explore_random_walks(model: Model, seed: int, walks: int, steps: int) -> str:
    """Play long random histories, for states deeper than an exhaustive search reaches; return the first violation."""
    draw = random.Random(seed)
    for _ in range(walks):
        state, history = State(model), []
        for _ in range(steps):
            action = draw.choice([*actions(state), ("tick",)])
            act(model, state, action)
            history.append(action)
            if what := broken(model, state):
                return exploring.describe_violation(what, history)
    return ""


LOAN_IN_PROGRESS = (
    ("ask", 1, 0, 2),
    ("deliver", 0),
    ("lose", 0),
    ("tick",),
    ("tick",),
    ("tick",),
    ("ask", 1, 0, 2),
    ("deliver", 0),
    ("deliver", 0),
)
