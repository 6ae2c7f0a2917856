"""What an instance is told at start, in the words of `interface.Deployment`. What is not there stays out."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from mulleinhatch.admission.interface import Advice, Deployment, Effect, StopMode

EFFECTS = {"safe": Effect.RETRYABLE, "keyed": Effect.KEYED, "unsafe": Effect.NON_RETRYABLE}


def seconds(text: str) -> float:
    return float(text) / 1000.0


def flag(text: str) -> bool:
    return text == "true"


def whole(text: str) -> int:
    return int(float(text))


Reading = dict[str, tuple[str, Callable[[str], Any]]]

DEPLOYMENT: Reading = {
    "family_info.cores": ("cores", whole),
    "family_info.fresh_start": ("fresh_start", flag),
    "family_info.memory_kb": ("memory_kb", float),
    "family_info.run_factor": ("run_factor", float),
    "family_info.key_kb": ("key_kb", float),
    "family_info.idle": ("longest_idle", seconds),
    "family_info.callers": ("callers", whole),
    "family_info.gauges": ("gauges", lambda text: text.split(",")),
    "family_info.calls_out": ("calls_share", float),
    "family_info.calls_over": ("calls_window", seconds),
    "family_info.stays_for": ("call_linger", seconds),
    "family_info.depends_on": ("shared_dependency", lambda text: text == "one_for_all"),
    "family_info.stop_mode": ("stop_mode", {mode.value: mode for mode in StopMode}.get),
    "family_info.say": ("advice", {advice.value: advice for advice in Advice}.get),
    "rules.cold": ("cold_for", seconds),
    "rules.cold_from": ("cold_speed", float),
    "rules.drain_grace": ("drain_grace", seconds),
    "rules.tip_multiple": ("crowd_per_core", float),
    "limits.retry_after": ("hold_off_allowed", flag),
    "limits.max_retry_after": ("max_hold_off", seconds),
    "servers": ("instances", whole),
    "tick": ("tick", seconds),
}
OP_TYPE: Reading = {
    "aim": ("target_latency", seconds),
    "deadline": ("op_timeout", seconds),
    "effect": ("effect", EFFECTS.get),
    "late_worth": ("late_worth", float),
    "memory_span": ("repeat_window", seconds),
    "worth": ("importance", float),
}
OP_TYPE_LISTS: Reading = {
    "family_info.class_calls": ("calls_below", flag),
    "family_info.degraded_worth": ("degraded_worth", float),
}
TENANT: Reading = {"fraction": ("fraction", float), "quota_per_s": ("quota_per_s", float)}


def told(pairs: dict[str, str], reading: Reading, prefix: str = "") -> dict[str, Any]:
    """The pairs that `reading` knows, under our names.

    >>> told({"tick": "2.0", "novel": "1"}, {"tick": ("tick", seconds), "servers": ("instances", whole)})
    {'tick': 0.002}
    """
    values = {
        name: value(read, pairs[prefix + path], prefix + path)
        for path, (name, read) in reading.items()
        if prefix + path in pairs
    }
    return {name: value for name, value in values.items() if value is not None}


def pairs_of_lines(profile: str) -> dict[str, str]:
    return dict(line.split("=", 1) for line in profile.splitlines() if "=" in line)


def pairs_of_tree(tree: Any, path: str = "") -> dict[str, str]:
    """The same pairs out of nested JSON, so that both hosts read one form.

    >>> pairs_of_tree({"a": {"b": True, "c": ["x", 2.5]}, "d": [{"e": 1}]})
    {'a.b': 'true', 'a.c': 'x,2.5', 'd.count': '1', 'd.0.e': '1'}
    """
    if isinstance(tree, list) and any(isinstance(item, (dict, list)) for item in tree):
        tree = {"count": len(tree), **{str(place): item for place, item in enumerate(tree)}}
    if isinstance(tree, dict):
        dot = path + "." if path else ""
        return {name: text for key, item in tree.items() for name, text in pairs_of_tree(item, dot + key).items()}
    return {path: ",".join(map(word, tree)) if isinstance(tree, list) else word(tree)}


def word(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else "" if value is None else str(value)


def value(read: Callable[[str], Any], text: str, path: str) -> Any:
    try:
        found = read(text)
        if isinstance(found, float) and not math.isfinite(found):
            raise ValueError
        return found
    except (ValueError, OverflowError):
        raise ValueError(f"{path}: {text!r} can't be read") from None


def deployment(pairs: dict[str, str]) -> Deployment:
    facts = told(pairs, DEPLOYMENT)
    for name, path, reading in (("op_types", "classes", OP_TYPE), ("tenants", "tenants", TENANT)):
        count = value(whole, pairs.get(f"{path}.count", "0"), f"{path}.count")
        facts[name] = [told(pairs, reading, f"{path}.{place}.") for place in range(count)]
    for path, (name, read) in OP_TYPE_LISTS.items():
        for op_type, text in zip(facts["op_types"], pairs.get(path, "").split(",")):
            if text:
                op_type[name] = value(read, text, path)
    return Deployment(**facts)
