"""The list of known failures: exactly the listed tests may fail, and each must exist."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from known_red import FILE_NAME, read_known_failures

ROOT = Path(__file__).resolve().parent.parent
LINE = "tests/test_sample.py::test_sample | pytest -k sample, seed 7 | a lost change | 69\n"


def run_sample(tmp_path: Path, assertion: str, listed: str) -> subprocess.CompletedProcess[str]:
    """Run one test with the given body in a project whose list has the given content."""
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tests / name)
    (tests / "test_sample.py").write_text(f"def test_sample():\n    {assertion}\n")
    (tmp_path / FILE_NAME).write_text(listed)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "--rootdir", str(tmp_path), "tests"]
    return subprocess.run(command, cwd=tmp_path, capture_output=True, text=True)


# Guards against a list of known failures that hides a fault: only a listed test may fail, and it is printed with its reason.
def test_a_listed_test_may_fail_and_is_printed(tmp_path):
    run = run_sample(tmp_path, "assert False", "# a comment\n\n" + LINE)
    assert run.returncode == 0, run.stdout
    assert "tests/test_sample.py::test_sample: known red: a lost change (issue 69; pytest -k sample, seed 7)" in run.stdout


def test_a_test_that_is_not_listed_fails_the_run(tmp_path):
    assert run_sample(tmp_path, "assert False", "").returncode == 1


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    run = run_sample(tmp_path, "assert True", LINE)
    assert run.returncode == 1 and "is listed in KNOWN-RED.txt and passes" in run.stdout


@pytest.mark.parametrize("text", ["tests/test_sample.py::test_sample\n", LINE + LINE, "a | | b | 69\n"])
def test_an_incomplete_or_repeated_line_is_an_error(tmp_path, text):
    path = tmp_path / FILE_NAME
    path.write_text(text)
    with pytest.raises(ValueError, match=FILE_NAME):
        read_known_failures(path)


def test_every_listed_test_exists():
    listed = read_known_failures(ROOT / FILE_NAME)
    files = sorted({node_id.partition("::")[0] for node_id in listed})
    if not files:
        return
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "--numprocesses=0", *files]
    collected = subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout.splitlines()
    assert set(listed) <= set(collected)
