"""The event loop of the programs: input that has arrived is handled before timers, and each turn of the loop is measured."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from mulleinhatch.process.loop_watch import LoopWatch


class InputFirstSelector(selectors.DefaultSelector):
    """Looks for input once more before it reports that there is none.

    A wait that is interrupted by a pause of the process (SIGSTOP, SIGCONT) ends without events if its time is over by then, so
    that the loop would run its timers first: they would conclude that something did not arrive although it lies unread in a
    socket.

    Args:
        watch: Measures the turns of the loop; None measures nothing.
    """

    def __init__(self, watch: LoopWatch | None = None) -> None:
        super().__init__()
        self._watch = watch

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events for at most `timeout` seconds; without a limit if it is None."""
        if self._watch is None:
            return self._select(timeout)
        self._watch.on_turn_ended()
        events = self._select(timeout)
        self._watch.on_turn_begun()
        return events

    def _select(self, timeout: float | None) -> list[tuple[selectors.SelectorKey, int]]:
        return super().select(timeout) or super().select(0)


class WatchedEventLoop(asyncio.SelectorEventLoop):
    """An event loop that handles input before timers and measures its turns.

    Attributes:
        watch: The turns of this loop.
    """

    def __init__(self) -> None:
        self.watch = LoopWatch()
        super().__init__(InputFirstSelector(self.watch))


def running_watch() -> LoopWatch:
    """Return the watch of the running loop; on another kind of loop, one that measures no turns."""
    loop = asyncio.get_running_loop()
    return loop.watch if isinstance(loop, WatchedEventLoop) else LoopWatch()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a program's main coroutine on a `WatchedEventLoop`."""
    with asyncio.Runner(loop_factory=WatchedEventLoop) as runner:
        runner.run(main)
