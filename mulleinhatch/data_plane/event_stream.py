"""Events of a `text/event-stream` response: where they end, and which of them a resumed stream repeats. Pure.

Source: WHATWG HTML, section 9.2 (server-sent events): events end with an empty line, and one that the end of the stream cuts is
dropped; `id` sets the last event id.
"""

from __future__ import annotations

import re

EVENT_TERMINATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_FIELD = re.compile(rb"(?:\A|[\r\n])id:[ ]?([^\r\n]*)")
EVENT_STREAM_TYPE = b"text/event-stream"
FINAL_EMPTY_LINE = re.compile(rb"(?>\r\n|\r|\n)(?>\r\n|\r|\n)\Z")  # Two line ends, of any kind each.
MAX_EMPTY_LINE_BYTES = 4


def may_be_event_stream(content_type: bytes) -> bool:
    """Return whether a `Content-Type`, empty if missing, allows that a response of a streaming route consists of events.

    >>> may_be_event_stream(b"Text/Event-Stream; charset=utf-8"), may_be_event_stream(b""), may_be_event_stream(b"text/plain")
    (True, True, False)
    """
    return content_type.partition(b";")[0].strip().lower() in (b"", EVENT_STREAM_TYPE)


class EventBoundary:
    """Tells whether the bytes of a stream so far end with a complete event.

    >>> boundary = EventBoundary(); boundary.is_reached
    False
    >>> boundary.feed(b"data: a\\r\\n\\r"); boundary.feed(b"\\n"); boundary.is_reached
    True
    >>> boundary.feed(b"data: b\\r\\n"); boundary.is_reached
    False
    """

    __slots__ = ("_tail",)  # One object per stream that ends with its connection; `feed` runs for each of its chunks.

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        self._tail = (self._tail + data[-MAX_EMPTY_LINE_BYTES:])[-MAX_EMPTY_LINE_BYTES:]

    @property
    def is_reached(self) -> bool:
        """Whether the last event is complete; False before the first one."""
        return FINAL_EMPTY_LINE.search(self._tail) is not None


class EventStreamFilter:
    """Passes complete events only, each once: an event whose id is not greater than the last one is dropped.

    >>> stream = EventStreamFilter()
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), stream.last_event_id
    (b'id: 1\\ndata: a\\n\\n', b'1')
    >>> stream.discard_partial_event(); stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'

    Attributes:
        last_event_id: Id of the last event that was passed; a resumed stream continues after it.
        partial_event: Bytes of an incomplete event.
    """

    __slots__ = ("last_event_id", "partial_event")  # One object per resumable stream; `feed` runs for every event.

    def __init__(self, last_event_id: bytes = b"") -> None:
        self.last_event_id = last_event_id
        self.partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the new events that they complete."""
        self.partial_event += data
        events, start = [], 0
        for terminator in EVENT_TERMINATOR.finditer(self.partial_event):
            event = self.partial_event[start : terminator.end()]
            start = terminator.end()
            if self._is_new(event):
                events.append(event)
        self.partial_event = self.partial_event[start:]
        return b"".join(events)

    def _is_new(self, event: bytes) -> bool:
        match = ID_FIELD.search(event)
        if match is None:
            return True
        event_id = match.group(1)
        if self.last_event_id.isdigit() and event_id.isdigit() and int(event_id) <= int(self.last_event_id):
            return False
        self.last_event_id = event_id
        return True

    def discard_partial_event(self) -> None:
        """Drop the incomplete event after a connection loss; the resumed stream sends it again."""
        self.partial_event = b""
