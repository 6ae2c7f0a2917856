"""Prints what a soak found."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rich.console import Console
from rich.table import Table

MAX_PRINTED_VIOLATIONS = 5
WIDTH = 140


def print_violations(title: str, violations: Mapping[str, Sequence[str]]) -> None:
    """Print a table of the violations by check, and the first lines of each check."""
    table = Table("check", "violations", title=title)
    for name, lines in violations.items():
        table.add_row(name, str(len(lines)))
    console = Console(width=WIDTH)
    console.print(table)
    for name, lines in violations.items():
        for line in lines[:MAX_PRINTED_VIOLATIONS]:
            console.print(f"{name}: {line}", markup=False)
