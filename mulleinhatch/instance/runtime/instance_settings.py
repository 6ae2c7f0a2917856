"""The settings of a service instance: reads, validates and completes them with defaults."""

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
    """Raised for invalid settings; the message names the key."""


class InstanceSettings(NamedTuple):
    """Settings of a service instance. The field names appear in the log of a reload.

    Attributes:
        name: Name of the instance.
        listen: Address for clients.
        interpreter: Address of the interpreter.
        directory: Address of the directory; None for none.
        dependency: Address of the dependency that runs call through the instance; None for none.
        seed: Seed of all random choices.
        stop_after: Seconds from the shutdown notice to the stop.
        descriptors: Maximum number of file descriptors.
        op_types: Names of the request types.
        tenants: Names of the tenants.
        deployment: Settings of the admission controller.
        storms: Settings of retry storm detection; None if it is off.
        traces: `TraceBounds`; None if no traces are written.
        fleet: `FleetBounds`; None without gossip.
        spread: `LoadBalancingBounds`; None without load balancing.
        upkeep: `MaintenanceSettings`; None without coordinated maintenance.
    """

    name: str
    listen: Address
    interpreter: Address
    directory: Address | None
    dependency: Address | None
    seed: int
    stop_after: float
    descriptors: int
    op_types: list[str]
    tenants: list[str]
    deployment: Deployment
    storms: StormBounds | None = StormBounds()
    traces: Any = None
    fleet: Any = None
    spread: Any = None
    upkeep: Any = None


def parse_address(key: str, text: object) -> Address:
    """Parse an IPv4 address with a port. Host names are rejected: there is no DNS, and a lookup would delay each report.

    Raises:
        InvalidSettingsError: The text is no such address.

    >>> parse_address("listen", "127.0.0.4:8080")
    ('127.0.0.4', 8080)
    >>> parse_address("vm", "127.0.0.4")
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


def check_number(key: str, value: object, least: float) -> float:
    """Return the value if it is a number of at least `least`.

    Raises:
        InvalidSettingsError: It is no number, infinite or too small.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < math.inf:
        raise InvalidSettingsError(f"{key}: {value!r} is no number of {least:g} or more")
    return value


def parse_seed(key: str, text: object) -> int:
    """Parse a hexadecimal number.

    Raises:
        InvalidSettingsError: The text is no hexadecimal number.
    """
    try:
        return int(str(text), 16)
    except ValueError:
        raise InvalidSettingsError(f"{key}: {text!r} is no hexadecimal number") from None


def parse_names(key: str, items: object) -> list[str]:
    """Return the names of a list of objects.

    Raises:
        InvalidSettingsError: An object has no name, or a name occurs twice.
    """
    if not isinstance(items, list) or not all(isinstance(item, dict) and "name" in item for item in items):
        raise InvalidSettingsError(f"{key}: must be a list of objects, each with a name")
    names = [str(item["name"]) for item in items]
    if len(set(names)) < len(names):
        raise InvalidSettingsError(f"{key}: a name occurs twice")
    return names


def parse_deployment_settings(settings: Any) -> Deployment:
    """Parse the settings of the admission controller.

    Raises:
        InvalidSettingsError: They are invalid.
    """
    if not isinstance(settings, dict):
        raise InvalidSettingsError("settings: must be an object")
    try:
        return parse_deployment(flatten_settings(settings))
    except ValueError as error:
        raise InvalidSettingsError(f"settings.{error}") from None


def load_settings(environ: Mapping[str, str], path: str | None = None, operator: str | None = None) -> InstanceSettings:
    """Read and validate the settings of this instance.

    Args:
        environ: Environment variables; NODE_NAME and NODE_LISTEN override the file.
        path: Settings file; None for the one that NODE_CONFIG names.
        operator: Operator file; None for none.

    Raises:
        InvalidSettingsError: A file is unreadable or a setting is invalid.
    """
    path = path or environ.get("NODE_CONFIG")
    if not path:
        raise InvalidSettingsError("NODE_CONFIG: not set")
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise InvalidSettingsError(f"NODE_CONFIG: {path} can't be read: {error}") from None
    except RecursionError:
        raise InvalidSettingsError(f"NODE_CONFIG: {path} can't be read: nested too deep") from None
    if not isinstance(document, dict):
        raise InvalidSettingsError("NODE_CONFIG: must be an object")
    for key in ("name", "listen"):
        text = environ.get("NODE_" + key.upper())
        if text and text != document.setdefault(key, text):
            LOG.warning("NODE_%s overrides the settings file", key.upper(), extra={"fields": {key: document[key]}})
            document[key] = text
    return parse_settings(document)._replace(**read_operator_settings(operator))


def read_operator_settings(path: str | None) -> dict[str, Any]:
    """Return the fields of `InstanceSettings` that the operator file sets. Its libraries are loaded only if there is one."""
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


def parse_settings(document: dict[str, Any]) -> InstanceSettings:
    """Validate the settings in a parsed settings file.

    Raises:
        InvalidSettingsError: A setting is missing or invalid.

    >>> parse_settings({"name": "n1", "listen": "127.0.0.1:0", "seed": "a"})
    Traceback (most recent call last):
    mulleinhatch.instance.runtime.instance_settings.InvalidSettingsError: vm: missing
    """
    for key in ("name", "listen", "vm", "seed", "settings"):
        if key not in document:
            raise InvalidSettingsError(f"{key}: missing")
    settings, limits = document["settings"], document.get("limits", {})
    if not isinstance(limits, dict):
        raise InvalidSettingsError("limits: must be an object")
    deployment = parse_deployment_settings(settings)
    return InstanceSettings(
        name=str(document["name"]),
        listen=parse_address("listen", document["listen"]),
        interpreter=parse_address("vm", document["vm"]),
        directory=parse_address("lookup", document["lookup"]) if "lookup" in document else None,
        dependency=parse_address("db", document["db"]) if "db" in document else None,
        seed=parse_seed("seed", document["seed"]),
        stop_after=check_number("stop_ms", document.get("stop_ms", 3000), 0) / 1000.0,
        descriptors=int(check_number("limits.sockets", limits.get("sockets", 1024), 16)),
        op_types=parse_names("settings.classes", settings.get("classes", [])),
        tenants=parse_names("settings.tenants", settings.get("tenants", [])),
        deployment=deployment,
    )
