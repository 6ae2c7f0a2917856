"""HTTP/1.1 messages whose bodies are passed on as they come: heads, bodies by length, in chunks or to the end of the
connection.

For the system's data plane (clients and stubs) and its HTTP client. Parsers without I/O: bytes in, `Head`, body pieces and the
end out. Strict where two readings of the same bytes could differ, as another request might hide there.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from mulleinhatch.networking.http_grammar import HEAD_END, HEAD_LINES, LINE_END, REASONS, BadRequestError

HOP_BY_HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade"))
MOST_CHUNK_LINE = 256  # bytes of a chunk's size line
MOST_TRAILER = 8192
NO_BODY_STATUS = (204, 304)
REQUEST_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^ \x00-\x20\x7f]+) HTTP/1\.([01])\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([0-9]{3})(?: [^\r\n]*)?\r\n")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[^\r\n]*)?\Z")
SINGLE_FIELDS = (b"content-length", b"transfer-encoding", b"host", b"request-id", b"request-deadline")


@dataclass(frozen=True)
class Head:
    """A request's or an answer's head. `fields` in their order with names as sent; `first` by lower-case name.

    For requests `method` and `target` are set, for answers `status`. `length` is the body's size, or None where it is chunked
    or, in answers, ends with the connection."""

    fields: tuple[tuple[bytes, bytes], ...]
    first: dict[bytes, bytes]
    minor: int = 1
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    length: int | None = 0
    chunked: bool = False
    until_close: bool = False

    @property
    def keep_alive(self) -> bool:
        """Whether the sender means to use the connection again."""
        words = self.first.get(b"connection", b"").lower()
        return b"close" not in words if self.minor else b"keep-alive" in words


def _split_fields(block: bytes) -> tuple[tuple[tuple[bytes, bytes], ...], dict[bytes, bytes]]:
    """The fields of a head; BadRequestError where a line is none or a field that must be single comes twice with two values."""
    if not HEAD_LINES.fullmatch(block):
        raise BadRequestError("header line")
    fields, first = [], {}
    for line in block.split(LINE_END)[:-1]:
        name, _, text = line.partition(b":")
        text = text.strip(b" \t")
        lower = name.lower()
        if lower in first and lower in SINGLE_FIELDS:
            raise BadRequestError("repeated field")
        first[lower] = first[lower] + b"," + text if lower in first else text
        fields.append((name, text))
    return tuple(fields), first


def _framing(first: dict[bytes, bytes], minor: int) -> tuple[int | None, bool]:
    """Length and whether the body comes in chunks; (None, False) where neither is told."""
    coding = first.get(b"transfer-encoding")
    length = first.get(b"content-length")
    if coding is not None:
        if length is not None or coding.lower() != b"chunked" or not minor:
            raise BadRequestError("transfer coding")
        return None, True
    if length is None:
        return None, False
    if not length.isdigit() or len(length) > 12:
        raise BadRequestError("content length")
    return int(length), False


def request_head(data: bytes) -> Head:
    """Reads a request's head, `data` with its empty line.

    >>> head = request_head(b"POST /a/b HTTP/1.1\\r\\nHost: x\\r\\nContent-Length: 2\\r\\n\\r\\n")
    >>> head.method, head.target, head.length, head.keep_alive
    (b'POST', b'/a/b', 2, True)
    """
    line = REQUEST_LINE.match(data)
    if line is None:
        raise BadRequestError("request line")
    fields, first = _split_fields(data[line.end() : -len(LINE_END)])
    minor = int(line.group(3))
    length, chunked = _framing(first, minor)
    return Head(
        fields,
        first,
        minor,
        method=line.group(1),
        target=line.group(2),
        length=None if chunked else length or 0,
        chunked=chunked,
    )


def answer_head(data: bytes, to_head: bool = False) -> Head:
    """Reads an answer's head; `to_head` where it answers a HEAD request, which has no body.

    >>> answer_head(b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n").chunked
    True
    """
    line = STATUS_LINE.match(data)
    if line is None:
        raise BadRequestError("answer line")
    fields, first = _split_fields(data[line.end() : -len(LINE_END)])
    minor, status = int(line.group(1)), int(line.group(2))
    if to_head or status in NO_BODY_STATUS or status < 200:
        return Head(fields, first, minor, status=status)
    length, chunked = _framing(first, minor)
    return Head(fields, first, minor, status=status, length=length, chunked=chunked, until_close=not chunked and length is None)


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
    """One message after another on one side of a connection.

    `feed` takes bytes; `head()` gives the next head once it is whole; `body()` what has come of its body; `done` tells that the
    message is complete, and `next()` goes on to the one after. BadRequestError where the bytes are no message.

    >>> reader = MessageReader(answers=True)
    >>> reader.feed(b"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nhi\\r")
    >>> reader.head().status, reader.body(), reader.done
    (200, b'hi', False)
    >>> reader.feed(b"\\n0\\r\\n\\r\\nHTTP/1.1 9"); reader.body(), reader.done, reader.surplus()
    (b'', True, True)
    """

    def __init__(self, answers: bool, most_head: int = 65536) -> None:
        self.answers, self.most_head = answers, most_head
        self._buffer = bytearray()
        self._stage = _Stage.HEAD
        self._left = 0
        self._searched = 0

    @property
    def done(self) -> bool:
        return self._stage is _Stage.DONE

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def surplus(self) -> bool:
        """Whether bytes are left beyond what was read."""
        return bool(self._buffer)

    def started(self) -> bool:
        """Whether a message has begun and is not whole."""
        return self._stage is not _Stage.DONE and (self._stage is not _Stage.HEAD or bool(self._buffer))

    def head(self, to_head: bool = False) -> Head | None:
        """The next head, None until it is whole."""
        buffer = self._buffer
        while buffer[:2] == LINE_END:
            del buffer[:2]  # some senders end a body with an empty line too many
        end = buffer.find(HEAD_END, max(0, self._searched - len(HEAD_END)))
        if end < 0:
            if len(buffer) > self.most_head:
                raise BadRequestError("head too long", 431)
            self._searched = len(buffer)
            return None
        if end + len(HEAD_END) > self.most_head:
            raise BadRequestError("head too long", 431)
        data = bytes(buffer[: end + len(HEAD_END)])
        del buffer[: end + len(HEAD_END)]
        self._searched = 0
        head = answer_head(data, to_head) if self.answers else request_head(data)
        self._begin_body(head)
        return head

    def _begin_body(self, head: Head) -> None:
        if head.chunked:
            self._stage = _Stage.CHUNK_LINE
        elif head.until_close:
            self._stage = _Stage.UNTIL_CLOSE
        else:
            self._left = head.length or 0
            self._stage = _Stage.SIZED if self._left else _Stage.DONE

    def body(self) -> bytes:
        """What has come of the body since the last call."""
        if self._stage is _Stage.SIZED:
            return self._take_sized(_Stage.DONE)
        if self._stage is _Stage.UNTIL_CLOSE:
            taken = bytes(self._buffer)
            self._buffer.clear()
            return taken
        pieces = []
        while self._step_chunks(pieces):
            pass
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _take_sized(self, after: _Stage) -> bytes:
        taken = bytes(self._buffer[: self._left])
        del self._buffer[: len(taken)]
        self._left -= len(taken)
        if not self._left:
            self._stage = after
        return taken

    def _line(self, most: int) -> bytes | None:
        end = self._buffer.find(LINE_END)
        if end < 0 and len(self._buffer) <= most:
            return None
        if end < 0 or end > most:
            raise BadRequestError("chunk line")
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(LINE_END)]
        return line

    def _step_chunks(self, pieces: list[bytes]) -> bool:
        """One step through the chunks; False where more bytes are needed or the body is whole."""
        if self._stage is _Stage.CHUNK_LINE:
            line = self._line(MOST_CHUNK_LINE)
            if line is None:
                return False
            size = CHUNK_SIZE.match(line)
            if size is None:
                raise BadRequestError("chunk size")
            self._left = int(size.group(1), 16)
            self._stage = _Stage.CHUNK if self._left else _Stage.TRAILER
            return True
        if self._stage is _Stage.CHUNK:
            if not self._buffer:
                return False
            pieces.append(self._take_sized(_Stage.CHUNK_END))
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
            line = self._line(MOST_TRAILER)
            if line is None:
                return False
            if not line:
                self._stage = _Stage.DONE
            return bool(line)
        return False

    def ended(self) -> bool:
        """The connection's end: whether that completes the message."""
        if self._stage is _Stage.UNTIL_CLOSE:
            self._stage = _Stage.DONE
        return self.done

    def next(self) -> None:
        """To the message after one that is done."""
        self._stage = _Stage.HEAD


def reason(status: int) -> bytes:
    return REASONS.get(status, b"Status")


def write_request(method: bytes, target: bytes, fields: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """A request with its length told."""
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    lines += [b"%b: %b\r\n" % field for field in fields]
    lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
    lines.append(body)
    return b"".join(lines)


def write_answer(status: int, fields: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """A whole answer with its length told.

    >>> write_answer(404, [(b"A", b"b")], b"x")
    b'HTTP/1.1 404 Not Found\\r\\nA: b\\r\\nContent-Length: 1\\r\\n\\r\\nx'
    """
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason(status))]
    lines += [b"%b: %b\r\n" % field for field in fields]
    lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
    lines.append(body)
    return b"".join(lines)
