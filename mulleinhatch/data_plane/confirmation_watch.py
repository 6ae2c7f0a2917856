"""Watches since when no control-plane node has confirmed the configuration of a data plane, and logs it.

The first warning comes after half of the time within which an acknowledged configuration has to be in force; further ones
follow in growing intervals while it lasts.
"""

from __future__ import annotations

import logging

from mulleinhatch.data_plane.poll_targets import PollTargets

LOG = logging.getLogger(__name__)
FIRST_WARNING_SHARE = 0.5  # of `configuration_apply_s`
INTERVAL_GROWTH = 2.0
MAX_INTERVAL_S = 60.0


class ConfirmationWatch:
    """The time without a confirmation from a node in contact with a majority.

    Args:
        targets: The nodes that the data plane polls.
        configuration_apply_s: Time within which an acknowledged configuration has to be in force, in seconds.
        started_at: Loop time in seconds.

    Attributes:
        is_confirmed: Whether a node in contact with a majority answered in the last round of polls.
    """

    def __init__(self, targets: PollTargets, configuration_apply_s: float, started_at: float) -> None:
        self._targets = targets
        self._first_interval_s = FIRST_WARNING_SHARE * configuration_apply_s
        self._interval_s = self._first_interval_s
        self._confirmed_at, self._warned_at = started_at, started_at
        self.is_confirmed = False

    def record_confirmed(self, address: str, now: float) -> None:
        """Record that a node in contact with a majority answered."""
        if self._warned_at > self._confirmed_at:
            fields = {"control_plane": address, "unconfirmed_s": self._unconfirmed_s(now)}
            LOG.info("a control plane confirms the configuration again", extra=fields)
        self.is_confirmed = True
        self._confirmed_at = self._warned_at = now
        self._interval_s = self._first_interval_s

    def record_unconfirmed(self, version: int, now: float) -> None:
        """Record that no node confirmed the configuration in a round of polls; warn if that lasts.

        Args:
            version: Version of the configuration in force.
            now: Loop time in seconds.
        """
        self.is_confirmed = False
        if now - self._warned_at < self._interval_s:
            return
        if self._warned_at > self._confirmed_at:
            self._interval_s = min(MAX_INTERVAL_S, INTERVAL_GROWTH * self._interval_s)
        self._warned_at = now
        responsive = [address for address in self._targets.addresses if self._targets.is_responsive(address)]
        silent = [address for address in self._targets.addresses if address not in responsive]
        fields = {
            "version": version,
            "unconfirmed_s": self._unconfirmed_s(now),
            "silent": silent,
            "without_majority": responsive,
        }
        LOG.warning("no control plane confirms the configuration", extra=fields)

    def _unconfirmed_s(self, now: float) -> float:
        return round(now - self._confirmed_at, 2)
