"""Heads of HTTP/1.1, parsed in the buffer that the socket filled, and the answers as pieces to gather."""
from __future__ import annotations

import math

MOST_HEAD, MOST_BODY = 8192, 2048       # bytes of a request
HEAD_END, LINE_END = b"\r\n\r\n", b"\r\n"
REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
           411: b"Length Required", 413: b"Content Too Large", 429: b"Too Many Requests",
           431: b"Request Header Fields Too Large", 500: b"Internal Server Error",
           503: b"Service Unavailable"}
OP_PATH, HEALTH_PATH, COUNTERS_PATH = b"/svc/", b"/status/live", b"/status/counters"


class BadRequest(ValueError):
    """What is wrong with a request, in a few words to count by, and the status that says so."""

    def __init__(self, cause: str, status: int = 400) -> None:
        super().__init__(cause)
        self.cause, self.status = cause, status


class RequestReader:
    """The requests of one connection, one after another in one buffer.

    >>> reader = RequestReader()
    >>> def feed(data):
    ...     reader.room()[:len(data)] = data
    ...     reader.filled(len(data))
    >>> feed(b"POST /svc/a HTTP/1.1\\r\\nX-Rank: 0.5\\r\\nContent-Le"); reader.message()
    >>> feed(b"ngth: 2\\r\\n\\r\\nhi\\r\\nGET"); reader.message()
    (b'POST', b'/svc/a', {b'x-rank': b'0.5', b'content-length': b'2'}, b'hi')
    >>> feed(b" /x HTTP/1.0\\r\\n\\r\\n"); reader.message(), reader.started()
    ((b'GET', b'/x', {b'connection': b'close'}, b''), False)
    """

    def __init__(self) -> None:
        self.buffer = bytearray(MOST_HEAD + MOST_BODY)
        self.view = memoryview(self.buffer)
        self.end = self.searched = 0

    def room(self) -> memoryview:
        return self.view[self.end:]

    def filled(self, count: int) -> None:
        self.end += count

    def started(self) -> bool:
        return self.end > 0

    def message(self) -> tuple[bytes, bytes, dict[bytes, bytes], bytes] | None:
        """Method, path, fields by lower-case name, body; None until the rest has come. After a BadRequest
        it is not known where the next request begins."""
        while self.end >= len(LINE_END) and self.view[:len(LINE_END)] == LINE_END:
            self._shift(len(LINE_END))    # some senders end the request before with one line too many
        head_end = self.buffer.find(HEAD_END, max(0, self.searched - len(HEAD_END)), self.end)
        if head_end < 0:
            self.searched = self.end
            if self.end > MOST_HEAD:
                raise BadRequest("head too long", 431)
            return None
        line_end = self.buffer.find(LINE_END, 0, head_end + len(LINE_END))
        words = bytes(self.view[:line_end]).split(b" ")
        if len(words) != 3 or not words[2].startswith(b"HTTP/1."):
            raise BadRequest("request line")
        fields = self._fields(line_end + len(LINE_END), head_end)
        if words[2] == b"HTTP/1.0":
            fields.setdefault(b"connection", b"close")
        body_start = head_end + len(HEAD_END)
        body_end = body_start + self._length(fields)
        if body_end > self.end:
            self.searched = head_end
            return None
        body = bytes(self.view[body_start:body_end])
        self._shift(body_end)
        return words[0], words[1], fields, body

    def _fields(self, start: int, end: int) -> dict[bytes, bytes]:
        fields: dict[bytes, bytes] = {}
        while start < end:
            line_end = self.buffer.find(LINE_END, start, end)
            line_end = end if line_end < 0 else line_end
            colon = self.buffer.find(b":", start, line_end)
            if colon <= start:
                raise BadRequest("header line")
            name = bytes(self.view[start:colon]).lower()
            text = bytes(self.view[colon + 1:line_end]).strip(b" \t")
            if name == b"content-length" and fields.setdefault(name, text) != text:
                raise BadRequest("conflicting lengths")
            fields[name] = text
            start = line_end + len(LINE_END)
        return fields

    @staticmethod
    def _length(fields: dict[bytes, bytes]) -> int:
        if b"transfer-encoding" in fields:
            raise BadRequest("transfer coding", 411)
        length = fields.get(b"content-length", b"0")
        if not length.isdigit():
            raise BadRequest("content length")
        if len(length) > 9 or int(length) > MOST_BODY:
            raise BadRequest("body too long", 413)
        return int(length)

    def _shift(self, taken: int) -> None:
        """What came after the request is moved to the front; with one request at a time it is nothing."""
        rest = self.end - taken
        if rest:
            self.buffer[:rest] = self.buffer[taken:self.end]
        self.end, self.searched = rest, 0


def number(fields: dict[bytes, bytes], name: bytes, absent: float | None = 0.0) -> float:
    """A figure of 0 or more; one that must be there has no `absent`."""
    if name not in fields and absent is not None:
        return absent
    try:
        value = float(fields.get(name, b""))
    except ValueError:
        value = math.nan
    if not 0.0 <= value < math.inf:
        raise BadRequest(name.decode("latin-1"))
    return value


def op_told(path: bytes, fields: dict[bytes, bytes], now: float) -> tuple:
    """What the reducer is told of an op: id, op type, tenant, age, wait, caller, work, kb, again, key."""
    ref = fields.get(b"x-request-id", b"").decode("latin-1")
    if not ref:
        raise BadRequest("x-request-id")
    arrived = number(fields, b"x-request-start", absent=None) / 1000.0
    patience = number(fields, b"x-timeout-ms") / 1000.0
    key = fields.get(b"idempotency-key") or fields.get(b"x-object", b"")
    return (ref, path.rpartition(b"/")[2].decode("latin-1"),
            fields.get(b"x-tenant", b"").decode("latin-1"), max(0.0, now - arrived),
            max(0.001, arrived + patience - now) if patience > 0.0 else 0.0, int(number(fields, b"x-caller")),
            number(fields, b"x-cost-ms") / 1000.0, number(fields, b"x-memory-kb", absent=None),
            fields.get(b"x-retry") == b"1", key.decode("latin-1"))


def answer(status: int, body: bytes = b"", level: float | None = None, hold_off: float = 0.0,
           not_elsewhere: bool = False, close: bool = False) -> list[bytes]:
    """Status line, fields and body as pieces for one gathered write.

    >>> b"".join(answer(429, level=0.5, hold_off=0.25, not_elsewhere=True)).split(LINE_END)[1:5]
    [b'Content-Length: 0', b'X-Load-Signal: 0.5000', b'Retry-After-Ms: 250', b'X-Dont-Retry: 1']
    """
    pieces = [b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS[status], len(body))]
    if level is not None:
        pieces.append(b"X-Load-Signal: %.4f\r\n" % level)
    if hold_off > 0.0:
        pieces.append(b"Retry-After-Ms: %d\r\n" % max(1, round(hold_off * 1000.0)))
    if not_elsewhere:
        pieces.append(b"X-Dont-Retry: 1\r\n")
    if close:
        pieces.append(b"Connection: close\r\n")
    pieces.append(LINE_END)
    if body:
        pieces.append(body)
    return pieces
