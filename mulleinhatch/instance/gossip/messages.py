"""Datagrams between members: MessagePack arrays of at most 1,200 bytes, validated by msgspec.

The order of the fields is the wire format: new fields are appended and have a default. A datagram that is invalid or from
another fleet or version is never answered.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_DATAGRAM_BYTES = 1200
VERSION = 1

# Values of `GossipMessage.kind`; they are part of the wire format.
PING = "ping"
ACK = "ack"
PROBE_REQUEST = "help"  # asks the receiver to probe `subject` on behalf of the sender
NOTICE = "word"  # carries state only; needs no response

Name = Annotated[str, Meta(min_length=1, max_length=40)]
# Numeric addresses only: resolving a host name would block the sender's event loop.
Address = Annotated[str, Meta(min_length=9, max_length=21, pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Amount = Annotated[int, Meta(ge=0, le=10**12)]
Age = Annotated[float, Meta(ge=0.0, le=86_400.0)]
Figure = Annotated[float, Meta(ge=0.0, le=1e12)]
ALIVE, SUSPECT, GONE, LEFT = 0, 1, 2, 3
STATES = ("alive", "suspect", "gone", "left")


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of a member; the higher process epoch, then incarnation, then state wins."""

    name: Name
    address: Address
    process_epoch: Number  # increases with each restart of the process
    incarnation: Number  # increases each time the member refutes a suspicion
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    age_s: Age = 0.0  # since the suspicion began


class Report(msgspec.Struct, array_like=True, frozen=True):
    """A member's figures in the order of `counters.FIGURES`, and its observations of others."""

    name: Name
    process_epoch: Number
    number: Number  # increases with each report of this process
    age_s: Age  # time since the report was made
    figures: Annotated[list[Amount], Meta(max_length=16)]  # integers for size: figures make up most of a datagram
    spare_units: Annotated[list[Amount], Meta(max_length=16)] = []  # by budget
    heavy_hitters: Annotated[list[tuple[Name, Figure]], Meta(max_length=4)] = []  # tenants, requests per second
    # Subject, percentage of bad evidence, amount of evidence.
    opinions: Annotated[list[tuple[Name, Annotated[int, Meta(ge=0, le=100)], Amount]], Meta(max_length=4)] = []
    # Address to which peers hand requests over.
    handover_address: Annotated[str, Meta(max_length=21, pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5})?$")] = ""


class LeaseMessage(msgspec.Struct, array_like=True, frozen=True):
    """A lease request (the borrower uses at most `amount` and wants `wanted` in total) or a grant of `amount` units."""

    budget: Annotated[int, Meta(ge=0, lt=16)]
    number: Number
    is_grant: bool
    amount: Amount
    wanted: Amount = 0
    process_epoch: Number = 0  # in a grant: the borrower's epoch, since a grant for an earlier process must be ignored


class Offer(msgspec.Struct, array_like=True, frozen=True):
    """Capacity for one request, reserved for the receiver of the message."""

    number: Number  # increases with each offer of this process
    valid_for_s: Annotated[float, Meta(ge=0.0, le=60.0)]
    address: Address  # to send the request to


class GossipMessage(msgspec.Struct, array_like=True, frozen=True):
    """One datagram: its kind and the state that it carries."""

    version: int
    fleet: Name
    sender: Name
    address: Address
    process_epoch: Number
    incarnation: Number
    kind: Annotated[str, Meta(pattern=r"^(ping|ack|help|word)$")]
    number: Number = 0  # of the ping that is sent, forwarded or acknowledged
    subject: Annotated[str, Meta(max_length=40)] = ""  # target of an indirect probe
    member_updates: Annotated[list[MemberUpdate], Meta(max_length=40)] = []
    reports: Annotated[list[Report], Meta(max_length=40)] = []
    lease_messages: Annotated[list[LeaseMessage], Meta(max_length=32)] = []
    pending_requests: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # queued requests that the sender could hand over
    offers: Annotated[list[Offer], Meta(max_length=16)] = []
    extension: Annotated[bytes, Meta(max_length=1000)] = b""  # for protocols on top of gossip; opaque here
    group_key: Number = 0  # `GroupLocation.key` of the sender; 0 without an aggregation tree
    # An encoded `SummaryMessage`, decoded separately so that an invalid one does not invalidate the whole datagram.
    summary_data: Annotated[bytes, Meta(max_length=1000)] = b""


PackedAddresses = Annotated[bytes, Meta(max_length=24)]  # up to four IPv4 addresses with their ports, six bytes each
LocationName = Annotated[str, Meta(min_length=1, max_length=32)]
GROUP, ZONE, REGION = 0, 1, 2
LEVELS = ("group", "zone", "region")


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """Sums over a group, zone or region, computed by one of its members `age_ds` tenths of a second ago."""

    level: Annotated[int, Meta(ge=GROUP, le=REGION)]
    name: LocationName
    age_ds: Annotated[int, Meta(ge=0, le=864_000)]  # tenths of a second
    members: Amount  # members known to serve
    silent: Amount  # how many of them have figures that are too old to count
    unknown_capacity: Amount  # requests per second that the silent members may serve
    oldest_ds: Annotated[int, Meta(ge=0, le=864_000)]  # age of the oldest counted figures in tenths of a second
    figures: Annotated[list[Amount], Meta(max_length=16)]
    contacts: PackedAddresses = b""  # its speakers


class SummaryMessage(msgspec.Struct, array_like=True, frozen=True):
    """Summaries exchanged by groups, zones and regions; the names are empty between members of one group."""

    region: Annotated[str, Meta(max_length=32)] = ""
    zone: Annotated[str, Meta(max_length=32)] = ""
    group: Annotated[str, Meta(max_length=32)] = ""
    wants_contacts: bool = False  # requests contacts closer to the sender's location
    contacts: PackedAddresses = b""  # the response to such a request
    ages: Annotated[bytes, Meta(max_length=128)] = b""  # see `summary_table.encode_ages`
    summaries: Annotated[list[Summary], Meta(max_length=16)] = []
    view_digest: Annotated[int, Meta(ge=0, le=0xFFFF)] = 0  # hash of the members that the sender sees in its group


_encoder = msgspec.msgpack.Encoder()
_summary_decoder = msgspec.msgpack.Decoder(SummaryMessage)
_decoder = msgspec.msgpack.Decoder(GossipMessage)
_list_decoder = msgspec.msgpack.Decoder(list)


class InvalidMessageError(ValueError):
    """A datagram that is dropped. The message is the suffix of a counter: garbage, other_version, other_fleet or too_long."""


def encode(message: GossipMessage) -> bytes:
    """Return the message as bytes."""
    return _encoder.encode(message)


def encoded_size(report: Report) -> int:
    """Return the encoded size of a report in bytes."""
    return len(_encoder.encode(report))


def decode(datagram: bytes, fleet: str) -> GossipMessage:
    """Decode and validate a datagram.

    Raises:
        InvalidMessageError: it is not a valid message of this fleet and version.

    >>> message = GossipMessage(VERSION, "f", "n1", "127.0.0.1:9", 7, 0, "ping", 3)
    >>> decode(encode(message), "f") == message
    True
    >>> decode(encode(message), "g")
    Traceback (most recent call last):
    mulleinhatch.instance.gossip.messages.InvalidMessageError: other_fleet
    >>> decode(b"\\x93\\x02", "f")
    Traceback (most recent call last):
    mulleinhatch.instance.gossip.messages.InvalidMessageError: garbage
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("too_long")
    try:
        message = _decoder.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError(_invalid_reason(datagram)) from None
    if message.version != VERSION:
        raise InvalidMessageError("other_version")
    if message.fleet != fleet:
        raise InvalidMessageError("other_fleet")
    return message


def decode_summary_message(data: bytes) -> SummaryMessage | None:
    """Decode the summaries of a message, or return None if they are invalid.

    >>> message = SummaryMessage("r", "z", "1/4", True)
    >>> decode_summary_message(encode_summary_message(message)).group, decode_summary_message(b"?")
    ('1/4', None)
    """
    try:
        return _summary_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def encode_summary_message(message: SummaryMessage) -> bytes:
    """Return the summaries as bytes."""
    return _encoder.encode(message)


def _invalid_reason(datagram: bytes) -> str:
    """Distinguish a newer version, whose fields may differ, from garbage by the first field."""
    try:
        fields = _list_decoder.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return "garbage"
    is_newer = fields and isinstance(fields[0], int) and not isinstance(fields[0], bool) and fields[0] > VERSION
    return "other_version" if is_newer else "garbage"
