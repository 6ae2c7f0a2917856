"""Start a control plane: `python3 control_plane.py`. MULLEINHATCH_NODE_FILE in the environment names its settings file."""

import signal
import sys
from pathlib import Path

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # The default action would end the process until the plane handles it.
sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from mulleinhatch.cli.system.start import start_control_plane  # noqa: E402

if __name__ == "__main__":
    sys.exit(start_control_plane())
