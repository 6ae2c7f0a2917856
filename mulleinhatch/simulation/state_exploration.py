"""Breadth-first exploration of all event orders, visiting each state once; shared by both model checkers."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any


def explore(
    start: Any,
    actions: Callable[[Any], Iterable[tuple]],
    act: Callable[[Any, tuple], None],
    broken: Callable[[Any], str],
    depth: int,
    before: tuple[tuple, ...],
    most_states: int,
) -> tuple[int, str]:
    """Explore every order of actions to `depth` steps from a start state.

    Args:
        start: The initial state; it must be picklable.
        actions: Returns the actions that are possible in a state.
        act: Applies an action to a state in place.
        broken: Returns the violated invariant, or an empty text.
        depth: Number of steps after `before`.
        before: The actions that led to `start`; they precede each reported history.
        most_states: Stop after this number of distinct states.

    Returns:
        The number of states visited, and the first history that violates an invariant (empty if there is none).
    """
    seen: set[bytes] = set()
    queue = deque([(pickle.dumps(start), before)])
    while queue and len(seen) < most_states:
        packed, history = queue.popleft()
        for action in actions(pickle.loads(packed)):
            state = pickle.loads(packed)
            act(state, action)
            path = (*history, action)
            if what := broken(state):
                return len(seen), describe_violation(what, path)
            after = pickle.dumps(state)
            if after not in seen:
                seen.add(after)
                if len(path) < len(before) + depth:
                    queue.append((after, path))
    return len(seen), ""


def describe_violation(what: str, path: Iterable[tuple]) -> str:
    """Format a violated invariant with the actions that led to it.

    >>> describe_violation("two are out", [("want", 0), ("step", 0, "a")])
    'two are out: want 0 | step 0 a'
    """
    return f"{what}: {' | '.join(' '.join(map(str, step)) for step in path)}"
