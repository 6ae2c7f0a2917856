"""`mulleinhatch version`: print the versions."""

from __future__ import annotations

from importlib import metadata
from typing import Any

from mulleinhatch import __version__


def run(arguments: dict[str, Any]) -> int:
    """Print the versions of this program and of its HTTP library."""
    print(f"mulleinhatch {__version__}, tornado {metadata.version('tornado')}")
    return 0
