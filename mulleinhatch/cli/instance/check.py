"""`mulleinhatch check`: validate the settings that `serve` would use, and name the invalid key."""

from __future__ import annotations

import os
import sys
from typing import Any

from mulleinhatch.instance.runtime.instance_settings import InvalidSettingsError, load_settings
from mulleinhatch.instance.runtime.logs import start_logging


def run(arguments: dict[str, Any]) -> int:
    """Validate the settings and print a summary."""
    start_logging(arguments["--log"])
    try:
        place = load_settings(os.environ, arguments["--config"], arguments["--operator"])
    except InvalidSettingsError as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    detection = "storm books kept" if place.storms else "no storm books"
    print(f"{place.name}: {len(place.op_types)} op types, {len(place.tenants)} tenants, {detection}")
    return 0
