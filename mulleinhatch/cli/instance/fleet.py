"""What a running instance knows of its fleet: members, budgets, judgements, or all of it live."""

from __future__ import annotations

import json
import sys
import time
import urllib.error
import urllib.request
from typing import Any

from mulleinhatch.instance.protocol.http_requests import FLEET_PATH
from mulleinhatch.instance.runtime import operator_file as operator

LOOK = 0.5  # seconds between two looks


def ask(address: str) -> dict[str, Any]:
    with urllib.request.urlopen(f"http://{address}{FLEET_PATH.decode()}", timeout=5) as answer:
        return json.loads(answer.read())


def members(told: dict[str, Any]) -> list[tuple[str, ...]]:
    rows = [("member", "state", "heard", "life", "address")]
    for row in sorted(told["members"], key=lambda row: row["name"]):
        heard = "-" if row["state"] == "self" or row["heard"] > 1e5 else f"{row['heard']:.1f} s"
        rows.append((row["name"], row["state"], heard, f"{row['life']}.{row['incarnation']}", row["address"]))
    return rows


def budgets(told: dict[str, Any]) -> list[tuple[str, ...]]:
    return [
        ("budget", "total", "even", "may use", "lent", "borrowed", "demand"),
        *(
            (
                row["name"],
                f"{row['total']} in {row['window']:g} s" if row["window"] else f"{row['total']} in hand",
                *(f"{row[key]:g}" for key in ("home", "usable", "lent", "borrowed", "demand")),
            )
            for row in told["budgets"]
        ),
    ]


def judgements(told: dict[str, Any]) -> list[tuple[str, ...]]:
    return [
        ("subject", "verdict"),
        *((subject, "out") for subject in told["out"]),
        *((subject, f"ill for {voice} alone: look there") for voice, subject in told["alone"]),
        *([("-", f"{told['held_back']} more are ill, and kept: too many at once")] if told["held_back"] else []),
    ]


def text(rows: list[tuple[str, ...]]) -> str:
    """
    >>> text([("a", "bb"), ("ccc", "d")])
    'a    bb\\nccc  d\\n'
    """
    widths = [max(map(len, column)) for column in zip(*rows)]
    return "".join("  ".join(word.ljust(width) for word, width in zip(row, widths)).rstrip() + "\n" for row in rows)


def head(told: dict[str, Any]) -> str:
    state = "FROZEN: most are silent to us, nobody is declared gone" if told["frozen"] else "as heard"
    known = told["others_free"] >= 0.0
    free = f"{told['others_free']:.0%} of the others' places free" if known else "how the others fare is not known"
    return (
        f"fleet {told['fleet']}, {state}; {free}{'; ANOTHER INSTANCE HAS OUR NAME' if told['doubled'] else ''}"
        f"{'; THE OTHERS JUDGE US ILL' if told['judged_ill'] else ''}"
    )


def loudest(told: dict[str, Any]) -> list[tuple[str, ...]]:
    return [
        ("loudest tenant", "least a second", "most", "of", "silent"),
        *(
            (name, f"{least:.1f}", f"{most:.1f}", str(count), str(silent))
            for name, least, most, count, silent, _ in told["loudest"]
        ),
    ]


def sums(told: dict[str, Any]) -> list[tuple[str, ...]]:
    return [
        ("over the fleet", "least", "most", "of", "silent"),
        *(
            (figure, f"{row['least']:.0f}", f"{row['most']:.0f}", str(row["members"]), str(row["silent"]))
            for figure, row in told["sums"].items()
        ),
    ]


def levels(told: dict[str, Any]) -> list[tuple[str, ...]]:
    """What is known beyond the group, and of the whole; one line where there are no levels."""
    known = told["levels"]
    if not known:
        return [("all members are one group: no zone is set",)]
    figures = ("capacity", "first_tries", "acked", "nacked", "held", "running", "room")
    rows = [("level", "name", "members", "silent", "heard", *figures)]
    names = {"group": known["group"], "zone": known["zone"], "region": known["region"], "fleet": told["fleet"]}
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
    try:
        from rich.console import Group
        from rich.live import Live
        from rich.text import Text
    except ImportError:
        raise SystemExit("mulleinhatch: watch needs rich: pip install 'mulleinhatch[lab]'") from None
    with Live(refresh_per_second=4) as live:
        while True:
            try:
                told = ask(address)
                shown = [Text(head(told))] + [
                    Text(text(rows)) for rows in (members(told), budgets(told), sums(told), loudest(told), judgements(told))
                ]
            except (OSError, ValueError) as error:
                shown = [Text(f"{address}: {error}")]
            live.update(Group(*shown))
            time.sleep(LOOK)


def spread_shown(told: dict[str, Any], address: str, fleet: dict[str, Any]) -> int:
    from mulleinhatch.cli.instance import spread

    if not fleet.get("spread"):
        print(f"mulleinhatch: {address}: the instance there spreads no load", file=sys.stderr)
        return 1
    try:
        if told["--live"]:
            spread.live(lambda: ask(address), text)
        if told["--plot"]:
            looks = spread.plot(lambda: ask(address), float(told["--seconds"]), told["--plot"])
            print(f"{told['--plot']}: {looks} looks")
            return 0
    except ImportError as error:
        print(f"mulleinhatch: {error.name} is not installed: pip install 'mulleinhatch[lab,plots]'", file=sys.stderr)
        return 1
    sys.stdout.write(head(fleet) + "\n" + spread.head(fleet) + "\n" + text(spread.rows(fleet)))
    return 0


def run(told: dict[str, Any]) -> int:
    address = told["--at"]
    try:
        if not address:
            if not told["--operator"]:
                raise operator.OperatorFileError("--operator FILE or --at HOST:PORT is wanted")
            address = operator.fleet_status(told["--operator"])
        if told["watch"]:
            watch(address)
        fleet = ask(address)
        if told["spread"]:
            return spread_shown(told, address, fleet)
    except KeyboardInterrupt:
        return 0
    except urllib.error.HTTPError:
        print(f"mulleinhatch: {address}: the instance there is in no fleet", file=sys.stderr)
        return 1
    except (operator.OperatorFileError, OSError, ValueError) as error:
        print(f"mulleinhatch: {address + ': ' if address else ''}{error}", file=sys.stderr)
        return 1
    rows = members if told["members"] else budgets if told["budgets"] else levels if told["levels"] else judgements
    sys.stdout.write(head(fleet) + "\n" + text(rows(fleet)))
    return 0
