"""mulleinhatch: one service instance that decides which ops it takes, runs and turns away.

Usage:
  mulleinhatch serve [--config FILE] [--operator FILE] [--log LEVEL]
  mulleinhatch check [--config FILE] [--operator FILE] [--log LEVEL]
  mulleinhatch counters HOST:PORT
  mulleinhatch demo [--fault FILE] [--seconds N]
  mulleinhatch fleet (members|budgets|judgements|levels|watch) [--operator FILE] [--at HOST:PORT]
  mulleinhatch fleet spread [--live] [--plot FILE] [--seconds N] [--operator FILE] [--at HOST:PORT]
  mulleinhatch upkeep ask [NAME | --zone Z | --all] --for TIME --reason TEXT [--by TIME] [--emergency]
                          [--control HOST:PORT] [--operator FILE]
  mulleinhatch upkeep why NAME [--control HOST:PORT] [--operator FILE]
  mulleinhatch upkeep (cancel|order|out|history|thaw) [--control HOST:PORT] [--operator FILE]
  mulleinhatch upkeep freeze --reason TEXT [--control HOST:PORT] [--operator FILE]
  mulleinhatch upkeep release NAME --reason TEXT [--control HOST:PORT] [--operator FILE]
  mulleinhatch upkeep over NAME --over-the-bound TEXT [--control HOST:PORT] [--operator FILE]
  mulleinhatch upkeep voters VOTER... [--control HOST:PORT] [--operator FILE]
  mulleinhatch search [--seconds N] [--seed N] [--out FILE]
  mulleinhatch search replay FILE...
  mulleinhatch trace info FILE...
  mulleinhatch trace cut FILE --out FILE [--since S] [--until S] [--tenant NAME] [--op-type NAME] [--op ID]
  mulleinhatch trace merge FILE... --out FILE [--offset NODE=S]...
  mulleinhatch trace anonymise FILE --out FILE --key FILE
  mulleinhatch trace summary FILE [--json]
  mulleinhatch trace replay FILE [--against TEXT]
  mulleinhatch version
  mulleinhatch (-h | --help)

Options:
  --config FILE    What the instance is told at start, as JSON; else the file that NODE_CONFIG names.
  --operator FILE  The operator's own file, as KDL; without one the usual bounds hold.
  --at HOST:PORT   Where the instance's callers connect; else `status` of the fleet in the operator's file.
  --fault FILE     What goes wrong in the demo, as a fault script; else a kill for 6 s.
  --seconds N      How long the demo or a search lasts, or a plot looks [default: 60].
  --seed N         The first seed of a search; else 1.
  --live           The table live.
  --control HOST:PORT  Where the instance listens for upkeep; else `control` in the operator's file.
  --zone Z         All of that zone.
  --all            All that are there.
  --for TIME       How long it will be out: 90, 20m or 1.5h.
  --by TIME        To be done within that time.
  --reason TEXT    Why, for people and for the log.
  --emergency      Before all others, within the bound.
  --over-the-bound TEXT  The reason to take one more out than the bound allows.
  --plot FILE      A heat map of who was busy when, as PNG.
  --out FILE       Where a trace that is made goes; a new file.
  --offset NODE=S  Seconds to be added to a node's system clock.
  --key FILE       The key of the aliases, 16 bytes or more; the same one gives the same aliases.
  --since S        From that second of the instance's clock on, as trace info tells it.
  --until S        Up to that second.
  --tenant NAME    Of the ops, those of this tenant.
  --op-type NAME   Of the ops, those of this type.
  --op ID          One op, all that became of it.
  --json           The sums as JSON, by second too.
  --against TEXT   Another text of the module, a Python file: what it would have decided.
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

if sys.argv[1:2] == ["serve"]:  # what is imported below takes its time, in which a signal may come
    from mulleinhatch.instance.runtime import signals

    signals.remember_early_signals()

from docopt import docopt  # noqa: E402

COMMANDS = ("serve", "check", "counters", "demo", "fleet", "search", "trace", "upkeep", "version")


def main(argv: list[str] | None = None) -> int:
    """Run the sub-command that the arguments name; return the exit status."""
    arguments = docopt(__doc__, argv)
    name = next(name for name in COMMANDS if arguments[name])
    return import_module(f"mulleinhatch.cli.instance.{name}").run(arguments)


if __name__ == "__main__":
    sys.exit(main())
