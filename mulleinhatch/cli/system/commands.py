"""The commands: check settings, read and send a configuration, look at members, backends, placement and queues, a
demonstration."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from result import Err

from mulleinhatch.cli.system.client import HttpResult, call
from mulleinhatch.configuration.document import read_json, read_whole
from mulleinhatch.process.settings import read_settings


class CommandError(SystemExit):
    """Ends the command with the message on standard error."""

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
    if result.status != 200:
        raise CommandError(
            f"{address}: status {result.status}; name a control plane's control address or a data plane's ready address"
        )
    return result.value()


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}; name a file that can be read") from None


class Console:
    """Commands for the operators of a running system."""

    def check(self, settings: str) -> str:
        """Reads a settings file as an instance would, and names the faulty key."""
        read = read_settings(settings)
        if isinstance(read, Err):
            raise CommandError(str(read.err_value))
        return f"{settings}: settings of {read.ok_value.name} are fine"

    def verify(self, file: str) -> str:
        """Checks a whole configuration without sending it."""
        read = read_json(_read_file(file))
        checked = read_whole(read.ok_value, -1) if not isinstance(read, Err) else read
        if isinstance(checked, Err):
            raise CommandError(f"{file}: {checked.err_value}")
        return f"{file}: version {checked.ok_value.version} is valid"

    def read(self, control: str) -> str:
        """The configuration in force, as JSON."""
        result = _call(control, "GET", "/configuration")
        if result.status != 200:
            raise CommandError(f"{control}: {result.body.decode(errors='replace')}")
        return result.body.decode()

    def send(self, control: str, file: str, base: int, patch: bool = False) -> str:
        """Sends a configuration, or a patch of it, that builds on version `base`."""
        result = _call(
            control,
            "PATCH" if patch else "PUT",
            "/configuration",
            _read_file(file),
            {"If-Match": str(base), "Content-Type": "application/json"},
        )
        if result.status != 200:
            raise CommandError(f"{control}: {result.status} {result.body.decode(errors='replace')}")
        return result.body.decode()

    def members(self, control: str) -> dict[str, Any]:
        """The view in force, voters, chain, and who is heard."""
        status = _status(control)
        return {
            key: status[key] for key in ("name", "epoch", "chain", "voters", "authoritative", "committed", "version", "peers")
        }

    def stubs(self, control: str) -> dict[str, Any]:
        """The list of backends with what each holds."""
        return self.backends(control)

    def backends(self, control: str) -> dict[str, Any]:
        """The list of backends with what each holds."""
        return _status(control)["stubs"]

    def placement(self, control: str) -> dict[str, Any]:
        """Who holds the orders, and the last of them with why they were given."""
        status = _status(control)
        return {key: status[key] for key in ("holder", "fence_token", "orders")}

    def queues(self, ready: str) -> list[dict[str, Any]]:
        """What a data plane holds and runs for each model, with limit and mu."""
        return _status(ready)["groups"]

    def why(self, ready: str, request: str) -> list[dict[str, Any]]:
        """Why a request waited or was refused, by its Request-Id."""
        result = [rejection for rejection in _status(ready)["refused"] if rejection["request_id"] == request]
        if not result:
            raise CommandError(f"{request}: not among the latest that were refused here; see the logs for its id")
        return result

    def demo(self, seconds: float = 20.0) -> None:
        """Starts a whole system on loopback with stand-in backends and clients, and shows it at work."""
        from mulleinhatch.cli.system.demo import run_demo

        run_demo(seconds)
