"""Read and check `rows.toml` and the records, and build the capacity model from them."""

from __future__ import annotations

import importlib
import importlib.util
import tomllib
from pathlib import Path
from typing import Any

from benchmarks.capacity_model import KINDS, Bound, CapacityModel, MissingMechanism, Row
from benchmarks.records import RECORDED, Cost, InvalidRecordError, Record, read_all

PACKAGE = "mulleinhatch"
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


def read_model(folder: Path = RECORDED) -> CapacityModel:
    """Read `rows.toml` and all records of a folder.

    Raises:
        InvalidRecordError: If a file can't be read or is inconsistent; the text names file and key.
    """
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
    missing = _read_missing(f"{path.name}: missing", declared["missing"])
    rows = []
    for index, row in enumerate(declared["row"]):
        where = f"{path.name}: row {index + 1} ({row.get('what', '?')})"
        _check_keys(where, row)
        _read_bound(where, row, bounds)  # also checks rows whose record does not exist yet
        if _is_recorded(row.get("if_recorded", ""), records):
            rows.append(_read_row(where, row, declared, bounds, missing, records))
    roles = dict(declared["roles"])
    if unknown_roles := [row.role for row in rows if row.role not in roles]:
        raise InvalidRecordError(f"{path.name}: role {unknown_roles[0]!r} is none of {', '.join(roles)}")
    return CapacityModel([(what, target) for what, target in declared["target"]], roles, rows, missing, records)


def _read_missing(where: str, declarations: list[dict[str, Any]]) -> dict[str, MissingMechanism]:
    missing = {
        one["name"]: MissingMechanism(one["name"], tuple(one["on_it"]), tuple(one.get("stands_on", ())), one["why"])
        for one in declarations
    }
    for one in missing.values():
        for module in one.dependents:
            _check_importable(f"{where} {one.name!r}", module)
        for name in one.prerequisites:
            if name not in missing:
                raise InvalidRecordError(f"{where} {one.name!r}: stands_on: {name!r} is not declared")
    _check_no_cycle(missing)
    return missing


def _check_no_cycle(missing: dict[str, MissingMechanism]) -> None:
    """Raise `InvalidRecordError` if mechanisms depend on each other in a cycle."""
    remaining = dict(missing)
    while ready := [name for name, one in remaining.items() if not remaining.keys() & set(one.prerequisites)]:
        for name in ready:
            del remaining[name]
    if remaining:
        raise InvalidRecordError(f"rows.toml: missing: {', '.join(sorted(remaining))} depend on each other")


def _is_recorded(condition: str, records: dict[str, Record]) -> bool:
    """Return whether the record or cost of a condition, `record` or `record:cost`, exists; an empty condition is met."""
    name, _, cost = condition.partition(":")
    return not name or name in records and (not cost or cost in records[name].costs)


def _check_keys(where: str, row: dict[str, Any]) -> None:
    for key, value in row.items():
        kind = ROW_KEYS.get(key)
        if kind is None:
            raise InvalidRecordError(f"{where}: {key}: no such key")
        number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not (number and float in _kinds(kind) or isinstance(value, kind) and not isinstance(value, float)):
            raise InvalidRecordError(f"{where}: {key}: {value!r} has the wrong type")
    for key in ("role", "kind", "what", "mechanism"):
        if not row.get(key):
            raise InvalidRecordError(f"{where}: {key}: missing")
    if row["kind"] not in KINDS:
        raise InvalidRecordError(f"{where}: kind: {row['kind']!r} is none of {', '.join(KINDS)}")


def _kinds(kind: type | tuple[type, ...]) -> tuple[type, ...]:
    return kind if isinstance(kind, tuple) else (kind,)


def _read_row(
    where: str,
    row: dict[str, Any],
    declared: dict[str, Any],
    bounds: dict[str, Bound],
    missing: dict[str, MissingMechanism],
    records: dict[str, Record],
) -> Row:
    for module in row["mechanism"].split(", "):
        if module != "none":
            _check_importable(where, module)
    record = cost = None
    if "reckoned" in row:
        if "value" not in row or "cost" in row:
            raise InvalidRecordError(f"{where}: value: a reckoned row needs a value and no cost")
        unit, size = row.get("unit", ""), row.get("size", "")
    else:
        record, cost = _find_cost(where, row.get("record", ""), row.get("cost", ""), records)
        unit, size = row.get("unit", cost.unit), cost.size
    times = tuple(_find_cost(where, row["record"], name, records)[1] for name in row.get("times", "").split(", ") if name)
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
        _read_bound(where, row, bounds),
        row.get("missing", ""),
        row.get("replaced_by", "") if row.get("replaced_by", "") in records else "",
        row.get("adds", False),
    )
    if found.missing and found.missing not in missing:
        raise InvalidRecordError(f"{where}: missing: {found.missing!r} is not declared")
    if found.ratio > 1.0 and not found.missing and not found.replaced_by:
        raise InvalidRecordError(f"{where}: missing: over its bound ({found.ratio:.3g}), but no missing mechanism is named")
    return found


def _find_cost(where: str, record: str, name: str, records: dict[str, Record]) -> tuple[Record, Cost]:
    if not record or not name:
        raise InvalidRecordError(f"{where}: cost: neither a record's cost nor reckoned")
    if record not in records:
        raise InvalidRecordError(f"{where}: record: there is no {record}.json, and the row is not reckoned")
    if name not in records[record].costs:
        raise InvalidRecordError(f"{where}: cost: {record}.json has no {name}, and the row is not reckoned")
    return records[record], records[record].costs[name]


def _read_bound(where: str, row: dict[str, Any], bounds: dict[str, Bound]) -> Bound | None:
    """Return the bound of a row: a number, a named bound of the target, or a constant of the code as `module:NAME`."""
    declaration = row.get("bound", "")
    if declaration == "":
        return None
    if not isinstance(declaration, str):
        return Bound(float(declaration), row.get("bound_text", ""))
    if declaration in bounds:
        return bounds[declaration]
    module, _, name = declaration.partition(":")
    _check_importable(where, module)
    value = importlib.import_module(module)
    for part in name.split("."):
        value = getattr(value, part, None)
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise InvalidRecordError(f"{where}: bound: {declaration} is not a number")
    return Bound(float(value), f"`{name}` of `{module}`")


def _check_importable(where: str, module: str) -> None:
    """Raise `InvalidRecordError` unless the text names an importable module of the package."""
    if module.split(".")[0] != PACKAGE:
        raise InvalidRecordError(f"{where}: {module!r} is not a module of {PACKAGE}")
    try:
        found = importlib.util.find_spec(module)
    except (ImportError, ValueError):
        found = None
    if found is None:
        raise InvalidRecordError(f"{where}: {module!r} is not an importable module")
