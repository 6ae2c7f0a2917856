"""mulleinhatch: one service instance that decides which requests it admits, runs and rejects.

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
  --config FILE    Settings of the instance, as JSON; else the file that NODE_CONFIG names.
  --operator FILE  The operator's file, as KDL; without one the defaults apply.
  --at HOST:PORT   Address on which the instance serves clients; else `status` of the fleet in the operator's file.
  --fault FILE     Fault script of the demo; else the instance is killed for 6 s.
  --seconds N      Duration of the demo or a search, or time span of a plot [default: 60].
  --seed N         The first seed of a search; else 1.
  --live           Refresh the table continuously.
  --control HOST:PORT  Address on which the instance serves upkeep; else `control` in the operator's file.
  --zone Z         All instances of that zone.
  --all            All known instances.
  --for TIME       Expected duration of the outage: 90, 20m or 1.5h.
  --by TIME        Time within which it must be done.
  --reason TEXT    Reason, shown to people and written to the log.
  --emergency      Ahead of all other requests, within the bound.
  --over-the-bound TEXT  Reason for taking one more instance out than the bound allows.
  --plot FILE      Heat map of the load of each instance over time, as PNG.
  --out FILE       New file to write the result to.
  --offset NODE=S  Seconds to add to a node's system clock.
  --key FILE       Key of the aliases, 16 bytes or more; the same key gives the same aliases.
  --since S        First second on the instance's clock, as shown by trace info.
  --until S        Last second on the instance's clock.
  --tenant NAME    Only requests of this tenant.
  --op-type NAME   Only requests of this type.
  --op ID          Only this request, with all its records.
  --json           The totals as JSON, also per second.
  --against TEXT   Python file of another version of the module, to compare its decisions.
  --log LEVEL      Lowest level that is logged: debug, info, warning or error [default: info].
  -h --help        Show this text.

serve runs in the foreground until SIGTERM and the end of the grace period; SIGUSR1 logs the counters,
SIGHUP reloads the file: vm, lookup, stop_ms and limits.sockets take effect.
check validates the settings of serve and names a faulty key. counters prints the counters of a running instance.
demo starts an instance with simulated peers on loopback and shows how it handles an outage.
"""

from __future__ import annotations

import sys
from importlib import import_module

if sys.argv[1:2] == ["serve"]:  # the imports below take time, during which a signal may arrive
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
