"""Fault scripts: small text files that say what goes wrong when.

    # seconds from the first op
    at 4 kill 0 for 8                # the instance and its interpreter, both start anew after
    at 4 kill 0,1 for 8
    at 4 freeze 0 for 6              # the interpreter stands still
    at 4 flap 0 every 3 until 20     # killed for 3, up for 3, and so on
    at 2 silent 200 at 0 for 10      # connections that say nothing
    at 2 garble 50 at 0 for 10       # connections that send what is no request, again and again
    at 9 look 0                      # no fault: its counters and CPU are taken down
    at 9 leave 1                     # the notice to leave
    at 9 start 1
"""
from __future__ import annotations

from typing import NamedTuple


class BadScript(ValueError):
    """The text names the line."""


class Fault(NamedTuple):
    at: float           # seconds from the first op
    what: str           # kill, start, freeze, thaw, leave, look, silent, garble, quiet
    places: tuple[int, ...]
    count: int = 0


def end_of(faults: list[Fault]) -> float:
    """When the last outage ends: until then no service can be asked for."""
    return max((fault.at for fault in faults if fault.what in ("start", "thaw")), default=0.0)


def read(text: str) -> list[Fault]:
    """All that happens, in order of time.

    >>> for fault in read("at 4 flap 0 every 3 until 10  # twice"):
    ...     print(*fault[:3])
    4.0 kill (0,)
    7.0 start (0,)
    10.0 kill (0,)
    13.0 start (0,)
    >>> read("at 4 kil 0")
    Traceback (most recent call last):
    mulleinhatch.standins.faults.BadScript: line 1: 'at 4 kil 0' is no fault
    """
    faults: list[Fault] = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if words:
            try:
                faults += of(words)
            except (ValueError, IndexError, KeyError):
                raise BadScript(f"line {number}: {' '.join(words)!r} is no fault") from None
    return sorted(faults, key=lambda fault: fault.at)


def of(words: list[str]) -> list[Fault]:
    if words[0] != "at" or len(words) < 4:
        raise ValueError
    at, what = float(words[1]), words[2]
    if what in ("silent", "garble"):
        count, places, told = int(words[3]), (int(words[5]),), dict(zip(words[6::2], words[7::2]))
        return [Fault(at, what, places, count), Fault(at + float(told["for"]), "quiet", places)]
    places = tuple(int(place) for place in words[3].split(","))
    told = {word: float(number) for word, number in zip(words[4::2], words[5::2])}
    if what in ("kill", "freeze"):
        back = "start" if what == "kill" else "thaw"
        return [Fault(at, what, places)] + ([Fault(at + told["for"], back, places)] if "for" in told else [])
    if what == "flap":
        every, moments = told["every"], []
        while at <= told["until"]:
            moments += [Fault(at, "kill", places), Fault(at + every, "start", places)]
            at += 2.0 * every
        return moments
    if what in ("start", "leave", "thaw", "look"):
        return [Fault(at, what, places)]
    raise ValueError
