"""Costs of settings on one instance: starts with many tenants or classes, and reloads."""

from __future__ import annotations

import time
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.scale_instance_measurements import CALM_RATE, WARM_UP_S, Measurements
from mulleinhatch.testing.single_instance import RunningLoad, SingleInstance, settings

CHANGES_PER_DAY = 5700


def measure_start(
    measurements: Measurements, folder: Path, instance_settings: dict[str, Any], run_for: float, **load_options: Any
) -> dict[str, float]:
    """Start an instance with given settings and load it.

    Returns:
        Time and CPU until ready and serving, memory, and CPU of requests.
    """
    with SingleInstance(folder, instance_settings) as instance:
        row = {
            "json_mb": instance.json_bytes / 1e6,
            "ready_s": instance.ready_s,
            "ready_cpu_s": instance.ready_cpu_s,
            "serving_s": instance.serving_s,
            "serving_cpu_s": instance.serving_cpu_s,
            "memory_mb": instance.ready_bytes / 1e6,
            "peak_mb": instance.peak_bytes / 1e6,
        }
        used = measurements.drive(instance, CALM_RATE, run_for, connections=256, **load_options)
        row |= {
            "cpu_ms": used["cpu_ms"],
            "p99_ms": used["latency_ms"]["p99"],
            "used_memory_mb": used["memory"] / 1e6,
            "rejected": used["answered"] - used["statuses"].get("200", 0),
        }
        if "tenants" in load_options:
            # A connection is read more slowly the more invalid requests it has sent: use many connections and a low rate.
            unknown = measurements.drive(
                instance, 60, 2.0 if measurements.quick else 6.0, connections=400, tenant="x%07d", **load_options
            )
            row |= {"unknown_cpu_ms": unknown["cpu_ms"], "unknown_refused": unknown["statuses"].get("400", 0) / unknown["sent"]}
    return {name: round(value, 4) for name, value in row.items()}


def tenants(measurements: Measurements, folder: Path) -> None:
    """Measure starts and requests by the number of tenants."""
    sizes = (10, 1000, 5000, 25_000) if measurements.quick else (10, 1000, 25_000, 100_000, 250_000)
    rows = [
        {
            "tenants": size,
            **measure_start(
                measurements, folder, settings(size), 2.0 if measurements.quick else 8.0, tenants=size, callers=1000
            ),
        }
        for size in sizes
    ]
    measurements.figures["tenants"] = rows
    add_settings_costs(measurements, "tenants", rows)
    measurements.cost(
        "request.tenants_unknown_cpu",
        "ms of CPU a request",
        "tenants",
        [(row["tenants"], row["unknown_cpu_ms"]) for row in rows],
    )


def add_settings_costs(measurements: Measurements, size: str, rows: list[dict[str, float]]) -> None:
    """Store the costs of starts over a size."""
    for name, unit, key in (
        ("json", "MB", "json_mb"),
        ("ready", "s", "ready_s"),
        ("ready_cpu", "s of CPU", "ready_cpu_s"),
        ("serving", "s", "serving_s"),
        ("start_cpu", "s of CPU", "serving_cpu_s"),
        ("memory", "MB", "memory_mb"),
        ("peak", "MB resident at most", "peak_mb"),
        ("used_memory", "MB", "used_memory_mb"),
    ):
        measurements.cost(f"settings.{size}_{name}", unit, size, [(row[size], row[key]) for row in rows])
    measurements.cost(f"request.{size}_cpu", "ms of CPU a request", size, [(row[size], row["cpu_ms"]) for row in rows])


def routes(measurements: Measurements, folder: Path) -> None:
    """Measure starts by the number of classes: with four distinct `worth` values, as in a deployment, then one per class."""
    sizes = (10, 100, 1000, 5000) if measurements.quick else (10, 100, 1000, 10_000, 44_000)
    run_for = 2.0 if measurements.quick else 8.0
    rows = [
        {"classes": size, **measure_start(measurements, folder, settings(0, size), run_for, classes=size, callers=1000)}
        for size in sizes
    ]
    measurements.figures["routes"] = rows
    add_settings_costs(measurements, "classes", rows)
    each = []
    for size in (1000, 2000) if measurements.quick else (1000, 5000, 10_000, 20_000):
        with SingleInstance(folder, settings(0, size, worths=size)) as instance:
            each.append(
                {"classes": size, "serving_s": round(instance.serving_s, 3), "serving_cpu_s": round(instance.serving_cpu_s, 3)}
            )
    measurements.figures["routes_each_its_worth"] = each
    measurements.events["each class its own worth"] = {
        f"serving_cpu_s_at_{row['classes']}": row["serving_cpu_s"] for row in each
    }


def measure_reload(measurements: Measurements, folder: Path, size: int, times: int) -> dict[str, float]:
    """Reload settings with one tenant's quota changed, under even load on connections opened before the reload."""
    instance_settings, rate = settings(size), 40.0
    with SingleInstance(folder, instance_settings, sockets=4096) as instance:
        measurements.drive(instance, CALM_RATE, 0.5 * WARM_UP_S, tenants=size)
        expected_reload_s = 0.5 + 2.0 * instance.ready_cpu_s
        driving = RunningLoad(
            instance.port,
            rate,
            2.0 + times * (expected_reload_s + 0.7),
            even=True,
            keep=True,
            connections=400,
            opened=400,
            tenants=size,
            callers=1000,
            seed=measurements.seed,
        )
        time.sleep(0.5)
        cpu, at = instance.cpu(), time.monotonic()
        time.sleep(1.0)
        baseline_cores = (instance.cpu() - cpu) / (time.monotonic() - at)
        before, spent, spans, memory_after = instance.memory(), [], [], []
        instance.reset_peak()
        for number in range(times):
            instance_settings["tenants"][0]["quota_per_s"] = 1000.0 + number
            instance.write(instance_settings)
            cpu, at = instance.cpu(), time.monotonic()
            instance.reload()
            time.sleep(0.1)
            while instance.counters().get("reloads", 0) <= number and time.monotonic() < at + 60.0:
                time.sleep(0.1)
            time.sleep(0.3)
            end = time.monotonic()
            spent.append(instance.cpu() - cpu - baseline_cores * (end - at))
            spans.append((at, end))
            memory_after.append(instance.memory())
            time.sleep(max(0.0, expected_reload_s - (end - at)))
        report, counted, peak, left = (
            measurements.add_report(driving.done()),
            instance.counters(),
            instance.peak(),
            instance.deferred_settings(),
        )
    late = [latency for due, latency in report["kept"] if any(at - 0.05 <= due <= end for at, end in spans)]
    calm = [latency for due, latency in report["kept"] if due < spans[0][0] - 0.05]
    ends = sorted(due + latency for due, latency in report["kept"])
    gap = max(later - earlier for earlier, later in zip(ends, ends[1:]))
    return {
        "tenants": size,
        "reloads": counted.get("reloads", 0),
        "cpu_s": round(median(spent), 4),
        "stall_s": round(max(late), 4),
        "calm_p100_s": round(max(calm), 4),
        "gap_s": round(gap, 4),
        "before_mb": round(before / 1e6, 2),
        "after_first_mb": round(memory_after[0] / 1e6, 2),
        "after_last_mb": round(memory_after[-1] / 1e6, 2),
        "peak_mb": round(peak / 1e6, 2),
        "left": left,
        "lost": report["lost"],
        "rejected": report["answered"] - report["statuses"].get("200", 0),
        "core_at_target": round(median(spent) * CHANGES_PER_DAY / 86_400, 5),
    }


def reload(measurements: Measurements, folder: Path) -> None:
    """Measure reloads by the number of tenants."""
    sizes, times = ((1000, 2500, 5000, 25_000), 1) if measurements.quick else ((1000, 5000, 25_000, 100_000, 250_000), 3)
    rows = [measure_reload(measurements, folder, size, times) for size in sizes]
    measurements.figures["reload"] = rows
    points = {
        key: [(row["tenants"], row[key]) for row in rows]
        for key in ("cpu_s", "stall_s", "after_last_mb", "peak_mb", "core_at_target")
    }
    measurements.cost("settings.reload_cpu", "s of CPU a reload", "tenants", points["cpu_s"])
    measurements.cost("settings.reload_stall", "s that requests waited at most", "tenants", points["stall_s"])
    measurements.cost("settings.reload_memory", "MB after the last reload", "tenants", points["after_last_mb"])
    measurements.cost("settings.reload_peak", "MB resident at most", "tenants", points["peak_mb"])
    measurements.cost("settings.reload_core", "share of a core at 5,700 a day", "tenants", points["core_at_target"])
    measurements.notes.append(f"reload: changes to tenants take effect only after a restart; pending: {rows[-1]['left']}")
    for row in rows:
        measurements.events[f"reload with {row['tenants']} tenants"] = {
            key: value for key, value in row.items() if key not in ("tenants", "left")
        }
    measurements.holds["no request lost in a reload"] = not sum(row["lost"] for row in rows)
    measurements.holds["each reload came through"] = all(row["reloads"] == times for row in rows)
