"""Messages that contain other messages in encoded form.

On the wire, a bytes field is identical to a field of the message that the bytes encode. A sender that puts one message into
many others can therefore encode it once; receivers parse the ordinary type. Source: Protocol Buffers, "Encoding",
length-delimited records.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import List  # noqa: UP035 (betterproto reads the annotation)

import betterproto

from mulleinhatch.messages.cluster import PollResponse


@dataclass
class EncodedPollResponse(PollResponse):
    """A `PollResponse` whose backends are already encoded; receivers parse it as a `PollResponse`."""

    backends: List[bytes] = betterproto.bytes_field(8)  # noqa: UP006 (betterproto reads the annotation)
