"""Starts the data plane: `python3 data_plane.py`. Settings come from the file named by MULLEINHATCH_NODE_FILE."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from mulleinhatch.cli.system.start import start_data_plane  # noqa: E402

if __name__ == "__main__":
    sys.exit(start_data_plane())
