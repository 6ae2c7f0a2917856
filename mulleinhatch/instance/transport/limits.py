"""Limits on what one peer of the listener may cost: time, bytes, descriptors and turns of the event loop."""

from __future__ import annotations

IN_FLIGHT_S = 0.05  # how long a request may still be under way when our side closes; its caller sends it again
FREE_SHARE = 16  # one of so many connections is kept free: a half-closed one holds its descriptor until the peer closes
FIRST_MESSAGE_TIMEOUT_S = 2.0  # until a new connection must have sent its first message
MESSAGE_TIMEOUT_S = 2.0  # until a message that has begun must be complete, and a response must have been read
LINGER_TIMEOUT_S, MAX_LINGER_BYTES = 2.0, 64 << 20  # what is still read and discarded after the last response
BAD_REQUEST_PAUSE_S, MAX_BAD_REQUESTS = 0.1, 10  # pause before the next read, for each bad request of a connection
MAX_EVICTION_CHECKS = 8  # connections checked per rank for one eviction: each check is a system call
MAX_EARLY_READ_BYTES = 4096  # how much of a request is peeked at to answer it early
