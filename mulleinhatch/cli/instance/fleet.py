"""`mulleinhatch fleet`: print what a running instance knows about its fleet."""

from __future__ import annotations

import json
import sys
import time
import urllib.error
import urllib.request
from typing import Any

from mulleinhatch.instance.protocol.http_requests import FLEET_PATH
from mulleinhatch.instance.runtime import operator_file as operator

REFRESH_INTERVAL_S = 0.5


def fetch_status(address: str) -> dict[str, Any]:
    """Return the fleet status of an instance."""
    with urllib.request.urlopen(f"http://{address}{FLEET_PATH.decode()}", timeout=5) as response:
        return json.loads(response.read())


def members(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table of members."""
    rows = [("member", "state", "heard", "life", "address")]
    for row in sorted(status["members"], key=lambda row: row["name"]):
        heard = "-" if row["state"] == "self" or row["heard"] > 1e5 else f"{row['heard']:.1f} s"
        rows.append((row["name"], row["state"], heard, f"{row['life']}.{row['incarnation']}", row["address"]))
    return rows


def budgets(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table of budgets."""
    return [
        ("budget", "total", "even", "may use", "lent", "borrowed", "demand"),
        *(
            (
                row["name"],
                f"{row['total']} in {row['window']:g} s" if row["window"] else f"{row['total']} at a time",
                *(f"{row[key]:g}" for key in ("home", "usable", "lent", "borrowed", "demand")),
            )
            for row in status["budgets"]
        ),
    ]


def judgements(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table of outlier verdicts."""
    return [
        ("subject", "verdict"),
        *((subject, "out") for subject in status["out"]),
        *((subject, f"unhealthy according to {observer} alone: check that instance") for observer, subject in status["alone"]),
        *([("-", f"{status['held_back']} more are unhealthy but still used: too many at once")] if status["held_back"] else []),
    ]


def text(rows: list[tuple[str, ...]]) -> str:
    """Return a table as aligned text.

    >>> text([("a", "bb"), ("ccc", "d")])
    'a    bb\\nccc  d\\n'
    """
    widths = [max(map(len, column)) for column in zip(*rows)]
    return "".join("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip() + "\n" for row in rows)


def head(status: dict[str, Any]) -> str:
    """Return the summary line."""
    state = "FROZEN: most members are silent, none is declared gone" if status["frozen"] else "not frozen"
    known = status["others_free"] >= 0.0
    free = f"{status['others_free']:.0%} of the peers' capacity free" if known else "capacity of the peers unknown"
    return (
        f"fleet {status['fleet']}, {state}; {free}{'; ANOTHER INSTANCE USES THIS NAME' if status['doubled'] else ''}"
        f"{'; THE PEERS CONSIDER THIS INSTANCE UNHEALTHY' if status['judged_ill'] else ''}"
    )


def busiest_tenants(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table of the tenants with the most requests, with bounds of their rates."""
    return [
        ("busiest tenant", "at least per second", "at most", "members", "silent"),
        *(
            (name, f"{least:.1f}", f"{most:.1f}", str(count), str(silent))
            for name, least, most, count, silent, _ in status["loudest"]
        ),
    ]


def sums(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table of sums over the fleet, as lower and upper bounds."""
    return [
        ("sum over the fleet", "at least", "at most", "members", "silent"),
        *(
            (figure, f"{row['least']:.0f}", f"{row['most']:.0f}", str(row["members"]), str(row["silent"]))
            for figure, row in status["sums"].items()
        ),
    ]


def levels(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table of totals by level (group, zone, region, fleet); one line if there are no levels."""
    known = status["levels"]
    if not known:
        return [("all members are one group because no zone is set",)]
    figures = ("capacity", "first_tries", "acked", "nacked", "held", "running", "room")
    rows = [("level", "name", "members", "silent", "heard", *figures)]
    names = {"group": known["group"], "zone": known["zone"], "region": known["region"], "fleet": status["fleet"]}
    for level, total in known["totals"].items():
        rows.append(
            (
                level,
                f"{names[level]} (ours)",
                str(total["members"]),
                str(total["silent"]),
                f"{total['oldest']:.0f} s",
                *(f"{total['figures'][figure]:.0f}" for figure in figures),
            )
        )
    return rows + [
        (row["level"], row["name"], str(row["members"]), str(row["silent"]), f"{row['heard']:.0f} s") for row in known["parts"]
    ]


def watch(address: str) -> None:
    """Show all tables live."""
    try:
        from rich.console import Group
        from rich.live import Live
        from rich.text import Text
    except ImportError:
        raise SystemExit("mulleinhatch: watch needs rich: pip install 'mulleinhatch[lab]'") from None
    with Live(refresh_per_second=4) as live:
        while True:
            try:
                status = fetch_status(address)
                shown = [Text(head(status))] + [
                    Text(text(rows))
                    for rows in (members(status), budgets(status), sums(status), busiest_tenants(status), judgements(status))
                ]
            except (OSError, ValueError) as error:
                shown = [Text(f"{address}: {error}")]
            live.update(Group(*shown))
            time.sleep(REFRESH_INTERVAL_S)


def show_spread(arguments: dict[str, Any], address: str, fleet: dict[str, Any]) -> int:
    """Print, show live or plot the distribution of load."""
    from mulleinhatch.cli.instance import spread

    if not fleet.get("spread"):
        print(f"mulleinhatch: {address}: load balancing is off at this instance", file=sys.stderr)
        return 1
    try:
        if arguments["--live"]:
            spread.live(lambda: fetch_status(address), text)
        if arguments["--plot"]:
            readings = spread.plot(lambda: fetch_status(address), float(arguments["--seconds"]), arguments["--plot"])
            print(f"{arguments['--plot']}: {readings} readings")
            return 0
    except ImportError as error:
        print(f"mulleinhatch: {error.name} is not installed: pip install 'mulleinhatch[lab,plots]'", file=sys.stderr)
        return 1
    sys.stdout.write(head(fleet) + "\n" + spread.head(fleet) + "\n" + text(spread.rows(fleet)))
    return 0


def run(arguments: dict[str, Any]) -> int:
    """Print one of the tables."""
    address = arguments["--at"]
    try:
        if not address:
            if not arguments["--operator"]:
                raise operator.OperatorFileError("--operator FILE or --at HOST:PORT is required")
            address = operator.read_status_address(arguments["--operator"])
        if arguments["watch"]:
            watch(address)
        fleet = fetch_status(address)
        if arguments["spread"]:
            return show_spread(arguments, address, fleet)
    except KeyboardInterrupt:
        return 0
    except urllib.error.HTTPError:
        print(f"mulleinhatch: {address}: this instance is not part of a fleet", file=sys.stderr)
        return 1
    except (operator.OperatorFileError, OSError, ValueError) as error:
        print(f"mulleinhatch: {address + ': ' if address else ''}{error}", file=sys.stderr)
        return 1
    rows = (
        members if arguments["members"] else budgets if arguments["budgets"] else levels if arguments["levels"] else judgements
    )
    sys.stdout.write(head(fleet) + "\n" + text(rows(fleet)))
    return 0
