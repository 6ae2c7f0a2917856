"""Idle timeout of client connections."""

from __future__ import annotations

from mulleinhatch.admission.interface import Decision, Deployment, Verb

# Connections per core above which idle ones are closed early, and the idle timeout in seconds that then applies.
MANY_CONNECTIONS_PER_CORE = 16
SHORT_IDLE_TIMEOUT_S = 2.0


class IdleConnections:
    """Chooses the idle timeout of connections: short while there are many and few requests are rejected."""

    def __init__(self, deployment: Deployment, cores: int) -> None:
        self._many = MANY_CONNECTIONS_PER_CORE * cores
        self._longest_s = self._timeout_s = self._reported_s = deployment.get("longest_idle", 0.0)

    def adjust(self, connections: float, has_few_rejections: bool) -> None:
        """Choose the timeout by the number of connections.

        While many requests are rejected, idle connections stay open: a rejection on a new connection costs far more.
        """
        is_short = connections > self._many and has_few_rejections
        self._timeout_s = min(SHORT_IDLE_TIMEOUT_S, self._longest_s) if is_short else self._longest_s

    def next_report(self) -> Decision | None:
        """Report the timeout if it changed."""
        if self._timeout_s == self._reported_s:
            return None
        self._reported_s = self._timeout_s
        return Decision(Verb.TRIM, seconds=self._timeout_s)
