"""HTTP/1.1 grammar shared by all parsers: line ends, header lines, reason phrases, and the error for malformed messages.

Pure; used by the system's streaming parser and by the service instance's request parser. Source: RFC 9110 and RFC 9112.
"""

from __future__ import annotations

import re

HEAD_END, LINE_END = b"\r\n\r\n", b"\r\n"
HEAD_LINES = re.compile(rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*")
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    411: b"Length Required",
    413: b"Content Too Large",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class BadRequestError(ValueError):
    """A message that violates the protocol.

    Args:
        cause: What is wrong, in a few words; the error counters use it as a key.
        status: The HTTP status for the response to the sender.
    """

    def __init__(self, cause: str, status: int = 400) -> None:
        super().__init__(cause)
        self.cause, self.status = cause, status
