"""The names of the commands are the operators' interface: they stay as docs/operate/system.md lists them."""

from __future__ import annotations

import contextlib
import io
import re
import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from result import Ok

from mulleinhatch.cli.system import commands, demo
from mulleinhatch.cli.system.client import HttpResult

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "operate" / "system.md"
COMMANDS = {"check", "verify", "read", "send", "members", "stubs", "placement", "queues", "why", "demo"}


class Usage(unittest.TestCase):
    def test_without_a_command_the_commands_are_listed(self):
        arguments = [sys.executable, "-m", "mulleinhatch.console"]
        ended = subprocess.run(arguments, cwd=ROOT, capture_output=True, text=True, check=False)
        self.assertEqual((ended.returncode, ended.stdout), (2, ""))
        self.assertNotIn("Traceback", ended.stderr)
        for name in COMMANDS:
            self.assertRegex(ended.stderr, rf"(?m)^  {name}\b")


class Demonstration(unittest.TestCase):
    def test_the_time_left_is_never_below_zero(self):
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            demo.print_status([], demo.ClientTally(), -0.2)
        self.assertIn("   0 s left", printed.getvalue())
        self.assertNotIn("-0", printed.getvalue())


class CommandNames(unittest.TestCase):
    def test_every_command_that_operators_know_exists(self):
        self.assertLessEqual(COMMANDS, {name for name in dir(commands.Console) if not name.startswith("_")})

    def test_the_page_lists_every_command(self):
        table = PAGE.read_text().partition("## Look at it")[2].partition("\n## ")[0]
        rows = [line for line in table.splitlines() if line.startswith("| `")]
        listed = {name for row in rows for name in re.findall(r"`([a-z]+)", row.split("|")[1])}
        self.assertEqual(listed & COMMANDS, COMMANDS)

    def test_the_older_name_shows_the_backends_of_the_status(self):
        status = HttpResult(200, b'{"stubs": {"i-1": {"silent": false}}}')
        with mock.patch.object(commands, "call", return_value=Ok(status)):
            self.assertEqual(commands.Console().stubs("h:1"), {"i-1": {"silent": False}})


if __name__ == "__main__":
    unittest.main()
