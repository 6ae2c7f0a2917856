"""Define the commands of the command line. Their names and parameters are part of the operators' interface."""

from __future__ import annotations

import sys
from http import HTTPStatus
from pathlib import Path
from typing import Any

from result import Err

from mulleinhatch.cli.system.client import HttpResult, call
from mulleinhatch.configuration.document import read_complete, read_json
from mulleinhatch.process.settings import read_settings


class CommandError(SystemExit):
    """Ends the process with status 1 and a message on standard error."""

    def __init__(self, message: str) -> None:
        print(message, file=sys.stderr)
        super().__init__(1)


def _call(address: str, method: str, path: str, body: bytes | None = None, headers: dict[str, str] | None = None) -> HttpResult:
    result = call(address, method, path, body, headers)
    if isinstance(result, Err):
        raise CommandError(result.err_value)
    return result.ok_value


def _status(address: str) -> dict[str, Any]:
    result = _call(address, "GET", "/status")
    if result.status != HTTPStatus.OK:
        raise CommandError(
            f"{address}: status {result.status}; name a control plane's control address or a data plane's ready address"
        )
    return result.value()


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}; name a readable file") from None


class Console:
    """The commands, one per public method.

    CONTROL is the control address of a control-plane node, READY the ready address of a data plane, both "HOST:PORT".
    """

    def check(self, settings: str) -> str:
        """Validate a settings file as a process does at its start, and name the invalid key."""
        read = read_settings(settings)
        if isinstance(read, Err):
            raise CommandError(str(read.err_value))
        return f"{settings}: settings of {read.ok_value.name} are valid"

    def verify(self, file: str) -> str:
        """Validate a complete configuration without sending it."""
        read = read_json(_read_file(file))
        checked = read_complete(read.ok_value, -1) if not isinstance(read, Err) else read
        if isinstance(checked, Err):
            raise CommandError(f"{file}: {checked.err_value}")
        return f"{file}: version {checked.ok_value.version} is valid"

    def read(self, control: str) -> str:
        """Print the configuration in force, as JSON."""
        result = _call(control, "GET", "/configuration")
        if result.status != HTTPStatus.OK:
            raise CommandError(f"{control}: {result.body.decode(errors='replace')}")
        return result.body.decode()

    def send(self, control: str, file: str, base: int, patch: bool = False) -> str:
        """Send a configuration, or a patch, based on version `base`."""
        result = _call(
            control,
            "PATCH" if patch else "PUT",
            "/configuration",
            _read_file(file),
            {"If-Match": str(base), "Content-Type": "application/json"},
        )
        if result.status != HTTPStatus.OK:
            raise CommandError(f"{control}: {result.status} {result.body.decode(errors='replace')}")
        return result.body.decode()

    def members(self, control: str) -> dict[str, Any]:
        """Print the view in force: voters, chain, and the time of each peer's last answer."""
        status = _status(control)
        return {
            key: status[key] for key in ("name", "epoch", "chain", "voters", "authoritative", "committed", "version", "peers")
        }

    def stubs(self, control: str) -> dict[str, Any]:
        """Print the list of backends with the models of each."""
        return self.backends(control)

    def backends(self, control: str) -> dict[str, Any]:
        """Print the list of backends with the models of each; `stubs` is the former name of this command."""
        return _status(control)["stubs"]

    def placement(self, control: str) -> dict[str, Any]:
        """Print the placement leader, its fencing token and its latest orders with their reasons."""
        status = _status(control)
        return {key: status[key] for key in ("holder", "fence_token", "orders")}

    def queues(self, ready: str) -> list[dict[str, Any]]:
        """Print the queued and running requests of a data plane for each model, with its limit and service rate."""
        return _status(ready)["groups"]

    def why(self, ready: str, request: str) -> list[dict[str, Any]]:
        """Print why a request waited or was rejected, by its Request-Id."""
        rejections = [rejection for rejection in _status(ready)["refused"] if rejection["request_id"] == request]
        if not rejections:
            raise CommandError(f"{request}: not among the latest rejected requests here; search the logs for its id")
        return rejections

    def quotas(self, address: str) -> dict[str, Any]:
        """Print tenants' quotas: those held by a data plane (READY) or owned by a control-plane node (CONTROL)."""
        return _status(address)["quotas"]

    def demo(self, seconds: float = 20.0) -> None:
        """Run a complete system on loopback with simulated backends and clients, and print its statistics."""
        from mulleinhatch.cli.system.demo import run_demo

        run_demo(seconds)
