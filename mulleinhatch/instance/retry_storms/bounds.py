"""Settings of retry-storm damping and their defaults."""

from __future__ import annotations

from typing import NamedTuple


class StormBounds(NamedTuple):
    """Limits that an operator may set; field names are keys of the operator's file.

    Shares and multiples are plain numbers, times are in seconds. The admission controller measures the rate that can be served.

    Attributes:
        rising_share: Minimum share of retries among the requests for the stage rising.
        storm_share: Minimum share of retries for a storm.
        storm_multiple: Minimum retries for a storm, as a multiple of the rate that can be served.
        calm_multiple: Multiple below which a storm ends.
        confirm: Seconds for which the criteria of a storm must hold if there was no recent outage.
        settle: Seconds for which the retries must stay below `calm_multiple`.
        outage_memory: Seconds for which an outage counts as recent.
        loud_share: Minimum share of all retries for a single caller to be the cause; other callers are not limited then.
        callers_kept: Number of callers with their own counter.
        repeats_kept: Fingerprints of recent requests kept in each of two generations.
        horizon: Longest retry delay in seconds, if callers accept it.
        heeding_part: Part of the retry rate reserved for callers that waited for the requested delay.
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
