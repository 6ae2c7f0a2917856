"""Refuse requests whose body is too large with 413, and forget what arrived of a request whose connection is cut."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from mulleinhatch.networking.circuits_import import HTTP, Component, close_event, handler, send_event

FRAMING_RESERVE_BYTES = 1 << 16  # for the head of a request and the framing of its chunks
DISCARD_S = 2.0  # the rest of a refused body is read and dropped for this long: a reset could overtake the response
BEFORE_PARSER, AFTER_PARSER = 1.0, -1.0  # priorities of handlers


class RequestBodyLimit(Component):
    """Watches the connections of one listening address.

    Args:
        channel: The channel of its server and parser.
        parser: The component that parses its requests.
        max_body_bytes: The largest body that is accepted.
        call_later: Calls a function after a delay in seconds.
    """

    def __init__(self, channel: str, parser: HTTP, max_body_bytes: int, call_later: Callable[..., Any]) -> None:
        super().__init__(channel=channel)
        self._parser, self._max_body_bytes, self._call_later = parser, max_body_bytes, call_later
        self._received: dict[Any, int] = {}  # bytes of the request that is arriving, by socket
        self._refused: set[Any] = set()

    @handler("read", priority=BEFORE_PARSER)
    def _before_parser(self, event: Any, sock: Any, data: bytes) -> None:
        if sock in self._refused:
            event.stop()
            return
        self._received[sock] = self._received.get(sock, 0) + len(data)
        if self._received[sock] > self._max_body_bytes + FRAMING_RESERVE_BYTES:
            event.stop()
            self._refuse(sock)

    @handler("read", priority=AFTER_PARSER)
    def _after_parser(self, sock: Any, data: bytes) -> None:
        if sock not in self._parser._buffers or sock not in self._parser._clients:
            return  # no request whose head is complete is arriving
        length = self._parser._clients[sock][0].headers.get("Content-Length", "")
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._refuse(sock)

    @handler("request", priority=BEFORE_PARSER + 1)
    def _on_request(self, request: Any, response: Any) -> None:
        self._received.pop(request.sock, None)

    @handler("disconnect")
    def _on_disconnect(self, sock: Any, *_: Any) -> None:
        self._forget(sock)
        self._refused.discard(sock)

    def _refuse(self, sock: Any) -> None:
        self._forget(sock)
        self._refused.add(sock)
        self.fire(send_event(sock, _too_large(self._max_body_bytes)))
        self._call_later(DISCARD_S, self._close, sock)

    def _close(self, sock: Any) -> None:
        if sock in self._refused:
            self.fire(close_event(sock))

    def _forget(self, sock: Any) -> None:
        self._received.pop(sock, None)
        self._parser._buffers.pop(sock, None)
        self._parser._clients.pop(sock, None)


def _too_large(max_body_bytes: int) -> bytes:
    error = f"the body is larger than {max_body_bytes} bytes; send the change in parts"
    body = json.dumps({"error": error}).encode()
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    head = f"HTTP/1.1 {status.value} Content Too Large\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body
