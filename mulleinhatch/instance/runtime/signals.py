"""Signals, from the first moment of the process: one that comes while it starts is kept, and acted on once it can be.

SIGHUP and SIGUSR1 end a process that does not handle them, and a SIGHUP that is only ignored while the start takes its time
would leave the addresses of before in force for good. Imports nothing that takes time: it is called before what does.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType
from typing import Any

EARLY_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
received_early: set[int] = set()


def _remember(number: int, _: FrameType | None) -> None:
    received_early.add(number)


def remember_early_signals() -> None:
    """Until `handle_signals`. Called twice it keeps what came before."""
    for number in EARLY_SIGNALS:
        signal.signal(number, _remember)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)


def handle_signals(loop: Any, hangup: Callable[[], None], end: Callable[[], None], counters: Callable[[], None]) -> None:
    """By the running loop from here on; what came before is acted on at once."""
    handlers = {signal.SIGHUP: hangup, signal.SIGTERM: end, signal.SIGINT: end}
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    loop.add_signal_handler(signal.SIGUSR1, counters)
    received = [number for number in handlers if number in received_early]
    received_early.clear()
    for number in received:
        loop.call_soon(handlers[number])
