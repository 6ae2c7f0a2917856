"""Signal handling from the start of the process: a signal that arrives during the start is handled afterwards.

SIGHUP and SIGUSR1 end a process that does not handle them, and a SIGHUP that is ignored during the start would leave old
addresses in force for good. This module imports nothing that takes time: it is called before the slow imports.
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
    """Remember signals until `handle_signals` is called. A second call keeps those received before."""
    for number in EARLY_SIGNALS:
        signal.signal(number, _remember)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)


def handle_signals(loop: Any, hangup: Callable[[], None], end: Callable[[], None], counters: Callable[[], None]) -> None:
    """Handle signals in the running event loop, and at once those that were received before.

    Args:
        hangup: Called for SIGHUP.
        end: Called for SIGTERM and SIGINT.
        counters: Called for SIGUSR1.
    """
    handlers = {signal.SIGHUP: hangup, signal.SIGTERM: end, signal.SIGINT: end}
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    loop.add_signal_handler(signal.SIGUSR1, counters)
    received = [number for number in handlers if number in received_early]
    received_early.clear()
    for number in received:
        loop.call_soon(handlers[number])
