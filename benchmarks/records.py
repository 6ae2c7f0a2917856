"""Recorded costs: what a benchmark measured at several sizes, stored as JSON in `benchmarks/recorded/`, and fits over it.

A cost is fitted as a constant or as linear in a size, its base-2 logarithm or its square, by least squares of the relative
errors: sizes span orders of magnitude, so absolute errors at the largest sizes would dominate. The residual is the largest
error at the points, as a fraction of the measured value. `InvalidRecordError` names the invalid file and key.
"""

from __future__ import annotations

import json
import math
import subprocess
from pathlib import Path
from typing import Any, NamedTuple

RECORDED = Path(__file__).parent / "recorded"
FORMS = ("constant", "log2", "linear", "square")
MIN_POINTS = 3  # for a growing fit: two points determine a line, so it would always match
ROUNDING_TOLERANCE = 1e-3  # relative tolerance, because recorded values are rounded


class InvalidRecordError(ValueError):
    """A record or `rows.toml` can't be used; the text names file and key."""


class Fit(NamedTuple):
    """A fitted function: `constant + slope * scale(form, size)`.

    Attributes:
        residual: Largest error at the fitted points, as a fraction of the measured value.
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
        """Return the size at which the fit reaches a value; infinity if it never does, 0 if it is above the value at any size.

        >>> Fit("linear", 10.0, 2.0).reaches(20.0), Fit("log2", 10.0, 2.0).reaches(16.0), Fit("constant", 10.0).reaches(9.0)
        (5.0, 8.0, 0.0)
        """
        if self.slope <= 0.0:
            return math.inf if self.constant <= value else 0.0
        term = (value - self.constant) / self.slope
        if term <= 0.0:
            return 0.0
        return 2.0 ** min(term, 1000.0) if self.form == "log2" else math.sqrt(term) if self.form == "square" else term


class Cost(NamedTuple):
    """One measured cost over a size.

    Attributes:
        size: What the sizes count: members, tenants, ...
        checked: A run at another size, which was not used for the fit.
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
    """Return the term of the size in which a form is linear."""
    return {"constant": 0.0, "log2": math.log2(max(1.0, size)), "linear": size, "square": size * size}[form]


def fitted(points: list[tuple[float, float]], form: str, relative: bool = True) -> Fit:
    """Fit points by least squares of the relative errors, or of the absolute ones.

    >>> fit = fitted([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)], "linear"); round(fit.constant, 9), round(fit.slope, 9)
    (1.0, 2.0)
    """
    weights = [1.0 / (value * value or 1.0) if relative else 1.0 for _, value in points]
    total = sum(weights)
    terms = [scale(form, size) for size, _ in points]
    mean_term = sum(weight * term for weight, term in zip(weights, terms)) / total
    mean = sum(weight * value for weight, (_, value) in zip(weights, points)) / total
    spread = sum(weight * (term - mean_term) ** 2 for weight, term in zip(weights, terms))
    covariance = sum(weight * (term - mean_term) * (value - mean) for weight, term, (_, value) in zip(weights, terms, points))
    slope = covariance / spread if spread else 0.0
    constant = mean - slope * mean_term
    fit = Fit(form, constant if abs(constant) > 1e-9 * abs(mean) else 0.0, slope)  # a tiny constant is a rounding error
    return fit._replace(residual=residual(fit, points))


def residual(fit: Fit, points: list[tuple[float, float]]) -> float:
    """Return the largest error at the points, as a fraction of the value; for a value of 0 the absolute error."""
    return max(abs(fit.at(size) - value) / (abs(value) or 1.0) for size, value in points)


def cost(
    unit: str, size: str, points: list[tuple[float, float]], form: str, checked: tuple[float, float] | None = None
) -> dict[str, Any]:
    """Return a cost with its fit in the form of a record."""
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


def write_record(name: str, document: dict[str, Any], folder: Path = RECORDED) -> Path:
    """Write a record with one cost per line, so that a diff shows which costs a new run changed."""
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
        InvalidRecordError: If it can't be read, lacks a key or has a fit that does not match its points.
    """
    try:
        document = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise InvalidRecordError(f"{path.name}: can't be read: {error}") from None
    if not isinstance(document, dict):
        raise InvalidRecordError(f"{path.name}: must be an object")
    text = {key: _required(path, document, key, str) for key in ("commit", "benchmark", "command", "mechanism")}
    for key, value in text.items():
        if not value:
            raise InvalidRecordError(f"{path.name}: {key}: empty")
    costs = {name: _cost(path, f"costs.{name}", cost) for name, cost in _required(path, document, "costs", dict).items()}
    events = _required(path, document, "events", dict)
    for name, figures in events.items():
        if not isinstance(figures, dict):
            raise InvalidRecordError(f"{path.name}: events.{name}: must be an object of figures")
    notes = document.get("notes", [])
    if not isinstance(notes, list) or not all(isinstance(note, str) for note in notes):
        raise InvalidRecordError(f"{path.name}: notes: must be a list of strings")
    return Record(path.stem, seed=_required(path, document, "seed", int), costs=costs, events=events, notes=notes, **text)


def _required(path: Path, document: dict[str, Any], key: str, kind: type, location: str = "") -> Any:
    """Return a value of the document after checking that it exists and has the right type."""
    where = f"{path.name}: {location}{'.' if location else ''}{key}"
    if key not in document:
        raise InvalidRecordError(f"{where}: missing")
    value = document[key]
    if isinstance(value, bool) or not isinstance(value, (int, float) if kind is float else kind):
        raise InvalidRecordError(f"{where}: {value!r} is not a {'number' if kind is float else kind.__name__}")
    if kind is float and not math.isfinite(value):
        raise InvalidRecordError(f"{where}: {value!r} is not a finite number")
    return value


def _cost(path: Path, location: str, document: Any) -> Cost:
    if not isinstance(document, dict):
        raise InvalidRecordError(f"{path.name}: {location}: must be an object")
    points = [
        _pair(path, f"{location}.points.{index}", pair)
        for index, pair in enumerate(_required(path, document, "points", list, location))
    ]
    form = _required(path, document, "form", str, location)
    if form not in FORMS:
        raise InvalidRecordError(f"{path.name}: {location}.form: {form!r} is none of {', '.join(FORMS)}")
    sizes = {size for size, _ in points}
    if len(sizes) < (1 if form == "constant" else MIN_POINTS):
        raise InvalidRecordError(f"{path.name}: {location}.points: {len(sizes)} sizes are too few for a {form} fit")
    fit = Fit(form, *(float(_required(path, document, key, float, location)) for key in ("constant", "slope", "residual")))
    checked = document.get("checked")
    found = Cost(
        _required(path, document, "unit", str, location),
        _required(path, document, "size", str, location),
        points,
        fit,
        None if checked is None else _pair(path, f"{location}.checked", checked),
    )
    _check_fit_reproduces(path, location, found)
    return found


def _pair(path: Path, where: str, pair: Any) -> tuple[float, float]:
    if (
        not isinstance(pair, list)
        or len(pair) != 2
        or not all(isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value) for value in pair)
    ):
        raise InvalidRecordError(f"{path.name}: {where}: {pair!r} is not a pair of size and value")
    if pair[0] <= 0:
        raise InvalidRecordError(f"{path.name}: {where}: {pair[0]!r} is not a positive size")
    return float(pair[0]), float(pair[1])


def _check_fit_reproduces(path: Path, location: str, found: Cost) -> None:
    """Raise `InvalidRecordError` unless the recorded fit is the least-squares fit of its points."""
    error = residual(found.fit, found.points)
    if error > found.fit.residual * (1.0 + ROUNDING_TOLERANCE) + ROUNDING_TOLERANCE:
        raise InvalidRecordError(
            f"{path.name}: {location}: the fit misses its points by {error:.2%}, its residual says {found.fit.residual:.2%}"
        )
    refits = [fitted(found.points, found.fit.form, relative) for relative in (True, False)]
    if not any(_fits_agree(found.fit, fit, found.points) for fit in refits):
        name = "constant" if found.fit.form == "constant" else "slope"
        raise InvalidRecordError(
            f"{path.name}: {location}.{name}: {found.fit.constant:g} and {found.fit.slope:g} are recorded, least squares "
            f"over the points give {refits[0].constant:g} and {refits[0].slope:g}"
        )


def _fits_agree(one: Fit, other: Fit, points: list[tuple[float, float]]) -> bool:
    """Return whether two fits agree at each point and in the slope, up to the rounding of records."""
    return all(abs(one.at(size) - other.at(size)) <= ROUNDING_TOLERANCE * (abs(value) or 1.0) for size, value in points) and (
        abs(one.slope - other.slope) <= ROUNDING_TOLERANCE * abs(other.slope) + 1e-12
    )
