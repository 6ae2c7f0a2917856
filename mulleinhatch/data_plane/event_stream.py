"""Events of a stream (text/event-stream) cut out of the bytes as they come, for streams that may be taken up
elsewhere. Pure."""

from __future__ import annotations

import re

EVENT_TERMINATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_FIELD = re.compile(rb"(?:\A|[\r\n])id:[ ]?([^\r\n]*)")


class EventStreamFilter:
    """Gives whole events only, each once: an event with an id that is not above the last one is left out.

    >>> cutter = EventStreamFilter()
    >>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), cutter.last_id
    (b'id: 1\\ndata: a\\n\\n', b'1')
    >>> cutter.cut(); cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    """

    def __init__(self, last_id: bytes = b"") -> None:
        self.last_id = last_id
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """The whole events that are complete with these bytes."""
        self._rest += data
        whole, at = [], 0
        for end in EVENT_TERMINATOR.finditer(self._rest):
            event = self._rest[at : end.end()]
            at = end.end()
            if self._is_new(event):
                whole.append(event)
        self._rest = self._rest[at:]
        return b"".join(whole)

    def _is_new(self, event: bytes) -> bool:
        found = ID_FIELD.search(event)
        if found is None:
            return True
        told = found.group(1)
        if self.last_id.isdigit() and told.isdigit() and int(told) <= int(self.last_id):
            return False
        self.last_id = told
        return True

    @property
    def rest(self) -> bytes:
        """What has come of the next event."""
        return self._rest

    def cut(self) -> None:
        """The stream broke off: what came of the next event is dropped."""
        self._rest = b""
