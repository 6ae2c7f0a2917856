"""Tests that are known to fail because of an unfixed fault, listed in KNOWN-RED.txt at the root.

Each line is `NODE ID | command and seed | what was seen | issue`; empty lines and lines that begin with # are ignored. A
listed test may fail; it is printed with its reason. A listed test that passes fails the run until its line is removed.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
FIELD_COUNT = 4
REASON_PREFIX = "known red: "


@dataclass(frozen=True)
class KnownFailure:
    """One listed test.

    Attributes:
        node_id: Its pytest node id.
        command: Command that reproduces the failure, with the seed.
        seen: The observed failure.
        issue: Number of the open issue.
    """

    node_id: str
    command: str
    seen: str
    issue: str

    @property
    def reason(self) -> str:
        """The text that a run prints for the test."""
        return f"{REASON_PREFIX}{self.seen} (issue {self.issue}; {self.command})"


def read_known_failures(path: Path) -> dict[str, KnownFailure]:
    """Read the list, by node id; an absent file is an empty list.

    Raises:
        ValueError: A line does not have four fields, or a test is listed twice.
    """
    failures: dict[str, KnownFailure] = {}
    lines = path.read_text().splitlines() if path.exists() else []
    for line in lines:
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(f"{path.name}: write NODE ID | command and seed | what was seen | issue, not {line!r}")
        if fields[0] in failures:
            raise ValueError(f"{path.name}: {fields[0]} is listed twice")
        failures[fields[0]] = KnownFailure(*fields)
    return failures


def adjust_outcome(report: pytest.TestReport, failure: KnownFailure) -> None:
    """Turn the failure of a listed test into an expected failure, and its success into a failure."""
    if report.when != "call":
        return
    if report.outcome == "failed":
        report.outcome = "skipped"
        report.wasxfail = failure.reason
    elif report.outcome == "passed":
        report.outcome = "failed"
        report.longrepr = f"{failure.node_id} is listed in {FILE_NAME} and passes: remove its line"


def print_known_failures(reporter: pytest.TerminalReporter) -> None:
    """Print each listed test that failed in this run, with its reason."""
    reports = [report for report in reporter.getreports("xfailed") if report.wasxfail.startswith(REASON_PREFIX)]
    if reports:
        reporter.section(FILE_NAME)
    for report in reports:
        reporter.write_line(f"{report.nodeid}: {report.wasxfail}")
