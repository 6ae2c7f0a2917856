"""The event loop of the programs: input that has arrived is handled before timers, also after a pause of the process."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class InputFirstSelector(selectors.DefaultSelector):
    """Looks for input once more before it reports that there is none.

    A wait that is interrupted by a pause of the process (SIGSTOP, SIGCONT) ends without events if its time is over by then, so
    that the loop would run its timers first: they would conclude that something did not arrive although it lies unread in a
    socket.
    """

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events for at most `timeout` seconds; without a limit if it is None."""
        return super().select(timeout) or super().select(0)


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a program's main coroutine on a loop with an `InputFirstSelector`."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(InputFirstSelector())) as runner:
        runner.run(main)
