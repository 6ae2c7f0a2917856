"""One service instance, in the foreground until SIGTERM and the end of its grace."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Any

from mulleinhatch.program import signals
from mulleinhatch.program.instance import Instance
from mulleinhatch.program.logs import start_logging
from mulleinhatch.program.placement import Misplaced, Placement, placement


def run(told: dict[str, Any]) -> int:
    signals.heard_early()
    start_logging(told["--log"])

    def placed() -> Placement:
        return placement(os.environ, told["--config"], told["--operator"])

    try:
        place = placed()
    except Misplaced as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(Instance(place, placed).serve())
    except Misplaced as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"mulleinhatch: {':'.join(map(str, place.listen))}: {error}", file=sys.stderr)
        return 1
    return 0
