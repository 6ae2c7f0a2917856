"""Replay of a trace against another version of the admission package."""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

import pytest

import mulleinhatch.admission
from mulleinhatch.cli.instance.trace import load_other_controller
from mulleinhatch.instance.traces.file import Trace
from mulleinhatch.instance.traces.replay import Outcome, replay

TRACE = Path(__file__).parent / "data" / "trace.mht"
PACKAGE = Path(mulleinhatch.admission.__file__).parent


@pytest.fixture
def other(tmp_path: Path) -> Path:
    """A copy of the admission package."""
    return Path(shutil.copytree(PACKAGE, tmp_path / "admission", ignore=shutil.ignore_patterns("__pycache__")))


def replay_against(controller: Path) -> Outcome:
    with TRACE.open("rb") as file:
        trace = Trace(file)
        return replay(trace.records(), trace.metadata, load_other_controller(str(controller)), to_the_end=True)


def test_an_identical_version_takes_the_same_decisions(other: Path) -> None:
    outcome = replay_against(other / "controller.py")
    assert (outcome.pulls, outcome.decisions, outcome.differences) == (304, 203, 0)


def test_a_changed_module_is_used_and_the_installed_package_stays(other: Path) -> None:
    installed = dict(sys.modules)
    bounds = other / "class_bounds.py"
    bounds.write_text(bounds.read_text() + "\n\nClassBounds.exceeds = lambda *_: True\n")
    outcome = replay_against(other / "controller.py")
    assert outcome.differences > 0 and outcome.replayed["run"] == 0 < outcome.recorded["run"]
    assert {name: sys.modules[name] for name in installed} == installed
    assert replay_against(PACKAGE / "controller.py").differences == 0


def test_a_version_in_a_single_file_is_used(tmp_path: Path) -> None:
    text = tmp_path / "silent.py"
    text.write_text(
        "class AdmissionController:\n"
        "    def __init__(self, *_): pass\n"
        "    def __getattr__(self, name): return lambda *_: None\n"
    )
    outcome = replay_against(text)
    assert outcome.decisions == 203 and not outcome.replayed and outcome.recorded["run"] == 81
