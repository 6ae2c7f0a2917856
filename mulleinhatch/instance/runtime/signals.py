"""Signals, from the first moment of the process: one that comes while it starts is kept, and acted on once it can be.

SIGHUP and SIGUSR1 end a process that does not handle them, and a SIGHUP that is only ignored while the start takes its time
would leave the addresses of before in force for good. Imports nothing that takes time: it is called before what does.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType
from typing import Any

KEPT = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
early: set[int] = set()


def _keep(number: int, _: FrameType | None) -> None:
    early.add(number)


def heard_early() -> None:
    """Until `handled`. Called twice it keeps what came before."""
    for number in KEPT:
        signal.signal(number, _keep)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)


def handled(loop: Any, hangup: Callable[[], None], end: Callable[[], None], counters: Callable[[], None]) -> None:
    """By the running loop from here on; what came before is acted on at once."""
    handlers = {signal.SIGHUP: hangup, signal.SIGTERM: end, signal.SIGINT: end}
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    loop.add_signal_handler(signal.SIGUSR1, counters)
    came = [number for number in handlers if number in early]
    early.clear()
    for number in came:
        loop.call_soon(handlers[number])
