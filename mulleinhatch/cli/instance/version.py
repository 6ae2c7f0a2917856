"""Prints the version."""

from __future__ import annotations

from importlib import metadata
from typing import Any

from mulleinhatch import __version__


def run(told: dict[str, Any]) -> int:
    print(f"mulleinhatch {__version__}, tornado {metadata.version('tornado')}")
    return 0
