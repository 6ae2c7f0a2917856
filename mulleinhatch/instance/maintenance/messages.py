"""What passes between askers and voters, in the `more` of the fleet's letters: MessagePack, checked into these structs."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from mulleinhatch.instance.maintenance.paxos_register import Answer, Ask, Kept
from mulleinhatch.instance.maintenance.schedule import Request

MOST_BYTES = 1000
Text = Annotated[str, Meta(max_length=40)]


class Word(msgspec.Struct, array_like=True, frozen=True, tag=True):
    pass


class Query(Word):
    """To a voter: my request, if I have one, and where I stand. Voters ask each other so, too."""

    request: Request | None = None
    cancelled: bool = False  # I want no more


class Reply(Word):
    """What that voter knows: the fence of your permit (0: none), your place among those that wait, how many may go now."""

    fence: int
    place: int  # from 0; -1: not among them
    waiting: int
    may_go: int  # bound less who is out
    why: Annotated[str, Meta(max_length=120)] = ""
    version: int = 0  # of the table that it keeps; 0: none
    your_writes: int = 0  # the most writes that it heard of from you, as a voter
    writes: int = 0  # its own
    frozen: Text = ""
    number: int = 0  # of the highest ballot that it promised: a lower one would only be beaten


class Asked(Word):
    ask: Ask
    number: int  # of the sending: its answer names it


class Answered(Word):
    answer: Answer
    number: int


class Tell(Word):
    """From a voter that lost what it kept: tell me what you keep."""


class Told(Word):
    kept: Kept
    empty: bool  # has nothing either, and does not serve as a voter


class Please(Word):
    """From one that a person told to ask others: go out for this. Told until it is thanked for."""

    request: Request


class Thanks(Word):
    """For the request that was made at that time."""

    asked: float


Any_ = Query | Reply | Asked | Answered | Tell | Told | Please | Thanks
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Any_)


class InvalidMessageError(ValueError):
    pass


def encode(word: Word) -> bytes:
    """
    >>> from mulleinhatch.instance.maintenance.paxos_register import Ballot
    >>> from mulleinhatch.instance.maintenance.table import Table
    >>> asked = Asked(Ask(Ballot(3, "n.1"), Table(("a",), 1, 1).go("n", "z", "w")), 7); decode(encode(asked)) == asked
    True
    >>> decode(b"?")
    Traceback (most recent call last):
    mulleinhatch.instance.maintenance.messages.InvalidMessageError: garbage
    """
    data = _encoder.encode(word)
    if len(data) > MOST_BYTES:
        raise InvalidMessageError("too long")
    return data


def decode(data: bytes) -> Word:
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError("garbage") from None
