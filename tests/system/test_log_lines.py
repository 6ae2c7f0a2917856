"""Every log message of the system's programs is listed in docs/operate/system.md, for the engineer on call."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "operate" / "system.md"
PACKAGES = ("control_plane", "data_plane", "networking", "process", "storage")


def log_messages() -> Iterator[tuple[str, str]]:
    """Yield the file and the message of each log call."""
    for package in PACKAGES:
        for path in sorted((ROOT / "mulleinhatch" / package).rglob("*.py")):
            for call in ast.walk(ast.parse(path.read_text())):
                if isinstance(call, ast.Call) and ast.unparse(call.func).startswith("LOG."):
                    yield str(path.relative_to(ROOT)), ast.literal_eval(call.args[0])


class LogMessages(unittest.TestCase):
    def test_the_page_lists_every_log_message(self):
        rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
        listed = {row.split("|")[1].strip().strip("`") for row in rows}
        messages = list(log_messages())
        self.assertGreater(len(messages), 20)
        missing = [(path, message) for path, message in messages if message not in listed]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
