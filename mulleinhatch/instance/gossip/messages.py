"""What passes between members: MessagePack of at most 1,200 bytes, checked into these structs by msgspec.

No datagram is answered at length, and none that is not of this fleet, this version and a good form is answered at all.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MOST_BYTES = 1200
VERSION = 1

Name = Annotated[str, Meta(min_length=1, max_length=40)]
# Numbers alone: a name would be looked up by whoever sends there, and hold its loop for as long as that takes.
Address = Annotated[str, Meta(min_length=9, max_length=21, pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Amount = Annotated[int, Meta(ge=0, le=10**12)]
Age = Annotated[float, Meta(ge=0.0, le=86_400.0)]
Figure = Annotated[float, Meta(ge=0.0, le=1e12)]
ALIVE, SUSPECT, GONE, LEFT = 0, 1, 2, 3
STATES = ("alive", "suspect", "gone", "left")


class Rumour(msgspec.Struct, array_like=True, frozen=True):
    """What is thought of a member; the higher life, incarnation and state win, in this order."""

    name: Name
    address: Address
    life: Number
    incarnation: Number
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    age: Age = 0.0  # seconds since it was suspected first


class Report(msgspec.Struct, array_like=True, frozen=True):
    """A member's own figures: those that `counts.py` names; by budget what it can spare; its loudest tenants in ops a
    second; what it thinks of others: subject, percent of evidence that is bad, pieces of evidence."""

    name: Name
    life: Number
    number: Number  # grows with each report of this life
    age: Age  # since it was made
    figures: Annotated[list[Amount], Meta(max_length=16)]  # whole numbers: most of a letter is these
    spares: Annotated[list[Amount], Meta(max_length=16)] = []
    loudest: Annotated[list[tuple[Name, Figure]], Meta(max_length=4)] = []
    opinions: Annotated[list[tuple[Name, Annotated[int, Meta(ge=0, le=100)], Amount]], Meta(max_length=4)] = []
    at: Annotated[str, Meta(max_length=21, pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5})?$")] = ""  # where its ops go


class Trade(msgspec.Struct, array_like=True, frozen=True):
    """An ask (`have` is used from now on at most, `want` is wished for in all) or a give (`have` may be used)."""

    budget: Annotated[int, Meta(ge=0, lt=16)]
    number: Number
    give: bool
    have: Amount
    want: Amount = 0
    life: Number = 0  # of the asker, in a give: an earlier life's answer is none of ours


class Offer(msgspec.Struct, array_like=True, frozen=True):
    """Room for one op, for the member it is sent to."""

    number: Number  # grows with each offer of this life
    lasts: Annotated[float, Meta(ge=0.0, le=60.0)]  # seconds
    at: Address  # where the op goes


class Letter(msgspec.Struct, array_like=True, frozen=True):
    version: int
    fleet: Name
    sender: Name
    address: Address
    life: Number
    incarnation: Number
    what: Annotated[str, Meta(pattern=r"^(ping|ack|help|word)$")]
    number: Number = 0  # of the ping that is sent, helped with or answered
    about: Annotated[str, Meta(max_length=40)] = ""  # whom a helper asked, or is to ask
    rumours: Annotated[list[Rumour], Meta(max_length=40)] = []
    reports: Annotated[list[Report], Meta(max_length=40)] = []
    trades: Annotated[list[Trade], Meta(max_length=32)] = []
    want: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # ops that the sender holds and would hand over
    offers: Annotated[list[Offer], Meta(max_length=16)] = []
    more: Annotated[bytes, Meta(max_length=1000)] = b""  # of who stands on the fleet: not looked into here
    place: Number = 0  # of the sender's group (`levels.Place.key`); 0 of a member that knows of no levels
    upward: Annotated[bytes, Meta(max_length=1000)] = b""  # an `Upward`, read on its own: a bad one costs no letter


Packed = Annotated[bytes, Meta(max_length=24)]  # up to four IPv4 addresses with their ports, six bytes each
PlaceName = Annotated[str, Meta(min_length=1, max_length=32)]
GROUP, ZONE, REGION = 0, 1, 2
LEVELS = ("group", "zone", "region")


class Sum(msgspec.Struct, array_like=True, frozen=True):
    """What a group, zone or region is and does in all, as somebody in it worked out `age` seconds ago."""

    level: Annotated[int, Meta(ge=GROUP, le=REGION)]
    name: PlaceName
    age: Annotated[int, Meta(ge=0, le=864_000)]  # tenths of a second
    members: Amount  # that serve as far as is known
    silent: Amount  # and of them those whose figures are too old to count
    unknown: Amount  # requests a second that the silent could serve
    oldest: Annotated[int, Meta(ge=0, le=864_000)]  # tenths of a second: of the figures that count
    figures: Annotated[list[Amount], Meta(max_length=16)]
    contacts: Packed = b""  # members who speak for it


class Upward(msgspec.Struct, array_like=True, frozen=True):
    """What passes between groups, zones and regions; the names are left out between members of one group."""

    region: Annotated[str, Meta(max_length=32)] = ""
    zone: Annotated[str, Meta(max_length=32)] = ""
    group: Annotated[str, Meta(max_length=32)] = ""
    wants: bool = False  # asks for contacts nearer to its own place
    contacts: Packed = b""  # the answer to that
    ages: Annotated[bytes, Meta(max_length=128)] = b""  # since somebody spoke for each part: `Levels._ages`
    sums: Annotated[list[Sum], Meta(max_length=16)] = []
    view: Annotated[int, Meta(ge=0, le=0xFFFF)] = 0  # of whom the sender, a mate, thinks there: who sees others tells it all


_encoder = msgspec.msgpack.Encoder()
_upward = msgspec.msgpack.Decoder(Upward)
_decoder = msgspec.msgpack.Decoder(Letter)
_first = msgspec.msgpack.Decoder(list)


class InvalidMessageError(ValueError):
    """The text is the counter that it goes by: garbage, other_version, other_fleet, too_long."""


def encode(letter: Letter) -> bytes:
    return _encoder.encode(letter)


def size(report: Report) -> int:
    """Bytes that it takes in a letter."""
    return len(_encoder.encode(report))


def decode(datagram: bytes, fleet: str) -> Letter:
    """
    >>> letter = Letter(VERSION, "f", "n1", "127.0.0.1:9", 7, 0, "ping", 3)
    >>> decode(encode(letter), "f") == letter
    True
    >>> decode(encode(letter), "g")
    Traceback (most recent call last):
    mulleinhatch.instance.gossip.messages.InvalidMessageError: other_fleet
    >>> decode(b"\\x93\\x02", "f")
    Traceback (most recent call last):
    mulleinhatch.instance.gossip.messages.InvalidMessageError: garbage
    """
    if len(datagram) > MOST_BYTES:
        raise InvalidMessageError("too_long")
    try:
        letter = _decoder.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError(_why(datagram)) from None
    if letter.version != VERSION:
        raise InvalidMessageError("other_version")
    if letter.fleet != fleet:
        raise InvalidMessageError("other_fleet")
    return letter


def decode_upward(data: bytes) -> Upward | None:
    """None for what is no `Upward`.

    >>> decode_upward(encode_upward(Upward("r", "z", "1/4", True))).group, decode_upward(b"?")
    ('1/4', None)
    """
    try:
        return _upward.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def encode_upward(upward: Upward) -> bytes:
    return _encoder.encode(upward)


def _why(datagram: bytes) -> str:
    """A newer version may have other fields: told from garbage by its first one."""
    try:
        first = _first.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return "garbage"
    newer = first and isinstance(first[0], int) and not isinstance(first[0], bool) and first[0] > VERSION
    return "other_version" if newer else "garbage"
