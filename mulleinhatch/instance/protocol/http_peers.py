"""HTTP from an instance to its peers and its dependency: serialized requests, parsed response heads."""

from __future__ import annotations

import math
import re
from typing import NamedTuple

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol.http_requests import MIN_MEMORY_KB, NUMBER, IncomingRequest
from mulleinhatch.networking.http_grammar import HEAD_END, HEAD_LINES, LINE_END, BadRequestError

DECIMAL_PLACES = 15  # maximum number of digits after the point that `parse_decimal` accepts
MAX_RANK = 1.0 - 1e-15  # highest rank that can be written with this precision
NEIGHBOUR_FLOATS = 4  # floats tried on either side of a converted value
MAX_RESULT_BYTES = 65536  # longest response body of a peer
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([0-9]{3}) [^\r\n]*\r\n")
CALL_PATH = b"/v1/exec"


class ResponseHead(NamedTuple):
    """The evaluated fields of a response head."""

    status: int
    body_length: int
    closes_connection: bool


def format_decimal(value: float, unit: float = 1.0) -> str:
    """Return the text that `parse_decimal` reads as exactly this value, if the value came from it.

    With 15 places text and value correspond one to one, but converting a unit rounds; so neighbouring floats are tried as well.

    >>> format_decimal(0.62503), format_decimal(float("173.80371") * 0.001, 0.001), format_decimal(24.5)
    ('0.62503', '173.80371', '24.5')
    """
    near = below = above = value / unit
    for _ in range(NEIGHBOUR_FLOATS):
        for candidate in (near, below, above):
            for text in (f"{candidate:.{DECIMAL_PLACES}g}", f"{candidate:.{DECIMAL_PLACES}f}"):
                if float(text) * unit == value and NUMBER.fullmatch(text.encode()):
                    return text
        below, above = math.nextafter(below, 0.0), math.nextafter(above, math.inf)
    return f"{near:.{DECIMAL_PLACES}f}"


def write_handover_request(request: IncomingRequest, body: bytes, now: float, offer: int, host: str) -> list[bytes]:
    """Serialize the request that hands a client's request over to a peer, in the clients' own protocol.

    Key and numbers are written so that the peer parses the client's exact values, by which it recognizes a retry of the client.

    Args:
        request: The client's request; `remaining_wait_s` is the time that the peer may take, 0 for no limit.
        body: Its body.
        now: Wall-clock time in seconds, at which `age_s` and `remaining_wait_s` hold.
        offer: Number of the peer's capacity offer.
        host: Address of the peer.

    Returns:
        The chunks for one gathered write.
    """
    timeout_ms = 1000.0 * (request.age_s + request.remaining_wait_s) if request.remaining_wait_s else 0.0
    head = (
        f"POST /svc/{request.request_type} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request.request_id}\r\n"
        f"X-Request-Start: {1000.0 * (now - request.age_s):.0f}\r\nX-Caller: {request.client}\r\n"
        f"X-Memory-Kb: {format_decimal(max(request.memory_kb, MIN_MEMORY_KB))}\r\n"
        f"X-Rank: {format_decimal(min(request.rank, MAX_RANK))}\r\nX-Hand: {offer}\r\n"
        + (f"X-Timeout-Ms: {timeout_ms:.0f}\r\n" if timeout_ms > 0.0 else "")
        + (f"X-Cost-Ms: {format_decimal(request.cost_s, 0.001)}\r\n" if request.cost_s else "")
        + (f"X-Object: {request.key}\r\n" if request.key else "")
        + (f"X-Tenant: {request.tenant}\r\n" if request.tenant else "")
        + ("X-Retry: 1\r\n" if request.is_retry else "")
    )
    return [head.encode("latin-1"), b"Content-Length: %d\r\n\r\n" % len(body), body]


def parse_response_head(head: bytes) -> ResponseHead:
    """Parse the head of a peer's response. An interim response (1xx) has no body.

    Raises:
        BadRequestError: It is not a response head, or the length of its body is ambiguous (a second response could hide there).

    >>> parse_response_head(b"HTTP/1.1 103 Early Hints\\r\\nLink: </a>\\r\\n\\r\\n")
    ResponseHead(status=103, body_length=0, closes_connection=False)
    >>> parse_response_head(b"HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\nContent-Length: 6\\r\\n\\r\\n")
    Traceback (most recent call last):
    mulleinhatch.networking.http_grammar.BadRequestError: answer length
    >>> parse_response_head(b"HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\nConnection: close\\r\\n\\r\\n")
    ResponseHead(status=200, body_length=5, closes_connection=True)
    """
    line = STATUS_LINE.match(head)
    if line is None:
        raise BadRequestError("answer line")
    if not HEAD_LINES.fullmatch(head, line.end(), len(head) - len(LINE_END)):
        raise BadRequestError("answer field")
    pairs = [field.partition(b":") for field in head[line.end() : -len(HEAD_END)].split(LINE_END)]
    fields = {name.lower(): text.strip(b" \t") for name, _, text in pairs}
    if line[1].startswith(b"1"):
        return ResponseHead(int(line[1]), 0, False)
    length = fields.get(b"content-length", b"")
    if (
        not length.isdigit()
        or len(length) > 9
        or int(length) > MAX_RESULT_BYTES
        or (b"transfer-encoding" in fields or sum(name.lower() == b"content-length" for name, _, _ in pairs) > 1)
    ):
        raise BadRequestError("answer length")
    return ResponseHead(int(line[1]), int(length), fields.get(b"connection", b"").lower() == b"close")


def write_dependency_call(ref: str, query: bytes, wait_ms: float, host: str) -> list[bytes]:
    """Serialize a call of the dependency: the unchanged query, with the time that remains for it."""
    return [
        b"POST %b HTTP/1.1\r\nHost: %b\r\nRequest-Ref: %b\r\nStatement-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n"
        % (CALL_PATH, host.encode(), ref.encode("latin-1"), max(1, int(wait_ms)), len(query)),
        query,
    ]


def parse_dependency_response_head(head: bytes) -> ResponseHead:
    """Parse the head of the dependency's response.

    Only a response with `Never-Started` proves that the call had no effect; any other failure may have had one.

    Returns:
        The head; the status of a final response is replaced by the `Ending` of the call. After a failure the connection closes.

    Raises:
        BadRequestError: As `parse_response_head`.

    >>> parse_dependency_response_head(b"HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\n")
    ResponseHead(status=<Ending.OK: 1>, body_length=5, closes_connection=False)
    >>> parse_dependency_response_head(b"HTTP/1.1 503 Busy\\r\\nNever-Started: 1\\r\\nContent-Length: 0\\r\\n\\r\\n").status
    <Ending.FULL: 3>
    """
    response = parse_response_head(head)
    if response.status < 200:
        return response
    ending = _call_ending(response.status, head)
    # Responses name no call: a second copy of a failure must not settle a later call on the same connection.
    return response._replace(status=ending, closes_connection=response.closes_connection or ending is not Ending.OK)


def _call_ending(status: int, head: bytes) -> Ending:
    if status == 200:
        return Ending.OK
    if b"\r\nnever-started:" in head.lower():
        return Ending.FULL
    return Ending.TIMEOUT if status in (408, 504) else Ending.ERROR
