"""Parsing of the deployment settings of a service instance into `admission.interface.Deployment`.

A settings table maps each settings key to a field of the deployment and the function that converts its text. Keys missing in
the settings are omitted from the result; keys that are in no table are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from mulleinhatch.admission.interface import Advice, Deployment, Effect, StopMode

EFFECTS = {"safe": Effect.RETRYABLE, "keyed": Effect.KEYED, "unsafe": Effect.NON_RETRYABLE}


def seconds_from_ms(text: str) -> float:
    """Convert milliseconds to seconds."""
    return float(text) / 1000.0


def parse_bool(text: str) -> bool:
    """Return whether the text is `true`; any other text is false."""
    return text == "true"


def parse_int(text: str) -> int:
    """Parse a number and truncate it."""
    return int(float(text))


SettingsTable = dict[str, tuple[str, Callable[[str], Any]]]

DEPLOYMENT_SETTINGS: SettingsTable = {
    "family_info.cores": ("cores", parse_int),
    "family_info.fresh_start": ("fresh_start", parse_bool),
    "family_info.memory_kb": ("memory_kb", float),
    "family_info.run_factor": ("run_factor", float),
    "family_info.key_kb": ("key_kb", float),
    "family_info.idle": ("longest_idle", seconds_from_ms),
    "family_info.callers": ("callers", parse_int),
    "family_info.gauges": ("gauges", lambda text: text.split(",")),
    "family_info.calls_out": ("calls_share", float),
    "family_info.calls_over": ("calls_window", seconds_from_ms),
    "family_info.stays_for": ("call_linger", seconds_from_ms),
    "family_info.depends_on": ("shared_dependency", lambda text: text == "one_for_all"),
    "family_info.stop_mode": ("stop_mode", {mode.value: mode for mode in StopMode}.get),
    "family_info.say": ("advice", {advice.value: advice for advice in Advice}.get),
    "rules.cold": ("cold_for", seconds_from_ms),
    "rules.cold_from": ("cold_speed", float),
    "rules.drain_grace": ("drain_grace", seconds_from_ms),
    "rules.tip_multiple": ("crowd_per_core", float),
    "limits.retry_after": ("hold_off_allowed", parse_bool),
    "limits.max_retry_after": ("max_hold_off", seconds_from_ms),
    "servers": ("instances", parse_int),
    "tick": ("tick", seconds_from_ms),
}
REQUEST_TYPE_SETTINGS: SettingsTable = {
    "aim": ("target_latency", seconds_from_ms),
    "deadline": ("op_timeout", seconds_from_ms),
    "effect": ("effect", EFFECTS.get),
    "late_worth": ("late_worth", float),
    "memory_span": ("repeat_window", seconds_from_ms),
    "worth": ("importance", float),
}
REQUEST_TYPE_LISTS: SettingsTable = {
    "family_info.class_calls": ("calls_below", parse_bool),
    "family_info.degraded_worth": ("degraded_worth", float),
}
TENANT_SETTINGS: SettingsTable = {"fraction": ("fraction", float), "quota_per_s": ("quota_per_s", float)}


def read_settings(pairs: dict[str, str], table: SettingsTable, prefix: str = "") -> dict[str, Any]:
    """Convert the settings that a table lists.

    Args:
        pairs: Text by settings key.
        table: Fields and conversions by settings key.
        prefix: Precedes each key of the table in `pairs`.

    Returns:
        Converted values by field.

    Raises:
        ValueError: A value cannot be converted; the message names its key.

    >>> read_settings({"tick": "2.0", "novel": "1"}, {"tick": ("tick", seconds_from_ms), "servers": ("instances", parse_int)})
    {'tick': 0.002}
    """
    values = {
        name: convert_setting(convert, pairs[prefix + path], prefix + path)
        for path, (name, convert) in table.items()
        if prefix + path in pairs
    }
    return {name: value for name, value in values.items() if value is not None}


def split_profile_lines(profile: str) -> dict[str, str]:
    """Return text by settings key from a profile with one `key=text` per line; other lines are skipped."""
    return dict(line.split("=", 1) for line in profile.splitlines() if "=" in line)


def flatten_settings(tree: Any, path: str = "") -> dict[str, str]:
    """Return text by settings key from nested JSON, in the form of `split_profile_lines`.

    >>> flatten_settings({"a": {"b": True, "c": ["x", 2.5]}, "d": [{"e": 1}]})
    {'a.b': 'true', 'a.c': 'x,2.5', 'd.count': '1', 'd.0.e': '1'}
    """
    if isinstance(tree, list) and any(isinstance(item, (dict, list)) for item in tree):
        tree = {"count": len(tree), **{str(index): item for index, item in enumerate(tree)}}
    if isinstance(tree, dict):
        dot = path + "." if path else ""
        return {name: text for key, item in tree.items() for name, text in flatten_settings(item, dot + key).items()}
    return {path: ",".join(map(format_setting, tree)) if isinstance(tree, list) else format_setting(tree)}


def format_setting(value: Any) -> str:
    """Return the text of a JSON value, as written in a profile line."""
    return str(value).lower() if isinstance(value, bool) else "" if value is None else str(value)


def convert_setting(convert: Callable[[str], Any], text: str, path: str) -> Any:
    """Convert the text of one setting.

    Raises:
        ValueError: It cannot be converted, or is not finite; the message names the key `path`.
    """
    try:
        converted = convert(text)
        if isinstance(converted, float) and not math.isfinite(converted):
            raise ValueError
        return converted
    except (ValueError, OverflowError):
        raise ValueError(f"{path}: {text!r} can't be read") from None


def parse_deployment(pairs: dict[str, str]) -> Deployment:
    """Build the deployment from text by settings key.

    Raises:
        ValueError: A value cannot be converted; the message names its key.
    """
    values = read_settings(pairs, DEPLOYMENT_SETTINGS)
    for name, path, table in (("op_types", "classes", REQUEST_TYPE_SETTINGS), ("tenants", "tenants", TENANT_SETTINGS)):
        count = convert_setting(parse_int, pairs.get(f"{path}.count", "0"), f"{path}.count")
        values[name] = [read_settings(pairs, table, f"{path}.{index}.") for index in range(count)]
    for path, (name, convert) in REQUEST_TYPE_LISTS.items():
        for request_type, text in zip(values["op_types"], pairs.get(path, "").split(",")):
            if text:
                request_type[name] = convert_setting(convert, text, path)
    return Deployment(**values)
