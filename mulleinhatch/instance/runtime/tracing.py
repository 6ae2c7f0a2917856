"""Traces of this instance: joins the recorder, which the reducer fills, with the keeper, which writes in its own thread."""

from __future__ import annotations

import math
import time
from hashlib import sha256
from pathlib import Path

from mulleinhatch import __version__
from mulleinhatch import admission as decide
from mulleinhatch.admission import AdmissionController
from mulleinhatch.instance.runtime.instance_settings import Placement
from mulleinhatch.instance.traces.file import TraceMetadata
from mulleinhatch.instance.traces.recorder import Recorder
from mulleinhatch.instance.traces.replay import deployment_to_dict
from mulleinhatch.instance.traces.writer import TraceFileManager

FLUSH_EVERY = 1.0  # seconds that a record waits for others, at most: what a kill costs


class Tracing:
    def __init__(self, placement: Placement) -> None:
        self.placement = placement
        parts = sorted(Path(decide.__file__).parent.glob("*.py"))
        self.policy = sha256(b"".join(part.read_bytes() for part in parts)).hexdigest()
        self.clock, self.wall = time.monotonic(), time.time()
        self.file_manager = TraceFileManager(placement.traces, self._facts)
        self.recorder: Recorder | None = None
        self.flushed_at = -math.inf

    def _facts(self, number: int) -> TraceMetadata:
        place = self.placement
        return TraceMetadata(
            place.name,
            place.seed,
            self.clock,
            self.wall,
            number,
            deployment_to_dict(place.deployment),
            place.op_types,
            place.tenants,
            self.policy,
            f"mulleinhatch {__version__}",
        )

    def recorded(self, hatch: AdmissionController, now: float, cold: bool, since: float) -> Recorder:
        self.recorder = Recorder(hatch, now, cold, since, self.file_manager.enqueue)
        return self.recorder

    def beat(self, now: float) -> None:
        if self.recorder and now - self.flushed_at >= FLUSH_EVERY:
            self.flushed_at = now
            self.recorder.flush()

    def close(self) -> None:
        if self.recorder:
            self.recorder.flush()
        self.file_manager.close()
