"""The names of the commands are the operators' interface: they stay as docs/operate/system.md lists them."""

from __future__ import annotations

import re
import unittest
from pathlib import Path
from unittest import mock

from result import Ok

from mulleinhatch.cli.system import commands
from mulleinhatch.cli.system.client import HttpResult

PAGE = Path(__file__).parents[2] / "docs" / "operate" / "system.md"
COMMANDS = {"check", "verify", "read", "send", "members", "stubs", "placement", "queues", "why", "demo"}


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
