"""Where an instance is placed: all it is told at start is read, checked and given defaults here alone."""

from __future__ import annotations

import ipaddress
import json
import logging
import math
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from mulleinhatch.admission.interface import Deployment
from mulleinhatch.instance.deployment_settings import flatten_settings, parse_deployment
from mulleinhatch.instance.retry_storms.bounds import StormBounds

LOG = logging.getLogger(__name__)
Address = tuple[str, int]


class InvalidSettingsError(ValueError):
    """What was told at start does not do; the text names the faulty key."""


class InstanceSettings(NamedTuple):
    name: str
    listen: Address
    interpreter: Address
    directory: Address | None
    dependency: Address | None  # that runs call, and the instance for them
    seed: int
    stop_after: float  # seconds from the notice to leave to the stop
    descriptors: int
    op_types: list[str]
    tenants: list[str]
    deployment: Deployment
    storms: StormBounds | None = StormBounds()  # None: no storm books are kept
    traces: Any = None  # `TraceBounds` where traces are written
    fleet: Any = None  # `FleetBounds` where instances speak with each other
    spread: Any = None  # `SpreadBounds` where load is spread over them
    upkeep: Any = None  # `UpkeepBounds` where they settle who goes out for work


def address(key: str, text: object) -> Address:
    """An IPv4 address with its port: there is no DNS, and a name would be looked up, and waited for, at each report.

    >>> address("listen", "127.0.0.4:8080")
    ('127.0.0.4', 8080)
    >>> address("vm", "127.0.0.4")
    Traceback (most recent call last):
    mulleinhatch.instance.runtime.instance_settings.InvalidSettingsError: vm: '127.0.0.4' is no host:port of IPv4 numbers
    """
    host, _, port = str(text).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        host = ""
    if not host or not port.isascii() or not port.isdigit() or len(port) > 5 or int(port) > 65535:
        raise InvalidSettingsError(f"{key}: {text!r} is no host:port of IPv4 numbers")
    return host, int(port)


def number(key: str, value: object, least: float) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < math.inf:
        raise InvalidSettingsError(f"{key}: {value!r} is no number of {least:g} or more")
    return value


def seed(key: str, text: object) -> int:
    try:
        return int(str(text), 16)
    except ValueError:
        raise InvalidSettingsError(f"{key}: {text!r} is no hexadecimal number") from None


def names(key: str, items: object) -> list[str]:
    if not isinstance(items, list) or not all(isinstance(item, dict) and "name" in item for item in items):
        raise InvalidSettingsError(f"{key}: a list of objects with a name each is wanted")
    found = [str(item["name"]) for item in items]
    if len(set(found)) < len(found):
        raise InvalidSettingsError(f"{key}: a name comes twice")
    return found


def facts(settings: Any) -> Deployment:
    if not isinstance(settings, dict):
        raise InvalidSettingsError("settings: an object is wanted")
    try:
        return parse_deployment(flatten_settings(settings))
    except ValueError as error:
        raise InvalidSettingsError(f"settings.{error}") from None


def load_settings(environ: Mapping[str, str], path: str | None = None, operator: str | None = None) -> InstanceSettings:
    path = path or environ.get("NODE_CONFIG")
    if not path:
        raise InvalidSettingsError("NODE_CONFIG: not set")
    try:
        told = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise InvalidSettingsError(f"NODE_CONFIG: {path} can't be read: {error}") from None
    except RecursionError:
        raise InvalidSettingsError(f"NODE_CONFIG: {path} can't be read: nested too deep") from None
    if not isinstance(told, dict):
        raise InvalidSettingsError("NODE_CONFIG: an object is wanted")
    for key in ("name", "listen"):
        text = environ.get("NODE_" + key.upper())
        if text and text != told.setdefault(key, text):
            LOG.warning("NODE_%s goes before the file", key.upper(), extra={"fields": {key: told[key]}})
            told[key] = text
    return parse_settings(told)._replace(**operated(operator))


def operated(path: str | None) -> dict[str, Any]:
    """What the operator's file says, for the fields of a `InstanceSettings`; its libraries are loaded for it alone."""
    if not path:
        return {}
    try:
        from mulleinhatch.instance.runtime import operator_file as operator
    except ImportError as error:
        raise InvalidSettingsError(f"{path}: {error.name} is not installed: pip install 'mulleinhatch[operator]'") from None
    try:
        return operator.read(path)._asdict()
    except operator.OperatorFileError as error:
        raise InvalidSettingsError(str(error)) from None


def parse_settings(told: dict[str, Any]) -> InstanceSettings:
    """
    >>> parse_settings({"name": "n1", "listen": "127.0.0.1:0", "seed": "a"})
    Traceback (most recent call last):
    mulleinhatch.instance.runtime.instance_settings.InvalidSettingsError: vm: missing
    """
    for key in ("name", "listen", "vm", "seed", "settings"):
        if key not in told:
            raise InvalidSettingsError(f"{key}: missing")
    settings, limits = told["settings"], told.get("limits", {})
    if not isinstance(limits, dict):
        raise InvalidSettingsError("limits: an object is wanted")
    deployment_facts = facts(settings)
    return InstanceSettings(
        name=str(told["name"]),
        listen=address("listen", told["listen"]),
        interpreter=address("vm", told["vm"]),
        directory=address("lookup", told["lookup"]) if "lookup" in told else None,
        dependency=address("db", told["db"]) if "db" in told else None,
        seed=seed("seed", told["seed"]),
        stop_after=number("stop_ms", told.get("stop_ms", 3000), 0) / 1000.0,
        descriptors=int(number("limits.sockets", limits.get("sockets", 1024), 16)),
        op_types=names("settings.classes", settings.get("classes", [])),
        tenants=names("settings.tenants", settings.get("tenants", [])),
        deployment=deployment_facts,
    )
