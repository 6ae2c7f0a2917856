"""HTTP/1.1 messages whose bodies are relayed as they arrive: heads, and bodies delimited by length, by chunks or by the end of
the connection.

Used by the data plane (toward clients and backends) and by the HTTP client. The parsers do no I/O: they turn bytes into a
`Head`, chunks of the body and the end of the message. They are strict wherever the same bytes can be read in two ways,
because a second request could be hidden there (request smuggling). Source: RFC 9112, sections 5 to 7 and 11.2.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from mulleinhatch.networking.http_grammar import HEAD_END, HEAD_LINES, LINE_END, REASONS, BadRequestError

HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade"))
MAX_CHUNK_LINE_BYTES = 256  # of the line with a chunk's size
MAX_TRAILER_BYTES = 8192
STATUSES_WITHOUT_BODY = (204, 304)
REQUEST_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^ \x00-\x20\x7f]+) HTTP/1\.([01])\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([0-9]{3})(?: [^\r\n]*)?\r\n")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[^\r\n]*)?\Z")
SINGLE_FIELDS = (b"content-length", b"transfer-encoding", b"host", b"request-id", b"request-deadline")


class BodyFraming(Enum):
    """What tells the end of a body. The values are part of log lines. Source: RFC 9112, section 6.3."""

    LENGTH = "length"
    CHUNKED = "last chunk"
    CONNECTION_CLOSE = "connection close"


@dataclass(frozen=True)
class Head:
    """The head of a request or of a response. Its `repr` omits the fields, because they may contain an API key.

    Attributes:
        fields: Header fields in the order and with the names as sent.
        field_values: Values by lower-case name; repeated fields are joined with a comma.
        minor: Minor version of HTTP/1.
        method: Request method; empty for responses.
        target: Request target; empty for responses.
        status: Response status; 0 for requests.
        length: Size of the body in bytes; None if it is chunked or ends with the connection.
        chunked: Whether the body uses the chunked transfer coding.
        until_close: Whether the body of a response ends with the connection.
    """

    fields: tuple[tuple[bytes, bytes], ...] = field(repr=False)
    field_values: dict[bytes, bytes] = field(repr=False)
    minor: int = 1
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    length: int | None = 0
    chunked: bool = False
    until_close: bool = False

    @property
    def keep_alive(self) -> bool:
        """Whether the sender keeps the connection open for another message."""
        options = self.field_values.get(b"connection", b"").lower()
        return b"close" not in options if self.minor else b"keep-alive" in options

    @property
    def framing(self) -> BodyFraming:
        """What tells the end of the body."""
        if self.until_close:
            return BodyFraming.CONNECTION_CLOSE
        return BodyFraming.CHUNKED if self.chunked else BodyFraming.LENGTH


def _split_fields(block: bytes) -> tuple[tuple[tuple[bytes, bytes], ...], dict[bytes, bytes]]:
    """Parse the header lines of a head.

    Raises:
        BadRequestError: A line is not a header field, or a field that must occur only once is repeated.
    """
    if not HEAD_LINES.fullmatch(block):
        raise BadRequestError("header line")
    fields, field_values = [], {}
    for line in block.split(LINE_END)[:-1]:
        name, _, text = line.partition(b":")
        text = text.strip(b" \t")
        lower = name.lower()
        if lower in field_values and lower in SINGLE_FIELDS:
            raise BadRequestError("repeated field")
        field_values[lower] = field_values[lower] + b"," + text if lower in field_values else text
        fields.append((name, text))
    return tuple(fields), field_values


def _framing(field_values: dict[bytes, bytes], minor: int) -> tuple[int | None, bool]:
    """Return the body's length and whether it is chunked, or (None, False) if the head states neither."""
    coding = field_values.get(b"transfer-encoding")
    length = field_values.get(b"content-length")
    if coding is not None:
        if length is not None or coding.lower() != b"chunked" or not minor:
            raise BadRequestError("transfer coding")
        return None, True
    if length is None:
        return None, False
    if not length.isdigit() or len(length) > 12:
        raise BadRequestError("content length")
    return int(length), False


def parse_request_head(data: bytes) -> Head:
    """Parse a request's head; `data` ends with the empty line.

    Raises:
        BadRequestError: The bytes are not a valid request head.

    >>> head = parse_request_head(b"POST /a/b HTTP/1.1\\r\\nHost: x\\r\\nContent-Length: 2\\r\\n\\r\\n")
    >>> head.method, head.target, head.length, head.keep_alive
    (b'POST', b'/a/b', 2, True)
    """
    line = REQUEST_LINE.match(data)
    if line is None:
        raise BadRequestError("request line")
    fields, field_values = _split_fields(data[line.end() : -len(LINE_END)])
    minor = int(line.group(3))
    length, chunked = _framing(field_values, minor)
    return Head(
        fields,
        field_values,
        minor,
        method=line.group(1),
        target=line.group(2),
        length=None if chunked else length or 0,
        chunked=chunked,
    )


def parse_response_head(data: bytes, to_head_request: bool = False) -> Head:
    """Parse a response's head.

    Args:
        data: The bytes up to and including the empty line.
        to_head_request: Whether it responds to a HEAD request, so that no body follows.

    Raises:
        BadRequestError: The bytes are not a valid response head.

    >>> parse_response_head(b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n").chunked
    True
    """
    line = STATUS_LINE.match(data)
    if line is None:
        raise BadRequestError("answer line")
    fields, field_values = _split_fields(data[line.end() : -len(LINE_END)])
    minor, status = int(line.group(1)), int(line.group(2))
    if to_head_request or status in STATUSES_WITHOUT_BODY or status < 200:
        return Head(fields, field_values, minor, status=status)
    length, chunked = _framing(field_values, minor)
    return Head(
        fields, field_values, minor, status=status, length=length, chunked=chunked, until_close=not chunked and length is None
    )


class _Stage(Enum):
    HEAD = "head"
    SIZED = "sized"
    CHUNK_LINE = "chunk line"
    CHUNK = "chunk"
    CHUNK_END = "chunk end"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until close"
    DONE = "done"


class MessageReader:
    """Parser of the successive messages that one side of a connection sends.

    The owner passes received bytes to `feed`, calls `head()` for the next head, then `body()` for newly received bytes of its
    body until `done`, and then `next()` to advance to the next message. Methods raise BadRequestError if the bytes violate the
    protocol.

    Args:
        reads_responses: Whether the peer sends responses rather than requests.
        max_head_bytes: The longest accepted head; a longer one raises BadRequestError with status 431.

    >>> reader = MessageReader(reads_responses=True)
    >>> reader.feed(b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nhi\\r")
    >>> reader.head().status, reader.body(), reader.done
    (200, b'hi', False)
    >>> reader.feed(b"\\n0\\r\\n\\r\\nHTTP/1.1 9"); reader.body(), reader.done, reader.surplus()
    (b'', True, True)
    """

    def __init__(self, reads_responses: bool, max_head_bytes: int = 65536) -> None:
        self.reads_responses, self.max_head_bytes = reads_responses, max_head_bytes
        self._buffer = bytearray()
        self._stage = _Stage.HEAD
        self._remaining = 0
        self._searched_bytes = 0

    @property
    def done(self) -> bool:
        """Whether the current message is complete."""
        return self._stage is _Stage.DONE

    def feed(self, data: bytes) -> None:
        """Append bytes that the connection has received."""
        self._buffer += data

    def surplus(self) -> bool:
        """Return whether bytes are buffered beyond the current message."""
        return bool(self._buffer)

    def started(self) -> bool:
        """Return whether a message has begun but is not complete."""
        return self._stage is not _Stage.DONE and (self._stage is not _Stage.HEAD or bool(self._buffer))

    def head(self, to_head_request: bool = False) -> Head | None:
        """Return the next head, or None until it is complete."""
        buffer = self._buffer
        while buffer[:2] == LINE_END:
            del buffer[:2]  # RFC 9112, 2.2: some senders add an empty line after a body
        end = buffer.find(HEAD_END, max(0, self._searched_bytes - len(HEAD_END)))
        if end < 0:
            if len(buffer) > self.max_head_bytes:
                raise BadRequestError("head too long", 431)
            self._searched_bytes = len(buffer)
            return None
        if end + len(HEAD_END) > self.max_head_bytes:
            raise BadRequestError("head too long", 431)
        data = bytes(buffer[: end + len(HEAD_END)])
        del buffer[: end + len(HEAD_END)]
        self._searched_bytes = 0
        head = parse_response_head(data, to_head_request) if self.reads_responses else parse_request_head(data)
        self._begin_body(head)
        return head

    def _begin_body(self, head: Head) -> None:
        if head.chunked:
            self._stage = _Stage.CHUNK_LINE
        elif head.until_close:
            self._stage = _Stage.UNTIL_CLOSE
        else:
            self._remaining = head.length or 0
            self._stage = _Stage.SIZED if self._remaining else _Stage.DONE

    def body(self) -> bytes:
        """Return the bytes of the body that have arrived since the previous call."""
        if self._stage is _Stage.SIZED:
            return self._take_sized(_Stage.DONE)
        if self._stage is _Stage.UNTIL_CLOSE:
            taken = bytes(self._buffer)
            self._buffer.clear()
            return taken
        chunks = []
        while self._step_chunks(chunks):
            pass
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def _take_sized(self, after: _Stage) -> bytes:
        taken = bytes(self._buffer[: self._remaining])
        del self._buffer[: len(taken)]
        self._remaining -= len(taken)
        if not self._remaining:
            self._stage = after
        return taken

    def _line(self, max_bytes: int) -> bytes | None:
        end = self._buffer.find(LINE_END)
        if end < 0 and len(self._buffer) <= max_bytes:
            return None
        if end < 0 or end > max_bytes:
            raise BadRequestError("chunk line")
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(LINE_END)]
        return line

    def _step_chunks(self, chunks: list[bytes]) -> bool:
        """Advance through the chunks by one step; return False if more bytes are needed or the body is complete."""
        if self._stage is _Stage.CHUNK_LINE:
            line = self._line(MAX_CHUNK_LINE_BYTES)
            if line is None:
                return False
            size = CHUNK_SIZE.match(line)
            if size is None:
                raise BadRequestError("chunk size")
            self._remaining = int(size.group(1), 16)
            self._stage = _Stage.CHUNK if self._remaining else _Stage.TRAILER
            return True
        if self._stage is _Stage.CHUNK:
            if not self._buffer:
                return False
            chunks.append(self._take_sized(_Stage.CHUNK_END))
            return True
        if self._stage is _Stage.CHUNK_END:
            if len(self._buffer) < len(LINE_END):
                return False
            if self._buffer[:2] != LINE_END:
                raise BadRequestError("chunk end")
            del self._buffer[:2]
            self._stage = _Stage.CHUNK_LINE
            return True
        if self._stage is _Stage.TRAILER:
            line = self._line(MAX_TRAILER_BYTES)
            if line is None:
                return False
            if not line:
                self._stage = _Stage.DONE
            return bool(line)
        return False

    def ended(self) -> bool:
        """Handle the end of the connection and return whether that completes the message."""
        if self._stage is _Stage.UNTIL_CLOSE:
            self._stage = _Stage.DONE
        return self.done

    def next(self) -> None:
        """Advance to the message after a complete one."""
        self._stage = _Stage.HEAD


def reason(status: int) -> bytes:
    """Return the reason phrase of a status."""
    return REASONS.get(status, b"Status")


def write_request(method: bytes, target: bytes, fields: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Serialize a request with a Content-Length field."""
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    lines += [b"%b: %b\r\n" % field for field in fields]
    lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
    lines.append(body)
    return b"".join(lines)


def write_response(status: int, fields: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Serialize a complete response with a Content-Length field.

    >>> write_response(404, [(b"A", b"b")], b"x")
    b'HTTP/1.1 404 Not Found\\r\\nA: b\\r\\nContent-Length: 1\\r\\n\\r\\nx'
    """
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason(status))]
    lines += [b"%b: %b\r\n" % field for field in fields]
    lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
    lines.append(body)
    return b"".join(lines)
