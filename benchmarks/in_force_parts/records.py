"""Records of a run: versions of the configuration, answers to probes, outages of processes. All times are loop times in s."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass
class SentVersion:
    """One version of the configuration that the operator sent.

    Version N has the route `/v-N/`, which no other version has, and sends the route `/moving/` to one of two services.

    Attributes:
        number: Its number.
        service: The service of `/moving/`.
        sent_at: When it was first sent.
        acknowledged_at: When it was acknowledged, infinite before that.
    """

    number: int
    service: str
    sent_at: float
    acknowledged_at: float = math.inf


@dataclass(frozen=True)
class Answer:
    """The answer of a data plane to a probe.

    Attributes:
        front: Name of the data plane.
        number: The version whose own route was asked for, 0 for `/moving/`.
        sent_at: When the probe was sent.
        ended_at: When its answer was complete.
        status: The status of the answer.
        service: The service that ran the probe, empty if none did.
    """

    front: str
    number: int
    sent_at: float
    ended_at: float
    status: int
    service: str


@dataclass(frozen=True)
class Outage:
    """A process that did not run, or was about to end, from the first signal until it was started again or resumed.

    Attributes:
        process: Its name.
        kind: What happened, such as "kill".
        began_at: When the first signal was sent.
        ended_at: When the process, or the one that replaces it, was started.
    """

    process: str
    kind: str
    began_at: float
    ended_at: float


@dataclass
class RunRecords:
    """Everything that one run recorded.

    Attributes:
        fronts: Names of the data planes.
        cores: Names of all control-plane nodes that ever ran.
        versions: All versions that were sent, in order.
        answers: All answers to probes.
        outages: All outages of processes.
        closings: When all control-plane nodes were started again after they had been lost together.
        failures: Valid changes that were rejected, and changes that were never acknowledged.
    """

    fronts: list[str] = field(default_factory=list)
    cores: list[str] = field(default_factory=list)
    versions: list[SentVersion] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    closings: list[float] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
