"""The search: kept histories hold, the same seed is the same history, what is planted is found, shrinking keeps what fails."""

from __future__ import annotations

from pathlib import Path

import pytest

from mulleinhatch.simulation.fault_search import defects
from mulleinhatch.simulation.fault_search.campaign import as_text, replayed, shrunk
from mulleinhatch.simulation.fault_search.histories import drawn
from mulleinhatch.simulation.fault_search.play import kind_of, play
from mulleinhatch.testing import fault_script as faults

KEPT = sorted((Path(__file__).parent / "histories").glob("*.txt"))


@pytest.mark.parametrize("path", KEPT, ids=[path.stem for path in KEPT])
def test_what_was_found_once_holds(path: Path) -> None:
    assert not play(replayed(path.read_text())).what


def test_a_history_is_its_seed_and_its_text() -> None:
    for seed in range(30):
        history = drawn(seed)
        assert drawn(seed) == history and replayed(as_text(history)) == history
        assert faults.read(history.script, history.instances)


def test_the_same_history_is_played_the_same_way() -> None:
    assert play(drawn(6)) == play(drawn(6))


@pytest.mark.parametrize(
    "defect, seed",
    [("the bound is not looked at", 21), ("an offer counts half", 10), ("one that leaves forgets what it holds", 28)],
)
def test_what_is_planted_is_found(defect: str, seed: int) -> None:
    history = drawn(seed)
    with defects.planted(defect):
        assert play(history).what, f"{defect}: not seen"
    assert not play(history).what


def test_shrinking_keeps_the_failure_and_takes_the_rest() -> None:
    history = drawn(21)
    with defects.planted("the bound is not looked at"):
        what = play(history).what
    short, tries = shrunk(history, what, "the bound is not looked at", most=6)
    assert len(short.lines) < len(history.lines) and tries <= 6
    with defects.planted("the bound is not looked at"):
        assert kind_of(play(short).what) == kind_of(what)


def test_a_planted_defect_is_taken_out_again() -> None:
    usual = [getattr(place, what) for told in defects.DEFECTS.values() for place, what, _ in told]
    for name in defects.DEFECTS:
        with pytest.raises(KeyError), defects.planted(name):
            raise KeyError
    assert usual == [getattr(place, what) for told in defects.DEFECTS.values() for place, what, _ in told]
