"""Web servers of circuits.web, driven by the process's asyncio loop.

circuits brings a loop of its own that wakes ten times a second; here its events are dispatched whenever the asyncio
loop reports
one of its sockets as ready, in the same thread as everything else.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

# circuits declares its namespace by pkg_resources where that is installed, and does without elsewhere: 7 MB and a third of the
# processor time of a start, for nothing that is used here.
sys.modules.setdefault("pkg_resources", None)  # type: ignore[arg-type]

from circuits import BaseComponent, Component, handler  # noqa: E402
from circuits.core.pollers import BasePoller, _read, _write  # noqa: E402
from circuits.net.sockets import TCPServer  # noqa: E402
from circuits.web import events as web_events  # noqa: E402
from circuits.web.http import HTTP  # noqa: E402
from circuits.web.wrappers import Request, Response  # noqa: E402

LOG = logging.getLogger(__name__)
JSON_TYPE = "application/json"
BINARY_TYPE = "application/octet-stream"
MAX_DISPATCHES = 1000  # dispatches in one go: an endless chain of events would keep the loop from everything else


@dataclass(frozen=True)
class HttpServerRequest:
    """One request as a handler sees it: `headers` by lower-case name, `body` whole."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class HttpServerResponse:
    """Status, body and further headers of an answer."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = field(default_factory=dict)

    @staticmethod
    def of_json(status: int, value: Any, headers: Mapping[str, str] | None = None) -> HttpServerResponse:
        return HttpServerResponse(int(status), json.dumps(value, separators=(",", ":")).encode(), headers=headers or {})


RequestHandler = Callable[[HttpServerRequest], Awaitable[HttpServerResponse]]


class AsyncioPoller(BasePoller):
    """Reports readiness of circuits' sockets from an asyncio loop in place of a system call of its own."""

    channel = "asyncio"

    def __init__(self, loop: asyncio.AbstractEventLoop, dispatch: Callable[[], None]) -> None:
        super().__init__(channel=self.channel)
        self._loop, self._dispatch = loop, dispatch
        self._descriptors: dict[Any, int] = {}

    def _generate_events(self, event: Any) -> None:
        event.reduce_time_left(0)

    def _descriptor(self, source: Any) -> int:
        descriptor = source if isinstance(source, int) else source.fileno()
        if descriptor >= 0:
            self._descriptors[source] = descriptor
        return self._descriptors.get(source, -1)

    def _ready(self, kind: type, source: Any) -> None:
        self.fire(kind(source), self.getTarget(source))
        self._dispatch()

    def addReader(self, source: Any, fd: Any) -> None:
        super().addReader(source, fd)
        self._loop.add_reader(self._descriptor(fd), self._ready, _read, fd)

    def addWriter(self, source: Any, fd: Any) -> None:
        super().addWriter(source, fd)
        self._loop.add_writer(self._descriptor(fd), self._ready, _write, fd)

    def removeReader(self, fd: Any) -> None:
        super().removeReader(fd)
        self._loop.remove_reader(self._descriptor(fd))

    def removeWriter(self, fd: Any) -> None:
        super().removeWriter(fd)
        self._loop.remove_writer(self._descriptor(fd))

    def discard(self, fd: Any) -> None:
        super().discard(fd)
        descriptor = self._descriptor(fd)
        if descriptor >= 0:
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)
        self._descriptors.pop(fd, None)

    def getTarget(self, fd: Any) -> Any:
        return self._targets.get(fd, "*")


class _WebListener(BaseComponent):
    """One listening address: TCP server, HTTP parser and the handler of its requests, on a channel of its own."""

    def __init__(self, channel: str, host: str, port: int, answer: RequestHandler, server: HttpServer) -> None:
        super().__init__(channel=channel)
        self.server = TCPServer((host, port), channel=channel).register(self)
        self.http = HTTP(self, channel=channel).register(self)
        _RequestDispatcher(channel, answer, server).register(self)

    secure = False

    @property
    def host(self) -> str:
        return self.server.host

    @property
    def port(self) -> int:
        return self.server.port


class _RequestDispatcher(Component):
    """Hands each parsed request to a coroutine and sends what that returns."""

    def __init__(self, channel: str, answer: RequestHandler, server: HttpServer) -> None:
        super().__init__(channel=channel)
        self._answer, self._server = answer, server

    @handler("request", priority=1.0)
    def _on_request(self, event: Any, request: Request, response: Response) -> None:
        event.value.promise = True
        event.success = False
        event.stop()
        parsed = HttpServerRequest(
            request.method, request.path, {name.lower(): text for name, text in request.headers.items()}, request.body.read()
        )
        self._server.spawn(self._respond(parsed, response))

    @handler("httperror", priority=1.0)
    def _on_error(self, event: Any, request: Request, response: Response, code: int | None = None, **_: Any) -> None:
        """What could not be read as a request: these interfaces answer JSON, not pages."""
        event.stop()
        answer = HttpServerResponse.of_json(
            code or 500, {"error": "the request could not be read; send HTTP/1.1 with a valid head"}
        )
        self._send(response, answer)

    @handler("redirect", priority=1.0)
    def _on_redirect(self, event: Any, request: Request, response: Response, urls: Any = None, code: int | None = None) -> None:
        event.stop()
        self._send(response, HttpServerResponse.of_json(400, {"error": "the path is not in its normal form; encode it"}))

    async def _respond(self, parsed: HttpServerRequest, response: Response) -> None:
        try:
            answer = await self._answer(parsed)
        except Exception:
            LOG.exception("a request handler failed", extra={"path": parsed.path})
            answer = HttpServerResponse.of_json(500, {"error": "an internal error; see the log of this process"})
        self._send(response, answer)
        self._server.dispatch()

    def _send(self, response: Response, answer: HttpServerResponse) -> None:
        response.status = int(answer.status)
        response.headers["Content-Type"] = answer.content_type
        for name, text in answer.headers.items():
            response.headers[name] = text
        response.body = answer.body
        self.fire(web_events.response(response))


class HttpServer:
    """All circuits.web servers of a process."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._root = BaseComponent()
        self._dispatching = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners = 0
        AsyncioPoller(loop, self.dispatch).register(self._root)
        self.dispatch()

    def listen(self, address: str, answer: RequestHandler) -> None:
        """Serves `answer` at "HOST:PORT". OSError where the address can't be bound."""
        host, _, port = address.rpartition(":")
        self._listeners += 1
        _WebListener(f"web{self._listeners}", host, int(port), answer, self).register(self._root)
        self.dispatch()

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def dispatch(self) -> None:
        """Dispatches queued circuits events, and steps its tasks (an accept is one), until none is left."""
        if self._dispatching:
            return
        self._dispatching = True
        try:
            for _ in range(MAX_DISPATCHES):
                if not len(self._root) and not self._root._tasks:
                    break
                self._root.tick(0)
        finally:
            self._dispatching = False
