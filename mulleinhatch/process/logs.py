"""JSON logs on standard error, one object a line, by python-json-logger."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def start_logging(node: str, level: int = logging.INFO) -> None:
    """Sends all records of the process to standard error; each carries `node`."""
    stream = logging.StreamHandler(sys.stderr)
    stream.setFormatter(JsonFormatter(FORMAT, static_fields={"node": node}))
    root = logging.getLogger()
    root.handlers[:] = [stream]
    root.setLevel(level)
