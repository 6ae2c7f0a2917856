"""Settings of retry-storm damping and their defaults."""

from __future__ import annotations

from typing import NamedTuple


class StormBounds(NamedTuple):
    """Limits that an operator may set; field names are keys of the operator's file.

    Shares and multiples are plain numbers, times are seconds. The admission controller measures the rate that can be served.

    Attributes:
        rising_share: Share of retries among the requests from which a storm may be rising.
        storm_share: Share from which it may be a storm.
        storm_multiple: Retries as a multiple of the rate that can be served, from which it is a storm.
        calm_multiple: Multiple below which it is over.
        confirm: Seconds for which it must look like a storm if no outage was seen before.
        settle: Seconds for which it must look over.
        outage_memory: Seconds after which an outage no longer makes a storm likelier.
        loud_share: Share of all retries from which a single caller is the cause; the other callers are not limited then.
        callers_kept: Number of callers with a counter of their own.
        repeats_kept: Fingerprints of recent requests kept in each of two generations.
        horizon: Longest retry delay in seconds, if callers accept such a long one.
        heeding_part: Part of the retry rate reserved for callers that waited as long as they were asked to.
    """

    rising_share: float = 0.4
    storm_share: float = 0.6
    storm_multiple: float = 2.0
    calm_multiple: float = 0.5
    confirm: float = 0.5
    settle: float = 3.0
    outage_memory: float = 10.0
    loud_share: float = 0.6
    callers_kept: int = 512
    repeats_kept: int = 8192
    horizon: float = 30.0
    heeding_part: float = 0.9
