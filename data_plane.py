"""Start a data plane: `python3 data_plane.py`. MULLEINHATCH_NODE_FILE in the environment names its settings file."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from mulleinhatch.cli.system.start import start_data_plane  # noqa: E402

if __name__ == "__main__":
    sys.exit(start_data_plane())
