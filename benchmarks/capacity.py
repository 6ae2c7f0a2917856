"""The tables of docs/CAPACITY.md, from the recorded slopes and from the rows that say what they are held against.

Usage:
  capacity [--check | --write] [--page FILE] [--recorded FOLDER]

Options:
  --check            Ends with 1, and says where, if page and records part.
  --write            Writes the tables into the page; else they are printed.
  --page FILE        The page [default: docs/CAPACITY.md].
  --recorded FOLDER  Records and rows.toml; else those beside this file.

A row's need is what a run of the target size took, or else its cost's fit there (times another cost, where the row says so).
The ratio is need over bound. It breaks where the fit reaches the bound, between the last run within it and the first over it.
Rows without a run say their arithmetic and are marked as reckoned.
"""

from __future__ import annotations

import importlib
import importlib.util
import json
import math
import sys
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from docopt import docopt

from benchmarks.records import RECORDED, Cost, InvalidRecordError, Record, read_all

ROOT = Path(__file__).parent.parent
OUR_PACKAGE = "mulleinhatch"
EXTRAPOLATION_FACTOR = 1.2  # times the largest size of a run, from which a need is marked as set out beyond its points
MAX_FIT_ERROR = 0.15  # by which a run at another size may miss the fit
MAX_LISTED_SHARE = 3.0  # times the target size, up to which what breaks later is listed too
TABLE_MARKER = "<!-- from the records: "
BISECTION_STEPS = 200  # of halving, when a size is sought
ROW_KEYS = {
    "role": str,
    "kind": str,
    "what": str,
    "mechanism": str,
    "record": str,
    "cost": str,
    "reckoned": str,
    "value": float,
    "unit": str,
    "size": str,
    "at": float,
    "factor": float,
    "times": str,
    "bound": (str, float),
    "bound_text": str,
    "missing": str,
    "if_recorded": str,
    "replaced_by": str,
    "adds": bool,
}
KINDS = ("state", "messages", "processor time", "memory", "time")


class Bound(NamedTuple):
    value: float
    text: str  # where it comes from


class MissingMechanism(NamedTuple):
    name: str
    dependents: tuple[str, ...]  # modules that stand on it
    prerequisites: tuple[str, ...]  # other missing ones that it needs itself
    why: str


class Row(NamedTuple):
    """One line of a role's table, with its figures at the target."""

    role: str
    kind: str
    what: str
    mechanism: str
    cost: Cost | None  # None: reckoned
    record: Record | None
    times: tuple[Cost, ...]
    factor: float
    reckoned: str
    value: float  # reckoned, at the target size
    unit: str
    size: str  # what it grows with; empty: with nothing
    target: float
    bound: Bound | None
    missing: str
    replaced_by: str
    adds: bool

    def need(self, size: float) -> float:
        if self.cost is None:
            return self.factor * self.value * (size / self.target if self.size else 1.0)
        need = self.factor * self.cost.fit.at(size)
        for cost in self.times:
            need *= cost.fit.at(size)
        return need

    @property
    def measured(self) -> list[tuple[float, float]]:
        """What runs took, by size; of a product of costs none."""
        if self.cost is None or self.times:
            return []
        points = [*self.cost.points, *([self.cost.checked] if self.cost.checked else [])]
        return [(size, self.factor * value) for size, value in points]

    @property
    def run_there(self) -> float | None:
        """What a run at the target size itself took."""
        return max((value for size, value in self.measured if size == self.target), default=None)

    @property
    def at_target(self) -> float:
        """What a run at that size took, or else what the fit says."""
        return self.need(self.target) if self.run_there is None else self.run_there

    @property
    def ratio(self) -> float:
        return self.at_target / self.bound.value if self.bound else 0.0

    @property
    def breaks_at(self) -> float:
        """The size at which the bound is reached: 0 where it is passed at any size, infinite where at none. By the fit, but
        not where a run says otherwise: after the last of those within the bound, and at the first that is over it."""
        if self.bound is None:
            return math.inf
        runs = sorted(self.measured)
        over = next((size for size, value in runs if value > self.bound.value), math.inf)
        within = max((size for size, _ in runs if size < over), default=0.0)
        return min(over, max(within, self._fit_breaks_at()))

    def _fit_breaks_at(self) -> float:
        if not self.times and self.cost is not None:
            return self.cost.fit.reaches(self.bound.value / self.factor)
        low, high = 0.0, 1e12
        if self.cost is None and self.size:
            return self.target * self.bound.value / self.at_target
        if self.need(high) <= self.bound.value:
            return math.inf
        for _ in range(BISECTION_STEPS):
            middle = 0.5 * (low + high)
            low, high = (middle, high) if self.need(middle) <= self.bound.value else (low, middle)
        return low

    @property
    def smallest(self) -> float:
        """The smallest size of a run: of a break below it no more is known than that."""
        return min(size for size, _ in self.cost.points) if self.cost else 0.0

    @property
    def share(self) -> float:
        """Of the target size, at which it is broken for certain."""
        return max(self.breaks_at, self.smallest) / self.target


class CapacityModel(NamedTuple):
    """All that the page's tables are made of."""

    target: list[tuple[str, str]]
    roles: dict[str, str]
    rows: list[Row]
    missing: dict[str, MissingMechanism]
    records: dict[str, Record]


# Reading what is declared.


def read_model(folder: Path = RECORDED) -> CapacityModel:
    path = folder / "rows.toml"
    try:
        declared = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise InvalidRecordError(f"{path.name}: can't be read: {error}") from None
    for key in ("target", "roles", "sizes", "bounds", "missing", "row"):
        if key not in declared:
            raise InvalidRecordError(f"{path.name}: {key}: missing")
    records = read_all(folder)
    bounds = {name: Bound(float(bound["value"]), bound["text"]) for name, bound in declared["bounds"].items()}
    missing = _missing(f"{path.name}: missing", declared["missing"])
    rows = []
    for place, row in enumerate(declared["row"]):
        where = f"{path.name}: row {place + 1} ({row.get('what', '?')})"
        _check_keys(where, row)
        _bound(where, row, bounds)  # of rows that wait for their record, too
        if _recorded(row.get("if_recorded", ""), records):
            rows.append(_row(where, row, declared, bounds, missing, records))
    roles = dict(declared["roles"])
    if lost := [row.role for row in rows if row.role not in roles]:
        raise InvalidRecordError(f"{path.name}: role {lost[0]!r} is none of {', '.join(roles)}")
    return CapacityModel([(what, target) for what, target in declared["target"]], roles, rows, missing, records)


def _missing(where: str, declarations: list[dict[str, Any]]) -> dict[str, MissingMechanism]:
    missing = {
        one["name"]: MissingMechanism(one["name"], tuple(one["on_it"]), tuple(one.get("stands_on", ())), one["why"])
        for one in declarations
    }
    for one in missing.values():
        for module in one.dependents:
            _importable(f"{where} {one.name!r}", module)
        for name in one.prerequisites:
            if name not in missing:
                raise InvalidRecordError(f"{where} {one.name!r}: stands_on: {name!r} is told of nowhere")
    _check_no_cycle(missing)
    return missing


def _check_no_cycle(missing: dict[str, MissingMechanism]) -> None:
    """None of them stands on itself over others, whichever of them are missing today."""
    remaining = dict(missing)
    while ready := [name for name, one in remaining.items() if not remaining.keys() & set(one.prerequisites)]:
        for name in ready:
            del remaining[name]
    if remaining:
        raise InvalidRecordError(f"rows.toml: missing: {', '.join(sorted(remaining))} stand on each other")


def _recorded(condition: str, records: dict[str, Record]) -> bool:
    """`record`, or `record:cost`, is there; nothing told asks for nothing."""
    name, _, cost = condition.partition(":")
    return not name or name in records and (not cost or cost in records[name].costs)


def _check_keys(where: str, row: dict[str, Any]) -> None:
    for key, value in row.items():
        kind = ROW_KEYS.get(key)
        if kind is None:
            raise InvalidRecordError(f"{where}: {key}: no such key")
        number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not (number and float in _kinds(kind) or isinstance(value, kind) and not isinstance(value, float)):
            raise InvalidRecordError(f"{where}: {key}: {value!r} does not do")
    for key in ("role", "kind", "what", "mechanism"):
        if not row.get(key):
            raise InvalidRecordError(f"{where}: {key}: missing")
    if row["kind"] not in KINDS:
        raise InvalidRecordError(f"{where}: kind: {row['kind']!r} is none of {', '.join(KINDS)}")


def _kinds(kind: type | tuple[type, ...]) -> tuple[type, ...]:
    return kind if isinstance(kind, tuple) else (kind,)


def _row(
    where: str,
    row: dict[str, Any],
    declared: dict[str, Any],
    bounds: dict[str, Bound],
    missing: dict[str, MissingMechanism],
    records: dict[str, Record],
) -> Row:
    for module in row["mechanism"].split(", "):
        if module != "none":
            _importable(where, module)
    record = cost = None
    if "reckoned" in row:
        if "value" not in row or "cost" in row:
            raise InvalidRecordError(f"{where}: value: what is reckoned has a value, and no cost")
        unit, size = row.get("unit", ""), row.get("size", "")
    else:
        record, cost = _cost(where, row.get("record", ""), row.get("cost", ""), records)
        unit, size = row.get("unit", cost.unit), cost.size
    times = tuple(_cost(where, row["record"], name, records)[1] for name in row.get("times", "").split(", ") if name)
    if size and "at" not in row and size not in declared["sizes"]:
        raise InvalidRecordError(f"{where}: size: there is no target for {size!r}")
    target = float(row["at"]) if "at" in row else float(declared["sizes"][size]) if size else 1.0
    found = Row(
        row["role"],
        row["kind"],
        row["what"],
        row["mechanism"],
        cost,
        record,
        times,
        float(row.get("factor", 1.0)),
        row.get("reckoned", ""),
        float(row.get("value", 0.0)),
        unit,
        size,
        target,
        _bound(where, row, bounds),
        row.get("missing", ""),
        row.get("replaced_by", "") if row.get("replaced_by", "") in records else "",
        row.get("adds", False),
    )
    if found.missing and found.missing not in missing:
        raise InvalidRecordError(f"{where}: missing: {found.missing!r} is told of nowhere")
    if found.ratio > 1.0 and not found.missing and not found.replaced_by:
        raise InvalidRecordError(
            f"{where}: missing: over its bound ({found.ratio:.3g}), and no mechanism is named that is missing"
        )
    return found


def _cost(where: str, record: str, name: str, records: dict[str, Record]) -> tuple[Record, Cost]:
    if not record or not name:
        raise InvalidRecordError(f"{where}: cost: neither a record's cost nor reckoned")
    if record not in records:
        raise InvalidRecordError(f"{where}: record: there is no {record}.json, and the row is not reckoned")
    if name not in records[record].costs:
        raise InvalidRecordError(f"{where}: cost: {record}.json has no {name}, and the row is not reckoned")
    return records[record], records[record].costs[name]


def _bound(where: str, row: dict[str, Any], bounds: dict[str, Bound]) -> Bound | None:
    """A number, the name of a bound of the target, or a constant of the code as `module:NAME`."""
    declaration = row.get("bound", "")
    if declaration == "":
        return None
    if not isinstance(declaration, str):
        return Bound(float(declaration), row.get("bound_text", ""))
    if declaration in bounds:
        return bounds[declaration]
    module, _, name = declaration.partition(":")
    _importable(where, module)
    value = importlib.import_module(module)
    for part in name.split("."):
        value = getattr(value, part, None)
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise InvalidRecordError(f"{where}: bound: {declaration} is no number")
    return Bound(float(value), f"`{name}` of `{module}`")


def _importable(where: str, module: str) -> None:
    if module.split(".")[0] != OUR_PACKAGE:
        raise InvalidRecordError(f"{where}: {module!r} is no module of {OUR_PACKAGE}")
    try:
        found = importlib.util.find_spec(module)
    except (ImportError, ValueError):
        found = None
    if found is None:
        raise InvalidRecordError(f"{where}: {module!r} is no module that can be imported")


# The tables.


def number(value: float, figures: int = 3) -> str:
    """
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
    """
    >>> percent(0.2778), percent(0.00055555), percent(2.5), percent(0.0)
    ('27.8%', '0.0556%', '250%', '0%')
    """
    return f"{number(100.0 * share)}%"


def table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = [head, ("---",) * len(head), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


def fit_text(cost: Cost) -> str:
    fit, sizes = cost.fit, [size for size, _ in cost.points]
    over = {"linear": cost.size, "log2": f"log2({cost.size})", "square": f"{cost.size} squared"}
    slope = f"{number(abs(fit.slope))} x {over[fit.form]}" if fit.form != "constant" else ""
    sign = " + " if fit.slope >= 0.0 else " - "
    law = slope if slope and not fit.constant and fit.slope >= 0.0 else number(fit.constant) + (sign + slope if slope else "")
    text = f"{law}, off by {fit.residual:.0%} at most at {number(min(sizes))} to {number(max(sizes))}"
    if cost.checked:
        size, value = cost.checked
        off = fit.at(size) / value - 1.0 if value else 0.0
        text += f"; {'met' if abs(off) <= MAX_FIT_ERROR else 'MISSED'} by a run at {number(size)} ({off:+.0%})"
    return text


def slope_text(row: Row) -> str:
    if row.cost is None:
        return f"reckoned: {row.reckoned}"
    text = fit_text(row.cost)
    if row.run_there is not None and number(row.run_there) != number(row.need(row.target)):
        text += f"; a run at that size took {number(row.run_there)}, which counts"
    for cost in row.times:
        text += f"; times {fit_text(cost)}"
    reached = max([size for size, _ in row.cost.points] + ([row.cost.checked[0]] if row.cost.checked else []))
    if row.cost.fit.form != "constant" and row.target > EXTRAPOLATION_FACTOR * reached:
        text += f"; set out {number(row.target / reached)} times beyond its largest run"
    return text


def bound_text(bound: Bound | None) -> str:
    return "none told" if bound is None else number(bound.value) + (f" ({bound.text})" if bound.text else "")


def mechanism_text(row: Row) -> str:
    if row.mechanism == "none":
        return "none"
    text = ", ".join(f"`{module}`" for module in row.mechanism.split(", "))
    return f"{text}, where `{row.replaced_by}` does not stand in for it" if row.replaced_by else text


def role_table(model: CapacityModel, role: str) -> str:
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
    """What one instance has to bear at once, by bound: the rows that say that they add up."""
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
    """What has a bound and breaks, or nearly does, the smallest share of the target first."""
    rows = [
        row for row in model.rows if row.bound and not row.replaced_by and (row.share <= MAX_LISTED_SHARE or row.ratio > 1.0)
    ]
    return sorted(rows, key=lambda row: (row.share, -row.ratio, row.what))


def breaks_text(row: Row) -> tuple[str, str]:
    if row.breaks_at < row.smallest:
        return f"under {number(row.smallest)} {row.size}, the smallest run", f"under {percent(row.share)}"
    return f"{number(row.breaks_at)} {row.size}" if row.size else "at any size", percent(row.share)


def breaks_table(model: CapacityModel) -> str:
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
    """By the page's rule: the smallest share of the target size, of those on which others stand; the rest behind. What
    itself stands on a missing one comes after that."""
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
            raise InvalidRecordError(f"rows.toml: missing: {', '.join(sorted(names))} stand on each other")
        remaining.remove(ready)
        order.append(ready)
    return order


def missing_table(model: CapacityModel) -> str:
    order = next_missing(model)
    lines = [
        (
            str(place + 1),
            missing.name,
            row.what,
            breaks_text(row)[1],
            ", ".join(f"`{module}`" for module in missing.dependents) or "nothing",
            ", ".join(missing.prerequisites) or "none missing",
            missing.why,
        )
        for place, (missing, row) in enumerate(order)
    ]
    head = f"Missing first: **{order[0][0].name}**.\n\n" if order else "Nothing is missing.\n\n"
    head_line = ("order", "mechanism", "its first bound to break", "at share", "stand on it", "stands itself on", "why")
    return head + table(head_line, lines)


def events_table(model: CapacityModel) -> str:
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
    """By the name that stands in the page's markers."""
    return {
        "target": table(("what", "target"), model.target),
        **{role: role_table(model, role) for role in model.roles},
        "together": together_table(model),
        "breaks": breaks_table(model),
        "missing": missing_table(model),
        "events": events_table(model),
        "runs": runs_table(model),
    }


# The page.


def markers(name: str) -> tuple[str, str]:
    return f"{TABLE_MARKER}{name} -->\n", "\n<!-- end -->"


def marked_text(page: str, name: str) -> str | None:
    """What stands between the markers of a table; None where these don't stand there once, and in order."""
    begin, end = markers(name)
    if page.count(begin) != 1:
        return None
    inside, found, _ = page.split(begin)[1].partition(end)
    return inside if found and TABLE_MARKER not in inside else None


def differences(page: str, expected_tables: dict[str, str]) -> list[str]:
    """Where page and records differ, by table and line."""
    found = []
    for name, text in expected_tables.items():
        inside = marked_text(page, name)
        if inside is None:
            found.append(f"{name}: its markers are not in the page once, and in order")
            continue
        expected_lines, page_lines = text.splitlines(), inside.splitlines()
        for place in range(max(len(expected_lines), len(page_lines))):
            expected, actual = (lines[place] if place < len(lines) else "(nothing)" for lines in (expected_lines, page_lines))
            if expected != actual:
                found.append(f"{name}, line {place + 1}: the page has {actual!r}, the records give {expected!r}")
    if extra := page.count(TABLE_MARKER) - len(expected_tables):
        found.append(f"{extra} marked tables too many")
    return found


def with_tables(page: str, expected_tables: dict[str, str]) -> str:
    for name, text in expected_tables.items():
        inside = marked_text(page, name)
        if inside is None:
            raise InvalidRecordError(f"the page has no markers for {name}, or not once and in order")
        begin, end = markers(name)
        page = page.replace(begin + inside + end, begin + text + end)
    return page


def main(argv: list[str] | None = None) -> int:
    options = docopt(__doc__, argv)
    page = Path(options["--page"])
    try:
        model = read_model(Path(options["--recorded"] or RECORDED))
        wanted = tables(model)
        if options["--write"]:
            page.write_text(with_tables(page.read_text(), wanted))
        elif options["--check"]:
            if differing := differences(page.read_text(), wanted):
                print("\n".join(differing), file=sys.stderr)
                return 1
        else:
            for name, text in wanted.items():
                print(f"\n{name}\n\n{text}")
    except (InvalidRecordError, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    over = [row for row in breaking(model) if row.ratio > 1.0]
    print(
        json.dumps(
            {
                "benchmark": "capacity",
                "rows": len(model.rows),
                "over": len(over),
                "missing": [missing.name for missing, _ in next_missing(model)],
                "holds": True,
            }
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
