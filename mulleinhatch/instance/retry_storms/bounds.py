"""The bounds that an operator may set for storms, with what holds where none is set."""

from __future__ import annotations

from typing import NamedTuple


class StormBounds(NamedTuple):
    """Shares and multiples are plain numbers, times seconds. What can be served is the module's measure."""

    rising_share: float = 0.4  # of what is read that repeats, from which a storm may be rising
    storm_share: float = 0.6  # and from which it may be one
    storm_multiple: float = 2.0  # repeats over what can be served, from which it is one
    calm_multiple: float = 0.5  # and below which it is over
    confirm: float = 0.5  # how long it must look like one, without an outage seen before
    settle: float = 3.0  # how long it must look over
    outage_memory: float = 10.0  # an outage that lies further back makes nothing more likely
    loud_share: float = 0.6  # of all repeats by one caller: it is loud, the others are no storm
    callers_kept: int = 512  # callers with a count of their own
    repeats_kept: int = 8192  # fingerprints of ops nacked or run lately, in each of two generations
    horizon: float = 30.0  # the longest that a come-back lies ahead, if callers heed so long
    heeding_part: float = 0.9  # of the retries that are heard, kept first for callers who come when told
