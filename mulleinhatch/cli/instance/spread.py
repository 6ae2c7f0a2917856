"""`mulleinhatch fleet spread`: show the load of each instance as a table, live, or over time as a heat map (PNG)."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

REFRESH_INTERVAL_S = 0.5
COLUMNS = ("instance", "busy", "held", "room", "load", "pace", "acked", "nacked", "failed", "age")


def load_rows(status: dict[str, Any]) -> list[dict[str, Any]]:
    """Return a row for the queried instance, then one for each peer from its last report."""
    here = next((row["name"] for row in status["members"] if row["state"] == "self"), "-")
    own = status["spread"]
    own_row = {
        "name": f"{here} (asked)",
        "age": 0.0,
        "held": own["held"],
        "running": own["places"] - own["room"],
        "room": own["room"],
        "places": own["places"],
        "pace": own["pace"]["value"] if own["pace"] else 0.0,
        "load": own["load"],
    }
    return [own_row, *status["carried"]]


def busy(row: dict[str, Any]) -> float:
    """Return the share of its capacity that an instance uses."""
    return min(1.0, max(0.0, row["running"]) / max(1.0, row["places"]))


def rows(status: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return the table with its header.

    >>> row = {"name": "b", "age": 0.5, "held": 2, "running": 1, "room": 1, "places": 2, "pace": 1.0, "load": 0.5, "acked": 3.0}
    >>> own = {"held": 0, "room": 2, "places": 2, "pace": None, "load": 0.1}
    >>> status = {"members": [{"name": "a", "state": "self"}], "spread": own, "carried": [row]}
    >>> [row[:4] for row in rows(status)]
    [('instance', 'busy', 'held', 'room'), ('a (asked)', '0%', '0', '2'), ('b', '50%', '2', '1')]
    """

    def format_rate(row: dict[str, Any], figure: str) -> str:
        return f"{row[figure]:.1f}" if figure in row else "-"

    return [
        COLUMNS,
        *(
            (
                row["name"],
                f"{busy(row):.0%}",
                f"{row['held']:.0f}",
                f"{row['room']:.0f}",
                f"{row['load']:.2f}",
                f"{row['pace']:.2f}",
                format_rate(row, "acked"),
                format_rate(row, "nacked"),
                format_rate(row, "failed"),
                f"{row['age']:.1f} s",
            )
            for row in load_rows(status)
        ),
    ]


def head(status: dict[str, Any]) -> str:
    """Return the summary line."""
    own = status["spread"]
    back = f"; handover is off: {own['held_back']}" if own["held_back"] else ""
    return (
        f"{own['offers_out']} offers granted, {own['offers_held']} held, {own['away']} requests at peers; fleet load "
        f"{own['fleet_load']:.2f}, share to hand over {own['wish']:.0%}{back}"
    )


def live(fetch_status: Callable[[], dict[str, Any]], text: Callable[[list[tuple[str, ...]]], str]) -> None:
    """Show the table live."""
    from rich.live import Live
    from rich.text import Text

    with Live(refresh_per_second=4) as shown:
        while True:
            try:
                status = fetch_status()
                shown.update(Text(head(status) + "\n" + text(rows(status))))
            except (OSError, ValueError) as error:
                shown.update(Text(str(error)))
            time.sleep(REFRESH_INTERVAL_S)


def plot(fetch_status: Callable[[], dict[str, Any]], seconds: float, path: str) -> int:
    """Plot the busy share of each instance over time; return the number of readings."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    begun, readings = time.monotonic(), []
    while time.monotonic() - begun < seconds:
        try:
            readings.append((time.monotonic() - begun, {row["name"]: busy(row) for row in load_rows(fetch_status())}))
        except (OSError, ValueError):
            readings.append((time.monotonic() - begun, {}))
        time.sleep(REFRESH_INTERVAL_S)
    plot_heat_map(readings, path, pyplot)
    return len(readings)


def plot_heat_map(readings: list[tuple[float, dict[str, float]]], path: str, pyplot: Any) -> None:
    """Write the heat map.

    Args:
        readings: Times, and the busy share of each instance known then; instances unknown then are left white.
    """
    names = sorted({name for _, shares in readings for name in shares})
    figure, axes = pyplot.subplots(figsize=(10, max(2.5, 0.12 * len(names))))
    image = axes.imshow(
        [[shares.get(name, float("nan")) for _, shares in readings] for name in names],
        aspect="auto",
        vmin=0.0,
        vmax=1.0,
        cmap="viridis",
        interpolation="nearest",
        extent=(readings[0][0] if readings else 0.0, readings[-1][0] if readings else 1.0, len(names) - 0.5, -0.5),
    )
    if len(names) <= 40:
        axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set_xlabel("seconds")
    axes.set_title("busy share by instance")
    figure.colorbar(image)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
