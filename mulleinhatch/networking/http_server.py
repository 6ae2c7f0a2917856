"""HTTP server: circuits.web on the asyncio loop of the process.

The event loop of circuits would wake ten times per second. Here the events of circuits are dispatched whenever the asyncio loop
reports one of its sockets as ready, in the same thread as everything else.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from mulleinhatch.networking.circuits_import import (
    HTTP,
    BaseComponent,
    BasePoller,
    Component,
    Request,
    Response,
    TCPServer,
    handler,
    read_event,
    web_events,
    write_event,
)
from mulleinhatch.networking.request_body_limit import RequestBodyLimit

LOG = logging.getLogger(__name__)
MAX_BODY_BYTES = 64 << 20  # 44,000 routes and 250,000 tenants are half of it
JSON_TYPE = "application/json"
BINARY_TYPE = "application/octet-stream"
MAX_DISPATCHES = 1000  # per call of `dispatch`: an endless chain of circuits events would block the asyncio loop


@dataclass(frozen=True)
class HttpServerRequest:
    """A complete request; `headers` has lower-case names."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class HttpServerResponse:
    """A complete response; `headers` excludes the content type and length."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = field(default_factory=dict)

    @staticmethod
    def of_json(status: int, value: Any, headers: Mapping[str, str] | None = None) -> HttpServerResponse:
        """Return a response whose body is the value as compact JSON."""
        return HttpServerResponse(int(status), json.dumps(value, separators=(",", ":")).encode(), headers=headers or {})


METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


def framing_error(method: str, headers: Mapping[str, str]) -> HttpServerResponse | None:
    """Return the response to a request whose head does not tell the end of its body, None if it does.

    The parser of circuits takes what has arrived for the body of such a request.

    Args:
        method: The HTTP method.
        headers: Header fields by lower-case name.

    >>> framing_error("PUT", {"content-length": "5"}), framing_error("GET", {})
    (None, None)
    >>> framing_error("PUT", {}).status, framing_error("PUT", {"transfer-encoding": "gzip"}).status
    (411, 400)
    """
    coding, length = headers.get("transfer-encoding"), headers.get("content-length")
    if coding is not None and coding != "chunked":
        error = "unsupported transfer coding; send `chunked`, in lower case, or a Content-Length"
        return HttpServerResponse.of_json(HTTPStatus.BAD_REQUEST, {"error": error})
    if length is not None and not length.isdigit():
        return HttpServerResponse.of_json(HTTPStatus.BAD_REQUEST, {"error": "invalid Content-Length; send a number of bytes"})
    if coding is None and length is None and method in METHODS_WITH_BODY:
        error = "the end of the body is not told; send a Content-Length or chunks"
        return HttpServerResponse.of_json(HTTPStatus.LENGTH_REQUIRED, {"error": error})
    return None


RequestHandler = Callable[[HttpServerRequest], Awaitable[HttpServerResponse]]


class AsyncioPoller(BasePoller):
    """Reports readiness of circuits' sockets from an asyncio loop instead of polling them.

    Args:
        loop: The asyncio loop.
        dispatch: Dispatches queued circuits events; called after each reported readiness.
    """

    channel = "asyncio"

    def __init__(self, loop: asyncio.AbstractEventLoop, dispatch: Callable[[], None]) -> None:
        super().__init__(channel=self.channel)
        self._loop, self._dispatch = loop, dispatch
        self._descriptors: dict[Any, int] = {}

    def _generate_events(self, event: Any) -> None:
        event.reduce_time_left(0)

    def _descriptor(self, source: Any) -> int:
        """Return the descriptor of a socket, even after it was closed, or -1 if it is unknown."""
        descriptor = source if isinstance(source, int) else source.fileno()
        if descriptor >= 0:
            self._descriptors[source] = descriptor
        return self._descriptors.get(source, -1)

    def _ready(self, kind: type, source: Any) -> None:
        self.fire(kind(source), self.getTarget(source))
        self._dispatch()

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802 (circuits calls it by this name)
        """Report when a socket is readable."""
        super().addReader(source, fd)
        self._loop.add_reader(self._descriptor(fd), self._ready, read_event, fd)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802 (circuits calls it by this name)
        """Report when a socket is writable."""
        super().addWriter(source, fd)
        self._loop.add_writer(self._descriptor(fd), self._ready, write_event, fd)

    def removeReader(self, fd: Any) -> None:  # noqa: N802 (circuits calls it by this name)
        """Stop reporting that a socket is readable."""
        super().removeReader(fd)
        self._loop.remove_reader(self._descriptor(fd))

    def removeWriter(self, fd: Any) -> None:  # noqa: N802 (circuits calls it by this name)
        """Stop reporting that a socket is writable."""
        super().removeWriter(fd)
        self._loop.remove_writer(self._descriptor(fd))

    def discard(self, fd: Any) -> None:
        """Stop reporting on a socket."""
        super().discard(fd)
        descriptor = self._descriptor(fd)
        if descriptor >= 0:
            self._loop.remove_reader(descriptor)
            self._loop.remove_writer(descriptor)
        self._descriptors.pop(fd, None)

    def getTarget(self, fd: Any) -> Any:  # noqa: N802 (circuits calls it by this name)
        """Return the channel of a socket's component."""
        return self._targets.get(fd, "*")


class _WebListener(BaseComponent):
    """One listening address: a TCP server, an HTTP parser and a request dispatcher on their own channel."""

    def __init__(
        self, channel: str, host: str, port: int, handle: RequestHandler, server: HttpServer, max_body_bytes: int
    ) -> None:
        super().__init__(channel=channel)
        self.server = TCPServer((host, port), channel=channel).register(self)
        self.http = HTTP(self, channel=channel).register(self)
        RequestBodyLimit(channel, self.http, max_body_bytes, server.call_later).register(self)
        _RequestDispatcher(channel, handle, server).register(self)

    secure = False  # read by circuits.web's HTTP component, like `host` and `port`

    @property
    def host(self) -> str:
        """The address that the server listens at."""
        return self.server.host

    @property
    def port(self) -> int:
        """The port that the server listens at."""
        return self.server.port


class _RequestDispatcher(Component):
    """Passes each parsed request to a handler and sends the response that it returns."""

    def __init__(self, channel: str, handle: RequestHandler, server: HttpServer) -> None:
        super().__init__(channel=channel)
        self._handle, self._server = handle, server

    @handler("request", priority=1.0)
    def _on_request(self, event: Any, request: Request, response: Response) -> None:
        event.value.promise = True  # the response is sent later, so circuits must not send the value of this event
        event.success = False
        event.stop()
        headers = {name.lower(): text for name, text in request.headers.items()}
        error = framing_error(request.method, headers)
        if error is not None:
            response.close = True  # where the next request begins is unknown
            self._send(response, error)
            return
        parsed = HttpServerRequest(request.method, request.path, headers, request.body.read())
        self._server.spawn(self._respond(parsed, response))

    @handler("httperror", priority=1.0)
    def _on_error(self, event: Any, request: Request, response: Response, code: int | None = None, **_: Any) -> None:
        """Respond to malformed requests with JSON instead of circuits' HTML page."""
        event.stop()
        result = HttpServerResponse.of_json(
            code or HTTPStatus.INTERNAL_SERVER_ERROR,
            {"error": "the request could not be read; send HTTP/1.1 with a valid head"},
        )
        self._send(response, result)

    @handler("redirect", priority=1.0)
    def _on_redirect(self, event: Any, request: Request, response: Response, urls: Any = None, code: int | None = None) -> None:
        event.stop()
        self._send(
            response,
            HttpServerResponse.of_json(HTTPStatus.BAD_REQUEST, {"error": "the path is not in its normal form; encode it"}),
        )

    async def _respond(self, parsed: HttpServerRequest, response: Response) -> None:
        try:
            result = await self._handle(parsed)
        except Exception:
            LOG.exception("a request handler failed; the caller got a 500", extra={"path": parsed.path})
            result = HttpServerResponse.of_json(
                HTTPStatus.INTERNAL_SERVER_ERROR, {"error": "an internal error; see the log of this process"}
            )
        self._send(response, result)
        self._server.dispatch()

    def _send(self, response: Response, result: HttpServerResponse) -> None:
        response.status = int(result.status)
        response.headers["Content-Type"] = result.content_type
        for name, text in result.headers.items():
            response.headers[name] = text
        response.body = result.body
        self.fire(web_events.response(response))


class HttpServer:
    """All circuits.web servers of a process, and the tasks that handle their requests.

    Args:
        loop: The asyncio loop of the process.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._root = loop, BaseComponent()
        self._dispatching = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners = 0
        AsyncioPoller(loop, self.dispatch).register(self._root)
        self.dispatch()

    def listen(self, address: str, handle: RequestHandler, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Serve requests to "HOST:PORT" with a handler.

        Args:
            address: The address.
            handle: Answers the requests.
            max_body_bytes: A request with a larger body gets 413, and does not reach the handler.

        Raises:
            OSError: The address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        self._listeners += 1
        _WebListener(f"web{self._listeners}", host, int(port), handle, self, max_body_bytes).register(self._root)
        self.dispatch()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task and hold a reference to it, because the loop holds only a weak one."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def call_later(self, delay_s: float, function: Callable[..., None], *arguments: Any) -> None:
        """Call a function after a delay, and dispatch the events that it fires."""
        self._loop.call_later(delay_s, self._call, function, *arguments)

    def _call(self, function: Callable[..., None], *arguments: Any) -> None:
        function(*arguments)
        self.dispatch()

    def dispatch(self) -> None:
        """Dispatch queued circuits events and step its tasks, such as accepting a connection, until none is left."""
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
