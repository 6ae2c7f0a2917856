"""Machines out for work: ask, cancel, see the order and who is out, and what a person may change."""

from __future__ import annotations

import json
import re
import socket
import sys
import time
from typing import Any

from mulleinhatch.cli.instance.fleet import text
from mulleinhatch.instance.runtime import operator_file as operator

UNITS = {"s": 1.0, "m": 60.0, "h": 3600.0, "": 1.0}


def seconds(told: str) -> float:
    """
    >>> seconds("20m"), seconds("90"), seconds("1.5h")
    (1200.0, 90.0, 5400.0)
    >>> seconds("soon")
    Traceback (most recent call last):
    ValueError: 'soon' is no time: 90, 20m or 1.5h
    """
    found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([smh]?)", told)
    if not found:
        raise ValueError(f"{told!r} is no time: 90, 20m or 1.5h")
    return float(found[1]) * UNITS[found[2]]


def ask(address: str, **told: Any) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=15) as wire:
        wire.sendall(json.dumps(told).encode() + b"\n")
        data = b""
        while chunk := wire.recv(65536):
            data += chunk
    answer = json.loads(data)
    if "error" in answer:
        raise ValueError(answer["error"])
    return answer


def out(told: dict[str, Any]) -> list[tuple[str, ...]]:
    return [
        ("out", "zone", "permit", "why", "over the bound because"),
        *(
            (permit["name"], permit["zone"] or "-", str(permit["fence"]), permit["why"], permit["over"] or "-")
            for permit in told["table"]["out"]
        ),
    ]


def waiting(told: dict[str, Any]) -> list[tuple[str, ...]]:
    def at(row: dict[str, Any]) -> str:
        return "-" if row["at"] is None else "now" if row["at"] <= time.time() + 1.0 else f"in {row['at'] - time.time():.0f} s"

    return [
        ("place", "waits", "would go", "why"),
        *((str(place) if row["may"] else "-", row["name"], at(row), row["why"]) for place, row in enumerate(told["order"])),
    ]


def head(told: dict[str, Any]) -> str:
    table = told["table"]
    frozen = f"; FROZEN: {table['frozen']}" if table["frozen"] else ""
    return (
        f"{len(table['out'])} of {table['most']} out, {table['zone_most']} a zone; voters {' '.join(table['voters'])} "
        f"(epoch {table['epoch']}); {told['name']} is {told['state']}{frozen}\n"
    )


def stands(told: dict[str, Any], name: str) -> int:
    """Where one stands, as the instance that is asked knows it: a voter knows all that wait."""
    permit = next((permit for permit in told["table"]["out"] if permit["name"] == name), None)
    place = next(((at, row) for at, row in enumerate(told["order"]) if row["name"] == name), None)
    if permit:
        print(f"{name} is out by permit {permit['fence']}: {permit['why']}")
    elif place:
        print(f"{name} has place {place[0]} of {len(told['order'])}: {place[1]['why']}")
    else:
        known = "" if told["voter"] == "votes" else ", as far as is known here: ask a voter"
        print(f"{name} neither is out nor waits{known}")
    return 0 if permit or place else 1


def run(told: dict[str, Any]) -> int:
    try:
        address = told["--control"] or (told["--operator"] and operator.read(told["--operator"]).upkeep.control)
        if not address:
            raise ValueError("--control HOST:PORT, or --operator FILE with upkeep.control, is wanted")
        if told["ask"]:
            latest = time.time() + seconds(told["--by"]) if told["--by"] else 0.0
            answer = ask(
                address,
                do="ask",
                kind=told["--reason"],
                seconds=seconds(told["--for"]),
                latest=latest,
                urgency=2 if told["--emergency"] else 0,
                names=[told["NAME"]] if told["NAME"] else None,
                zone=told["--zone"],
                all=told["--all"],
            )
        elif told["cancel"]:
            answer = ask(address, do="cancel")
        elif told["freeze"]:
            answer = ask(address, do="freeze", why=told["--reason"])
        elif told["thaw"]:
            answer = ask(address, do="freeze", why="")
        elif told["release"]:
            answer = ask(address, do="release", name=told["NAME"], why=told["--reason"])
        elif told["over"]:
            answer = ask(address, do="over", name=told["NAME"], why=told["--over-the-bound"])
        elif told["voters"]:
            answer = ask(address, do="voters", voters=told["VOTER"])
        else:
            answer = ask(address, do="show")
    except (operator.OperatorFileError, AttributeError, OSError, ValueError) as error:
        what = "no upkeep node in the operator's file" if isinstance(error, AttributeError) else error
        print(f"mulleinhatch: {what}", file=sys.stderr)
        return 1
    if told["why"]:
        return stands(answer, told["NAME"])
    if told["history"]:
        for at, state, why in answer["history"]:
            print(f"{time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(at))}  {state:10} {why}")
        return 0
    sys.stdout.write(head(answer) + text(out(answer)) + text(waiting(answer)))
    return 0
