"""docs/CAPACITY.md matches the records under benchmarks/recorded/, and errors in either are detected."""

from __future__ import annotations

import doctest
import json
import math
import re
import shutil
from pathlib import Path

import pytest

from benchmarks import capacity, capacity_model, capacity_page, capacity_reading, capacity_tables, parts, records
from benchmarks.records import InvalidRecordError

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    shutil.copytree(records.RECORDED, tmp_path / "recorded")
    return tmp_path / "recorded"


@pytest.fixture(scope="module")
def model() -> capacity_model.CapacityModel:
    return capacity_reading.read_model()


def change_cost(path: Path, cost: str, **values: object) -> None:
    document = json.loads(path.read_text())
    document["costs"][cost].update(values)
    path.write_text(json.dumps(document))


def first_growing_cost(form: str) -> str:
    return next(name for name, cost in records.read_all()["parts"].costs.items() if cost.fit.form == form and cost.fit.slope)


def test_doctests() -> None:
    for module in (records, capacity_tables):
        failed, tried = doctest.testmod(module)
        assert not failed and tried, module.__name__


# Page and records.


def test_page_matches_the_records(model: capacity_model.CapacityModel) -> None:
    assert capacity_page.differences(PAGE.read_text(), capacity_tables.tables(model)) == []


def test_check_command_accepts_the_page(capsys: pytest.CaptureFixture[str]) -> None:
    assert capacity.main(["--check", "--page", str(PAGE)]) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["holds"] and report["rows"] > 20


def test_wrong_figure_in_the_page_is_detected(model: capacity_model.CapacityModel, tmp_path: Path) -> None:
    text = PAGE.read_text()
    begin, _ = capacity_page.markers("voter")
    at = text.index(begin)
    figure = re.compile(r"\| ([\d.,]+) \| `mulleinhatch").search(text, at)
    page = tmp_path / "CAPACITY.md"
    page.write_text(text[: figure.start(1)] + "0.123" + text[figure.end(1) :])
    found = capacity_page.differences(page.read_text(), capacity_tables.tables(model))
    assert len(found) == 1 and found[0].startswith("voter, line")
    assert capacity.main(["--check", "--page", str(page)]) == 1
    assert capacity.main(["--write", "--page", str(page)]) == 0
    assert page.read_text() == text


@pytest.mark.parametrize("wrong", ["lost", "twice", "stray"])
def test_wrong_markers_are_detected(model: capacity_model.CapacityModel, wrong: str) -> None:
    begin, end = capacity_page.markers("breaks")
    text = PAGE.read_text()
    page = {"lost": text.replace(begin, ""), "twice": text + "\n" + begin + end, "stray": text + capacity_page.markers("x")[0]}[
        wrong
    ]
    assert capacity_page.differences(page, capacity_tables.tables(model))


# Records and their fits.


def least_squares(points: list[tuple[float, float]], form: str, relative: bool) -> tuple[float, float]:
    """Return constant and slope by the normal equations, independently of `records.fitted`."""
    shape = {
        "constant": lambda size: 0.0,
        "linear": lambda size: size,
        "square": lambda size: size**2,
        "log2": lambda size: math.log2(size),
    }[form]
    n = sx = sy = sxx = sxy = 0.0
    for size, value in points:
        weight = value**-2 if relative and value else 1.0
        x = shape(size)
        n, sx, sy, sxx, sxy = n + weight, sx + weight * x, sy + weight * value, sxx + weight * x * x, sxy + weight * x * value
    if form == "constant":
        return sy / n, 0.0
    slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
    return (sy - slope * sx) / n, slope


def costs() -> list[tuple[str, str]]:
    return [(name, cost) for name, record in records.read_all().items() for cost in record.costs]


@pytest.mark.parametrize("record, name", costs())
def test_recorded_fits_are_least_squares_fits(record: str, name: str) -> None:
    cost = records.read_all()[record].costs[name]
    fits = [least_squares(cost.points, cost.fit.form, relative) for relative in (True, False)]
    assert any(
        all(
            cost.fit.at(size) == pytest.approx(constant + slope * records.scale(cost.fit.form, size), rel=2e-3)
            for size, _ in cost.points
        )
        and cost.fit.slope == pytest.approx(slope, rel=2e-3, abs=1e-12)
        for constant, slope in fits
    )
    off = max(abs(cost.fit.at(size) / value - 1.0) for size, value in cost.points if value)
    assert off == pytest.approx(cost.fit.residual, rel=2e-2, abs=2e-3)


@pytest.mark.parametrize("form", ["linear", "square"])
def test_wrong_slope_in_a_record_is_detected(folder: Path, form: str) -> None:
    name = first_growing_cost(form)
    slope = records.read_all()["parts"].costs[name].fit.slope
    change_cost(folder / "parts.json", name, slope=1.05 * slope)
    with pytest.raises(InvalidRecordError, match=rf"parts\.json: costs\.{re.escape(name)}"):
        capacity_reading.read_model(folder)


def test_wrong_slope_is_detected_despite_a_large_residual(folder: Path) -> None:
    name = first_growing_cost("linear")
    slope = records.read_all()["parts"].costs[name].fit.slope
    change_cost(folder / "parts.json", name, slope=1.05 * slope, residual=0.9)
    with pytest.raises(InvalidRecordError, match=rf"costs\.{re.escape(name)}\.slope"):
        capacity_reading.read_model(folder)


def test_record_that_differs_from_the_page_is_detected(folder: Path) -> None:
    """The record is consistent in itself, but the page was generated from another one."""
    name = "control.settings_bytes"
    cost = records.read_all()["parts"].costs[name]
    points = [(size, 2.0 * value) for size, value in cost.points]
    change_cost(folder / "parts.json", name, **records.cost(cost.unit, cost.size, points, "linear"))
    assert capacity_page.differences(PAGE.read_text(), capacity_tables.tables(capacity_reading.read_model(folder)))


def test_missing_record_is_detected(folder: Path) -> None:
    (folder / "parts.json").unlink()
    with pytest.raises(InvalidRecordError, match=r"rows\.toml: row \d+ .*there is no parts\.json"):
        capacity_reading.read_model(folder)
    assert capacity.main(["--check", "--page", str(PAGE), "--recorded", str(folder)]) == 1


def test_missing_cost_is_detected(folder: Path) -> None:
    document = json.loads((folder / "parts.json").read_text())
    del document["costs"]["voter.bytes"]
    (folder / "parts.json").write_text(json.dumps(document))
    with pytest.raises(InvalidRecordError, match=r"parts\.json has no voter\.bytes"):
        capacity_reading.read_model(folder)


@pytest.mark.parametrize(
    "text, why",
    [
        ("{", r"parts\.json: can't be read"),
        ("[]", r"parts\.json: must be an object"),
        ("{}", r"parts\.json: commit: missing"),
    ],
)
def test_error_of_malformed_json_names_file_and_key(folder: Path, text: str, why: str) -> None:
    (folder / "parts.json").write_text(text)
    with pytest.raises(InvalidRecordError, match=why):
        capacity_reading.read_model(folder)


@pytest.mark.parametrize(
    "values, why",
    [
        ({"form": "cubic"}, r"form: 'cubic'"),
        ({"slope": "3"}, r"slope: '3' is not a number"),
        ({"points": [[1, 2]]}, r"points: 1 sizes"),
        ({"points": [[1, 2], [0, 3], [4, 5]]}, r"points\.1: 0 is not a positive size"),
        ({"points": [[1, 2], [2], [4, 5]]}, r"points\.1"),
        ({"unit": None}, r"unit: None is not a str"),
        ({"residual": True}, r"residual: True"),
        ({"checked": 7}, r"checked: 7 is not a pair"),
        ({"constant": math.inf}, r"constant: inf"),
    ],
)
def test_error_of_invalid_cost_names_its_key(folder: Path, values: dict[str, object], why: str) -> None:
    change_cost(folder / "parts.json", "voter.bytes", **values)
    with pytest.raises(InvalidRecordError, match=rf"parts\.json: costs\.voter\.bytes\.{why}"):
        capacity_reading.read_model(folder)


# Rows.


def replace_in_rows(folder: Path, was: str, now: str) -> None:
    path = folder / "rows.toml"
    text = path.read_text()
    assert was in text
    path.write_text(text.replace(was, now, 1))


@pytest.mark.parametrize(
    "was, now, why",
    [
        (
            'mechanism = "mulleinhatch.instance.maintenance.schedule"',
            'mechanism = "mulleinhatch.instance.maintenance.orders"',
            r"not an importable module",
        ),
        ('mechanism = "mulleinhatch.instance.maintenance.schedule"', 'mechanism = "json"', r"not a module of mulleinhatch"),
        ('mechanism = "mulleinhatch.instance.maintenance.schedule"', 'mechanism = ""', r"mechanism: missing"),
        (
            'bound = "mulleinhatch.instance.gossip.core:MAX_MEMBERS"',
            'bound = "mulleinhatch.instance.gossip.core:MAX"',
            r"is not a number",
        ),
        ('bound = "control_core"', 'bound = "control_cores"', r"not a module of mulleinhatch"),
        ('kind = "memory"', 'kind = "room"', r"kind: 'room'"),
        ("factor = 1e-6", "faktor = 1e-6", r"faktor: no such key"),
        ('missing = "configuration in versions"\n', "", r"over its bound"),
        ('missing = "configuration in versions"\n', 'missing = "no such"\n', r"is not declared"),
        ("value = 15.9\n", "", r"needs a value"),
        ('cost = "tools.fleet_answer_bytes"\n', "", r"neither a record's cost nor reckoned"),
        ('role = "tools"', 'role = "tool"', r"role 'tool' is none"),
    ],
)
def test_invalid_row_is_detected(folder: Path, was: str, now: str, why: str) -> None:
    replace_in_rows(folder, was, now)
    with pytest.raises(InvalidRecordError, match=why):
        capacity_reading.read_model(folder)


def test_ratios_and_breaks(model: capacity_model.CapacityModel) -> None:
    """Recomputes the figures of each row independently."""
    for row in model.rows:
        need = row.factor * (
            row.value
            if row.cost is None
            else row.cost.fit.constant + row.cost.fit.slope * records.scale(row.cost.fit.form, row.target)
        )
        for cost in row.times:
            need *= cost.fit.constant + cost.fit.slope * records.scale(cost.fit.form, row.target)
        points = [*row.cost.points, *([row.cost.checked] if row.cost.checked else [])] if row.cost and not row.times else []
        need = max((row.factor * value for size, value in points if size == row.target), default=need)
        assert row.at_target == pytest.approx(need)
        if row.bound:
            assert row.ratio == pytest.approx(need / row.bound.value)
            over = min((size for size, value in points if row.factor * value > row.bound.value), default=math.inf)
            within = max((size for size, _ in points if size < over), default=0.0)
            assert within <= row.breaks_at <= over
            if row.breaks_at not in (0.0, within, over, math.inf):
                assert row.need(row.breaks_at) == pytest.approx(row.bound.value, rel=1e-6)
            if row.size and row.share != 1.0 and not (row.cost and row.cost.fit.slope < 0.0):
                assert (row.share < 1.0) == (row.ratio > 1.0), row.what


@pytest.mark.parametrize(
    "points, checked, ratio, breaks",
    [
        ([(10, 1000.0), (20, 1100.0), (40, 1300.0)], 3300.0, 1.1, 100.0),  # the fit alone gives 0.63 and a break at 210
        ([(10, 1000.0), (20, 2000.0), (40, 4000.0)], 2700.0, 0.9, 30.0),
    ],
)  # in the second case the fit alone gives 3.3; the run at 40 is over the bound
def test_run_at_the_target_size_takes_precedence_over_the_fit(
    tmp_path: Path, points: list[tuple[float, float]], checked: float, ratio: float, breaks: float
) -> None:
    (tmp_path / "rows.toml").write_text(SMALL)
    small_record(tmp_path, "flat", points, "linear")
    change_cost(tmp_path / "flat.json", "bytes", checked=[100, checked])
    row = capacity_reading.read_model(tmp_path).rows[0]
    assert (row.ratio, row.breaks_at) == (pytest.approx(ratio), pytest.approx(breaks))
    text = capacity_tables.slope_text(row)
    assert "MISSED by a run at 100" in text and f"took {capacity_tables.number(checked)}, which counts" in text


def test_a_break_lies_between_the_runs_within_the_bound_and_over_it(tmp_path: Path) -> None:
    (tmp_path / "rows.toml").write_text(SMALL)
    small_record(tmp_path, "flat", [(10, 2900.0), (20, 2950.0), (40, 2990.0), (80, 6000.0)], "linear")
    row = capacity_reading.read_model(tmp_path).rows[0]
    assert row.cost.fit.reaches(3000.0) < 40.0 and row.breaks_at == 40.0


def test_breaking_rows_are_sorted(model: capacity_model.CapacityModel) -> None:
    shares = [row.share for row in capacity_tables.breaking(model)]
    assert shares == sorted(shares) and shares[0] < 1.0


def test_missing_mechanisms_are_in_build_order(model: capacity_model.CapacityModel) -> None:
    """Mechanisms with dependents come first, by the smallest share of the target size; each comes after its prerequisites and
    mechanisms without dependents come last."""
    shares: dict[str, float] = {}
    for row in model.rows:
        if row.ratio > 1.0 and not row.replaced_by:
            shares[row.missing] = min(row.share, shares.get(row.missing, math.inf))
    order = [missing for missing, _ in capacity_tables.next_missing(model)]
    assert sorted(missing.name for missing in order) == sorted(shares)
    for place, missing in enumerate(order):
        behind = order[place + 1 :]
        assert not {one.name for one in behind} & set(missing.prerequisites)
        free = [one for one in behind if not {other.name for other in order[place:]} & set(one.prerequisites)]
        assert all((not missing.dependents, shares[missing.name]) <= (not one.dependents, shares[one.name]) for one in free)


@pytest.mark.parametrize(
    "was, now, why",
    [
        (
            'stands_on = ["fleet state in levels"]',
            'stands_on = ["fleet state"]',
            r"stands_on: 'fleet state' is not declared",
        ),
        (
            'name = "fleet state in levels"',
            'name = "fleet state in levels"\nstands_on = ["configuration in versions"]',
            r"depend on each other",
        ),
    ],
)
def test_invalid_prerequisites_are_detected(folder: Path, was: str, now: str, why: str) -> None:
    replace_in_rows(folder, was, now)
    with pytest.raises(InvalidRecordError, match=why):
        capacity_tables.next_missing(capacity_reading.read_model(folder))


SMALL = """
target = [["members", "100"]]
[roles]
control = "Control"
[sizes]
members = 100
[bounds]
most = { value = 3000.0, text = "told" }
[[missing]]
name = "levels"
on_it = ["mulleinhatch.instance.load_balancing"]
why = "x"
[[row]]
role = "control"
kind = "messages"
what = "flat"
record = "flat"
cost = "bytes"
bound = "most"
mechanism = "mulleinhatch.instance.gossip.core"
missing = "levels"
replaced_by = "levels"
[[row]]
role = "control"
kind = "messages"
what = "in levels"
record = "levels"
cost = "bytes"
bound = "most"
mechanism = "mulleinhatch.instance.gossip.core"
if_recorded = "levels"
"""


def small_record(folder: Path, name: str, points: list[tuple[float, float]], form: str) -> None:
    records.write_record(
        name,
        {
            "commit": "abc1234",
            "benchmark": "scale",
            "command": "none",
            "seed": 1,
            "mechanism": name,
            "costs": {"bytes": records.cost("bytes/s", "members", points, form)},
            "events": {},
            "notes": [],
        },
        folder,
    )


def test_row_is_included_once_its_record_exists(tmp_path: Path) -> None:
    (tmp_path / "rows.toml").write_text(SMALL)
    small_record(tmp_path, "flat", [(10, 1000.0), (20, 2000.0), (40, 4000.0)], "linear")
    model = capacity_reading.read_model(tmp_path)
    assert [row.what for row in model.rows] == ["flat"] and model.rows[0].breaks_at == pytest.approx(30.0)
    assert model.rows[0].ratio == pytest.approx(10_000.0 / 3000.0)
    assert [missing.name for missing, _ in capacity_tables.next_missing(model)] == ["levels"]
    small_record(tmp_path, "levels", [(10, 2000.0), (20, 2000.0), (40, 2000.0)], "constant")
    model = capacity_reading.read_model(tmp_path)
    assert [row.what for row in model.rows] == ["flat", "in levels"] and capacity_tables.next_missing(model) == []
    assert model.rows[1].ratio == pytest.approx(2.0 / 3.0) and model.rows[1].breaks_at == math.inf


# The benchmark of single parts.


def test_measured_query_is_answered() -> None:
    core, query = parts.voter_with_waiting_members(12)
    assert len(core.requests) == 12
    parts.answer_query(core, query)
    with pytest.raises(ValueError, match="no answer"):
        parts.answer_query(core, b"?")


def test_measured_answer_lists_all_members() -> None:
    for differ, tenants in ((False, 4), (True, 8)):
        answer = json.loads(parts.gossip_service_with_reports(25, differ).status_json())
        assert len(answer["members"]) == 25 and len(answer["loudest"]) == tenants


def test_partial_run_retains_costs_of_other_parts(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parts, "RECORDED", folder)
    monkeypatch.setattr(parts, "write_record", lambda name, document: records.write_record(name, document, folder))
    before = records.read(folder / "parts.json")
    one = parts.PartCosts(quick=True, seed=1)
    one.add("voter.table_bytes", "bytes", "permits", [(1, 2.0), (2, 4.0), (3, 6.0)], "linear")
    parts.record(one, ["voters"], "abc1234", 1.0)
    after = records.read(folder / "parts.json")
    assert set(after.costs) == set(before.costs) and after.costs["voter.table_bytes"].fit.slope == 2.0
    assert after.commit == before.commit and after.notes[-1].startswith("abc1234, voters: load average 1.0")


def test_unknown_part_is_rejected(capsys: pytest.CaptureFixture[str]) -> None:
    assert parts.main(["--only", "few,fewer"]) == 1
    assert "'fewer'" in capsys.readouterr().err
