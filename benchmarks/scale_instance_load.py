"""Costs of load on one instance: added latency, open connections, callers."""

from __future__ import annotations

import time
from pathlib import Path
from statistics import median

from benchmarks.scale_instance_measurements import CALM_RATE, REGION_LOST_RATE, WARM_UP_S, ZONE_LOST_RATE, Measurements
from mulleinhatch.testing.instance_harness import free_port
from mulleinhatch.testing.load_generator import on_time_latencies
from mulleinhatch.testing.single_instance import RunningLoad, SingleInstance, run_load, settings

MAX_ADDED_MS, MAX_CORE_SHARE = 2.6, 0.9  # added milliseconds at p99; share of a core
# Maximum lateness of the load generator in a calm time slice, in seconds, and the responses needed in such slices.
MAX_DRIVER_LATE_S, MIN_CALM_ANSWERS = (
    0.0005,
    500,
)


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of the values."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def paired_latencies(
    measurements: Measurements, instance: SingleInstance, interpreter_port: int, rate: float, count: int, seconds: float
) -> dict[str, float]:
    """Compare latency to the interpreter alone and through the instance, in alternating runs.

    `pair_p99` is the median over the pairs of runs of their difference at p99, over all responses. The `added_` figures compare
    all runs of each kind over the time slices in which the load generator itself was on time, if there are enough of them;
    that selection does not depend on which side responds.

    Returns:
        Latencies in milliseconds, the instance's CPU use, and counts of lost and rejected requests.
    """
    rounds = []
    for number in range(count):
        load_options = {"skip": 0.5, "seed": measurements.seed + number, "keep": True}
        alone = measurements.add_report(RunningLoad(interpreter_port, rate, seconds + 0.5, wire="link", **load_options).done())
        rounds.append(
            (
                alone,
                measurements.add_report(
                    run_load(instance, rate, seconds + 0.5, connections=256, tenants=1000, callers=1000, **load_options)
                ),
            )
        )
    calm = [[latency for run in side for latency in on_time_latencies(run, MAX_DRIVER_LATE_S)] for side in zip(*rounds)]
    has_enough = min(map(len, calm)) >= MIN_CALM_ANSWERS
    sides = calm if has_enough else [[latency for run in side for _, latency in run["kept"]] for side in zip(*rounds)]
    row = {"rate": rate, "pairs": count, "calm": int(has_enough), "alone_n": len(sides[0]), "through_n": len(sides[1])}
    for name, fraction in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
        alone_ms, through_ms = (1000.0 * quantile(side, fraction) for side in sides)
        row |= {
            f"alone_{name}": round(alone_ms, 3),
            f"through_{name}": round(through_ms, 3),
            f"added_{name}": round(through_ms - alone_ms, 3),
        }
    row["pair_p99"] = round(median(t["latency_ms"]["p99"] - a["latency_ms"]["p99"] for a, t in rounds), 3)
    row["driver_late_p99"] = median(run["late_ms"]["p99"] for pair in rounds for run in pair)
    row["cpu_ms"] = round(median(through["cpu_ms"] for _, through in rounds), 4)
    row["core"] = round(median(through["core"] for _, through in rounds), 4)
    row["rejected"] = sum(through["answered"] - through["statuses"].get("200", 0) for _, through in rounds)
    row["lost"] = sum(run["lost"] for pair in rounds for run in pair)
    return row


def is_within_limits(row: dict[str, float]) -> bool:
    """Return whether added latency and CPU are within their limits and no request was lost or rejected."""
    return row["added_p99"] <= MAX_ADDED_MS and row["core"] <= MAX_CORE_SHARE and not row["lost"] and not row["rejected"]


def added(measurements: Measurements, folder: Path) -> None:
    """Measure the added latency at the target rates, and the highest rate that one instance sustains."""
    count, seconds = (2, 2.0) if measurements.quick else (4, 4.0)
    with SingleInstance(folder, settings(1000)) as instance:
        other = SingleInstance._interpreter(port := free_port())
        try:
            measurements.drive(instance, CALM_RATE, WARM_UP_S, tenants=1000, callers=1000)
            rows = [
                paired_latencies(measurements, instance, port, rate, count, seconds)
                for rate in (CALM_RATE, ZONE_LOST_RATE, REGION_LOST_RATE)
            ]
            rising = [] if measurements.quick else [paired_latencies(measurements, instance, port, 100, 1, seconds)]
            rate, is_rising = float(REGION_LOST_RATE), True
            while is_rising and rate < 5000:
                rate *= 1.5 if measurements.quick else 1.25
                rising.append(
                    paired_latencies(
                        measurements,
                        instance,
                        port,
                        round(rate),
                        1 if measurements.quick else 2,
                        1.5 if measurements.quick else 2.0,
                    )
                )
                is_rising = is_within_limits(rising[-1])
        finally:
            other.kill()
            other.wait()
    by_rate = sorted([*rows, *rising], key=lambda row: row["rate"])
    first_failure = next((row for row in by_rate if not is_within_limits(row)), by_rate[-1])
    highest_rate = max((row["rate"] for row in by_rate if row["rate"] < first_failure["rate"]), default=0)
    measurements.figures["added"] = {"rows": rows, "rising": rising, "most": highest_rate}
    # Above capacity, queueing times grow with the duration of a run.
    steady = by_rate if by_rate[-1] is not first_failure else by_rate[:-1]
    for name, unit, key in (
        ("request.added_p50", "ms", "added_p50"),
        ("request.added_p99", "ms", "added_p99"),
        ("request.cpu", "ms of CPU a request", "cpu_ms"),
        ("request.core", "share of a core", "core"),
    ):
        measurements.cost(name, unit, "requests/s", [(row["rate"], row[key]) for row in steady])
    for event, row in zip(("calm rate", "a zone gone", "a region gone"), rows):
        measurements.events[event] = {
            key: row[key]
            for key in (
                "rate",
                "calm",
                "through_n",
                "added_p50",
                "added_p99",
                "added_p99.9",
                "pair_p99",
                "alone_p99",
                "driver_late_p99",
                "cpu_ms",
                "core",
            )
        }
    measurements.events["most that one instance carries"] = {
        "rate": highest_rate,
        "broke_at": first_failure["rate"],
        "broke_added_p99": first_failure["added_p99"],
        "broke_core": first_failure["core"],
    }
    for label, row in zip(("at 275/s", "a zone gone", "a region gone"), rows):
        measurements.holds[f"added p99 within {MAX_ADDED_MS} ms: {label}"] = row["added_p99"] <= MAX_ADDED_MS


def connections(measurements: Measurements, folder: Path) -> None:
    """Measure the memory and CPU of idle connections."""
    sizes, rows = ((50, 200, 500, 1000) if measurements.quick else (50, 200, 500, 1000, 2000)), []
    with SingleInstance(folder, settings(1000), sockets=8192) as instance:
        measurements.drive(instance, CALM_RATE, WARM_UP_S, tenants=1000)
        for size in sizes:
            report = measurements.drive(
                instance, 50, 2.0 if measurements.quick else 8.0, idle=size, tenants=1000, connections=16
            )
            rows.append(
                {"connections": size, "memory_mb": report["memory"] / 1e6, "core": report["core"], "cpu_ms": report["cpu_ms"]}
            )
            time.sleep(0.5)
    measurements.figures["connections"] = rows
    measurements.cost(
        "request.connections_memory", "MB", "connections", [(row["connections"], row["memory_mb"]) for row in rows]
    )
    measurements.cost(
        "request.connections_core",
        "share of a core at 50 requests/s",
        "connections",
        [(row["connections"], row["core"]) for row in rows],
    )


def callers(measurements: Measurements, folder: Path) -> None:
    """Measure memory and CPU by the number of callers, without tenants, so that fairness is by caller.

    A fifth of the requests are marked as retries, so that retries are counted by caller. During warm-up, ten callers send
    enough requests to fill all state kept by request.
    """
    sizes = (10, 300, 1000, 3000) if measurements.quick else (10, 1000, 5000, 20_000, 48_000)
    warm, rate, rows, answered = 1600 if measurements.quick else 20_000, 800, [], 0
    with SingleInstance(folder, settings()) as instance:
        measurements.drive(instance, rate, warm / rate, callers=10, repeats=0.2)
        for size in sizes:
            report = measurements.drive(
                instance, rate, max(2.0, 1.05 * size / rate), callers=size, repeats=0.2, connections=256
            )
            answered += report["answered"]
            rows.append(
                {"callers": size, "memory_mb": instance.memory() / 1e6, "cpu_ms": report["cpu_ms"], "requests": answered}
            )
    measurements.figures["callers"] = rows
    measurements.cost("request.callers_memory", "MB", "callers", [(row["callers"], row["memory_mb"]) for row in rows])
    measurements.cost(
        "request.callers_cpu", "ms of CPU a request", "callers", [(row["callers"], row["cpu_ms"]) for row in rows]
    )
    if not measurements.quick:
        # The same number of requests from ten callers shows which memory depends on requests rather than on callers.
        with SingleInstance(folder, settings()) as instance:
            measurements.drive(instance, rate, (warm + answered) / rate, callers=10, repeats=0.2, connections=256)
            measurements.events["as many requests of ten callers"] = {
                "requests": warm + answered,
                "memory_mb": instance.memory() / 1e6,
            }
