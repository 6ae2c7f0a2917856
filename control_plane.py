"""Start a control plane: `python3 control_plane.py`. MULLEINHATCH_NODE_FILE in the environment names its settings file."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from mulleinhatch.cli.system.start import start_control_plane  # noqa: E402

if __name__ == "__main__":
    sys.exit(start_control_plane())
