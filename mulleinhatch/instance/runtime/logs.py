"""The log on standard error: one line per event, key=value."""

from __future__ import annotations

import logging
import sys


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs.

    >>> record = logging.LogRecord("x.y", logging.INFO, "", 0, "now %s", ("up",), None)
    >>> record.fields = {"port": 80}
    >>> KeyValueFormatter().format(record).split(" ", 1)[1]
    'level=info part=y event="now up" port=80'
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        pairs = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quote(value)}" for key, value in pairs.items())


def quote(value: object) -> str:
    """Return the value, quoted where it contains spaces, quotes, equals signs or newlines."""
    text = str(value)
    if text and not any(char in text for char in ' "=\n'):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def start_logging(level: str) -> None:
    """Log to standard error at this level and above."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
