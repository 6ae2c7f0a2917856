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
        config = load_settings(os.environ, arguments["--config"], arguments["--operator"])
    except InvalidSettingsError as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    detection = "retry storm detection on" if config.storms else "retry storm detection off"
    print(f"{config.name}: {len(config.op_types)} op types, {len(config.tenants)} tenants, {detection}")
    return 0
