"""Outgoing messages before they are encoded."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from mulleinhatch.instance.gossip.messages import LeaseMessage, Offer


class OutgoingMessage(NamedTuple):
    """A message to one address; `MessageComposer` adds the state that it carries.

    A named tuple because several are created per heartbeat, and a frozen dataclass takes three times as long to construct.
    """

    address: str
    kind: str
    to: str = ""  # name of the receiver; empty if unknown
    number: int = 0
    subject: str = ""
    is_brief: bool = False  # carries no member updates and no reports
    sends_all_members: bool = False  # the receiver's view differs from the sender's
    lease_messages: Sequence[LeaseMessage] = ()
    offers: Sequence[Offer] = ()
    extension: bytes = b""
    summary_data: bytes = b""


class Datagram(NamedTuple):
    """Encoded bytes and their destination as host:port."""

    address: str
    data: bytes
