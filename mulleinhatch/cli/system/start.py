"""Start a plane from its settings file; invalid settings end the process with a message that names the key and the remedy."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Awaitable, Callable

from result import Err

from mulleinhatch.process import event_loop
from mulleinhatch.process.logs import start_logging
from mulleinhatch.process.settings import Settings, read_settings

EXIT_INVALID_SETTINGS = 2
LEVEL_VARIABLE = "MULLEINHATCH_LOG_LEVEL"


def _start(run: Callable[[Settings], Awaitable[None]]) -> int:
    read = read_settings()
    if isinstance(read, Err):
        print(read.err_value, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = read.ok_value
    start_logging(settings.name, getattr(logging, os.environ.get(LEVEL_VARIABLE, "INFO"), logging.INFO))
    event_loop.run(run(settings))
    return 0


def start_control_plane() -> int:
    """Run a control-plane node until it ends; return the exit status of the process."""
    # Imported here, so that a process loads one plane only.
    from mulleinhatch.control_plane.process import ControlPlaneProcess

    async def run(settings: Settings) -> None:
        await ControlPlaneProcess(settings).run()

    return _start(run)


def start_data_plane() -> int:
    """Run a data plane until it ends; return the exit status of the process."""
    # Imported here, so that a process loads one plane only.
    from mulleinhatch.data_plane.process import DataPlane

    async def run(settings: Settings) -> None:
        await DataPlane(settings).run()

    return _start(run)
