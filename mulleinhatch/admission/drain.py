"""The notice that the instance will be stopped, and what it means for requests."""

from __future__ import annotations

import math

from mulleinhatch.admission.constants import STOP_MARGIN_S
from mulleinhatch.admission.interface import Deployment
from mulleinhatch.admission.request import Request


class Drain:
    """When the instance began to drain, and when its process is stopped; both infinite until a notice comes."""

    def __init__(self, deployment: Deployment) -> None:
        self._arrival_grace_s = deployment.get("drain_grace", 0.0)
        self.started_at = self.stop_at = math.inf

    def start(self, now: float, grace_s: float) -> None:
        """Begin to drain; the process is stopped after `grace_s`."""
        self.started_at, self.stop_at = now, now + grace_s

    def shorten_deadline(self, request: Request) -> None:
        """Move a request's deadline before the stop."""
        request.deadline = min(request.deadline, self.stop_at - STOP_MARGIN_S)

    def refuses(self, request: Request, margin_s: float) -> bool:
        """Return whether a request arrived after the time in which callers may still send."""
        return request.arrived_at > self.started_at + self._arrival_grace_s - margin_s
