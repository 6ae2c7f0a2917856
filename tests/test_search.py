"""The search: kept histories hold, the same seed is the same history, what is planted is found, shrinking keeps what fails."""

from __future__ import annotations

from pathlib import Path

import pytest

from mulleinhatch.simulation.fault_search import defects
from mulleinhatch.simulation.fault_search.campaign import format_history, parse_history, shrink_history
from mulleinhatch.simulation.fault_search.histories import draw_history
from mulleinhatch.simulation.fault_search.play import play, violation_kind
from mulleinhatch.testing import fault_script as faults

KEPT = sorted((Path(__file__).parent / "histories").glob("*.txt"))


@pytest.mark.parametrize("path", KEPT, ids=[path.stem for path in KEPT])
def test_what_was_found_once_holds(path: Path) -> None:
    assert not play(parse_history(path.read_text())).what


def test_a_history_is_its_seed_and_its_text() -> None:
    for seed in range(30):
        history = draw_history(seed)
        assert draw_history(seed) == history and parse_history(format_history(history)) == history
        assert faults.read(history.script, history.instances)


def test_the_same_history_is_played_the_same_way() -> None:
    assert play(draw_history(6)) == play(draw_history(6))


@pytest.mark.parametrize(
    "defect, seed",
    [("the bound is not looked at", 21), ("an offer counts half", 10), ("one that leaves forgets what it holds", 28)],
)
def test_what_is_planted_is_found(defect: str, seed: int) -> None:
    history = draw_history(seed)
    with defects.planted(defect):
        assert play(history).what, f"{defect}: not seen"
    assert not play(history).what


def test_shrinking_keeps_the_failure_and_takes_the_rest() -> None:
    history = draw_history(21)
    with defects.planted("the bound is not looked at"):
        what = play(history).what
    short, tries = shrink_history(history, what, "the bound is not looked at", most=6)
    assert len(short.lines) < len(history.lines) and tries <= 6
    with defects.planted("the bound is not looked at"):
        assert violation_kind(play(short).what) == violation_kind(what)


def test_a_planted_defect_is_taken_out_again() -> None:
    usual = [getattr(place, what) for patches in defects.DEFECTS.values() for place, what, _ in patches]
    for name in defects.DEFECTS:
        with pytest.raises(KeyError), defects.planted(name):
            raise KeyError
    assert usual == [getattr(place, what) for patches in defects.DEFECTS.values() for place, what, _ in patches]
