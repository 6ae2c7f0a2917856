"""Processes that do nothing but use processor time, on the processors that the fleet uses."""

from __future__ import annotations

import os
import subprocess
import sys

MAX_SECONDS = 600  # they end by themselves after this time
CODE = f"import time; end = time.monotonic() + {MAX_SECONDS}\nwhile time.monotonic() < end: pass"


def some_processors(count: int, number: int) -> set[int]:
    """Return `count` processors of this machine, different ones for successive numbers while there are others; 0 for all."""
    available = sorted(os.sched_getaffinity(0))
    first = count * number
    return {available[(first + index) % len(available)] for index in range(count or len(available))}


class BusyProcesses:
    """Some busy processes.

    Args:
        count: Their number.
        processors: The processors that they may use.
    """

    def __init__(self, count: int, processors: set[int]) -> None:
        self._count, self._processors = count, processors
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start them."""
        for _ in range(self._count):
            process = subprocess.Popen([sys.executable, "-c", CODE])
            self._processes.append(process)
            os.sched_setaffinity(process.pid, self._processors)

    def end(self) -> None:
        """Kill them."""
        for process in self._processes:
            process.kill()
            process.wait()
