"""Bounds of the soak's deployment, used for the settings of its processes and for the limits of the checks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SoakBounds:
    """Durations and limits; the names are those of the settings.

    Attributes:
        contact_s: How long a machine must have been undisturbed to count as in contact.
        acknowledge_s: The time limit for acknowledging a change while there are no faults.
        apply_s: The time from an acknowledgement until machines in contact apply the change.
        outer_s: By how much faults of control-plane nodes may extend `apply_s`.
        grace_s: The time from SIGTERM until the platform sends SIGKILL.
        recovery_s: The time from the last fault until requests are served again.
        loss_slack_s: If a connection closes sooner than this after a request was sent, the request may not have been read.
        quota_window_s: Length of the sliding window of quotas.
        quota_overage: Fraction of a limit that may be used beyond it.
        quota_slack: Tokens that may be used beyond the limit and the overage.
    """

    contact_s: float = 4.0
    acknowledge_s: float = 5.0
    apply_s: float = 2.5
    outer_s: float = 6.0
    grace_s: float = 8.0
    recovery_s: float = 15.0
    loss_slack_s: float = 0.2
    quota_window_s: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 2000.0

    def settings_lines(self) -> list[str]:
        """Return the lines of a settings file."""
        return [
            f"bounds.contact_ms={1000 * self.contact_s:.0f}",
            f"bounds.acknowledge_ms={1000 * self.acknowledge_s:.0f}",
            f"bounds.configuration_apply_ms={1000 * self.apply_s:.0f}",
            f"bounds.revocation_ms={1000 * 2 * self.apply_s:.0f}",
            f"bounds.outer_bound_ms={1000 * self.outer_s:.0f}",
            f"bounds.grace_period_s={self.grace_s:.0f}",
            f"bounds.quota_window_s={self.quota_window_s:.0f}",
            f"bounds.quota_overage={self.quota_overage}",
            f"bounds.quota_slack={self.quota_slack:.0f}",
        ]

    def allowed_units(self, rate_per_s: float, burst: float) -> float:
        """Return the units that may be used in one window.

        >>> SoakBounds().allowed_units(1000, 500)
        11350.0
        """
        return (rate_per_s * self.quota_window_s + burst) * (1 + self.quota_overage) + self.quota_slack
