"""Imports only those modules of circuits that the HTTP server uses.

The `__init__` of circuits.web imports controllers, dispatchers for XML-RPC and WebSockets, sessions and an HTTP client, which
takes a sixth of the processor time of a plane's start. This module registers the package without running its `__init__` and
then imports the required modules one by one as usual.
"""

from __future__ import annotations

import importlib.util
import sys

# circuits uses pkg_resources to declare its namespace if that is installed, and works without it. Importing it would cost 7 MB
# and a third of the processor time of a start, and nothing here needs it.
sys.modules.setdefault("pkg_resources", None)  # type: ignore[arg-type]


def register_package(name: str) -> None:
    """Make a package importable without running its `__init__`, unless it is already imported.

    Raises:
        ModuleNotFoundError: The package does not exist.
    """
    if name in sys.modules:
        return
    spec = importlib.util.find_spec(name)
    if spec is None:
        raise ModuleNotFoundError(f"No module named {name!r}", name=name)
    sys.modules[name] = importlib.util.module_from_spec(spec)


register_package("circuits.web")

from circuits import BaseComponent, Component, handler  # noqa: E402
from circuits.core.pollers import BasePoller, _read, _write  # noqa: E402
from circuits.net.events import close as close_event  # noqa: E402
from circuits.net.events import write as send_event  # noqa: E402
from circuits.net.sockets import TCPServer  # noqa: E402
from circuits.web import events as web_events  # noqa: E402
from circuits.web.http import HTTP  # noqa: E402
from circuits.web.wrappers import Request, Response  # noqa: E402

read_event, write_event = _read, _write

__all__ = [
    "HTTP",
    "BaseComponent",
    "BasePoller",
    "Component",
    "Request",
    "Response",
    "TCPServer",
    "close_event",
    "handler",
    "read_event",
    "send_event",
    "web_events",
    "write_event",
]
