"""Serves the calls of control-plane nodes that have not heard of this data plane for some time."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus

from mulleinhatch.messages.cluster import ContactRequest, ContactResponse
from mulleinhatch.messages.parsing import UnreadableMessageError, parse_message
from mulleinhatch.networking.http_server import BINARY_TYPE, HttpServer, HttpServerRequest, HttpServerResponse

LOG = logging.getLogger(__name__)
CONTACT_PATH = "/internal/contact"
MAX_BODY_BYTES = 65536


class ContactServer:
    """Answers the calls.

    Args:
        on_call: Handles one call.
    """

    def __init__(self, on_call: Callable[[ContactRequest], ContactResponse]) -> None:
        self._on_call = on_call

    def listen(self, server: HttpServer, address: str) -> str:
        """Listen at "HOST:PORT"; return it, or nothing if that is not possible: then this data plane is not called."""
        if not address:
            return ""
        try:
            server.listen(address, self.handle, MAX_BODY_BYTES)
        except OSError as error:
            LOG.warning("control planes can't call this data plane", extra={"address": address, "error": str(error)})
            return ""
        return address

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Answer one request."""
        if request.path != CONTACT_PATH or request.method != "POST":
            return HttpServerResponse.of_json(HTTPStatus.NOT_FOUND, {"error": f"no such resource; POST to {CONTACT_PATH}"})
        try:
            call = parse_message(ContactRequest, request.body)
        except UnreadableMessageError as error:
            return HttpServerResponse.of_json(HTTPStatus.BAD_REQUEST, {"error": str(error)})
        return HttpServerResponse(HTTPStatus.OK, bytes(self._on_call(call)), BINARY_TYPE)
