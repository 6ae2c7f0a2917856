"""`mulleinhatch upkeep`: request, cancel, list and override maintenance permits."""

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


def seconds(text: str) -> float:
    """Return a duration such as `20m` in seconds.

    >>> seconds("20m"), seconds("90"), seconds("1.5h")
    (1200.0, 90.0, 5400.0)
    >>> seconds("soon")
    Traceback (most recent call last):
    ValueError: 'soon' is no time: 90, 20m or 1.5h
    """
    found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)([smh]?)", text)
    if not found:
        raise ValueError(f"{text!r} is no time: 90, 20m or 1.5h")
    return float(found[1]) * UNITS[found[2]]


def send_request(address: str, **request: Any) -> dict[str, Any]:
    """Send a request to the control port of an instance and return its response."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=15) as connection:
        connection.sendall(json.dumps(request).encode() + b"\n")
        data = b""
        while chunk := connection.recv(65536):
            data += chunk
    response = json.loads(data)
    if "error" in response:
        raise ValueError(response["error"])
    return response


def permit_holders(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table of instances that hold a permit."""
    return [
        ("out", "zone", "permit", "why", "over the bound because"),
        *(
            (permit["name"], permit["zone"] or "-", str(permit["fence"]), permit["why"], permit["over"] or "-")
            for permit in status["table"]["out"]
        ),
    ]


def waiting(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table of instances that wait for a permit."""

    def at(row: dict[str, Any]) -> str:
        return "-" if row["at"] is None else "now" if row["at"] <= time.time() + 1.0 else f"in {row['at'] - time.time():.0f} s"

    return [
        ("position", "instance", "may go", "why"),
        *(
            (str(position) if row["may"] else "-", row["name"], at(row), row["why"])
            for position, row in enumerate(status["order"])
        ),
    ]


def head(status: dict[str, Any]) -> str:
    """Return the summary line."""
    table = status["table"]
    frozen = f"; FROZEN: {table['frozen']}" if table["frozen"] else ""
    return (
        f"{len(table['out'])} of {table['most']} out, {table['zone_most']} per zone; voters {' '.join(table['voters'])} "
        f"(epoch {table['epoch']}); {status['name']} is {status['state']}{frozen}\n"
    )


def print_position(status: dict[str, Any], name: str) -> int:
    """Print the position of an instance as the queried instance knows it; only voters know all waiting instances."""
    permit = next((permit for permit in status["table"]["out"] if permit["name"] == name), None)
    position = next(((at, row) for at, row in enumerate(status["order"]) if row["name"] == name), None)
    if permit:
        print(f"{name} is out under permit {permit['fence']}: {permit['why']}")
    elif position:
        print(f"{name} has position {position[0]} of {len(status['order'])}: {position[1]['why']}")
    else:
        known = "" if status["voter"] == "votes" else ", as far as this instance knows: ask a voter"
        print(f"{name} is neither out nor waiting{known}")
    return 0 if permit or position else 1


def run(arguments: dict[str, Any]) -> int:
    """Run a sub-command."""
    try:
        address = arguments["--control"] or (arguments["--operator"] and operator.read(arguments["--operator"]).upkeep.control)
        if not address:
            raise ValueError("--control HOST:PORT, or --operator FILE with upkeep.control, is required")
        if arguments["ask"]:
            latest = time.time() + seconds(arguments["--by"]) if arguments["--by"] else 0.0
            status = send_request(
                address,
                do="ask",
                kind=arguments["--reason"],
                seconds=seconds(arguments["--for"]),
                latest=latest,
                urgency=2 if arguments["--emergency"] else 0,
                names=[arguments["NAME"]] if arguments["NAME"] else None,
                zone=arguments["--zone"],
                all=arguments["--all"],
            )
        elif arguments["cancel"]:
            status = send_request(address, do="cancel")
        elif arguments["freeze"]:
            status = send_request(address, do="freeze", why=arguments["--reason"])
        elif arguments["thaw"]:
            status = send_request(address, do="freeze", why="")
        elif arguments["release"]:
            status = send_request(address, do="release", name=arguments["NAME"], why=arguments["--reason"])
        elif arguments["over"]:
            status = send_request(address, do="over", name=arguments["NAME"], why=arguments["--over-the-bound"])
        elif arguments["voters"]:
            status = send_request(address, do="voters", voters=arguments["VOTER"])
        else:
            status = send_request(address, do="show")
    except (operator.OperatorFileError, AttributeError, OSError, ValueError) as error:
        what = "no upkeep node in the operator's file" if isinstance(error, AttributeError) else error
        print(f"mulleinhatch: {what}", file=sys.stderr)
        return 1
    if arguments["why"]:
        return print_position(status, arguments["NAME"])
    if arguments["history"]:
        for at, state, why in status["history"]:
            print(f"{time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(at))}  {state:10} {why}")
        return 0
    sys.stdout.write(head(status) + text(permit_holders(status)) + text(waiting(status)))
    return 0
