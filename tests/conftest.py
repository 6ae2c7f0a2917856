"""Shared hooks: tests that start processes run one at a time, also across concurrent test runs; known failures are marked."""

from __future__ import annotations

import fcntl
import tempfile
from collections.abc import Generator, Iterator
from pathlib import Path

import pytest

from known_red import FILE_NAME, adjust_outcome, print_known_failures, read_known_failures

LOCK_PATH = Path(tempfile.gettempdir()) / "mulleinhatch-process-tests.lock"
KNOWN_FAILURES = read_known_failures(Path(__file__).resolve().parent.parent / FILE_NAME)


@pytest.fixture(autouse=True)
def one_process_test_at_a_time(request: pytest.FixtureRequest) -> Iterator[None]:
    """Hold a machine-wide lock during a test marked `processes`: such tests measure times and use fixed addresses."""
    if request.node.get_closest_marker("processes") is None:
        yield
        return
    with LOCK_PATH.open("a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Adjust the outcome of a test that is known to fail."""
    report = yield
    if item.nodeid in KNOWN_FAILURES:
        adjust_outcome(report, KNOWN_FAILURES[item.nodeid])
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures at the end of a run."""
    print_known_failures(terminalreporter)
