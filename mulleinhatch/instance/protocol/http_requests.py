"""HTTP requests of clients: parsed in the receive buffer, either completely or, in the common form, by one regular expression.

Strict wherever the same bytes could be interpreted in two ways, because a second request could hide there. Source: RFC 9112.
"""

from __future__ import annotations

import math
import re
from typing import NamedTuple

from mulleinhatch.networking.http_grammar import HEAD_END, HEAD_LINES, LINE_END, BadRequestError

MAX_HEAD_BYTES, MAX_BODY_BYTES = 8192, 2048
INITIAL_BUFFER_BYTES = 2048  # grown on demand, so that an idle connection costs little memory
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
NUMBER = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{1,15})?")
REQUEST_ID = re.compile(rb"[0-9A-Fa-f]{16}")
MAX_DURATION_S = 3600.0  # longest age, timeout or cost that is accepted
MIN_MEMORY_KB, MAX_MEMORY_KB = 1e-9, 2000.0  # memory that a request may reserve
CLOCK_SLACK_S = 1.0  # how far a client's clock may be ahead of the local clock
SINGLE_FIELDS = (b"content-length", b"transfer-encoding", b"connection", b"host", b"idempotency-key")
HANDOVER_FIELD = b"x-hand"  # set by a peer that hands a request over; number of the capacity offer, 0 if none
REQUEST_PATH, HEALTH_PATH, COUNTERS_PATH, FLEET_PATH = b"/svc/", b"/status/live", b"/status/counters", b"/status/fleet"


class IncomingRequest(NamedTuple):
    """One request of a client, with the arguments of the reducer. A tuple, because one is created for every request.

    Attributes:
        request_id: 16 hexadecimal digits, chosen by the client.
        request_type: Last segment of the path.
        tenant: Tenant name; empty if the client sent none.
        age_s: Time since the client sent the request, in seconds.
        remaining_wait_s: How much longer the client waits; 0 if it did not say.
        client: The client's number; 0 if it did not say.
        cost_s: Estimated run time in seconds; 0 if unknown.
        memory_kb: Memory that the run needs.
        is_retry: Whether the client marked it as a retry.
        key: Idempotency key, or the object that the request works on.
        rank: Rank within its importance, from 0 to below 1.
    """

    request_id: str
    request_type: str
    tenant: str
    age_s: float
    remaining_wait_s: float
    client: int
    cost_s: float
    memory_kb: float
    is_retry: bool
    key: str
    rank: float


class PlainRequest(NamedTuple):
    """The fields that `parse_plain_request` reads without parsing a request completely."""

    request_id: str
    request_type: str
    tenant: str
    client: int
    is_retry: bool
    key: str
    body: bytes


class RequestReader:
    """Parser of the requests of one connection, one after another in one buffer.

    The transport reads into `free_space()`, reports the count by `filled()` and takes requests from `message()`.

    >>> reader = RequestReader()
    >>> def feed(data):
    ...     reader.free_space()[:len(data)] = data
    ...     reader.filled(len(data))
    >>> feed(b"POST /svc/a HTTP/1.1\\r\\nX-Rank: 0.5\\r\\nContent-Le"); reader.message()
    >>> feed(b"ngth: 2\\r\\n\\r\\nhi\\r\\nGET"); reader.message()
    (b'POST', b'/svc/a', {b'x-rank': b'0.5', b'content-length': b'2'}, b'hi')
    >>> feed(b" /x HTTP/1.0\\r\\n\\r\\n"); reader.message(), reader.started()
    ((b'GET', b'/x', {b'connection': b'close'}, b''), False)
    """

    def __init__(self) -> None:
        self._allocate(INITIAL_BUFFER_BYTES)
        self.end = self.searched = 0

    def _allocate(self, size: int) -> None:
        self.buffer = bytearray(size)
        self.view = memoryview(self.buffer)

    def free_space(self) -> memoryview:
        """Return the free part of the buffer, after growing or shrinking the buffer if necessary."""
        if self.end == len(self.buffer):
            old_buffer = self.buffer
            self._allocate(MAX_HEAD_BYTES + MAX_BODY_BYTES)
            self.buffer[: self.end] = old_buffer
        elif not self.end and len(self.buffer) > INITIAL_BUFFER_BYTES:
            self._allocate(INITIAL_BUFFER_BYTES)
        return self.view[self.end :]

    def filled(self, count: int) -> None:
        """Record that `count` bytes were read into `free_space()`."""
        self.end += count

    def started(self) -> bool:
        """Return whether a request has begun and is not complete."""
        return self.end > 0

    def message(self) -> tuple[bytes, bytes, dict[bytes, bytes], bytes] | None:
        """Return the next request, or None until it has arrived completely.

        Returns:
            Method, path, header fields by lower-case name, and body.

        Raises:
            BadRequestError: The bytes are not a valid request; the start of the next one is unknown.
        """
        while self.end >= len(LINE_END) and self.view[: len(LINE_END)] == LINE_END:
            self._shift(len(LINE_END))  # RFC 9112, 2.2: some senders add an empty line after a body
        head_end = self.buffer.find(HEAD_END, max(0, self.searched - len(HEAD_END)), self.end)
        if head_end < 0:
            return self._check_incomplete_head()
        if head_end + len(HEAD_END) > MAX_HEAD_BYTES:
            # The buffer fits the longest head plus the longest body. A longer head that arrived in one read would leave no
            # space for the rest of its body, and the reader would wait for bytes that it cannot store.
            raise BadRequestError("head too long", 431)
        line_end = self.buffer.find(LINE_END, 0, head_end + len(LINE_END))
        request_line = bytes(self.view[:line_end]).split(b" ")
        if len(request_line) != 3 or request_line[2] not in (b"HTTP/1.1", b"HTTP/1.0") or b"\n" in request_line[1]:
            raise BadRequestError("request line")
        fields = self._fields(line_end + len(LINE_END), head_end + len(LINE_END))
        if request_line[2] == b"HTTP/1.0":
            fields.setdefault(b"connection", b"close")
        body_start = head_end + len(HEAD_END)
        body_end = body_start + self._length(fields)
        if body_end > self.end:
            self.searched = head_end
            return None
        body = bytes(self.view[body_start:body_end])
        self._shift(body_end)
        return request_line[0], request_line[1], fields, body

    def _check_incomplete_head(self) -> None:
        if BARE_LINE_FEED.search(self.buffer, max(0, self.searched - 1), self.end):
            raise BadRequestError("line end")  # a sender that ends lines this way would wait for a response forever
        if self.end > MAX_HEAD_BYTES:
            raise BadRequestError("head too long", 431)
        self.searched = self.end

    def _fields(self, start: int, end: int) -> dict[bytes, bytes]:
        """Parse the header lines; evaluated fields must not be repeated."""
        if not HEAD_LINES.fullmatch(self.buffer, start, end):
            raise BadRequestError("header line")
        fields: dict[bytes, bytes] = {}
        for line in bytes(self.view[start:end]).split(LINE_END)[:-1]:
            name, _, text = line.partition(b":")
            name = name.lower()
            if name in fields and (name.startswith(b"x-") or name in SINGLE_FIELDS):
                raise BadRequestError("repeated field")
            fields[name] = text.strip(b" \t")
        return fields

    @staticmethod
    def _length(fields: dict[bytes, bytes]) -> int:
        if b"transfer-encoding" in fields:
            # Together with a content length, a second request may hide in the body (RFC 9112, 11.2).
            raise BadRequestError("transfer coding", 400 if b"content-length" in fields else 411)
        length = fields.get(b"content-length", b"0")
        if not length.isdigit():
            raise BadRequestError("content length")
        if len(length) > 9 or int(length) > MAX_BODY_BYTES:
            raise BadRequestError("body too long", 413)
        return int(length)

    def _shift(self, taken: int) -> None:
        """Remove the bytes of the request and move the rest to the front of the buffer."""
        rest = self.end - taken
        if rest:
            self.buffer[:rest] = self.buffer[taken : self.end]
        self.end, self.searched = rest, 0


PLAIN_REQUEST = re.compile(  # matched in one pass; fields that only the full parser may evaluate do not match
    rb"(?i)POST /svc/([^ ?/\r\n]+) HTTP/1\.1\r\n(?:X-(?:Request-Id: ([0-9a-f]{16})|Caller: ([0-9]{1,9})|Retry: (1)|"
    rb"Tenant: ([^\r\n]*)|Object: ([^\r\n]*)|(?!Request-Id|Caller|Retry|Tenant|Object)[a-z-]+:[^\r\n]*)\r\n|"
    rb"Content-Length: ([0-9]{1,4})\r\n|Idempotency-Key: ([^\r\n]*)\r\n|"
    rb"(?!X-|Content-Length|Idempotency-Key|Transfer-|Connection|Expect|Upgrade)[a-z0-9-]+:[^\r\n]*\r\n)*\r\n"
)


def parse_plain_request(data: bytes) -> PlainRequest | None:
    """Parse a complete, single request in the common form, without the full parser.

    Nothing is accepted that could hide a second request: exactly one length, no transfer coding, no bare line feed, no excess
    bytes.

    Returns:
        The request, or None if the full parser must process it.

    >>> parse_plain_request(b"POST /svc/a HTTP/1.1\\r\\nX-Request-Id: 00000000000000aB\\r\\nX-Caller: 4\\r\\nX-Retry: 1\\r\\n"
    ...            b"Content-Length: 2\\r\\n\\r\\nhi")
    PlainRequest(request_id='00000000000000aB', request_type='a', tenant='', client=4, is_retry=True, key='', body=b'hi')
    >>> parse_plain_request(b"POST /svc/a HTTP/1.1\\r\\nX-Request-Id: 00000000000000aB\\r\\nContent-Length: 2\\r\\n\\r\\nhiP")
    """
    match = PLAIN_REQUEST.match(data)
    if match is None:
        return None
    request_type, request_id, client, retry, tenant, target, length, key = match.groups(b"")
    end = match.end()
    if not request_id or not length or end + int(length) != len(data) or data[:end].lower().count(b"\ncontent-length") != 1:
        return None
    return PlainRequest(
        request_id.decode(),
        request_type.decode("latin-1"),
        tenant.decode("latin-1"),
        int(client or 0),
        retry == b"1",
        (key or target).decode("latin-1"),
        data[end:],
    )


PLAIN_FIGURES = re.compile(rb"(?i)\r\nX-(Rank|Cost-Ms|Memory-Kb): *([0-9]{1,15}(?:\.[0-9]{1,15})?) *(?=\r\n)")


def parse_plain_figures(data: bytes) -> tuple[float, float, float]:
    """Return rank, cost in seconds and memory in KB of a plain request, with the values that the full parser reads.

    >>> parse_plain_figures(b"POST /svc/a HTTP/1.1\\r\\nX-Cost-Ms: 50.00\\r\\nX-Rank: 0.25\\r\\n\\r\\nhi")
    (0.25, 0.05, 0.0)
    """
    values = {name.lower(): float(text) for name, text in PLAIN_FIGURES.findall(data, 0, data.find(HEAD_END) + len(LINE_END))}
    return values.get(b"rank", 0.0), 0.001 * values.get(b"cost-ms", 0.0), values.get(b"memory-kb", 0.0)


def parse_decimal(
    fields: dict[bytes, bytes],
    name: bytes,
    least: float = 0.0,
    below: float = math.inf,
    absent: float | None = 0.0,
    unit: float = 1.0,
) -> float:
    """Parse a header field that holds a plain decimal number.

    Args:
        fields: Header fields by lower-case name.
        name: The field.
        least: Smallest value that is accepted, after conversion.
        below: The value must be smaller than this, after conversion.
        absent: Result if the field is missing; None if it is required.
        unit: Factor that converts the number to the unit of the result.

    Raises:
        BadRequestError: The field is missing, not a decimal number, or out of range.

    >>> parse_decimal({b"x-rank": b"0.5"}, b"x-rank", below=1.0), parse_decimal({}, b"x-rank")
    (0.5, 0.0)
    >>> parse_decimal({b"x-rank": b"1e-1"}, b"x-rank")
    Traceback (most recent call last):
    mulleinhatch.networking.http_grammar.BadRequestError: x-rank
    """
    text = fields.get(name)
    if text is None and absent is not None:
        return absent
    value = float(text) * unit if text is not None and NUMBER.fullmatch(text) else math.nan
    if not least <= value < below:
        raise BadRequestError(name.decode("latin-1"))
    return value


def parse_request(path: bytes, fields: dict[bytes, bytes], now: float) -> IncomingRequest:
    """Build the typed request from path and header fields; `now` is the wall-clock time in seconds.

    Raises:
        BadRequestError: A field is missing or out of range; the cause is its name.
    """
    request_id = fields.get(b"x-request-id", b"")
    if not REQUEST_ID.fullmatch(request_id):
        raise BadRequestError("x-request-id")
    if fields.get(b"x-retry", b"1") != b"1":
        raise BadRequestError("x-retry")
    sent_at = parse_decimal(fields, b"x-request-start", now - MAX_DURATION_S, now + CLOCK_SLACK_S, absent=None, unit=0.001)
    timeout_s = parse_decimal(fields, b"x-timeout-ms", below=MAX_DURATION_S, unit=0.001)
    key = fields.get(b"idempotency-key") or fields.get(b"x-object", b"")
    return IncomingRequest(
        request_id.decode(),
        path.rpartition(b"/")[2].decode("latin-1"),
        fields.get(b"x-tenant", b"").decode("latin-1"),
        max(0.0, now - sent_at),
        max(0.001, sent_at + timeout_s - now) if timeout_s > 0.0 else 0.0,
        int(parse_decimal(fields, b"x-caller")),
        parse_decimal(fields, b"x-cost-ms", below=MAX_DURATION_S, unit=0.001),
        parse_decimal(fields, b"x-memory-kb", least=MIN_MEMORY_KB, below=MAX_MEMORY_KB, absent=None),
        b"x-retry" in fields,
        key.decode("latin-1"),
        parse_decimal(fields, b"x-rank", below=1.0),
    )
