"""The fault search: saved histories, reproducibility, planted defects, shrinking."""

from __future__ import annotations

from pathlib import Path

import pytest

from mulleinhatch.simulation.fault_search import defects
from mulleinhatch.simulation.fault_search.campaign import format_history, parse_history, shrink_history
from mulleinhatch.simulation.fault_search.histories import draw_history
from mulleinhatch.simulation.fault_search.play import play, violation_kind
from mulleinhatch.testing import fault_script as faults

SAVED_HISTORIES = sorted((Path(__file__).parent / "histories").glob("*.txt"))


@pytest.mark.parametrize("path", SAVED_HISTORIES, ids=[path.stem for path in SAVED_HISTORIES])
def test_saved_history_violates_no_invariant(path: Path) -> None:
    assert not play(parse_history(path.read_text())).what


def test_seed_and_text_determine_a_history() -> None:
    for seed in range(30):
        history = draw_history(seed)
        assert draw_history(seed) == history and parse_history(format_history(history)) == history
        assert faults.read(history.script, history.instances)


def test_playing_a_history_twice_gives_the_same_outcome() -> None:
    assert play(draw_history(6)) == play(draw_history(6))


@pytest.mark.parametrize(
    "defect, seed",
    [("the bound is not looked at", 21), ("an offer counts half", 10), ("one that leaves forgets what it holds", 28)],
)
def test_planted_defect_is_found(defect: str, seed: int) -> None:
    history = draw_history(seed)
    with defects.planted(defect):
        assert play(history).what, f"{defect}: not found"
    assert not play(history).what


def test_shrinking_keeps_the_failure_and_removes_other_faults() -> None:
    history = draw_history(21)
    with defects.planted("the bound is not looked at"):
        what = play(history).what
    shrunk, tries = shrink_history(history, what, "the bound is not looked at", most=6)
    assert len(shrunk.lines) < len(history.lines) and tries <= 6
    with defects.planted("the bound is not looked at"):
        assert violation_kind(play(shrunk).what) == violation_kind(what)


def test_planted_defect_is_removed_after_an_error() -> None:
    originals = [getattr(owner, attribute) for patches in defects.DEFECTS.values() for owner, attribute, _ in patches]
    for name in defects.DEFECTS:
        with pytest.raises(KeyError), defects.planted(name):
            raise KeyError
    assert originals == [getattr(owner, attribute) for patches in defects.DEFECTS.values() for owner, attribute, _ in patches]
