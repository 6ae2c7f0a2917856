"""HTTP responses to clients, serialized as chunks for one gathered write."""

from __future__ import annotations

from mulleinhatch.networking.http_grammar import LINE_END, REASONS

RETRY_REJECTION = b"".join([b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n%b%b", b"X-Dont-Retry: 1\r\n\r\n"])


def write_retry_rejection(level: float | None, hold_off: float) -> bytes:
    """Serialize the rejection of a retry during a retry storm.

    Args:
        level: Load signal from 0 to 1; None to send none.
        hold_off: Seconds after which the client may retry; 0 to send none.

    >>> write_retry_rejection(0.25, 1.5) == b"".join(write_response(429, level=0.25, hold_off=1.5, not_elsewhere=True))
    True
    >>> b"Retry-After" in write_retry_rejection(None, 0.0)
    False
    """
    signal = b"" if level is None else b"X-Load-Signal: %.4f\r\n" % level
    retry_after = b"Retry-After-Ms: %d\r\n" % max(1, round(hold_off * 1000.0)) if hold_off > 0.0 else b""
    return RETRY_REJECTION % (signal, retry_after)


def write_response(
    status: int,
    body: bytes = b"",
    level: float | None = None,
    hold_off: float = 0.0,
    not_elsewhere: bool = False,
    close: bool = False,
) -> list[bytes]:
    """Serialize a response.

    Args:
        status: HTTP status; one of `REASONS`.
        body: Response body.
        level: Load signal from 0 to 1; None to send none.
        hold_off: Seconds after which the client may retry; 0 to send none.
        not_elsewhere: Whether the client should not try another instance either.
        close: Whether the connection closes after the response.

    Returns:
        Status line, header fields and body.

    >>> b"".join(write_response(429, level=0.5, hold_off=0.25, not_elsewhere=True)).split(LINE_END)[1:5]
    [b'Content-Length: 0', b'X-Load-Signal: 0.5000', b'Retry-After-Ms: 250', b'X-Dont-Retry: 1']
    """
    chunks = [b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS[status], len(body))]
    if level is not None:
        chunks.append(b"X-Load-Signal: %.4f\r\n" % level)
    if hold_off > 0.0:
        chunks.append(b"Retry-After-Ms: %d\r\n" % max(1, round(hold_off * 1000.0)))
    if not_elsewhere:
        chunks.append(b"X-Dont-Retry: 1\r\n")
    if close:
        chunks.append(b"Connection: close\r\n")
    chunks.append(LINE_END)
    if body:
        chunks.append(body)
    return chunks
