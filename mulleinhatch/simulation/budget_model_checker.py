"""A model checker for the parts of a budget: three members, every order of what can happen, to a stated depth.

It drives `LeasedQuota` as it is and watches from outside: what the three may use together in any window, those that died in it
too, must stay within the total. Time goes in ticks; clocks may run apart. A state is what the parts and the words on their
way are, not how they came about, so each is looked at once.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

from mulleinhatch.instance.gossip.bounds import BudgetBounds
from mulleinhatch.instance.gossip.budgets import LeasedQuota, LeaseGrant, LeaseRequest
from mulleinhatch.simulation import state_exploration as exploring

NAMES = ("a", "b", "c")
ASKS = ((1, 0), (2, 0), (0, 1))  # who may ask whom
MOST_WORDS = 3  # on their way at a time
WINDOW, LEASE = 2, 3  # ticks


class Model(NamedTuple):
    part: type[LeasedQuota] = LeasedQuota
    drift: float = 0.25
    rates: tuple[float, float, float] = (1.1, 0.9, 1.0)  # of the members' clocks
    needed: int = 0

    @property
    def bounds(self) -> BudgetBounds:
        return BudgetBounds("m", 6, NAMES, WINDOW, LEASE, self.drift)


class State:
    """Parts by place (None: crashed), lives, words on their way, the tick, and the most that each could use in this window."""

    def __init__(self, model: Model) -> None:
        self.parts: list[LeasedQuota | None] = [model.part(model.bounds, name, -1e3) for name in NAMES]
        self.lives = [1, 1, 1]
        self.words: list[tuple[int, int, int, Any]] = []  # from, its life, to, what
        self.tick = 0
        self.most = [[0, 0, 0] for _ in range(WINDOW)]  # by tick of the window, the newest last

    def local(self, model: Model, place: int) -> float:
        return self.tick * model.rates[place]


def actions(state: State) -> Iterator[tuple]:
    yield ("tick",)
    for index in range(len(state.words)):
        yield "deliver", index
        yield "repeat", index
        yield "lose", index
    for place, part in enumerate(state.parts):
        yield ("crash" if part else "restart"), place
    if len(state.words) < MOST_WORDS:
        for taker, giver in ASKS:
            if state.parts[taker]:
                for want in (0, 2):
                    yield "ask", taker, giver, want


def act(model: Model, state: State, action: tuple) -> None:
    what, *told = action
    if what == "tick":
        state.tick += 1
        state.most = [*state.most[1:], [0, 0, 0]]
    elif what == "lose":
        del state.words[told[0]]
    elif what == "crash":
        state.parts[told[0]] = None
    elif what == "restart":
        place = told[0]
        state.lives[place] += 1
        state.parts[place] = model.part(model.bounds, NAMES[place], state.local(model, place))
    elif what == "ask":
        taker, giver, want = told
        ask = state.parts[taker].create_request(state.local(model, taker), NAMES[giver], want)
        state.words.append((taker, state.lives[taker], giver, ask))
    else:
        word = state.words[told[0]]
        if what == "deliver":
            del state.words[told[0]]
        _deliver(model, state, *word)


def _deliver(model: Model, state: State, sender: int, life: int, to: int, word: LeaseRequest | LeaseGrant) -> None:
    part, now = state.parts[to], state.local(model, to)
    if part is None:
        return
    if isinstance(word, LeaseRequest):
        give = part.handle_request(now, (NAMES[sender], life), word, spare=part.own_units(now), reclaim=model.needed)
        if give and len(state.words) < MOST_WORDS:
            state.words.append((to, state.lives[to], sender, (life, give)))
    elif word[0] == state.lives[to]:  # an answer to an earlier life of the asker finds nobody
        part.handle_grant(now, NAMES[sender], word[1])


def broken(model: Model, state: State) -> str:
    """What does not hold in this state; it takes down what each may use."""
    for place, part in enumerate(state.parts):
        usable = part.usable(state.local(model, place)) if part else 0
        if usable < 0:
            return f"{NAMES[place]} may use {usable}"
        state.most[-1][place] = max(state.most[-1][place], usable)
    together = sum(max(column) for column in zip(*state.most))
    return f"{together} of {model.bounds.total} in one window" if together > model.bounds.total else ""


def explore(model: Model, depth: int, before: tuple[tuple, ...] = (), most_states: int = 10**9) -> tuple[int, str]:
    """All that can happen in `depth` steps after those `before`: how many states, and the first history that breaks the
    total, empty if none does."""
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


def wander(model: Model, seed: int, walks: int, steps: int) -> str:
    """Long histories by chance, for what lies deeper than all of them can be looked at."""
    draw = random.Random(seed)
    for _ in range(walks):
        state, way = State(model), []
        for _ in range(steps):
            action = draw.choice([*actions(state), ("tick",)])
            act(model, state, action)
            way.append(action)
            if what := broken(model, state):
                return exploring.told(what, way)
    return ""


LENT = (
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
