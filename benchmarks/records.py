"""Recorded costs: what a benchmark measured at several sizes, stored as JSON in `benchmarks/recorded/`, and fits over it.

A cost is a constant, or a line over a size, its base-2 logarithm or its square, by least squares of the relative errors: sizes
span orders of magnitude, so the absolute errors of the largest would hide all others. The residual is the largest error at the
points, as a share of the measured value. `InvalidRecordError` names the file and key that are wrong.
"""

from __future__ import annotations

import json
import math
import subprocess
from pathlib import Path
from typing import Any, NamedTuple

RECORDED = Path(__file__).parent / "recorded"
FORMS = ("constant", "log2", "linear", "square")
MIN_POINTS = 3  # for a fit that grows: two points lie on any line
ROUNDING_TOLERANCE = 1e-3  # relative, as records are rounded


class InvalidRecordError(ValueError):
    """A record or `rows.toml` can't be used; the text names file and key."""


class Fit(NamedTuple):
    """A fitted law: `constant + slope * scale(form, size)`.

    Attributes:
        residual: Largest error at the fitted points, as a share of the measured value.
    """

    form: str
    constant: float
    slope: float = 0.0
    residual: float = 0.0

    def at(self, size: float) -> float:
        """Return the fitted value at a size.

        >>> Fit("linear", 10.0, 2.0).at(5.0), Fit("log2", 10.0, 2.0).at(8.0)
        (20.0, 16.0)
        """
        return self.constant + self.slope * scale(self.form, size)

    def reaches(self, value: float) -> float:
        """Return the size at which the fit rises to a value; infinity if it never does, 0 if it is above it at any size.

        >>> Fit("linear", 10.0, 2.0).reaches(20.0), Fit("log2", 10.0, 2.0).reaches(16.0), Fit("constant", 10.0).reaches(9.0)
        (5.0, 8.0, 0.0)
        """
        if self.slope <= 0.0:
            return math.inf if self.constant <= value else 0.0
        place = (value - self.constant) / self.slope
        if place <= 0.0:
            return 0.0
        return 2.0 ** min(place, 1000.0) if self.form == "log2" else math.sqrt(place) if self.form == "square" else place


class Cost(NamedTuple):
    """One measured cost over a size.

    Attributes:
        size: What the points are over: members, tenants, ...
        checked: A run at another size, which the fit was not made from.
    """

    unit: str
    size: str
    points: list[tuple[float, float]]
    fit: Fit
    checked: tuple[float, float] | None


class Record(NamedTuple):
    """One file of recorded costs.

    Attributes:
        name: Name of the file without its suffix.
    """

    name: str
    commit: str
    benchmark: str
    command: str
    seed: int
    mechanism: str
    costs: dict[str, Cost]
    events: dict[str, dict[str, Any]]
    notes: list[str]


def scale(form: str, size: float) -> float:
    """Return the term of the size that a form is linear in."""
    return {"constant": 0.0, "log2": math.log2(max(1.0, size)), "linear": size, "square": size * size}[form]


def fitted(points: list[tuple[float, float]], form: str, relative: bool = True) -> Fit:
    """Fit points by least squares of the relative errors, or of the absolute ones.

    >>> fit = fitted([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)], "linear"); round(fit.constant, 9), round(fit.slope, 9)
    (1.0, 2.0)
    """
    weights = [1.0 / (value * value or 1.0) if relative else 1.0 for _, value in points]
    total = sum(weights)
    places = [scale(form, size) for size, _ in points]
    mean_place = sum(weight * place for weight, place in zip(weights, places)) / total
    mean = sum(weight * value for weight, (_, value) in zip(weights, points)) / total
    spread = sum(weight * (place - mean_place) ** 2 for weight, place in zip(weights, places))
    both = sum(weight * (place - mean_place) * (value - mean) for weight, place, (_, value) in zip(weights, places, points))
    slope = both / spread if spread else 0.0
    constant = mean - slope * mean_place
    fit = Fit(form, constant if abs(constant) > 1e-9 * abs(mean) else 0.0, slope)  # else a trace of rounding alone
    return fit._replace(residual=residual(fit, points))


def residual(fit: Fit, points: list[tuple[float, float]]) -> float:
    """Return the largest error at the points, as a share of the value; at a value of 0 the absolute error."""
    return max(abs(fit.at(size) - value) / (abs(value) or 1.0) for size, value in points)


def cost(
    unit: str, size: str, points: list[tuple[float, float]], form: str, checked: tuple[float, float] | None = None
) -> dict[str, Any]:
    """Return a cost as a record stores it, with its fit."""
    points = [(size, rounded(value)) for size, value in points]
    fit = fitted(points, form)
    return {
        "unit": unit,
        "size": size,
        "points": points,
        "form": fit.form,
        "constant": rounded(fit.constant, 6),
        "slope": rounded(fit.slope, 6),
        "residual": rounded(fit.residual, 4),
        "checked": checked and [checked[0], rounded(checked[1])],
    }


def rounded(value: float, figures: int = 4) -> float:
    """Round to a number of significant digits.

    >>> rounded(123456.0), rounded(0.00123456)
    (123500.0, 0.001235)
    """
    return float(f"{value:.{figures}g}")


def commit() -> str:
    """Return the short hash of the commit, with `+` if the package differs from it."""

    def git(*arguments: str) -> str:
        return subprocess.run(
            ["git", *arguments], capture_output=True, text=True, check=True, cwd=RECORDED.parent
        ).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + ("+" if git("status", "--porcelain", "--", "../mulleinhatch") else "")


def keep(name: str, document: dict[str, Any], folder: Path = RECORDED) -> Path:
    """Write a record with one cost a line, so that a diff shows which costs a new run changed."""
    inner = {key: {name: json.dumps(value) for name, value in document[key].items()} for key in ("costs", "events")}
    lines = [
        f" {json.dumps(key)}: "
        + (
            "{\n" + ",\n".join(f"  {json.dumps(name)}: {text}" for name, text in inner[key].items()) + "\n }"
            if inner.get(key)
            else json.dumps(value)
        )
        for key, value in document.items()
    ]
    path = folder / f"{name}.json"
    path.write_text("{\n" + ",\n".join(lines) + "\n}\n")
    return path


def read_all(folder: Path = RECORDED) -> dict[str, Record]:
    """Read all records of a folder, by name."""
    return {path.stem: read(path) for path in sorted(folder.glob("*.json"))}


def read(path: Path) -> Record:
    """Read and check one record.

    Raises:
        InvalidRecordError: If it can't be read, misses a key or does not match its own fits.
    """
    try:
        document = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise InvalidRecordError(f"{path.name}: can't be read: {error}") from None
    if not isinstance(document, dict):
        raise InvalidRecordError(f"{path.name}: an object is wanted")
    text = {key: _required(path, document, key, str) for key in ("commit", "benchmark", "command", "mechanism")}
    for key, value in text.items():
        if not value:
            raise InvalidRecordError(f"{path.name}: {key}: empty")
    costs = {name: _cost(path, f"costs.{name}", cost) for name, cost in _required(path, document, "costs", dict).items()}
    events = _required(path, document, "events", dict)
    for name, figures in events.items():
        if not isinstance(figures, dict):
            raise InvalidRecordError(f"{path.name}: events.{name}: an object of figures is wanted")
    notes = document.get("notes", [])
    if not isinstance(notes, list) or not all(isinstance(note, str) for note in notes):
        raise InvalidRecordError(f"{path.name}: notes: a list of texts is wanted")
    return Record(path.stem, seed=_required(path, document, "seed", int), costs=costs, events=events, notes=notes, **text)


def _required(path: Path, document: dict[str, Any], key: str, kind: type, way: str = "") -> Any:
    """Return a value of the document after checking that it is there and of the right type."""
    where = f"{path.name}: {way}{'.' if way else ''}{key}"
    if key not in document:
        raise InvalidRecordError(f"{where}: missing")
    value = document[key]
    if isinstance(value, bool) or not isinstance(value, (int, float) if kind is float else kind):
        raise InvalidRecordError(f"{where}: {value!r} is no {'number' if kind is float else kind.__name__}")
    if kind is float and not math.isfinite(value):
        raise InvalidRecordError(f"{where}: {value!r} is no finite number")
    return value


def _cost(path: Path, way: str, document: Any) -> Cost:
    if not isinstance(document, dict):
        raise InvalidRecordError(f"{path.name}: {way}: an object is wanted")
    points = [
        _pair(path, f"{way}.points.{place}", pair) for place, pair in enumerate(_required(path, document, "points", list, way))
    ]
    form = _required(path, document, "form", str, way)
    if form not in FORMS:
        raise InvalidRecordError(f"{path.name}: {way}.form: {form!r} is none of {', '.join(FORMS)}")
    sizes = {size for size, _ in points}
    if len(sizes) < (1 if form == "constant" else MIN_POINTS):
        raise InvalidRecordError(f"{path.name}: {way}.points: {len(sizes)} sizes are too few for a {form} fit")
    fit = Fit(form, *(float(_required(path, document, key, float, way)) for key in ("constant", "slope", "residual")))
    checked = document.get("checked")
    found = Cost(
        _required(path, document, "unit", str, way),
        _required(path, document, "size", str, way),
        points,
        fit,
        None if checked is None else _pair(path, f"{way}.checked", checked),
    )
    _check_fit_reproduces(path, way, found)
    return found


def _pair(path: Path, where: str, pair: Any) -> tuple[float, float]:
    if (
        not isinstance(pair, list)
        or len(pair) != 2
        or not all(isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value) for value in pair)
    ):
        raise InvalidRecordError(f"{path.name}: {where}: {pair!r} is no pair of size and value")
    if pair[0] <= 0:
        raise InvalidRecordError(f"{path.name}: {where}: {pair[0]!r} is no size")
    return float(pair[0]), float(pair[1])


def _check_fit_reproduces(path: Path, way: str, found: Cost) -> None:
    """Raise `InvalidRecordError` unless the recorded fit is what least squares give over its own points."""
    off = residual(found.fit, found.points)
    if off > found.fit.residual * (1.0 + ROUNDING_TOLERANCE) + ROUNDING_TOLERANCE:
        raise InvalidRecordError(
            f"{path.name}: {way}: the fit misses its points by {off:.2%}, its residual says {found.fit.residual:.2%}"
        )
    again = [fitted(found.points, found.fit.form, relative) for relative in (True, False)]
    if not any(_same(found.fit, fit, found.points) for fit in again):
        name = "constant" if found.fit.form == "constant" else "slope"
        raise InvalidRecordError(
            f"{path.name}: {way}.{name}: {found.fit.constant:g} and {found.fit.slope:g} are recorded, least squares "
            f"over the points give {again[0].constant:g} and {again[0].slope:g}"
        )


def _same(one: Fit, other: Fit, points: list[tuple[float, float]]) -> bool:
    """Return whether two fits agree at each point and in the slope, up to the rounding of records."""
    return all(abs(one.at(size) - other.at(size)) <= ROUNDING_TOLERANCE * (abs(value) or 1.0) for size, value in points) and (
        abs(one.slope - other.slope) <= ROUNDING_TOLERANCE * abs(other.slope) + 1e-12
    )
