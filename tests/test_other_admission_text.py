"""Replay of a trace against another text of the admission package."""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

import pytest

import mulleinhatch.admission
from mulleinhatch.cli.instance.trace import other_text
from mulleinhatch.instance.traces.file import Trace
from mulleinhatch.instance.traces.replay import Outcome, replay

TRACE = Path(__file__).parent / "data" / "trace.mht"
PACKAGE = Path(mulleinhatch.admission.__file__).parent


@pytest.fixture
def other(tmp_path: Path) -> Path:
    """A copy of the admission package."""
    return Path(shutil.copytree(PACKAGE, tmp_path / "admission", ignore=shutil.ignore_patterns("__pycache__")))


def replayed_against(controller: Path) -> Outcome:
    with TRACE.open("rb") as file:
        trace = Trace(file)
        return replay(trace.records(), trace.facts, other_text(str(controller)), to_the_end=True)


def test_an_equal_text_decides_the_same(other: Path) -> None:
    outcome = replayed_against(other / "controller.py")
    assert (outcome.pulls, outcome.decisions, outcome.differences) == (304, 203, 0)


def test_a_part_of_the_other_text_is_used_and_the_installed_one_stays(other: Path) -> None:
    installed = dict(sys.modules)
    bounds = other / "class_bounds.py"
    bounds.write_text(bounds.read_text() + "\n\nClassBounds.exceeds = lambda *_: True\n")
    outcome = replayed_against(other / "controller.py")
    assert outcome.differences > 0 and outcome.replayed["run"] == 0 < outcome.recorded["run"]
    assert {name: sys.modules[name] for name in installed} == installed
    assert replayed_against(PACKAGE / "controller.py").differences == 0


def test_a_text_of_one_file_is_used(tmp_path: Path) -> None:
    text = tmp_path / "silent.py"
    text.write_text(
        "class AdmissionController:\n"
        "    def __init__(self, *_): pass\n"
        "    def __getattr__(self, name): return lambda *_: None\n"
    )
    outcome = replayed_against(text)
    assert outcome.decisions == 203 and not outcome.replayed and outcome.recorded["run"] == 81
