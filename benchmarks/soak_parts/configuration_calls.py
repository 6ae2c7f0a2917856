"""Calls of `/configuration` at a control-plane node, as an operator makes them."""

from __future__ import annotations

from mulleinhatch.networking.http_client import HttpCallError, HttpClient, HttpResponse

MAX_REDIRECTS = 2
REDIRECT_STATUS = 307


async def call_configuration(
    client: HttpClient,
    address: str,
    method: str,
    body: bytes,
    fields: tuple[tuple[bytes, bytes], ...],
    timeout_s: float,
) -> HttpResponse | None:
    """Send one call and follow its redirects.

    Args:
        client: Sends the requests.
        address: The control address of the node, "HOST:PORT".
        method: GET, PUT or PATCH.
        body: The body as JSON, empty for GET.
        fields: Further header fields.
        timeout_s: The time limit of each request.

    Returns:
        The answer; None if there was none, or too many redirects.
    """
    for _ in range(MAX_REDIRECTS + 1):
        try:
            answer = await client.request(address, method, "/configuration", body, timeout_s, "application/json", fields)
        except HttpCallError:
            return None
        if answer.status != REDIRECT_STATUS:
            return answer
        address = answer.head.field_values[b"location"].decode().removeprefix("http://").partition("/")[0]
    return None
