"""Logging as JSON to standard error, one object per line."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def start_logging(node: str, level: int = logging.INFO) -> None:
    """Send all log records of the process to standard error.

    Args:
        node: The name of the process, included in each line as `node`.
        level: The lowest level that is written.
    """
    stream = logging.StreamHandler(sys.stderr)
    stream.setFormatter(JsonFormatter(FORMAT, static_fields={"node": node}))
    root = logging.getLogger()
    root.handlers[:] = [stream]
    root.setLevel(level)
