"""Send internal messages to other control-plane nodes."""

from __future__ import annotations

from typing import TypeVar

import betterproto

from mulleinhatch.messages.parsing import UnreadableMessageError, parse_message
from mulleinhatch.networking.http_client import HttpCallError, HttpClient

CALL_TIMEOUT_S = 0.7

Response = TypeVar("Response", bound=betterproto.Message)


class InternalClient:
    """Calls the internal API of other control-plane nodes: a protobuf message by POST to `/internal/PATH`."""

    def __init__(self, http_client: HttpClient) -> None:
        self._http_client = http_client

    async def call(
        self,
        address: str,
        path: str,
        message: betterproto.Message,
        response_type: type[Response],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Response:
        """Send a message and return the parsed response.

        Raises:
            HttpCallError: No readable response with status 200 arrived in time.
        """
        response = await self._http_client.request(address, "POST", f"/internal/{path}", bytes(message), timeout_s)
        if response.status != 200:
            raise HttpCallError(address, f"status {response.status}")
        try:
            return parse_message(response_type, response.body)
        except UnreadableMessageError as error:
            raise HttpCallError(address, str(error)) from error

    def forget(self, address: str) -> None:
        """Close idle connections to an address that failed."""
        self._http_client.forget(address)
