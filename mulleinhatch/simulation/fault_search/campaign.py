"""A search campaign: random histories played in parallel, weighted towards fault kinds that reached new states, and shrunk."""

from __future__ import annotations

import json
import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from mulleinhatch.simulation.fault_search import defects
from mulleinhatch.simulation.fault_search.histories import KINDS, History, draw_history
from mulleinhatch.simulation.fault_search.play import SearchOutcome, play, violation_kind

HISTORIES_PER_PROCESS = 2  # histories per process between two updates of the weights
WEIGHT_PER_NEW_STATE = 0.05  # weight for each new state, between MIN_WEIGHT and MAX_WEIGHT
MIN_WEIGHT, MAX_WEIGHT = 0.5, 4.0


class Finding(NamedTuple):
    """A history that violates an invariant, and its shrunk form."""

    history: History
    what: str
    short: History  # the shortest history found that still fails in the same way
    tries: int  # histories that shrinking played


class Campaign(NamedTuple):
    """The counts and findings of one campaign."""

    histories: int
    seconds: float
    states: int
    growth: list[int]  # states known after each batch
    kinds: dict[str, int]
    findings: list[Finding]
    worst: list[tuple[float, int]]  # fraction served in time in the worst second, and the seed
    slowest: list[tuple[float, int]]  # seconds until the recovery, and the seed


def _play_job(job: tuple[int, dict[str, float], str]) -> tuple[History, SearchOutcome]:
    seed, weights, defect = job
    history = draw_history(seed, weights)
    with defects.planted(defect):
        return history, play(history)


def shrink_history(history: History, what: str, defect: str = "", most: int = 60) -> tuple[History, int]:
    """Remove fault-script lines and load options that are not needed to reproduce the failure (delta debugging).

    Returns:
        The shortest history found that still fails in the same way, and the number of histories played.
    Source: Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002, section 3.
    """
    kind, tries = violation_kind(what), 0

    def fails(other: History) -> bool:
        nonlocal tries
        tries += 1
        with defects.planted(defect):
            return violation_kind(play(other).what) == kind

    chunk = max(1, len(history.lines) // 2)
    while chunk and tries < most:
        at = 0
        while at < len(history.lines) and tries < most:
            shorter = history._replace(lines=history.lines[:at] + history.lines[at + chunk :])
            if shorter.lines != history.lines and fails(shorter):
                history = shorter
            else:
                at += chunk
        chunk //= 2
    for simpler in (
        history._replace(is_maintenance_requested=False),
        history._replace(load=history.load._replace(speeds=(), one=0.0)),
        history._replace(load=history.load._replace(uneven=0.0, heeding=0.0)),
    ):
        if simpler != history and tries < most and fails(simpler):
            history = simpler
    return history, tries


def campaign(
    seeds: Iterator[int],
    within: float,
    defect: str = "",
    stop_at_first: bool = False,
    most: int = 10**9,
    processes: int | None = None,
    report_line: Callable[[str], None] = lambda line: None,
) -> Campaign:
    """Play histories for `within` seconds, or until `most` were played.

    Args:
        seeds: The seeds to play, in order.
        within: Seconds of real time.
        defect: Name of the defect to inject; empty for none.
        stop_at_first: Stop at the first finding and do not shrink it.
        most: Maximum number of histories.
        processes: Worker processes; all cores by default.
        report_line: Called with one line for each new kind of violation.
    """
    started_at, states, growth = time.monotonic(), set[tuple](), list[int]()
    weights, new_states, kinds = dict.fromkeys(KINDS, 1.0), Counter[str](), Counter[str]()
    findings: list[Finding] = []
    reported_kinds: set[str] = set()
    worst, slowest, count = [], [], 0
    with multiprocessing.Pool(processes) as pool:
        workers = pool._processes  # the actual size of the pool
        while time.monotonic() - started_at < within and count < most and not (stop_at_first and findings):
            jobs = [(next(seeds), dict(weights), defect) for _ in range(min(HISTORIES_PER_PROCESS * workers, most - count))]
            for history, found in pool.imap_unordered(_play_job, jobs):
                count += 1
                new = len(found.states - states)
                states |= found.states
                for kind in history.kinds:
                    kinds[kind] += 1
                    new_states[kind] += new
                worst.append((round(found.worst, 3), history.seed))
                slowest.append((found.recovered, history.seed))
                if found.what and violation_kind(found.what) not in reported_kinds:
                    reported_kinds.add(violation_kind(found.what))
                    report_line(f"seed {history.seed}: {found.what}")
                    short, tries = (history, 0) if stop_at_first else shrink_history(history, found.what, defect)
                    findings.append(Finding(history, found.what, short, tries))
            growth.append(len(states))
            weights = {
                kind: min(MAX_WEIGHT, max(MIN_WEIGHT, 1.0 + WEIGHT_PER_NEW_STATE * new_states[kind] / max(1, kinds[kind])))
                for kind in KINDS
            }
            new_states = Counter({kind: 0.7 * value for kind, value in new_states.items()})
    return Campaign(
        count,
        time.monotonic() - started_at,
        len(states),
        growth,
        dict(kinds),
        findings,
        sorted(worst)[:5],
        sorted(slowest, reverse=True)[:5],
    )


def format_history(history: History) -> str:
    """Return the text that `parse_history` reads: a JSON header line, then the fault script.

    >>> history = draw_history(5); parse_history(format_history(history)) == history
    True
    """
    head = {
        "seed": history.seed,
        "instances": history.instances,
        "kinds": history.kinds,
        "load": history.load._asdict(),
        "upkeep": history.is_maintenance_requested,
    }
    return f"# {json.dumps(head)}\n{history.script}\n"


def parse_history(text: str) -> History:
    """Parse the text that `format_history` wrote."""
    first_line, _, script = text.partition("\n")
    head = json.loads(first_line.removeprefix("#"))
    from mulleinhatch.simulation.load_balancing_world import Load

    load = Load(**{**head["load"], "speeds": tuple(head["load"]["speeds"])})
    lines = tuple(line for line in script.splitlines() if line.strip())
    return History(head["seed"], head["instances"], tuple(head["kinds"]), lines, load, head["upkeep"])


def report(done: Campaign, path: Path, before: dict[str, Any] | None = None) -> dict[str, Any]:
    """Write an HTML page with plots, and the same figures as JSON next to it; return the figures."""
    import base64
    import io

    import jinja2
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 3))
    left.plot(done.growth)
    left.set_title("states reached, by batch")
    names = sorted(done.kinds)
    right.barh(names, [done.kinds[name] for name in names])
    right.set_title("fault kinds played")
    figure.tight_layout()
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=90)
    pyplot.close(figure)
    sums = {
        "histories": done.histories,
        "seconds": round(done.seconds, 1),
        "states": done.states,
        "kinds": done.kinds,
        "findings": [
            {"what": finding.what, "script": format_history(finding.short), "tries": finding.tries} for finding in done.findings
        ],
        "worst": done.worst,
        "slowest": [[at if at < 1e9 else None, seed] for at, seed in done.slowest],
    }
    page = (
        jinja2.Environment(autoescape=True)
        .from_string(PAGE)
        .render(done=sums, before=before, plot=base64.b64encode(data.getvalue()).decode())
    )
    path.write_text(page)
    path.with_suffix(".json").write_text(json.dumps(sums, indent=1))
    return sums


PAGE = """<!doctype html><meta charset="utf-8"><title>search</title>
<style>body{font:14px sans-serif;max-width:60em;margin:2em auto}pre{background:#eee;padding:.5em}td{padding:0 1em}</style>
<h1>{{ done.histories }} histories in {{ done.seconds }} s, {{ done.states }} states, {{ done.findings|length }} findings</h1>
{% if before %}<p>Before: {{ before.histories }} histories, {{ before.states }} states,
{{ before.findings|length }} findings.</p>{% endif %}
<img src="data:image/png;base64,{{ plot }}">
<h2>Findings</h2>{% for one in done.findings %}<p>{{ one.what }} ({{ one.tries }} tries)</p><pre>{{ one.script }}</pre>
{% else %}<p>none</p>{% endfor %}
<h2>Worst second, by seed</h2><table>{% for share, seed in done.worst %}<tr><td>{{ share }}<td>{{ seed }}{% endfor %}</table>
<h2>Slowest recovery, by seed</h2><table>
{% for seconds, seed in done.slowest %}<tr><td>{{ seconds if seconds is not none else "not recovered" }}<td>{{ seed }}
{% endfor %}</table>
"""
