"""Fault scripts: small text files with one fault per line. Times are seconds from the first request.

    at 4 kill 0 for 8                # kills the instance and its interpreter, restarts both after 8 s
    at 4 kill 0,1 for 8
    at 4 freeze 0 for 6              # stops the interpreter (SIGSTOP)
    at 4 flap 0 every 3 until 20     # killed for 3 s, up for 3 s, repeatedly
    at 2 silent 200 at 0 for 10      # connections that send nothing
    at 2 garble 50 at 0 for 10       # connections that send invalid requests, repeatedly
    at 9 look 0                      # no fault: records its counters and CPU time
    at 9 leave 1                     # sends SIGTERM
    at 9 start 1

Between the instances of a fleet, which are given as a number, a list such as 0-4,9, or all:

    at 4 cut 0-4 from 5-19 for 6          # drops datagrams in both directions
    at 4 deaf 0-4 to 5-19 for 6           # drops datagrams from 5-19 to 0-4 only
    at 4 lossy all 0.3 for 10             # share of datagrams lost; also: repeated, swapped (reordered)
    at 4 delayed all 0.5 for 10           # seconds
    at 4 stall 3,7 for 2                  # stops the process, then continues it
    at 4 replace 3,7 for 2                # kills them, starts others with new names (simulated instances only)
    at 4 slow 3 by 8 for 10               # slows its interpreter down by a factor of 8
    at 4 failing 3 0.5 for 10             # share of its runs that fail
    at 4 directory off for 10
"""

from __future__ import annotations

import math
from typing import NamedTuple


class FaultScriptError(ValueError):
    """Raised for an invalid line, which the message names."""


class Fault(NamedTuple):
    """One fault, or its end, at a time."""

    at: float  # seconds from the first request
    what: str  # the verb of the script, or of an end: start, thaw, quiet, go, renew
    places: tuple[int, ...]
    count: int = 0
    others: tuple[int, ...] = ()  # the other side of `cut` and `deaf`
    amount: float = 0.0  # a share, seconds or a factor, depending on the fault
    until: float = math.inf  # end of the duration given with `for`


LINKS = ("cut", "deaf", "lossy", "repeated", "swapped", "delayed")
WORK = ("slow", "failing")


def end_of(faults: list[Fault]) -> float:
    """Return when the last outage ends; before that no service is expected."""
    ends = [fault.at for fault in faults if fault.what in ("start", "thaw", "go")]
    return max([*ends, *(fault.until for fault in faults if fault.until < math.inf)], default=0.0)


def parse_places(text: str, instances: int) -> tuple[int, ...]:
    """Parse a list of places.

    >>> parse_places("0-2,9", 10), parse_places("all", 3)
    ((0, 1, 2, 9), (0, 1, 2))
    """
    if text == "all":
        return tuple(range(instances))
    chosen: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        chosen += range(int(first), int(last or first) + 1)
    if not chosen or max(chosen) >= instances:
        raise ValueError
    return tuple(chosen)


def passes(faults: list[Fault], now: float, sender: int, to: int) -> bool:
    """Return whether no active cut drops a datagram between two instances."""
    for fault in faults:
        if fault.what in ("cut", "deaf") and fault.at <= now < fault.until:
            if to in fault.places and sender in fault.others:
                return False
            if fault.what == "cut" and sender in fault.places and to in fault.others:
                return False
    return True


def amount(faults: list[Fault], what: str, now: float, place: int) -> float:
    """Return the largest amount among the active faults of one kind at a place."""
    return max(
        (fault.amount for fault in faults if fault.what == what and fault.at <= now < fault.until and place in fault.places),
        default=0.0,
    )


def read(text: str, instances: int = 1000) -> list[Fault]:
    """Parse a script; return all faults in order of time.

    >>> for fault in read("at 4 flap 0 every 3 until 10  # twice"):
    ...     print(*fault[:3])
    4.0 kill (0,)
    7.0 start (0,)
    10.0 kill (0,)
    13.0 start (0,)
    >>> read("at 4 kil 0")
    Traceback (most recent call last):
    mulleinhatch.testing.fault_script.FaultScriptError: line 1: 'at 4 kil 0' is no fault
    """
    faults: list[Fault] = []
    for number, line in enumerate(text.splitlines(), 1):
        fields = line.partition("#")[0].split()
        if fields:
            try:
                faults += parse_line(fields, instances)
            except (ValueError, IndexError, KeyError):
                raise FaultScriptError(f"line {number}: {' '.join(fields)!r} is no fault") from None
    return sorted(faults, key=lambda fault: fault.at)


def parse_line(fields: list[str], instances: int) -> list[Fault]:
    """Parse the fields of one line.

    Raises:
        ValueError: The line is not a fault.
    """
    if fields[0] != "at" or len(fields) < 4:
        raise ValueError
    at, what = float(fields[1]), fields[2]
    if what in ("silent", "garble"):
        count, places, options = int(fields[3]), (int(fields[5]),), dict(zip(fields[6::2], fields[7::2]))
        return [Fault(at, what, places, count), Fault(at + float(options["for"]), "quiet", places)]
    if what == "directory" and fields[3] == "off":
        return [Fault(at, "directory", (), until=at + float(_after(fields, "for")))]
    places = parse_places(fields[3], instances)
    if what in LINKS + WORK:
        until, named = at + float(_after(fields, "for")), {"cut": "from", "deaf": "to", "slow": "by"}.get(what)
        if what in ("cut", "deaf"):
            return [Fault(at, what, places, others=parse_places(_after(fields, named), instances), until=until)]
        amount = float(_after(fields, named) if named else fields[4])
        if amount < 0.0 or what in ("lossy", "repeated", "swapped", "failing") and amount > 1.0:
            raise ValueError
        return [Fault(at, what, places, amount=amount, until=until)]
    if what == "stall":
        return [Fault(at, what, places), Fault(at + float(_after(fields, "for")), "go", places)]
    options = {word: float(number) for word, number in zip(fields[4::2], fields[5::2])}
    if what == "replace":
        return [Fault(at, "kill", places), Fault(at + options["for"], "renew", places)]
    if what in ("kill", "freeze"):
        back = "start" if what == "kill" else "thaw"
        return [Fault(at, what, places)] + ([Fault(at + options["for"], back, places)] if "for" in options else [])
    if what == "flap":
        every, moments = options["every"], []
        while at <= options["until"]:
            moments += [Fault(at, "kill", places), Fault(at + every, "start", places)]
            at += 2.0 * every
        return moments
    if what in ("start", "leave", "thaw", "look"):
        return [Fault(at, what, places)]
    raise ValueError


def _after(fields: list[str], word: str) -> str:
    return fields[fields.index(word) + 1]
