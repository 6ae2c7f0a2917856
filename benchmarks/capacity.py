"""Generate the tables of docs/CAPACITY.md from recorded costs and from rows that compare them with bounds.

Usage:
  capacity [--check | --write] [--page FILE] [--recorded FOLDER]

Options:
  --check            Exit with 1 and print the differences if page and records differ.
  --write            Write the tables into the page; without it they are printed.
  --page FILE        The page [default: docs/CAPACITY.md].
  --recorded FOLDER  Folder of the records and rows.toml; without it benchmarks/recorded.

A row's need is the value measured at the target size, or else the fit of its cost there (times another cost, if the row says
so). The ratio is need over bound. A row breaks at the size at which the fit reaches the bound, between the last run within it
and the first run over it. Rows without a run state their calculation and are marked as reckoned.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

from docopt import docopt

from benchmarks.capacity_page import differences, with_tables
from benchmarks.capacity_reading import read_model
from benchmarks.capacity_tables import breaking, next_missing, tables
from benchmarks.records import RECORDED, InvalidRecordError


def main(argv: list[str] | None = None) -> int:
    """Print, check or write the tables; return the exit status."""
    options = docopt(__doc__, argv)
    page = Path(options["--page"])
    try:
        model = read_model(Path(options["--recorded"] or RECORDED))
        expected_tables = tables(model)
        if options["--write"]:
            page.write_text(with_tables(page.read_text(), expected_tables))
        elif options["--check"]:
            if found_differences := differences(page.read_text(), expected_tables):
                print("\n".join(found_differences), file=sys.stderr)
                return 1
        else:
            for name, text in expected_tables.items():
                print(f"\n{name}\n\n{text}")
    except (InvalidRecordError, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    over = [row for row in breaking(model) if row.ratio > 1.0]
    print(
        json.dumps(
            {
                "benchmark": "capacity",
                "rows": len(model.rows),
                "over": len(over),
                "missing": [missing.name for missing, _ in next_missing(model)],
                "holds": True,
            }
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
