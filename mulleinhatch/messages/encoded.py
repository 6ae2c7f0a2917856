"""Messages that carry others in their encoded form.

On the wire, a field of bytes is the same as a field of the message that the bytes encode. A sender that puts one message into
many others encodes it once; receivers parse the ordinary type. Source: Protocol Buffers, "Encoding", length-delimited records.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import List  # noqa: UP035 (betterproto reads the annotation)

import betterproto

from mulleinhatch.messages.cluster import PollResponse


@dataclass
class EncodedPollResponse(PollResponse):
    """A `PollResponse` whose backends are encoded already; `PollResponse` parses it."""

    backends: List[bytes] = betterproto.bytes_field(8)  # noqa: UP006 (betterproto reads the annotation)
