"""Render the capacity model as the Markdown tables of docs/CAPACITY.md."""

from __future__ import annotations

import math

from benchmarks.capacity_model import KINDS, Bound, CapacityModel, MissingMechanism, Row
from benchmarks.records import Cost, InvalidRecordError

EXTRAPOLATION_FACTOR = 1.2  # needs beyond this multiple of the largest measured size are marked as extrapolated
MAX_FIT_ERROR = 0.15  # relative error of the fit allowed at a run that it was not made from
MAX_LISTED_SHARE = 3.0  # rows that break beyond this multiple of the target size are not listed


def number(value: float, figures: int = 3) -> str:
    """Format a number with thousands separators and a number of significant digits.

    >>> number(28704.4), number(0.012345), number(3.0), number(0.0), number(1234567.8), number(1024.0), number(1.5e-6)
    ('28,700', '0.0123', '3', '0', '1,235,000', '1,024', '1.5e-06')
    """
    if not math.isfinite(value):
        return str(value)
    if value != int(value):
        value = float(f"{value:.{4 if abs(value) >= 1e4 and figures < 4 else figures}g}")
    if value == int(value):
        return f"{int(value):,}"
    if abs(value) < 1e-4:
        return f"{value:g}"
    return f"{value:,.10f}".rstrip("0").rstrip(".")


def percent(share: float) -> str:
    """Format a share as a percentage.

    >>> percent(0.2778), percent(0.00055555), percent(2.5), percent(0.0)
    ('27.8%', '0.0556%', '250%', '0%')
    """
    return f"{number(100.0 * share)}%"


def table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Format a Markdown table."""
    lines = [head, ("---",) * len(head), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


def fit_text(cost: Cost) -> str:
    """Describe a fit, its largest error and its check by another run."""
    fit, sizes = cost.fit, [size for size, _ in cost.points]
    over = {"linear": cost.size, "log2": f"log2({cost.size})", "square": f"{cost.size} squared"}
    slope = f"{number(abs(fit.slope))} x {over[fit.form]}" if fit.form != "constant" else ""
    sign = " + " if fit.slope >= 0.0 else " - "
    formula = (
        slope if slope and not fit.constant and fit.slope >= 0.0 else number(fit.constant) + (sign + slope if slope else "")
    )
    text = f"{formula}, off by {fit.residual:.0%} at most at {number(min(sizes))} to {number(max(sizes))}"
    if cost.checked:
        size, value = cost.checked
        error = fit.at(size) / value - 1.0 if value else 0.0
        text += f"; {'met' if abs(error) <= MAX_FIT_ERROR else 'MISSED'} by a run at {number(size)} ({error:+.0%})"
    return text


def slope_text(row: Row) -> str:
    """Describe how the need of a row grows and where that is extrapolated."""
    if row.cost is None:
        return f"reckoned: {row.reckoned}"
    text = fit_text(row.cost)
    if row.measured_at_target is not None and number(row.measured_at_target) != number(row.need(row.target)):
        text += f"; a run at that size took {number(row.measured_at_target)}, which counts"
    for cost in row.times:
        text += f"; times {fit_text(cost)}"
    largest_measured = max([size for size, _ in row.cost.points] + ([row.cost.checked[0]] if row.cost.checked else []))
    if row.cost.fit.form != "constant" and row.target > EXTRAPOLATION_FACTOR * largest_measured:
        text += f"; set out {number(row.target / largest_measured)} times beyond its largest run"
    return text


def bound_text(bound: Bound | None) -> str:
    """Describe a bound and its origin."""
    return "none told" if bound is None else number(bound.value) + (f" ({bound.text})" if bound.text else "")


def mechanism_text(row: Row) -> str:
    """Name the modules that implement a row's mechanism."""
    if row.mechanism == "none":
        return "none"
    text = ", ".join(f"`{module}`" for module in row.mechanism.split(", "))
    return f"{text}, where `{row.replaced_by}` does not stand in for it" if row.replaced_by else text


def role_table(model: CapacityModel, role: str) -> str:
    """Render the table of one role."""
    rows = [row for row in model.rows if row.role == role]
    lines = [
        (
            row.kind,
            row.what,
            f"{number(row.at_target)} {row.unit}".strip(),
            slope_text(row),
            f"`{row.record.name}`" if row.record else "no run",
            bound_text(row.bound),
            number(row.ratio) if row.bound else "-",
            mechanism_text(row),
        )
        for row in sorted(rows, key=lambda row: KINDS.index(row.kind))
    ]
    return table(("kind", "what", "at the target", "slope", "run", "bound", "need / bound", "carried by"), lines)


def together_table(model: CapacityModel) -> str:
    """Render the sums of rows that load one instance at the same time, by bound.

    Raises:
        InvalidRecordError: If rows of different units add up.
    """
    sums: dict[Bound, list[Row]] = {}
    for row in model.rows:
        if row.adds and row.bound and not row.replaced_by:
            sums.setdefault(row.bound, []).append(row)
    lines = []
    for bound, rows in sums.items():
        if len({row.unit for row in rows}) > 1:
            raise InvalidRecordError(f"rows.toml: adds: {', '.join(row.what for row in rows)} add up in different units")
        total = sum(row.at_target for row in rows)
        lines.append(
            (
                "; ".join(f"{row.what}: {number(row.at_target)}" for row in rows),
                f"{number(total)} {rows[0].unit}",
                bound_text(bound),
                number(total / bound.value),
            )
        )
    return table(("parts", "together", "bound", "need / bound"), lines)


def breaking(model: CapacityModel) -> list[Row]:
    """Return rows that exceed their bound at the target size or not far beyond it, the smallest share of the target first."""
    rows = [
        row for row in model.rows if row.bound and not row.replaced_by and (row.share <= MAX_LISTED_SHARE or row.ratio > 1.0)
    ]
    return sorted(rows, key=lambda row: (row.share, -row.ratio, row.what))


def breaks_text(row: Row) -> tuple[str, str]:
    """Return the size at which a row breaks and its share of the target size, as text."""
    if row.breaks_at < row.min_measured_size:
        return f"under {number(row.min_measured_size)} {row.size}, the smallest run", f"under {percent(row.share)}"
    return f"{number(row.breaks_at)} {row.size}" if row.size else "at any size", percent(row.share)


def breaks_table(model: CapacityModel) -> str:
    """Render the rows that break, in the order in which they do."""
    return table(
        ("what", "role", "breaks at", "share of the target size", "need / bound", "behind it", "missing"),
        [
            (
                row.what,
                row.role,
                *breaks_text(row),
                number(row.ratio),
                f"run `{row.record.name}`" if row.record else "reckoned",
                row.missing if row.ratio > 1.0 else "",
            )
            for row in breaking(model)
        ],
    )


def next_missing(model: CapacityModel) -> list[tuple[MissingMechanism, Row]]:
    """Return the missing mechanisms in the order in which to build them, each with its first row to break.

    Mechanisms with dependents come first, by the smallest share of the target size; each comes after its prerequisites.

    Raises:
        InvalidRecordError: If mechanisms depend on each other in a cycle.
    """
    first: dict[str, Row] = {}
    for row in breaking(model):
        if row.ratio > 1.0:
            first.setdefault(row.missing, row)
    remaining = sorted(
        ((model.missing[name], row) for name, row in first.items()),
        key=lambda candidate: (not candidate[0].dependents, candidate[1].share, -candidate[1].ratio),
    )
    order: list[tuple[MissingMechanism, Row]] = []
    while remaining:
        names = {missing.name for missing, _ in remaining}
        ready = next((candidate for candidate in remaining if not names & set(candidate[0].prerequisites)), None)
        if ready is None:
            raise InvalidRecordError(f"rows.toml: missing: {', '.join(sorted(names))} depend on each other")
        remaining.remove(ready)
        order.append(ready)
    return order


def missing_table(model: CapacityModel) -> str:
    """Render the missing mechanisms in the order in which to build them."""
    order = next_missing(model)
    lines = [
        (
            str(index + 1),
            missing.name,
            row.what,
            breaks_text(row)[1],
            ", ".join(f"`{module}`" for module in missing.dependents) or "nothing",
            ", ".join(missing.prerequisites) or "none missing",
            missing.why,
        )
        for index, (missing, row) in enumerate(order)
    ]
    head = f"Missing first: **{order[0][0].name}**.\n\n" if order else "Nothing is missing.\n\n"
    head_line = ("order", "mechanism", "its first bound to break", "at share", "stand on it", "stands itself on", "why")
    return head + table(head_line, lines)


def events_table(model: CapacityModel) -> str:
    """Render the figures of recorded events."""
    return table(
        ("event", "figures", "run"),
        [
            (
                event,
                "; ".join(
                    f"{name}: {number(value, 4) if isinstance(value, (int, float)) else value}"
                    for name, value in figures.items()
                ),
                f"`{record.name}`",
            )
            for record in model.records.values()
            for event, figures in record.events.items()
        ],
    )


def runs_table(model: CapacityModel) -> str:
    """Render the commit, command, seed and notes of each record."""
    return table(
        ("run", "commit", "command", "seed", "notes"),
        [
            (
                f"`{record.name}`",
                record.commit,
                f"`{record.command}`",
                str(record.seed),
                " ".join(note if note.endswith(".") else note + "." for note in record.notes),
            )
            for record in model.records.values()
        ],
    )


def tables(model: CapacityModel) -> dict[str, str]:
    """Render all tables, by the name in the page's markers."""
    return {
        "target": table(("what", "target"), model.target),
        **{role: role_table(model, role) for role in model.roles},
        "together": together_table(model),
        "breaks": breaks_table(model),
        "missing": missing_table(model),
        "events": events_table(model),
        "runs": runs_table(model),
    }
