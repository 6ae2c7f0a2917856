"""Messages on their way out, before they are encoded: what the parts of the gossip protocol ask `GossipNode` to send."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from mulleinhatch.instance.gossip.messages import LeaseMessage, Offer


class OutgoingMessage(NamedTuple):
    """A message to one address; `MessageComposer` adds the state that it carries along.

    A named tuple instead of a frozen dataclass: several are made each heartbeat, and it is built in a third of the time.
    """

    address: str
    kind: str
    to: str = ""  # name of the receiver; empty where it is not known
    number: int = 0
    subject: str = ""
    is_brief: bool = False  # carries no member updates and no reports
    sends_all_members: bool = False  # the receiver sees other members than the sender does
    lease_messages: Sequence[LeaseMessage] = ()
    offers: Sequence[Offer] = ()
    extension: bytes = b""
    summary_data: bytes = b""


class Datagram(NamedTuple):
    """Encoded bytes and the host:port that they go to."""

    address: str
    data: bytes
