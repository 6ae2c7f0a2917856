"""Traces of this instance: connects the recorder, which the reducer fills, to the writer, which has its own thread."""

from __future__ import annotations

import math
import time
from hashlib import sha256
from pathlib import Path

from mulleinhatch import __version__, admission
from mulleinhatch.admission import AdmissionController
from mulleinhatch.instance.runtime.instance_settings import InstanceSettings
from mulleinhatch.instance.traces.file import TraceMetadata
from mulleinhatch.instance.traces.recorder import Recorder
from mulleinhatch.instance.traces.replay import deployment_to_dict
from mulleinhatch.instance.traces.writer import TraceFileManager

FLUSH_INTERVAL_S = 1.0  # seconds for which a record is only in memory and would be lost with the process


class Tracing:
    """Records the calls and decisions of the admission controller into trace files."""

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        parts = sorted(Path(admission.__file__).parent.glob("*.py"))
        self.policy_digest = sha256(b"".join(part.read_bytes() for part in parts)).hexdigest()
        self.started_at, self.started_at_wall = time.monotonic(), time.time()
        self.writer = TraceFileManager(settings.traces, self._metadata)
        self.recorder: Recorder | None = None
        self.flushed_at = -math.inf

    def _metadata(self, number: int) -> TraceMetadata:
        settings = self.settings
        return TraceMetadata(
            settings.name,
            settings.seed,
            self.started_at,
            self.started_at_wall,
            number,
            deployment_to_dict(settings.deployment),
            settings.op_types,
            settings.tenants,
            self.policy_digest,
            f"mulleinhatch {__version__}",
        )

    def record_decisions(self, controller: AdmissionController, now: float, is_cold_start: bool, since: float) -> Recorder:
        """Wrap the admission controller in a recorder."""
        self.recorder = Recorder(controller, now, is_cold_start, since, self.writer.enqueue)
        return self.recorder

    def flush_if_due(self, now: float) -> None:
        """Pass the records to the writer if the flush interval has passed."""
        if self.recorder and now - self.flushed_at >= FLUSH_INTERVAL_S:
            self.flushed_at = now
            self.recorder.flush()

    def close(self) -> None:
        """Write the remaining records and close the file."""
        if self.recorder:
            self.recorder.flush()
        self.writer.close()
