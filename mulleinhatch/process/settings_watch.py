"""Reads the settings file of a running process again: on SIGHUP, and at an interval, as a file may change without a signal.

| setting | effect of a new value |
| --- | --- |
| `seeds` | at once |
| all others | at the next start; named in the log |
| the file is missing, invalid, or another process's | none: the former settings stay; the log tells why, once |
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from result import Err, Ok, Result

from mulleinhatch.process.settings import Settings, SettingsError, parse_settings

LOG = logging.getLogger(__name__)
CHECK_INTERVAL_S = 1.0
RELOADED_FIELD = "seeds"
START_FIELDS = frozenset({"first_start"})  # only describe the start itself


class SettingsWatch:
    """Applies changes of a settings file.

    The content is compared, not the time of the last change: a file may be replaced by one with an earlier time.

    Args:
        path: The settings file; empty if there is none.
        settings: The settings in force, with the values that a restart would change.
        on_seeds: Called with new seeds.
    """

    def __init__(self, path: str, settings: Settings, on_seeds: Callable[[tuple[str, ...]], None]) -> None:
        self._path, self._settings, self._on_seeds = path, settings, on_seeds
        self._checked: bytes | None = None  # the content that was checked last
        self._reported: str | None = None  # the last reported error

    async def run(self) -> None:
        """Check the file at an interval, forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def on_signal(self) -> None:
        """Check the file after SIGHUP."""
        LOG.info("SIGHUP: the settings file is read again")
        self._reported = None
        self._checked = None
        self.check()

    def check(self) -> None:
        """Read the file and apply what changed; never raises."""
        if not self._path:
            return
        try:
            content = Path(self._path).read_bytes()
        except OSError as error:
            self._report(f"{self._path}: {error.strerror}")
            return
        if content == self._checked:
            return
        self._checked = content
        settings = self._parse(content)
        if isinstance(settings, Err):
            self._report(str(settings.err_value))
            return
        self._reported = None
        self._apply(settings.ok_value)

    def _parse(self, content: bytes) -> Result[Settings, SettingsError]:
        parsed = parse_settings(content, self._path)
        if isinstance(parsed, Ok) and parsed.ok_value.name != self._settings.name:
            return Err(SettingsError(f"{self._path}: node_name is {parsed.ok_value.name}, another process's"))
        return parsed

    def _report(self, error: str) -> None:
        """Log an error unless it is the one logged last."""
        if error != self._reported:
            LOG.error("the settings file can't be used; the former settings stay", extra={"error": error})
        self._reported = error

    def _apply(self, settings: Settings) -> None:
        former, self._settings = self._settings, settings
        changed = [
            field.name
            for field in fields(Settings)
            if field.name not in START_FIELDS and getattr(former, field.name) != getattr(settings, field.name)
        ]
        if not changed:
            return
        at_restart = [name for name in changed if name != RELOADED_FIELD]
        LOG.info("the settings file has changed", extra={"seeds": list(settings.seeds), "at_restart": at_restart})
        if RELOADED_FIELD in changed:
            self._on_seeds(settings.seeds)
