"""Command names are part of the operators' interface and must match docs/operate/system.md."""

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
    def test_commands_are_listed_without_arguments(self):
        arguments = [sys.executable, "-m", "mulleinhatch.console"]
        result = subprocess.run(arguments, cwd=ROOT, capture_output=True, text=True, check=False)
        self.assertEqual((result.returncode, result.stdout), (2, ""))
        self.assertNotIn("Traceback", result.stderr)
        for name in COMMANDS:
            self.assertRegex(result.stderr, rf"(?m)^  {name}\b")


class Demonstration(unittest.TestCase):
    def test_remaining_time_is_never_negative(self):
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            demo.print_status([], demo.ClientTally(), -0.2)
        self.assertIn("   0 s left", printed.getvalue())
        self.assertNotIn("-0", printed.getvalue())


class CommandNames(unittest.TestCase):
    def test_every_documented_command_exists(self):
        self.assertLessEqual(COMMANDS, {name for name in dir(commands.Console) if not name.startswith("_")})

    def test_the_page_lists_every_command(self):
        table = PAGE.read_text().partition("## Look at it")[2].partition("\n## ")[0]
        rows = [line for line in table.splitlines() if line.startswith("| `")]
        listed = {name for row in rows for name in re.findall(r"`([a-z]+)", row.split("|")[1])}
        self.assertEqual(listed & COMMANDS, COMMANDS)

    def test_former_command_name_prints_the_backends(self):
        status = HttpResult(200, b'{"stubs": {"i-1": {"silent": false}}}')
        with mock.patch.object(commands, "call", return_value=Ok(status)):
            self.assertEqual(commands.Console().stubs("h:1"), {"i-1": {"silent": False}})


if __name__ == "__main__":
    unittest.main()
