"""Reads what `serve` would be told, the operator's file too, and names the faulty key."""

from __future__ import annotations

import os
import sys
from typing import Any

from mulleinhatch.instance.runtime.instance_settings import InvalidSettingsError, placement
from mulleinhatch.instance.runtime.logs import start_logging


def run(told: dict[str, Any]) -> int:
    start_logging(told["--log"])
    try:
        place = placement(os.environ, told["--config"], told["--operator"])
    except InvalidSettingsError as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    storms = "storm books kept" if place.storms else "no storm books"
    print(f"{place.name}: {len(place.op_types)} op types, {len(place.tenants)} tenants, {storms}")
    return 0
