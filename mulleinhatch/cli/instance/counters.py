"""`mulleinhatch counters`: print the counters of a running instance."""

from __future__ import annotations

import sys
import urllib.request
from typing import Any

from mulleinhatch.instance.protocol.http_requests import COUNTERS_PATH


def run(arguments: dict[str, Any]) -> int:
    """Print the counters of the instance at an address."""
    address = arguments["HOST:PORT"]
    try:
        with urllib.request.urlopen(f"http://{address}{COUNTERS_PATH.decode()}", timeout=5) as response:
            sys.stdout.write(response.read().decode())
    except (OSError, ValueError) as error:
        print(f"mulleinhatch: {address}: {error}", file=sys.stderr)
        return 1
    return 0
