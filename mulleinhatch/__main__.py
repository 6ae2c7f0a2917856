"""mulleinhatch: one service instance that decides which ops it takes, runs and turns away.

Usage:
  mulleinhatch serve [--config FILE] [--operator FILE] [--log LEVEL]
  mulleinhatch check [--config FILE] [--operator FILE]
  mulleinhatch counters HOST:PORT
  mulleinhatch version
  mulleinhatch (-h | --help)

Options:
  --config FILE  What the instance is told at start, as JSON; else the file that NODE_CONFIG names.
  --operator FILE  The operator's own file, as KDL; without one the usual bounds hold.
  --log LEVEL    The least that is logged: debug, info, warning or error [default: info].
  -h --help      This text.

serve keeps to the foreground until SIGTERM and the end of its grace; SIGUSR1 logs the counters,
SIGHUP has the file read again: vm, lookup, stop_ms and limits.sockets are taken over.
check reads what serve would be told and names the faulty key. counters asks a running instance for its own.
"""
from __future__ import annotations

import asyncio
import os
import signal
import sys
import urllib.request
from importlib import metadata

from docopt import docopt

from mulleinhatch import __version__
from mulleinhatch.program.instance import Instance
from mulleinhatch.program.logs import start_logging
from mulleinhatch.program.placement import Misplaced, placement
from mulleinhatch.protocol.http import COUNTERS_PATH


def main(argv: list[str] | None = None) -> int:
    told = docopt(__doc__, argv)
    if told["version"]:
        print(f"mulleinhatch {__version__}, tornado {metadata.version('tornado')}")
        return 0
    if told["serve"]:
        for early in (signal.SIGHUP, signal.SIGUSR1):    # their default would end us before we can hear them
            signal.signal(early, signal.SIG_IGN)
    start_logging(told["--log"])
    if told["counters"]:
        return show_counters(told["HOST:PORT"])
    try:
        place = placement(os.environ, told["--config"], told["--operator"])
    except Misplaced as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    if told["check"]:
        print(f"{place.name}: {len(place.op_types)} op types, {len(place.tenants)} tenants")
        return 0
    try:
        asyncio.run(Instance(place, lambda: placement(os.environ, told["--config"], told["--operator"])).serve())
    except OSError as error:
        print(f"mulleinhatch: {':'.join(map(str, place.listen))}: {error}", file=sys.stderr)
        return 1
    return 0


def show_counters(address: str) -> int:
    try:
        with urllib.request.urlopen(f"http://{address}{COUNTERS_PATH.decode()}", timeout=5) as answer:
            sys.stdout.write(answer.read().decode())
    except (OSError, ValueError) as error:
        print(f"mulleinhatch: {address}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
