"""Draining before the process is stopped: effects on deadlines and arrivals."""

from __future__ import annotations

import math

from mulleinhatch.admission.constants import STOP_MARGIN_S
from mulleinhatch.admission.interface import Deployment
from mulleinhatch.admission.request import Request


class Drain:
    """Times at which draining began and at which the process is stopped; both infinite until a stop is announced."""

    def __init__(self, deployment: Deployment) -> None:
        self._arrival_grace_s = deployment.get("drain_grace", 0.0)
        self.started_at = self.stop_at = math.inf

    def start(self, now: float, grace_s: float) -> None:
        """Begin to drain; the process is stopped after `grace_s`."""
        self.started_at, self.stop_at = now, now + grace_s

    def shorten_deadline(self, request: Request) -> None:
        """Cap a request's deadline before the stop."""
        request.deadline = min(request.deadline, self.stop_at - STOP_MARGIN_S)

    def rejects(self, request: Request, margin_s: float) -> bool:
        """Return whether a request arrived after the grace period in which clients may still send."""
        return request.arrived_at > self.started_at + self._arrival_grace_s - margin_s
