"""HTTP requests of callers: read in the buffer that the socket filled, in full or by one pass over their plain form."""

from __future__ import annotations

import math
import re

from mulleinhatch.networking.http_grammar import HEAD_END, HEAD_LINES, LINE_END, BadRequestError

MAX_HEAD_BYTES, MAX_BODY_BYTES = 8192, 2048  # bytes of a request
INITIAL_BUFFER_BYTES = 2048  # until a message needs more: an idle connection must not cost as much as a busy one
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
NUMBER = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{1,15})?")
REQUEST_ID = re.compile(rb"[0-9A-Fa-f]{16}")
MAX_DURATION_S = 3600.0  # seconds of an age or a wait: what tells of more is no figure of ours
MIN_MEMORY_KB, MAX_MEMORY_KB = 1e-9, 2000.0  # memory that an op may book
CLOCK_SLACK_S = 1.0  # seconds that an arrival may lie ahead of our clock
SINGLE_FIELDS = (b"content-length", b"transfer-encoding", b"connection", b"host", b"idempotency-key")
HANDOVER_FIELD = b"x-hand"  # on an op that a peer hands over: the number of the offer, 0 for none; it is handed on once at most
REQUEST_PATH, HEALTH_PATH, COUNTERS_PATH, FLEET_PATH = b"/svc/", b"/status/live", b"/status/counters", b"/status/fleet"


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
        self._hold(INITIAL_BUFFER_BYTES)
        self.end = self.searched = 0

    def _hold(self, size: int) -> None:
        self.buffer = bytearray(size)
        self.view = memoryview(self.buffer)

    def room(self) -> memoryview:
        if self.end == len(self.buffer):
            begun = self.buffer
            self._hold(MAX_HEAD_BYTES + MAX_BODY_BYTES)
            self.buffer[: self.end] = begun
        elif not self.end and len(self.buffer) > INITIAL_BUFFER_BYTES:
            self._hold(INITIAL_BUFFER_BYTES)
        return self.view[self.end :]

    def filled(self, count: int) -> None:
        self.end += count

    def started(self) -> bool:
        return self.end > 0

    def message(self) -> tuple[bytes, bytes, dict[bytes, bytes], bytes] | None:
        """Method, path, fields by lower-case name, body; None until the rest has come. After a BadRequestError
        it is not known where the next request begins."""
        while self.end >= len(LINE_END) and self.view[: len(LINE_END)] == LINE_END:
            self._shift(len(LINE_END))  # some senders end the request before with one line too many
        head_end = self.buffer.find(HEAD_END, max(0, self.searched - len(HEAD_END)), self.end)
        if head_end < 0:
            return self._no_head_yet()
        if head_end + len(HEAD_END) > MAX_HEAD_BYTES:
            # Not only while its end is awaited: the buffer holds a head and a body at their most. A longer head that came whole
            # in one read would leave no room for the rest of its body, and who waits for that reads nothing for ever.
            raise BadRequestError("head too long", 431)
        line_end = self.buffer.find(LINE_END, 0, head_end + len(LINE_END))
        words = bytes(self.view[:line_end]).split(b" ")
        if len(words) != 3 or words[2] not in (b"HTTP/1.1", b"HTTP/1.0") or b"\n" in words[1]:
            raise BadRequestError("request line")
        fields = self._fields(line_end + len(LINE_END), head_end + len(LINE_END))
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

    def _no_head_yet(self) -> None:
        if BARE_LINE_FEED.search(self.buffer, max(0, self.searched - 1), self.end):
            raise BadRequestError("line end")  # others take it for an end: who waits for ours would hear nothing
        if self.end > MAX_HEAD_BYTES:
            raise BadRequestError("head too long", 431)
        self.searched = self.end

    def _fields(self, start: int, end: int) -> dict[bytes, bytes]:
        """Of what we read no field may come twice: which one counts would be anybody's guess."""
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
            # With a length beside it another request may hide in the body: neither is believed.
            raise BadRequestError("transfer coding", 400 if b"content-length" in fields else 411)
        length = fields.get(b"content-length", b"0")
        if not length.isdigit():
            raise BadRequestError("content length")
        if len(length) > 9 or int(length) > MAX_BODY_BYTES:
            raise BadRequestError("body too long", 413)
        return int(length)

    def _shift(self, taken: int) -> None:
        """What came after the request is moved to the front; with one request at a time it is nothing."""
        rest = self.end - taken
        if rest:
            self.buffer[:rest] = self.buffer[taken : self.end]
        self.end, self.searched = rest, 0


PLAIN_REQUEST = re.compile(  # one pass in C: the fields that count, and no other that only a full reading may judge
    rb"(?i)POST /svc/([^ ?/\r\n]+) HTTP/1\.1\r\n(?:X-(?:Request-Id: ([0-9a-f]{16})|Caller: ([0-9]{1,9})|Retry: (1)|"
    rb"Tenant: ([^\r\n]*)|Object: ([^\r\n]*)|(?!Request-Id|Caller|Retry|Tenant|Object)[a-z-]+:[^\r\n]*)\r\n|"
    rb"Content-Length: ([0-9]{1,4})\r\n|Idempotency-Key: ([^\r\n]*)\r\n|"
    rb"(?!X-|Content-Length|Idempotency-Key|Transfer-|Connection|Expect|Upgrade)[a-z0-9-]+:[^\r\n]*\r\n)*\r\n"
)


def parse_plain_request(data: bytes) -> tuple | None:
    """Id, op type, tenant, caller, again, key and body of a request that lies there whole and alone, in the plain
    form that callers write; None for all else, which the full reading must judge. It believes nothing that could
    hide a second request: one length, no transfer coding, no bare line end, not a byte too many.

    >>> parse_plain_request(b"POST /svc/a HTTP/1.1\\r\\nX-Request-Id: 00000000000000aB\\r\\nX-Caller: 4\\r\\nX-Retry: 1\\r\\n"
    ...            b"Content-Length: 2\\r\\n\\r\\nhi")
    ('00000000000000aB', 'a', '', 4, True, '', b'hi')
    >>> parse_plain_request(b"POST /svc/a HTTP/1.1\\r\\nX-Request-Id: 00000000000000aB\\r\\nContent-Length: 2\\r\\n\\r\\nhiP")
    """
    found = PLAIN_REQUEST.match(data)
    if found is None:
        return None
    op_type, ref, caller, again, tenant, thing, length, key = found.groups(b"")
    end = found.end()
    if not ref or not length or end + int(length) != len(data) or data[:end].lower().count(b"\ncontent-length") != 1:
        return None
    return (
        ref.decode(),
        op_type.decode("latin-1"),
        tenant.decode("latin-1"),
        int(caller or 0),
        again == b"1",
        (key or thing).decode("latin-1"),
        data[end:],
    )


PLAIN_FIGURES = re.compile(rb"(?i)\r\nX-(Rank|Cost-Ms|Memory-Kb): *([0-9]{1,15}(?:\.[0-9]{1,15})?) *(?=\r\n)")


def parse_plain_figures(data: bytes) -> tuple[float, float, float]:
    """Rank, cost in seconds and memory in KB of a request that was looked at shortly, as a full reading has them.

    >>> parse_plain_figures(b"POST /svc/a HTTP/1.1\\r\\nX-Cost-Ms: 50.00\\r\\nX-Rank: 0.25\\r\\n\\r\\nhi")
    (0.25, 0.05, 0.0)
    """
    told = {name.lower(): float(text) for name, text in PLAIN_FIGURES.findall(data, 0, data.find(HEAD_END) + len(LINE_END))}
    return told.get(b"rank", 0.0), 0.001 * told.get(b"cost-ms", 0.0), told.get(b"memory-kb", 0.0)


def parse_decimal(
    fields: dict[bytes, bytes],
    name: bytes,
    least: float = 0.0,
    below: float = math.inf,
    absent: float | None = 0.0,
    unit: float = 1.0,
) -> float:
    """A plain decimal figure in its range; one that must be there has no `absent`.

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


def parse_request(path: bytes, fields: dict[bytes, bytes], now: float) -> tuple:
    """What the reducer is told of an op: id, op type, tenant, age, wait, caller, work, kb, again, key, rank."""
    ref = fields.get(b"x-request-id", b"")
    if not REQUEST_ID.fullmatch(ref):
        raise BadRequestError("x-request-id")
    if fields.get(b"x-retry", b"1") != b"1":
        raise BadRequestError("x-retry")
    arrived = parse_decimal(fields, b"x-request-start", now - MAX_DURATION_S, now + CLOCK_SLACK_S, absent=None, unit=0.001)
    patience = parse_decimal(fields, b"x-timeout-ms", below=MAX_DURATION_S, unit=0.001)
    key = fields.get(b"idempotency-key") or fields.get(b"x-object", b"")
    return (
        ref.decode(),
        path.rpartition(b"/")[2].decode("latin-1"),
        fields.get(b"x-tenant", b"").decode("latin-1"),
        max(0.0, now - arrived),
        max(0.001, arrived + patience - now) if patience > 0.0 else 0.0,
        int(parse_decimal(fields, b"x-caller")),
        parse_decimal(fields, b"x-cost-ms", below=MAX_DURATION_S, unit=0.001),
        parse_decimal(fields, b"x-memory-kb", least=MIN_MEMORY_KB, below=MAX_MEMORY_KB, absent=None),
        b"x-retry" in fields,
        key.decode("latin-1"),
        parse_decimal(fields, b"x-rank", below=1.0),
    )
