"""A SIGHUP while a plane starts does not end it."""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# Runs the beginning of an entry point, up to the import of the plane, and tells what SIGHUP does by then.
PROGRAM = """
import signal, sys
text = open(sys.argv[1]).read()
exec(compile(text[: text.index("from mulleinhatch")].replace("__file__", "sys.argv[1]"), sys.argv[1], "exec"))
print(signal.getsignal(signal.SIGHUP).name)
"""


class EarlySignals(unittest.TestCase):
    # Guards against a plane that ends by itself: a SIGHUP came before the plane was loaded and handled it.
    def test_a_hang_up_before_the_plane_is_loaded_is_ignored(self):
        for script in ("control_plane.py", "data_plane.py"):
            ran = subprocess.run(
                [sys.executable, "-c", PROGRAM, str(ROOT / script)], capture_output=True, text=True, check=True
            )
            self.assertEqual(ran.stdout.strip(), signal.SIG_IGN.name, script)


if __name__ == "__main__":
    unittest.main()
