"""One run of the scale benchmark: slopes, the full size and events, with its record and tables."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from rich.console import Console
from rich.table import Table

from benchmarks import fits, records
from benchmarks.scale_calm import COSTS, figures_text, measure_calm, unit
from benchmarks.scale_events import EVENTS
from benchmarks.scale_options import MAX_BYTES_PER_S, MAX_CORE_SHARE, MAX_JOINED_S, MAX_STATE_MB, Checks, Figures, Options
from mulleinhatch.instance.gossip.core import MAX_MEMBERS

ROLE = "instance.control"


class ScaleRun:
    """Collects the figures and failed checks of one run."""

    def __init__(self, options: Options) -> None:
        self.options, self.commit = options, records.commit()
        self.by_size: dict[int, Figures] = {}
        self.full: tuple[int, Figures] | None = None
        self.events: dict[str, Figures] = {}
        self.notes: list[str] = []
        self.missed: dict[str, list[str]] = {}

    def record_failures(self, part: str, holds: Checks) -> None:
        """Store the failed checks of a part."""
        if missed := [check for check, is_met in holds.items() if not is_met]:
            self.missed.setdefault(part, []).extend(missed)

    # Slopes and the full size.

    def run_concurrently(self, members: int, play: Callable[[Any], Any], jobs: list[Any]) -> list[Any]:
        """Run jobs on fleets of up to a size concurrently, within the limit on processes."""
        at_a_time = max(1, self.options.most_workers(members) // self.options.shards(members))
        with ThreadPoolExecutor(at_a_time) as pool:
            return list(pool.map(play, jobs))

    def slopes(self) -> None:
        """Measure calm fleets at each size used to fit the costs."""
        small = [size for size in self.options.sizes.slopes if self.options.shards(size) == 1]
        large = [size for size in self.options.sizes.slopes if size not in small]
        for sizes in [small, *([size] for size in large)]:
            results = self.run_concurrently(max(sizes, default=2), lambda size: measure_calm(self.options, size), sizes)
            for size, figures in zip(sizes, results):
                self.by_size[size] = self.check_calm_figures(size, figures)

    def check_calm_figures(self, members: int, figures: Figures) -> Figures:
        """Print and check the figures of a calm fleet, and return them."""
        print(f"{members} members: {figures_text(figures)}", file=sys.stderr, flush=True)
        self.notes.append(
            f"{members} members calm: {figures['speed']} virtual s a second by {self.options.shards(members)} "
            f"processes, load {figures['load']:.0f}"
        )
        self.record_failures(
            "slopes",
            {
                f"nobody living declared gone at {members}": figures["wrong"] == 0,
                f"{members} joined": figures["joined"] is not None,
            },
        )
        return figures

    def play_full(self) -> None:
        """Measure a fleet of the full size and check limits and fits against it."""
        members, options = self.options.sizes.checked, self.options
        if not options.levels and options.members > MAX_MEMBERS:
            self.notes.append(f"refused: a flat fleet holds {MAX_MEMBERS} members, so {options.members} cannot be played")
            self.record_failures("full", {f"{options.members} members in one fleet": False})
        if members < options.members:
            self.notes.append(f"played as a whole: {members} of {options.members}")
        figures = self.check_calm_figures(members, measure_calm(options, members, options.sizes.start))
        self.full = members, figures
        self.record_failures(
            "full",
            {
                f"{MAX_BYTES_PER_S:g} bytes/s, worst of {members} in any 10 s": figures["worst 10 s"] <= MAX_BYTES_PER_S,
                f"{MAX_CORE_SHARE:g} of a core": figures["core"] < MAX_CORE_SHARE,
                f"{MAX_STATE_MB:g} MB": figures["memory"] < MAX_STATE_MB * 1e6,
                f"joined in {MAX_JOINED_S:g} s": figures["joined"] is not None and figures["joined"] <= MAX_JOINED_S,
            },
        )
        for name, cost in self.costs().items():
            if cost["checked"]:
                error = abs(self.fit_of(cost).at(members) / max(cost["checked"][1], 1e-9) - 1.0)
                if name.removeprefix(f"{ROLE}.") in ("bytes", "core", "state"):
                    check = f"fit of {name} within {fits.MAX_CHECK_ERROR:.0%} at {members} (off {error:.0%})"
                    self.record_failures("full", {check: error <= fits.MAX_CHECK_ERROR})

    @staticmethod
    def fit_of(cost: Figures) -> records.Fit:
        """Return the fit of a cost."""
        return records.Fit(cost["form"], cost["constant"], cost["slope"], cost["residual"])

    def costs(self) -> dict[str, Figures]:
        """Return the costs by name, as a record stores them."""
        if not self.by_size:
            return {}
        first = next(iter(self.by_size.values()))
        names = [name for name in first if name in COSTS or name.startswith("state.")]
        costs = {}
        for name in names:
            points = [(size, figures[name]) for size, figures in self.by_size.items() if figures[name] == figures[name]]
            if points and any(value for _, value in points):
                checked = (self.full[0], self.full[1][name]) if self.full and self.full[1][name] == self.full[1][name] else None
                costs[f"{ROLE}.{name}"] = fits.cost(unit(name), points, checked)
        return costs

    # Events.

    def play_events(self, names: list[str]) -> None:
        """Play events by name."""

        def play(name: str) -> tuple[Figures, Checks]:
            started_at = time.monotonic()
            figures, holds = EVENTS[name](self.options)
            figures["speed"] = round(figures.pop("virtual") / (time.monotonic() - started_at), 3)
            print(f"{name}: {figures_text(figures)}", file=sys.stderr, flush=True)
            return figures, holds

        for name, (figures, holds) in zip(names, self.run_concurrently(self.options.sizes.events, play, names)):
            self.events[name] = figures
            self.record_failures(name, holds)

    # Output.

    def record(self, command: str) -> Figures:
        """Return the record of the run."""
        return {
            "commit": self.commit,
            "benchmark": "scale",
            "command": command,
            "seed": self.options.seed,
            "mechanism": "levels" if self.options.levels else "flat",
            "costs": self.costs(),
            "events": self.events,
            "notes": self.notes,
        }

    def print(self, console: Console) -> None:
        """Print the tables of the run."""
        if costs := self.costs():
            table = Table(
                "cost of an instance",
                "unit",
                *(str(size) for size in self.by_size),
                "fit",
                "max error",
                f"at {self.options.members}",
                "measured",
                title="slopes",
            )
            for name, cost in costs.items():
                best = self.fit_of(cost)
                form = {
                    "constant": f"{best.constant:.4g}",
                    "linear": f"{best.constant:.4g} + {best.slope:.4g} x members",
                    "log2": f"{best.constant:.4g} + {best.slope:.4g} x log2(members)",
                }[best.form]
                table.add_row(
                    name.removeprefix(f"{ROLE}."),
                    cost["unit"],
                    *(f"{value:.4g}" for _, value in cost["points"]),
                    form,
                    f"{best.residual:.1%}",
                    f"{best.at(self.options.members):.4g}",
                    f"{cost['checked'][1]:.4g} at {cost['checked'][0]}" if cost["checked"] else "",
                )
            console.print(table)
        table = Table("part", "figures", "missed", title="calm, events")
        if self.full:
            table.add_row("full", figures_text(self.full[1]), "; ".join(self.missed.get("full", [])))
        for name, figures in self.events.items():
            table.add_row(name, figures_text(figures), "; ".join(self.missed.get(name, [])))
        console.print(table)
        for note in self.notes:
            console.print(note)
