"""mulleinhatch: one service instance that decides which ops it takes, runs and turns away.

Usage:
  mulleinhatch serve [--config FILE] [--operator FILE] [--log LEVEL]
  mulleinhatch check [--config FILE] [--operator FILE] [--log LEVEL]
  mulleinhatch counters HOST:PORT
  mulleinhatch demo [--fault FILE] [--seconds N]
  mulleinhatch version
  mulleinhatch (-h | --help)

Options:
  --config FILE    What the instance is told at start, as JSON; else the file that NODE_CONFIG names.
  --operator FILE  The operator's own file, as KDL; without one the usual bounds hold.
  --fault FILE     What goes wrong in the demo, as a fault script; else a kill for 6 s.
  --seconds N      How long the demo lasts [default: 60].
  --log LEVEL      The least that is logged: debug, info, warning or error [default: info].
  -h --help        This text.

serve keeps to the foreground until SIGTERM and the end of its grace; SIGUSR1 logs the counters,
SIGHUP has the file read again: vm, lookup, stop_ms and limits.sockets are taken over.
check reads what serve would be told and names the faulty key. counters asks a running instance for its own.
demo starts an instance with stand-ins round it, on loopback, and shows how it comes through an outage.
"""
from __future__ import annotations

import sys
from importlib import import_module

from docopt import docopt

COMMANDS = ("serve", "check", "counters", "demo", "version")


def main(argv: list[str] | None = None) -> int:
    told = docopt(__doc__, argv)
    name = next(name for name in COMMANDS if told[name])
    return import_module(f"mulleinhatch.commands.{name}").run(told)


if __name__ == "__main__":
    sys.exit(main())
