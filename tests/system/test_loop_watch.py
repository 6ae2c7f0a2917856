"""The turns of an event loop: their length, what held the loop up, and what the pause detector concludes from them."""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest

from mulleinhatch.process.loop_watch import KEPT_S, LONG_TURN_S, LoopWatch, turn_status

# Runs a pause detector, and holds its loop up for a second where it is told to; prints the log.
PROGRAM = """
import asyncio, logging, sys, time
from mulleinhatch.control_plane.pause_detector import PauseDetector
from mulleinhatch.process.event_loop import run, running_watch

class Lines(logging.Handler):
    def emit(self, record):
        print(record.getMessage(), getattr(record, "activity", ""), flush=True)

async def main():
    logging.getLogger("mulleinhatch").addHandler(Lines())
    watch, loop = running_watch(), asyncio.get_running_loop()
    detector = PauseDetector(loop.time, lambda now: None, watch)
    task = asyncio.ensure_future(detector.run())
    await asyncio.sleep(0.3)
    print("waiting", flush=True)
    if sys.argv[1] == "work":
        with watch.activity("a long calculation"):
            end = time.thread_time() + 1.0
            while time.thread_time() < end:
                pass
    await asyncio.sleep(1.0)
    task.cancel()

run(main())
"""
PAUSED = "this process was paused; peers and backends get time to answer again"
HELD_UP = "this process held itself up; peers and backends get time to answer again"


class FakeTimes:
    """A clock and a processor time that a test moves."""

    def __init__(self) -> None:
        self.now_s = self.processor_s = 0.0

    def work(self, duration_s: float, share: float = 1.0) -> None:
        self.now_s += duration_s
        self.processor_s += share * duration_s


class Turns(unittest.TestCase):
    def setUp(self):
        self.times = FakeTimes()
        self.watch = LoopWatch(lambda: self.times.now_s, lambda: self.times.processor_s)

    def turn(self, duration_s: float, name: str = "work", share: float = 1.0) -> None:
        self.watch.on_turn_begun()
        with self.watch.activity(name):
            self.times.work(duration_s, share)
        self.watch.on_turn_ended()

    def test_the_status_shows_the_longest_turn_of_the_last_minute(self):
        self.turn(0.5 * LONG_TURN_S)
        self.assertEqual(turn_status(self.watch), {})
        self.turn(3.0, "check", share=0.25)
        self.turn(2.0, "apply")
        self.assertEqual(turn_status(self.watch), {"turn_ms": 3000.0, "processor_ms": 750.0, "activity": "check"})
        self.times.now_s += KEPT_S - 1.0
        self.assertEqual(turn_status(self.watch)["activity"], "apply")
        self.times.now_s += KEPT_S
        self.assertEqual(turn_status(self.watch), {})

    def test_long_turns_are_logged_at_most_every_ten_seconds(self):
        with self.assertLogs("mulleinhatch.process.loop_watch", "WARNING") as logs:
            for _ in range(6):
                self.turn(2.0)
        self.assertEqual(len(logs.records), 2)

    def test_a_turn_is_named_after_what_took_most_of_it(self):
        self.watch.on_turn_begun()
        for name, duration_s in (("short", 0.1), ("long", 0.15), ("short", 0.1)):
            with self.watch.activity(name):
                self.times.work(duration_s)
        self.assertEqual(self.watch.turn_within(1.0).activity, "short")


class PausesOfAProcess(unittest.TestCase):
    def start(self, mode: str) -> subprocess.Popen[str]:
        program = subprocess.Popen([sys.executable, "-c", PROGRAM, mode], stdout=subprocess.PIPE, text=True)
        self.addCleanup(program.stdout.close)
        self.addCleanup(program.wait)
        self.assertEqual(program.stdout.readline(), "waiting\n")
        return program

    # Guards against a process that blames the machine for a pause that its own work caused.
    def test_a_process_that_worked_says_so_and_names_the_work(self):
        output, _ = self.start("work").communicate(timeout=20)
        self.assertIn(f"{HELD_UP} a long calculation\n", output)
        self.assertNotIn(PAUSED, output)

    def test_a_process_that_was_stopped_from_outside_says_that_it_was_paused(self):
        program = self.start("idle")
        program.send_signal(signal.SIGSTOP)
        with self.assertRaises(subprocess.TimeoutExpired):
            program.wait(1.0)
        program.send_signal(signal.SIGCONT)
        output, _ = program.communicate(timeout=20)
        self.assertIn(PAUSED, output)
        self.assertNotIn(HELD_UP, output)


if __name__ == "__main__":
    unittest.main()
