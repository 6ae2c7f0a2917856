"""The bounds that an operator sets for the spread of load, with what holds where none is set."""

from __future__ import annotations

from typing import NamedTuple


class SpreadBounds(NamedTuple):
    """Times are seconds."""

    hand_over: bool = True  # False: advice alone, nothing passes between instances but fleet state
    advice: bool = False  # callers are told what share of what comes is wished elsewhere; beside hand-over it costs
    at: str = ""  # host:port where peers send ops: where callers connect, unless it is told
    offer_for: float = 0.2  # how long an offer holds
    most_offers: int = 8  # given at a time; never more than there is room for
    links: int = 4  # connections kept to a peer
    guesses: bool = True  # without offers: a choice of two by the fleet's view
    step: float = 0.05  # of the share wished elsewhere, at a time
    step_every: float = 0.5
