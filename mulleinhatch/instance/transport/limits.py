"""Limits on the resources that one peer of the listener may use: time, bytes, descriptors and event loop iterations."""

from __future__ import annotations

# Time that a request may still be in transit after the local side was closed; its client sends it again.
IN_FLIGHT_S = 0.05

# One of this many connections is reserved: a half-closed connection occupies its descriptor until the peer closes.
RESERVED_FRACTION_DIVISOR = 16

FIRST_MESSAGE_TIMEOUT_S = 2.0  # for the first message of a new connection
MESSAGE_TIMEOUT_S = 2.0  # for the rest of a message that has begun, and for the peer to read a response
LINGER_TIMEOUT_S, MAX_LINGER_BYTES = 2.0, 64 << 20  # input that is read and discarded after the last response

# Pause before the next read per bad request, and the number of bad requests at which it stops growing.
BAD_REQUEST_PAUSE_S, MAX_BAD_REQUESTS = 0.1, 10

MAX_EVICTION_CHECKS = 8  # connections checked per rank for one eviction; each check is a system call
MAX_EARLY_READ_BYTES = 4096  # bytes of a request that are peeked at to answer it early
