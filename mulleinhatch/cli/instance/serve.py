"""`mulleinhatch serve`: run a service instance in the foreground until SIGTERM and the end of its grace period."""

from __future__ import annotations

import os
import sys
from typing import Any

from mulleinhatch.instance.runtime import signals
from mulleinhatch.instance.runtime.instance import Instance
from mulleinhatch.instance.runtime.instance_settings import InstanceSettings, InvalidSettingsError, load_settings
from mulleinhatch.instance.runtime.logs import start_logging
from mulleinhatch.process import event_loop


def run(arguments: dict[str, Any]) -> int:
    """Run an instance."""
    signals.remember_early_signals()
    start_logging(arguments["--log"])

    def read_settings() -> InstanceSettings:
        return load_settings(os.environ, arguments["--config"], arguments["--operator"])

    try:
        settings = read_settings()
    except InvalidSettingsError as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    try:
        event_loop.run(Instance(settings, read_settings).serve())
    except InvalidSettingsError as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"mulleinhatch: {':'.join(map(str, settings.listen))}: {error}", file=sys.stderr)
        return 1
    return 0
