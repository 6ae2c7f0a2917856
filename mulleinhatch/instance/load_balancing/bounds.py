"""Settings of load balancing and their defaults."""

from __future__ import annotations

from typing import NamedTuple


class LoadBalancingBounds(NamedTuple):
    """Field names are keys of the operator's `spread` node. Times are in seconds."""

    hand_over: bool = True  # if False, requests are never handed over between instances, and only `advice` has an effect
    advice: bool = False  # whether clients are asked to send a fraction elsewhere; together with handover it costs throughput
    at: str = ""  # host:port to which peers send requests; empty: the listen address for clients
    offer_for: float = 0.2  # validity of an offer
    most_offers: int = 8  # maximum number of outstanding offers, which never exceeds the number of free slots
    links: int = 4  # persistent connections to a peer
    guesses: bool = True  # without offers, choose the better of two random peers by their reports
    step: float = 0.05  # largest change of the redirected fraction at a time
    step_every: float = 0.5  # mean time between changes
