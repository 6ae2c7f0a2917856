"""Settings files that change while their process runs."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from mulleinhatch.process import settings_watch
from mulleinhatch.process.settings import read_settings
from mulleinhatch.process.settings_watch import SettingsWatch

LINES = {"node_name": "data-1", "ip_address": "127.0.0.1", "internal_port_range": "7660,7675", "first_start": "true"}
FIRST, SECOND = "127.0.1.1:80,127.0.1.2:80", "127.0.2.1:80"


class SettingsWatchTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.conf"
        self.write(seeds=FIRST)
        self.seeds: list[tuple[str, ...]] = []
        self.watch = SettingsWatch(str(self.path), read_settings(str(self.path)).ok_value, self.seeds.append)

    def write(self, **lines: str) -> None:
        self.path.write_text("".join(f"{key}={text}\n" for key, text in {**LINES, **lines}.items()))

    def log_of_check(self) -> list[dict[str, object]]:
        """Check the file; return what was logged."""
        with self.assertLogs(level="INFO") as logs:
            settings_watch.LOG.info("begin")
            self.watch.check()
        return [vars(record) for record in logs.records[1:]]

    # Guards against a process that knows only addresses which are gone, although its settings file names living ones (CONFIG).
    def test_new_seeds_take_effect_without_a_signal(self):
        self.write(seeds=SECOND, first_start="false")
        (line,) = self.log_of_check()
        self.assertEqual((line["seeds"], line["at_restart"]), ([SECOND], []))
        self.assertEqual(self.seeds, [(SECOND,)])

    def test_a_file_without_a_change_has_no_effect(self):
        self.assertEqual(self.log_of_check(), [])
        self.write(seeds=FIRST, first_start="false")
        self.assertEqual((self.log_of_check(), self.seeds), ([], []))

    def test_other_settings_wait_for_a_restart_and_are_named_once(self):
        self.write(seeds=FIRST, zone="z", **{"limits.memory_mb": "77"})
        (line,) = self.log_of_check()
        self.assertEqual((line["at_restart"], self.seeds), (["zone", "memory_mb"], []))
        self.assertEqual(self.log_of_check(), [])

    def test_a_file_that_cannot_be_used_leaves_the_former_settings_and_is_reported_once(self):
        broken = [
            ("seeds", lambda: self.write(seeds="127.0.2.1:http")),
            ("node_name", lambda: self.write(seeds=SECOND, node_name="data-2")),
            ("No such file", self.path.unlink),
        ]
        for reason, break_file in broken:
            with self.subTest(reason):
                break_file()
                (line,) = self.log_of_check()
                self.assertIn(reason, line["error"])
                self.assertEqual((self.log_of_check(), self.seeds), ([], []))
        self.write(seeds=SECOND)
        self.log_of_check()
        self.assertEqual(self.seeds, [(SECOND,)])

    def test_a_signal_reports_a_broken_file_again(self):
        self.write(seeds="nowhere")
        self.watch.check()
        with self.assertLogs(level="ERROR"):
            self.watch.on_signal()


if __name__ == "__main__":
    unittest.main()
