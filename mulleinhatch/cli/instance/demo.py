"""A calm minute with an outage in it: a real instance, stand-in callers and interpreter, shown live."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import Any

try:
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    from mulleinhatch.testing import fault_script as faults
    from mulleinhatch.testing.instance_harness import Case, InstanceHarness, keep_environment, outcome
except ImportError as error:
    print(f"mulleinhatch: demo needs {error.name}: pip install 'mulleinhatch[lab]'", file=sys.stderr)
    raise SystemExit(2) from None

OUTAGE = "at 20 kill 0 for 6"
RATE, CAN = 64.0, 80.0  # ops a second asked for, and that the stand-in interpreter can do
LOOK = 0.5  # seconds between two looks at the counters
STAGES = ("calm", "rising", "storm", "recovering")
BARS = " ▁▂▃▄▅▆▇█"


class Picture:
    """What the last looks at the counters say, as rates a second."""

    def __init__(self, seconds: float) -> None:
        self.seconds, self.at, self.counters = seconds, 0.0, {}
        self.acked: deque[float] = deque(maxlen=60)
        self.rates: dict[str, float] = {}

    def look(self, at: float, counters: dict[str, int]) -> None:
        span = max(0.05, at - self.at)
        self.rates = {
            name: max(0.0, counters.get(count, 0) - self.counters.get(count, 0)) / span
            for name, count in (("acked", "answers_200"), ("nacked", "answers_429"), ("of these at the door", "turned_back"))
        }
        self.acked.append(self.rates["acked"])
        self.at, self.counters = at, counters

    def words(self) -> list[tuple[str, str]]:
        if not self.counters:
            return [("instance", "down"), ("stage", "-"), ("acked a second", "0")]
        rows = [
            ("instance", "up"),
            ("stage", STAGES[self.counters.get("storm_stage", 0)]),
            *(
                (f"{name}, a second" if "door" in name else f"{name} a second", f"{rate:.0f}")
                for name, rate in self.rates.items()
            ),
        ]
        return [
            *rows,
            ("waiting or running", str(self.counters.get("ops_owed", 0))),
            ("connections", str(self.counters.get("connections_open", 0))),
        ]

    def table(self) -> Table:
        table = Table(title=f"{self.at:.0f} of {self.seconds:.0f} s", width=74)
        table.add_column("", width=26)
        table.add_column("", width=40)
        for name, text in self.words():
            table.add_row(name, text)
        most = max([CAN, *self.acked])
        table.add_row("acked", "".join(BARS[round(8 * acked / most)] for acked in list(self.acked)[-40:]))
        return table


async def shown(harness: InstanceHarness, picture: Picture, console: Console) -> dict[str, Any]:
    playing = asyncio.ensure_future(harness.play())
    with Live(picture.table(), console=console, transient=True) if console.is_terminal else contextlib.nullcontext() as live:
        told = 0.0
        while not playing.done():
            await asyncio.wait([playing], timeout=LOOK)
            into = time.time() - harness.start_at
            if 0.0 < into < picture.seconds:
                picture.look(into, await harness.places[0].counters())
                if live:
                    live.update(picture.table())
                elif into >= told:
                    told = into + 5.0
                    console.print(f"{into:4.0f} s  " + "  ".join(f"{name}: {text}" for name, text in picture.words()))
    return await playing


def run(told: dict[str, Any]) -> int:
    keep_environment()
    console = Console()
    try:
        script = Path(told["--fault"]).read_text() if told["--fault"] else OUTAGE
        ends = faults.end_of(faults.read(script))
        seconds = float(told["--seconds"])
    except (OSError, ValueError) as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    case = Case(script, seconds, RATE, patience=15.0, heeding=0.3, loads=1)
    console.print(
        f"{RATE:.0f} ops a second of the {CAN:.0f} that can be done, callers that try again after 50 ms for 15 s, "
        f"three of ten heed advice.\nWhat goes wrong: {'; '.join(script.splitlines())}"
    )
    with tempfile.TemporaryDirectory() as folder:
        raw = asyncio.run(shown(InstanceHarness(case, Path(folder)), Picture(seconds), console))
    figures = outcome(case, raw)
    counts, back = figures["counts"], figures["back_after"]
    table = Table(title="What became of it")
    table.add_column("")
    table.add_column("")
    for name, text in (
        ("first tries acked within 1.8 s before the outage", f"{figures['calm']:.0%}"),
        (f"and after its end, at {ends:.0f} s", f"{figures['in_time']:.0%}"),
        ("nine of ten in time again", "never" if back is None else f"{back:.1f} s after the end"),
        ("tries, acked, nacked", f"{counts['tries']}, {counts['acked']}, {counts['nacked']}"),
        ("most tries in a second", f"{figures['most_tries']:.0f}"),
        ("without an answer in their time; ran twice", f"{figures['lost']}; {figures['twice']}"),
        ("core used, at most, 10 s after the end", f"{figures['core']:.2f}"),
        ("memory, at most", f"{figures['memory_mb']:.0f} MB"),
    ):
        table.add_row(name, text)
    console.print(table)
    return 0
