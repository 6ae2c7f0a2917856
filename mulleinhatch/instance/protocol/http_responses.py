"""HTTP responses to callers, as pieces for one gathered write."""

from __future__ import annotations

from mulleinhatch.networking.http_grammar import LINE_END, REASONS

RETRY_REJECTION = b"".join([b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n%b%b", b"X-Dont-Retry: 1\r\n\r\n"])


def write_retry_rejection(level: float | None, hold_off: float) -> bytes:
    """The nack of a repeat in a storm, in one piece; no time to come back at where the settings allow none.

    >>> write_retry_rejection(0.25, 1.5) == b"".join(write_response(429, level=0.25, hold_off=1.5, not_elsewhere=True))
    True
    >>> b"Retry-After" in write_retry_rejection(None, 0.0)
    False
    """
    signal = b"" if level is None else b"X-Load-Signal: %.4f\r\n" % level
    back = b"Retry-After-Ms: %d\r\n" % max(1, round(hold_off * 1000.0)) if hold_off > 0.0 else b""
    return RETRY_REJECTION % (signal, back)


def write_response(
    status: int,
    body: bytes = b"",
    level: float | None = None,
    hold_off: float = 0.0,
    not_elsewhere: bool = False,
    close: bool = False,
) -> list[bytes]:
    """Status line, fields and body as pieces for one gathered write.

    >>> b"".join(write_response(429, level=0.5, hold_off=0.25, not_elsewhere=True)).split(LINE_END)[1:5]
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
