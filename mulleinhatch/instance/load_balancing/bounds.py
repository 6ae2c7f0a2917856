"""Settings of load balancing, with the values that hold where the operator's file sets none."""

from __future__ import annotations

from typing import NamedTuple


class LoadBalancingBounds(NamedTuple):
    """Names of the fields are keys of the operator's `spread` node. Times are in seconds."""

    hand_over: bool = True  # False: advice alone, no request passes between instances
    advice: bool = False  # callers are asked to send a fraction elsewhere; costs throughput beside handover
    at: str = ""  # host:port where peers send requests; empty: where callers connect
    offer_for: float = 0.2  # how long an offer is valid
    most_offers: int = 8  # outstanding at a time; never more than there are free slots
    links: int = 4  # connections kept to a peer
    guesses: bool = True  # without offers: two random choices by the peers' reports
    step: float = 0.05  # largest change of the redirected fraction at a time
    step_every: float = 0.5  # between changes
