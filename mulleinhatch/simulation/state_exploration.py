"""Every order of what can happen to a state, each state looked at once: what both model checkers share."""

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
    """All that can happen in `depth` steps to `start`, which stands after `before`: how many states, and the first history
    in which something does not hold, empty where there is none."""
    seen: set[bytes] = set()
    queue = deque([(pickle.dumps(start), before)])
    while queue and len(seen) < most_states:
        packed, history = queue.popleft()
        for action in actions(pickle.loads(packed)):
            state = pickle.loads(packed)
            act(state, action)
            way = (*history, action)
            if what := broken(state):
                return len(seen), describe_violation(what, way)
            after = pickle.dumps(state)
            if after not in seen:
                seen.add(after)
                if len(way) < len(before) + depth:
                    queue.append((after, way))
    return len(seen), ""


def describe_violation(what: str, way: Iterable[tuple]) -> str:
    """
    >>> describe_violation("two are out", [("want", 0), ("step", 0, "a")])
    'two are out: want 0 | step 0 a'
    """
    return f"{what}: {' | '.join(' '.join(map(str, step)) for step in way)}"
