"""After a pause of the process, input that arrived meanwhile is handled before timers that became due."""

from __future__ import annotations

import selectors
import signal
import socket
import subprocess
import sys
import unittest
from unittest import mock

from mulleinhatch.process.event_loop import InputFirstSelector

# Prints what came first: input on the inherited socket, or a timer. It says so when it waits.
PROGRAM = """
import asyncio, socket, sys
from mulleinhatch.process.event_loop import run

async def main():
    loop, order = asyncio.get_running_loop(), []
    sock = socket.socket(fileno=int(sys.argv[1]))
    loop.add_reader(sock, lambda: (order.append("input"), loop.remove_reader(sock)))
    timer = asyncio.Event()
    loop.call_later(0.4, lambda: (order.append("timer"), timer.set()))
    print("waiting", flush=True)
    await timer.wait()
    await asyncio.sleep(0.05)
    print(order, flush=True)

run(main())
"""
UNTIL_IT_WAITS_S, PAUSE_S = 0.1, 0.6


class Selector(unittest.TestCase):
    # Guards against an interrupted wait that reports no input although there is some, so that timers run first.
    def test_looks_for_input_again_after_a_wait_without_events(self):
        own, other = socket.socketpair()
        selector = InputFirstSelector()
        selector.register(other, selectors.EVENT_READ)
        own.send(b"x")
        waits: list[float | None] = []

        def interrupted(self: selectors.BaseSelector, timeout: float | None = None) -> list:
            waits.append(timeout)
            return [] if len(waits) == 1 else original(self, timeout)

        original = selectors.DefaultSelector.select
        with mock.patch.object(selectors.DefaultSelector, "select", interrupted):
            events = selector.select(0.3)
        self.assertEqual([key.fileobj for key, _ in events], [other])
        self.assertEqual(waits, [0.3, 0])
        for closable in (selector, own, other):
            closable.close()


class PausedProcess(unittest.TestCase):
    # Guards against a timer that concludes, after a pause, that something did not arrive although it lies unread in a socket.
    def test_input_that_arrived_during_a_pause_precedes_the_timers(self):
        own, other = socket.socketpair()
        program = subprocess.Popen(
            [sys.executable, "-c", PROGRAM, str(other.fileno())], pass_fds=[other.fileno()], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(program.stdout.close)
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        self.assertEqual(program.stdout.readline(), "waiting\n")
        with self.assertRaises(subprocess.TimeoutExpired):
            program.wait(UNTIL_IT_WAITS_S)  # The pause has to meet it in its wait for events.
        program.send_signal(signal.SIGSTOP)
        own.send(b"x")
        with self.assertRaises(subprocess.TimeoutExpired):
            program.wait(PAUSE_S)
        program.send_signal(signal.SIGCONT)
        self.assertEqual(program.stdout.readline(), "['input', 'timer']\n")
        own.close()
        other.close()


if __name__ == "__main__":
    unittest.main()
