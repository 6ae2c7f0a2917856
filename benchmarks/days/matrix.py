"""Days for every kind of fault with every variant: the fault occurs twice in a day, with another fault, at three phases.

The kinds are parsed from the bench's list for a site, so that new kinds are included.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

PHASES = ("early", "storm", "end")
PLANNED = {
    "release", "scale_in", "roll_term", "scale_out", "config_change", "config_storm", "config_race", "bad_config",
    "big_config", "model_shift", "hup",
}  # fmt: skip
CORE_KINDS = {"node_kill", "herd_kill", "node_freeze", "node_slow"}
VARIANT_NAME = re.compile(r"[a-z_]+")
IGNORED_WORDS = {"of", "the", "a", "and", "or", "with", "is", "at", "for", "all", "in", "on", "to", "x", "s"}
REPEAT_AFTER_S = 9.0  # seconds from the first to the second occurrence of the fault


@dataclass(frozen=True)
class Cell:
    """One day of the matrix: a kind of fault, its variant (empty for the plain one) and the phase of the day."""

    kind: str
    how: str
    phase: str

    @property
    def name(self) -> str:
        """The name of the day."""
        return "-".join(part.replace(" ", "_") for part in (self.kind, self.how or "plain", self.phase))


def parse_kinds(text: str) -> dict[str, list[str]]:
    """Parse the bench's list, lines of `kind: what it does; how: variants`, into kinds with their variants.

    >>> parse_kinds("burst: x times the traffic\\nsrv_crash: share down; how: dark (silent), gone (for good)")
    {'burst': [''], 'srv_crash': ['', 'dark', 'gone']}
    """
    found: dict[str, list[str]] = {}
    for line in text.splitlines():
        kind, colon, rest = line.partition(": ")
        if not colon or not re.fullmatch(r"[a-z]+(_[a-z]+)*", kind) or kind in ("or", "closing"):
            continue
        found[kind] = ["", *_variants(rest)]
    return found


def _variants(rest: str) -> list[str]:
    _, how, variants = rest.partition("how: ")
    if not how:
        return []
    plain_text = re.sub(r"\([^()]*\)", "", variants).split(";")[0].split("(")[0]
    candidates = [word.strip() for part in plain_text.split(",") for word in part.split(" ")]
    return list(dict.fromkeys(word for word in candidates if VARIANT_NAME.fullmatch(word) and word not in IGNORED_WORDS))


def cells(kinds: Mapping[str, list[str]]) -> Iterator[Cell]:
    """Yield every combination of kind, variant and phase."""
    for kind, variants in kinds.items():
        for how in variants:
            for phase in PHASES:
                yield Cell(kind, how, phase)


def _occurrence_times(phase: str, length_s: float) -> tuple[float, float]:
    if phase == "early":
        return 0.5, 0.5 + REPEAT_AFTER_S
    if phase == "storm":
        return 0.35 * length_s, 0.35 * length_s + REPEAT_AFTER_S
    return length_s - REPEAT_AFTER_S - 1.5, length_s - 1.5


def cell_day(cell: Cell, site: Mapping[str, Any], seed: int) -> dict[str, Any]:
    """Return the day: the fault twice, a burst of changes, and the kill of a control-plane node or a burst of traffic."""
    length_s = float(site["length_s"])
    first, second = _occurrence_times(cell.phase, length_s)
    plan: list[dict[str, Any]] = [
        {"at": round(0.3 * length_s, 2), "kind": "config_storm", "for_s": 8.0, "gap_s": 0.4, "how": "idle"}
    ]
    companion = "burst" if cell.kind in CORE_KINDS or "core" in cell.kind or "disk" in cell.kind else "node_kill"
    faults: list[dict[str, Any]] = []
    if companion == "node_kill":
        faults.append(
            {"at": round(first + 1.0, 2), "kind": companion, "on": "core", "count": 1, "for_s": 2.0, "how": "leader race"}
        )
    else:
        faults.append({"at": round(first + 1.0, 2), "kind": companion, "x": 1.5, "for_s": 3.0})
    target = plan if cell.kind in PLANNED else faults
    for at in (first, second):
        entry: dict[str, Any] = {"at": round(at, 2), "kind": cell.kind}
        if cell.how:
            entry["how"] = cell.how
        if cell.kind in CORE_KINDS and cell.phase == "storm":
            entry["on"] = "core"
        target.append(entry)
    return {
        "name": cell.name,
        "slot": "trouble",
        "seed": seed,
        "closing": {"kind": "power_off_all", "down_s": 0.8},
        "plan": sorted(plan, key=lambda entry: entry["at"]),
        "faults": sorted(faults, key=lambda entry: entry["at"]),
    }


def shortened_days(day: Mapping[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the day with one entry left out, for each entry."""
    for key in ("faults", "plan"):
        for index in range(len(day[key])):
            yield {**day, key: [entry for at, entry in enumerate(day[key]) if at != index]}
