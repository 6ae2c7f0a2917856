"""`mulleinhatch demo`: run a scenario with an outage on a real instance with fake clients and a fake interpreter."""

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
RATE, CAPACITY = 64.0, 80.0  # requests per second: load, and what the fake interpreter can execute
REFRESH_INTERVAL_S = 0.5
STAGES = ("calm", "rising", "storm", "recovering")
BARS = " ▁▂▃▄▅▆▇█"


class Dashboard:
    """Shows the rates per second between the last two readings of the counters."""

    def __init__(self, seconds: float) -> None:
        self.seconds, self.at, self.counters = seconds, 0.0, {}
        self.acked: deque[float] = deque(maxlen=60)
        self.rates: dict[str, float] = {}

    def update(self, at: float, counters: dict[str, int]) -> None:
        """Add a reading of the counters, taken `at` seconds after the first request."""
        span = max(0.05, at - self.at)
        self.rates = {
            name: max(0.0, counters.get(count, 0) - self.counters.get(count, 0)) / span
            for name, count in (("acked", "answers_200"), ("nacked", "answers_429"), ("of these rejected early", "turned_back"))
        }
        self.acked.append(self.rates["acked"])
        self.at, self.counters = at, counters

    def rows(self) -> list[tuple[str, str]]:
        """Return the names and values to show."""
        if not self.counters:
            return [("instance", "down"), ("stage", "-"), ("acked per second", "0")]
        rows = [
            ("instance", "up"),
            ("stage", STAGES[self.counters.get("storm_stage", 0)]),
            *(
                (f"{name}, per second" if "early" in name else f"{name} per second", f"{rate:.0f}")
                for name, rate in self.rates.items()
            ),
        ]
        return [
            *rows,
            ("waiting or running", str(self.counters.get("ops_owed", 0))),
            ("connections", str(self.counters.get("connections_open", 0))),
        ]

    def table(self) -> Table:
        """Return the values and a chart of the latest rates as a table."""
        table = Table(title=f"{self.at:.0f} of {self.seconds:.0f} s", width=74)
        table.add_column("", width=26)
        table.add_column("", width=40)
        for name, text in self.rows():
            table.add_row(name, text)
        most = max([CAPACITY, *self.acked])
        table.add_row("acked", "".join(BARS[round(8 * acked / most)] for acked in list(self.acked)[-40:]))
        return table


async def play_live(harness: InstanceHarness, dashboard: Dashboard, console: Console) -> dict[str, Any]:
    """Run the scenario and show the dashboard meanwhile."""
    playing = asyncio.ensure_future(harness.play())
    with Live(dashboard.table(), console=console, transient=True) if console.is_terminal else contextlib.nullcontext() as live:
        printed_until = 0.0
        while not playing.done():
            await asyncio.wait([playing], timeout=REFRESH_INTERVAL_S)
            elapsed = time.time() - harness.start_at
            if 0.0 < elapsed < dashboard.seconds:
                dashboard.update(elapsed, await harness.nodes[0].counters())
                if live:
                    live.update(dashboard.table())
                elif elapsed >= printed_until:
                    printed_until = elapsed + 5.0
                    console.print(f"{elapsed:4.0f} s  " + "  ".join(f"{name}: {text}" for name, text in dashboard.rows()))
    return await playing


def run(arguments: dict[str, Any]) -> int:
    """Run the demo and print its outcome."""
    keep_environment()
    console = Console()
    try:
        script = Path(arguments["--fault"]).read_text() if arguments["--fault"] else OUTAGE
        ends = faults.end_of(faults.read(script))
        seconds = float(arguments["--seconds"])
    except (OSError, ValueError) as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 2
    case = Case(script, seconds, RATE, patience=15.0, heeding=0.3, loads=1)
    console.print(
        f"{RATE:.0f} requests per second with capacity for {CAPACITY:.0f}; clients retry after 50 ms for up to 15 s, "
        f"and 30% of them obey retry delays.\nFaults: {'; '.join(script.splitlines())}"
    )
    with tempfile.TemporaryDirectory() as folder:
        raw = asyncio.run(play_live(InstanceHarness(case, Path(folder)), Dashboard(seconds), console))
    figures = outcome(case, raw)
    counts, back = figures["counts"], figures["back_after"]
    table = Table(title="Outcome")
    table.add_column("")
    table.add_column("")
    for name, text in (
        ("first attempts acked within 1.8 s before the outage", f"{figures['calm']:.0%}"),
        (f"and after its end at {ends:.0f} s", f"{figures['in_time']:.0%}"),
        ("90% in time again", "never" if back is None else f"{back:.1f} s after the end"),
        ("attempts, acked, nacked", f"{counts['tries']}, {counts['acked']}, {counts['nacked']}"),
        ("most attempts in one second", f"{figures['most_tries']:.0f}"),
        ("unanswered attempts; requests run twice", f"{figures['lost']}; {figures['twice']}"),
        ("peak core use from 10 s after the end", f"{figures['core']:.2f}"),
        ("peak memory", f"{figures['memory_mb']:.0f} MB"),
    ):
        table.add_row(name, text)
    console.print(table)
    return 0
