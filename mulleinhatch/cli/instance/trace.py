"""`mulleinhatch trace`: inspect, cut, merge, anonymise, summarise and replay trace files."""

from __future__ import annotations

import contextlib
import importlib
import importlib.util
import json
import sys
from pathlib import Path
from typing import Any

try:
    from mulleinhatch.instance.traces.aliases import Aliases, anonymize_metadata, anonymize_records
    from mulleinhatch.instance.traces.codec import CorruptTraceError
    from mulleinhatch.instance.traces.cutting import RecordFilter, extract, write
    from mulleinhatch.instance.traces.file import Trace, UnreadableTraceError
    from mulleinhatch.instance.traces.merging import merge
    from mulleinhatch.instance.traces.replay import IncompleteTraceError, Outcome, replay
    from mulleinhatch.instance.traces.summary import summary
except ImportError as error:
    print(f"mulleinhatch: trace needs {error.name}: pip install 'mulleinhatch[traces]'", file=sys.stderr)
    raise SystemExit(2) from None


def run(arguments: dict[str, Any]) -> int:
    """Run a sub-command."""
    tools = {
        "info": info,
        "cut": cut_file,
        "merge": merge_files,
        "anonymise": anonymise,
        "summary": print_summary,
        "replay": replay_file,
    }
    try:
        return next(tool for name, tool in tools.items() if arguments[name])(arguments)
    except (OSError, UnreadableTraceError, CorruptTraceError, IncompleteTraceError, ValueError) as error:
        print(f"mulleinhatch: {error}", file=sys.stderr)
        return 1


def format_unreadable(trace: Trace) -> str:
    """Return one line for each unreadable block."""
    return "".join(
        f"  unreadable at byte {lost.offset}: {lost.why}"
        + (f", {lost.records} records, {lost.last - lost.first:.3f} s" if lost.records else "")
        + "\n"
        for lost in trace.lost
    )


def info(arguments: dict[str, Any]) -> int:
    """Print what files contain; 1 if something cannot be read."""
    is_complete = True
    for path in arguments["FILE"]:
        with open(path, "rb") as file:
            trace = Trace(file)
            records = sum(row.records for row in trace.rows)
            first = min((row.first for row in trace.rows), default=0.0)
            last = max((row.last for row in trace.rows), default=0.0)
            damaged = sum(trace.block(row) is None for row in trace.rows)
            print(
                f"{path}: version {trace.major}.{trace.minor}, instance {trace.metadata.instance}, "
                f"file {trace.metadata.number}, {trace.size} bytes, {len(trace.rows)} blocks, "
                f"{records} records, {first:.3f} to {last:.3f} s, "
                f"{'indexed' if trace.indexed else 'no index: incomplete or truncated'}"
            )
            print(format_unreadable(trace), end="")
            is_complete &= not damaged and not trace.lost
    return 0 if is_complete else 1


def index_of(names: list[str], name: str | None, what: str) -> int | None:
    """Return the index of a name, or None if no name is given."""
    if name is None:
        return None
    if name not in names:
        raise ValueError(f"{what} {name!r} is not in the trace: it has {', '.join(names) or 'none'}")
    return names.index(name)


def cut_file(arguments: dict[str, Any]) -> int:
    """Write the selected part of a trace to a new file."""
    with open(arguments["FILE"][0], "rb") as source:
        trace = Trace(source)
        record_filter = RecordFilter(
            arguments["--since"] and float(arguments["--since"]),
            arguments["--until"] and float(arguments["--until"]),
            index_of(trace.metadata.tenants, arguments["--tenant"], "tenant"),
            index_of(trace.metadata.op_types, arguments["--op-type"], "op type"),
            arguments["--op"],
        )
        with open(arguments["--out"], "xb") as file:
            count = extract(trace, file, record_filter)
        print(f"{arguments['--out']}: {count} records")
        print(format_unreadable(trace), end="")
    return 0


def parse_offsets(texts: list[str]) -> dict[str, float]:
    """Return the clock offsets in seconds, by name of the node.

    >>> parse_offsets(["n2=-0.25"])
    {'n2': -0.25}
    """
    offsets = {}
    for text in texts:
        name, sign, seconds = text.partition("=")
        if not sign or not name:
            raise ValueError(f"--offset {text}: expected NODE=SECONDS")
        offsets[name] = float(seconds)
    return offsets


def merge_files(arguments: dict[str, Any]) -> int:
    """Write several traces as one."""
    with contextlib.ExitStack() as stack:
        traces = [Trace(stack.enter_context(open(path, "rb"))) for path in arguments["FILE"]]
        with open(arguments["--out"], "xb") as file:
            count, notes = merge(traces, file, parse_offsets(arguments["--offset"]))
        print(f"{arguments['--out']}: {count} records")
        for note in notes:
            stepped = f", the clock stepped {note['clock_stepped']:+.3f} s" if note["clock_stepped"] else ""
            print(
                f"  {note['instance']} (node {note['node']}, file {note['file']}, version {note['version']}): "
                f"offset {note['offset']:.6f} s{stepped}"
            )
        print("".join(format_unreadable(trace) for trace in traces), end="")
    return 0


def anonymise(arguments: dict[str, Any]) -> int:
    """Write a trace with aliases instead of names."""
    aliases = Aliases(Path(arguments["--key"]).read_bytes())
    with open(arguments["FILE"][0], "rb") as source:
        trace = Trace(source)
        with open(arguments["--out"], "xb") as file:
            count = write(
                anonymize_records(trace.records(), aliases), file, anonymize_metadata(trace.metadata, aliases), trace.major
            )
        print(f"{arguments['--out']}: {count} records")
        print(format_unreadable(trace), end="")
    return 0


def print_summary(arguments: dict[str, Any]) -> int:
    """Print sums and quantiles."""
    with open(arguments["FILE"][0], "rb") as file:
        trace = Trace(file)
        totals = summary(trace.records(), trace.metadata.op_types, trace.metadata.tenants)
        lost = format_unreadable(trace)
    if arguments["--json"]:
        print(json.dumps({**totals, "lost": [list(gap) for gap in trace.lost]}))
        return 0
    print(f"{totals['seconds']:.3f} s")
    for name, count in totals["counts"].items():
        print(f"{name}={count}")
    for name, quantiles in (("held", totals["held_s"]), ("ran", totals["ran_s"]), ("hold-off", totals["hold_off_s"])):
        print(f"{name}: " + ", ".join(f"{at} {seconds:.3f} s" for at, seconds in quantiles.items()))
    print(lost, end="")
    return 0


ADMISSION = "mulleinhatch.admission"
SHARED_TYPES = f"{ADMISSION}.interface"  # decisions are compared by these enums, so both versions must share them


def load_other_controller(path: str) -> Any:
    """Load the `AdmissionController` of another version of the admission package.

    Args:
        path: Its `controller.py`. If the folder has an `__init__.py`, the other modules of the folder are loaded with it;
            otherwise the controller is a single file.
    """
    folder = Path(path).parent
    if Path(path).name == "controller.py" and (folder / "__init__.py").is_file():
        return _load_package(folder).AdmissionController
    module = _execute("mulleinhatch_other_admission", Path(path))
    # Before version 0.3 the class was named `Hatch`.
    return module.AdmissionController if hasattr(module, "AdmissionController") else module.Hatch


def _load_package(folder: Path) -> Any:
    """Load an admission package from a folder; it replaces the installed one in `sys.modules` only while it is loaded."""
    importlib.import_module(SHARED_TYPES)
    own = [name for name in sys.modules if name == ADMISSION or name.startswith(f"{ADMISSION}.")]
    installed = {name: sys.modules[name] for name in own}
    for name in own:
        if name != SHARED_TYPES:
            del sys.modules[name]
    try:
        return _execute(ADMISSION, folder / "__init__.py")
    finally:
        for name in [name for name in sys.modules if name == ADMISSION or name.startswith(f"{ADMISSION}.")]:
            del sys.modules[name]
        sys.modules.update(installed)


def _execute(name: str, path: Path) -> Any:
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise ValueError(f"{path}: not a Python file")
    module = importlib.util.module_from_spec(spec)
    if name == ADMISSION:
        sys.modules[name] = module  # its modules import each other by this name
    spec.loader.exec_module(module)
    return module


def replay_file(arguments: dict[str, Any]) -> int:
    """Replay a trace and print the differences."""
    against = arguments["--against"]
    with open(arguments["FILE"][0], "rb") as file:
        trace = Trace(file)
        if against:
            outcome = replay(trace.records(), trace.metadata, load_other_controller(against), to_the_end=True)
        else:
            outcome = replay(trace.records(), trace.metadata)
        differ = {0: "no step differs", 1: "one step differs"}.get(outcome.differences, f"{outcome.differences} steps differ")
        print(f"{outcome.decisions} decisions in {outcome.pulls} steps, {differ}")
        print(format_unreadable(trace), end="")
    print_difference(outcome)
    if against:
        for verb in sorted({*outcome.recorded, *outcome.replayed}):
            print(f"  {verb}: {outcome.recorded[verb]} recorded, {outcome.replayed[verb]} by {against}")
    return 0 if not outcome.differences or against else 1


def print_difference(outcome: Outcome) -> None:
    """Print the first difference."""
    if first := outcome.first:
        print(f"first difference at {first.time:.6f} s, step {first.pull}:")
        print("  recorded: " + ("; ".join(map(str, first.recorded)) or "nothing"))
        print("  replayed: " + ("; ".join(map(str, first.replayed)) or "nothing"))
