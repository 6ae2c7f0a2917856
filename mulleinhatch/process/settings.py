"""The settings file of a process: lines of the form `a.b=value`, parsed by jproperties and validated by schema.

`read_settings` returns typed `Settings`, or a `SettingsError` whose message names the file, the key and the remedy. Unknown
keys are ignored, so that older versions can read newer files.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jproperties import ParseError, Properties
from result import Err, Ok, Result
from schema import And, Optional, Schema, SchemaError, Use

from mulleinhatch.errors import ConfigurationError

FILE_VARIABLE = "MULLEINHATCH_NODE_FILE"
BOOLEAN_TEXTS = {"true": True, "false": False}


class SettingsError(ConfigurationError):
    """A settings file is missing or invalid; the message names the key and the remedy."""


@dataclass(frozen=True)
class Bounds:
    """Limits and durations of the deployment's rules, from the `bounds.*` keys.

    Fields without a description are validated but not used by any process.

    Attributes:
        contact_s: Added to `configuration_apply_s`, the time that a data plane without a configuration waits for one from a
            control-plane node confirmed by a majority, before it accepts one from an unconfirmed node.
        acknowledge_s:
        drain_s:
        grace_s: The time from SIGTERM to the forced termination of the process.
        configuration_apply_s: See `contact_s`.
        retry_budget_ratio: Retries allowed per first attempt, over `budget_window_s`.
        retry_budget_slack: Retries allowed in addition, over `budget_window_s`.
        budget_window_s: The window of the retry budget.
        pass_s:
        lease_s: The duration of the placement leader's lease.
        thaw_slack_s:
        ceiling_window_s: The window over which loads from the weight store are limited.
        ceiling_overage:
        reuse_after_s:
        fenced: Whether backends reject orders with a fencing token lower than the highest they have seen.
        version_s: How long older weights may still be used after a newer version was acknowledged; 0 if not specified.
        quota_window_s: The window over which the tenants' quotas are counted.
        quota_overage: The fraction of a quota that may be used beyond it.
        quota_slack: The units that may be used in addition to a quota.
        revocation_s:
    """

    contact_s: float = 3.0
    acknowledge_s: float = 4.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    configuration_apply_s: float = 2.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 50.0
    budget_window_s: float = 10.0
    pass_s: float = 0.12
    lease_s: float = 3.0
    thaw_slack_s: float = 0.3
    ceiling_window_s: float = 5.0
    ceiling_overage: float = 1.1
    reuse_after_s: float = 2.0
    fenced: bool = False
    version_s: float = 0.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 0.0
    revocation_s: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of one process.

    Attributes:
        name: The name of this process (`node_name`).
        ip_address: The IP address that it listens on.
        zone: Its zone.
        region: Its region.
        listen: Listening addresses "HOST:PORT" by purpose: `front`, `ready`, `control`.
        internal_address: "HOST:PORT" for requests of the other processes of the system.
        seeds: Control addresses of the control-plane nodes to contact first.
        first_start: Whether the whole system is started for the first time, without state on disk.
        counts_for_quorum: Whether this process counts toward the quorum.
        machines_tolerated: The number of control-plane nodes that may fail at once without stopping the system.
        heartbeat_s: The interval of the backends' heartbeats.
        data_directory: The directory for persisted state.
        file_descriptors: The limit on open files.
        memory_mb: The limit on memory in MB.
        regions_of_zones: The region of each zone (`zones.ZONE=REGION`).
        bounds: Limits and durations of the deployment's rules.
        zones_tolerated: The number of zones that may fail at once.
        regions_tolerated: The number of regions that may fail at once.
        call_address: "HOST:PORT" where control-plane nodes can call a data plane: the last internal port of its machine, as a
            control-plane node of the same machine has the first one. Empty if there is no second port.
    """

    name: str
    ip_address: str
    zone: str
    region: str
    listen: dict[str, str]
    internal_address: str
    seeds: tuple[str, ...]
    first_start: bool
    counts_for_quorum: bool
    machines_tolerated: int
    heartbeat_s: float
    data_directory: str
    file_descriptors: int
    memory_mb: float
    regions_of_zones: dict[str, str]
    bounds: Bounds
    zones_tolerated: int = 0
    regions_tolerated: int = 0
    call_address: str = ""


def _parse_boolean(text: str) -> bool:
    return BOOLEAN_TEXTS[text.strip().lower()]


def _parse_address(text: str) -> str:
    host, colon, port = text.strip().rpartition(":")
    if not colon or not host or not 0 < int(port) < 65536:
        raise ValueError(text)
    return text.strip()


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(_parse_address(part) for part in text.split(",") if part.strip())


def _parse_port_range(text: str) -> tuple[int, int]:
    first, last = (int(part) for part in text.split(","))
    return first, last


MILLISECONDS = And(Use(float), lambda value: value >= 0, Use(lambda value: 0.001 * value))
SECONDS = And(Use(float), lambda value: value >= 0)
COUNT = And(Use(int), lambda value: value >= 0)
FRACTION = And(Use(float), lambda value: value >= 0)
BOUND_KEYS = {  # key without the prefix `bounds.` -> field of Bounds, check
    "contact_ms": ("contact_s", MILLISECONDS),
    "acknowledge_ms": ("acknowledge_s", MILLISECONDS),
    "drain_ms": ("drain_s", MILLISECONDS),
    "grace_period_s": ("grace_s", SECONDS),
    "configuration_apply_ms": ("configuration_apply_s", MILLISECONDS),
    "retry_budget_ratio": ("retry_budget_ratio", FRACTION),
    "retry_budget_slack": ("retry_budget_slack", FRACTION),
    "budget_window_s": ("budget_window_s", SECONDS),
    "pass_ms": ("pass_s", MILLISECONDS),
    "lease_ms": ("lease_s", MILLISECONDS),
    "thaw_slack_ms": ("thaw_slack_s", MILLISECONDS),
    "ceiling_window_s": ("ceiling_window_s", SECONDS),
    "ceiling_overage": ("ceiling_overage", FRACTION),
    "reuse_after_s": ("reuse_after_s", SECONDS),
    "fenced": ("fenced", Use(_parse_boolean)),
    "version_ms": ("version_s", MILLISECONDS),
    "quota_window_s": ("quota_window_s", SECONDS),
    "quota_overage": ("quota_overage", FRACTION),
    "quota_slack": ("quota_slack", FRACTION),
    "revocation_ms": ("revocation_s", MILLISECONDS),
}
FILE_SCHEMA = Schema(
    {
        "node_name": And(str, len),
        "ip_address": And(str, len),
        Optional("zone", default=""): str,
        Optional("region", default=""): str,
        "internal_port_range": Use(_parse_port_range),
        "seeds": Use(_parse_addresses),
        Optional("first_start", default=False): Use(_parse_boolean),
        Optional("counts_for_quorum", default=False): Use(_parse_boolean),
        Optional("fault_tolerance.machines", default=0): COUNT,
        Optional("fault_tolerance.zones", default=0): COUNT,
        Optional("fault_tolerance.regions", default=0): COUNT,
        Optional("heartbeat_interval_ms", default=1.2): MILLISECONDS,
        Optional("data_directory", default=""): str,
        Optional("limits.file_descriptors", default=1024): Use(int),
        Optional("limits.memory_mb", default=256.0): Use(float),
        **{Optional(f"bounds.{key}"): check for key, (_, check) in BOUND_KEYS.items()},
        Optional("listen.front"): Use(_parse_address),
        Optional("listen.ready"): Use(_parse_address),
        Optional("listen.control"): Use(_parse_address),
        Optional(str): object,
    },
    name="settings",
)


def _validate(values: dict[str, str], path: str) -> Result[Settings, SettingsError]:
    try:
        checked = FILE_SCHEMA.validate(values)
    except SchemaError as error:
        reason = " ".join(part for part in error.autos if part)
        return Err(SettingsError(f"{path}: {reason}; correct the line of that key, or add it, and start again"))
    return Ok(_build_settings(checked, values))


def _build_settings(checked: dict[str, Any], values: dict[str, str]) -> Settings:
    """Build the settings from the validated values and, for keys that the schema does not list, from the raw values."""
    first_port, last_port = checked["internal_port_range"]
    return Settings(
        name=checked["node_name"],
        ip_address=checked["ip_address"],
        zone=checked["zone"],
        region=checked["region"],
        listen={purpose: text for purpose, text in _with_prefix(values, "listen.").items() if text},
        internal_address=f"{checked['ip_address']}:{first_port}",
        call_address=f"{checked['ip_address']}:{last_port}" if last_port > first_port else "",
        seeds=checked["seeds"],
        first_start=checked["first_start"],
        counts_for_quorum=checked["counts_for_quorum"],
        machines_tolerated=checked["fault_tolerance.machines"],
        zones_tolerated=checked["fault_tolerance.zones"],
        regions_tolerated=checked["fault_tolerance.regions"],
        heartbeat_s=checked["heartbeat_interval_ms"],
        data_directory=checked["data_directory"],
        file_descriptors=checked["limits.file_descriptors"],
        memory_mb=checked["limits.memory_mb"],
        regions_of_zones=_with_prefix(values, "zones."),
        bounds=_build_bounds(checked),
    )


def _build_bounds(checked: dict[str, Any]) -> Bounds:
    return Bounds(**{field: checked[f"bounds.{key}"] for key, (field, _) in BOUND_KEYS.items() if f"bounds.{key}" in checked})


def _with_prefix(values: dict[str, str], prefix: str) -> dict[str, str]:
    return {key.removeprefix(prefix): text for key, text in values.items() if key.startswith(prefix)}


def parse_settings(text: bytes, path: str = "settings") -> Result[Settings, SettingsError]:
    """Parse and validate the text of a settings file.

    Args:
        text: The content, in UTF-8.
        path: The file name for error messages.
    """
    properties = Properties()
    try:
        properties.load(text, "utf-8")
    except (ParseError, UnicodeError) as error:
        return Err(SettingsError(f"{path}: {error}; write one KEY=VALUE per line"))
    return _validate({key: pair.data for key, pair in properties.items()}, path)


def settings_path() -> str:
    """Return the path that the environment variable MULLEINHATCH_NODE_FILE names, empty without one."""
    return os.environ.get(FILE_VARIABLE, "")


def read_settings(path: str | None = None) -> Result[Settings, SettingsError]:
    """Read and validate the file at `path`, or the one named by the environment variable MULLEINHATCH_NODE_FILE."""
    path = path or settings_path()
    if not path:
        return Err(SettingsError(f"no settings file; set {FILE_VARIABLE} to its path"))
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        return Err(SettingsError(f"{path}: {error.strerror}; name a file that can be read in {FILE_VARIABLE}"))
    return parse_settings(text, path)
