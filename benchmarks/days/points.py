"""Days for the worst cases (points) of users, and for reported incidents, at any deployment.

Times are seconds from the start of traffic. Faults follow each other as soon as the fault tolerance of the deployment allows.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import Any

Entry = dict[str, Any]
FIRST_S = 3.0
POINTS = (
    "cut_off",
    "two_operators",
    "loss_after_repair",
    "hundreds_of_changes",
    "crossed_answers",
    "all_five",
    "cut_away",
    "frozen_away",
)
FRONT_SHARE_AWAY = 0.3
RETURN_S = 4.0  # from the end of an absence to the first of the changes that show what is in force


def _entry(at: float, kind: str, **more: Any) -> Entry:
    return {"at": round(at, 2), "kind": kind, **more}


def _change_burst(at: float, for_s: float, gap_s: float) -> Entry:
    return _entry(at, "config_storm", for_s=round(for_s, 2), gap_s=gap_s, how="idle")


def model_service(site: Mapping[str, Any]) -> str:
    """Return the name of the first service whose backends run models, else of the first service."""
    services = site["services"]
    return next((service["name"] for service in services if service.get("model")), services[0]["name"])


def _cut_off(site: Mapping[str, Any], catch_up_s: float, length_s: float) -> tuple[list[Entry], list[Entry]]:
    plan = [_change_burst(FIRST_S, length_s - FIRST_S - 4.0, 0.9), _entry(9.0, "scale_in", share=0.2)]
    cut_s = min(20.0, length_s - 12.0)
    faults = [_entry(FIRST_S + 1.0, "core_cut", count=1, for_s=cut_s, how="leader meet race drain hard")]
    faults.append(_entry(FIRST_S + 2.0, "ack_lost", x=0.4, for_s=cut_s))
    return plan, faults


def _two_operators(site: Mapping[str, Any], catch_up_s: float, length_s: float) -> tuple[list[Entry], list[Entry]]:
    plan = [
        _entry(FIRST_S, "config_race", count=9, gap_s=1.1),
        _entry(FIRST_S + 11.0, "config_race", count=9, gap_s=0.8),
        _entry(FIRST_S + 5.0, "bad_config", count=3, gap_s=1.7, how="same_version"),
        _entry(FIRST_S + 14.0, "bad_config", count=3, gap_s=1.1, how="stale_match"),
    ]
    faults = [
        _entry(FIRST_S, "ack_lost", x=0.7, for_s=length_s - FIRST_S - 8.0),
        _entry(FIRST_S + 6.0, "node_kill", on="core", count=1, for_s=2.0, how="leader race"),
        _entry(FIRST_S + 15.0, "node_freeze", on="core", count=1, for_s=2.5, how="leader race"),
    ]
    return plan, faults


def _loss_after_repair(site: Mapping[str, Any], catch_up_s: float, length_s: float) -> tuple[list[Entry], list[Entry]]:
    step_s = catch_up_s + 1.2
    replacements = int((length_s - FIRST_S - 6.0) // step_s)
    hows = ("leader", "oldest", "seed", "planned")
    faults = [
        _entry(FIRST_S + number * step_s, "replace_core", x=0.8, how=hows[number % len(hows)])
        for number in range(max(2, replacements))
    ]
    return [_change_burst(FIRST_S, length_s - FIRST_S - 4.0, 0.7)], faults


def _hundreds_of_changes(site: Mapping[str, Any], catch_up_s: float, length_s: float) -> tuple[list[Entry], list[Entry]]:
    half_s = (length_s - FIRST_S) / 2
    plan = [_change_burst(1.0, half_s, 0.1), _change_burst(FIRST_S + half_s, half_s - 6.0, 0.1)]
    faults = [
        _entry(4.0, "node_kill", on="core", count=1, for_s=half_s - 4.0, how="power"),
        _entry(4.0 + half_s + catch_up_s, "node_kill", on="core", count=1, for_s=2.0, how="leader power"),
        _entry(8.0 + half_s + 2 * catch_up_s, "after_ack_wipe", for_s=1.0),
    ]
    return plan, faults


def _crossed_answers(site: Mapping[str, Any], catch_up_s: float, length_s: float) -> tuple[list[Entry], list[Entry]]:
    faults = []
    for number, service in enumerate(one["name"] for one in site["services"]):
        for at, how in ((FIRST_S, "extra late"), (FIRST_S + 8.0, "unframed"), (FIRST_S + 15.0, "early")):
            faults.append(_entry(at + number, "garble", how=how, service=service, share=0.6, x=0.04, for_s=6.0))
        faults.append(_entry(FIRST_S + 3.0 + number, "answer_lost", how="reset", service=service, share=0.6, x=0.05, for_s=8.0))
        faults.append(_entry(FIRST_S + 12.0 + number, "replace_with_reuse", service=service, share=0.2, how="dark"))
        faults.append(_entry(FIRST_S + 18.0 + number, "srv_crash", service=service, share=0.2, for_s=3.0))
    faults.append(_entry(FIRST_S + 6.0, "reset_conns", share=0.5, x=0.5))
    faults.append(_entry(FIRST_S + 10.0, "give_up", share=0.3, for_s=8.0))
    return [_entry(FIRST_S, "config_change", how="idle")], faults


def _away(kind: str, site: Mapping[str, Any], catch_up_s: float, length_s: float) -> tuple[list[Entry], list[Entry]]:
    """Return a day on which fronts are away while all core machines are replaced, and changes are sparse."""
    step_s = catch_up_s + 1.0
    replacements = int((length_s - FIRST_S - 3 * RETURN_S) // step_s)
    away_s = replacements * step_s + 0.5
    back_at = FIRST_S + away_s
    plan = [
        _entry(0.5, "config_change", how="route"),
        _entry(1.2, "config_change", how="idle"),
        _entry(1.8, "config_change", how="weights"),
        _entry(FIRST_S + step_s, "hup", share=0.5),
        _entry(back_at + RETURN_S, "config_storm", gap_s=2.6, for_s=length_s - back_at - 2 * RETURN_S, how="idle"),
        _entry(back_at + RETURN_S + 1.2, "config_storm", gap_s=2.6, for_s=length_s - back_at - 2 * RETURN_S, how="route"),
    ]
    faults = [_entry(FIRST_S - 0.5, kind, share=FRONT_SHARE_AWAY, for_s=away_s + 0.5), _entry(FIRST_S + 1.0, "seed_turnover")]
    faults += [_entry(FIRST_S + number * step_s, "replace_core", x=0.5, how="oldest") for number in range(replacements)]
    return plan, faults


_BUILDERS = {
    "cut_off": _cut_off,
    "two_operators": _two_operators,
    "loss_after_repair": _loss_after_repair,
    "hundreds_of_changes": _hundreds_of_changes,
    "crossed_answers": _crossed_answers,
}

_INCIDENT_BUILDERS = {"cut_away": partial(_away, "node_cut"), "frozen_away": partial(_away, "node_freeze")}


def point_day(name: str, site: Mapping[str, Any], seed: int) -> dict[str, Any]:
    """Return the day of a point.

    Raises:
        ValueError: If there is no point of that name.
    """
    if name not in POINTS:
        raise ValueError(f"no point {name!r}; there are {', '.join(POINTS)}")
    catch_up_s, length_s = float(site["timing"]["catch_up_s"]), float(site["length_s"])
    builders = list(_BUILDERS.values()) if name == "all_five" else [(_BUILDERS | _INCIDENT_BUILDERS)[name]]
    plan: list[Entry] = []
    faults: list[Entry] = []
    for build in builders:
        more_plan, more_faults = build(site, catch_up_s, length_s)
        plan += more_plan
        faults += more_faults
    return {
        "name": f"point-{name}",
        "slot": "trouble",
        "seed": seed,
        "closing": {"kind": "wipe_after_ack", "down_s": 0.6, "how": "aimed"},
        "plan": sorted(plan, key=lambda entry: entry["at"]),
        "faults": sorted(faults, key=lambda entry: entry["at"]),
    }
