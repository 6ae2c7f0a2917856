"""What passes between askers and voters, in the `more` of the fleet's letters: MessagePack, checked into these structs."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from mulleinhatch.instance.maintenance.paxos_register import RegisterRequest, RegisterResponse, VoterState
from mulleinhatch.instance.maintenance.schedule import Request

MAX_MESSAGE_BYTES = 1000
ShortText = Annotated[str, Meta(max_length=40)]


class MaintenanceMessage(msgspec.Struct, array_like=True, frozen=True, tag=True):
    pass


class PositionQuery(MaintenanceMessage, tag="Query"):
    """To a voter: my request, if I have one, and where I stand. Voters ask each other so, too."""

    request: Request | None = None
    cancelled: bool = False  # I want no more


class PositionReply(MaintenanceMessage, tag="Reply"):
    """What that voter knows: the fence of your permit (0: none), your place among those that wait, how many may go now."""

    fence: int
    place: int  # from 0; -1: not among them
    waiting: int
    may_go: int  # bound less who is out
    why: Annotated[str, Meta(max_length=120)] = ""
    version: int = 0  # of the table that it keeps; 0: none
    your_writes: int = 0  # the most writes that it heard of from you, as a voter
    writes: int = 0  # its own
    frozen: ShortText = ""
    number: int = 0  # of the highest ballot that it promised: a lower one would only be beaten


class RegisterRequestMessage(MaintenanceMessage, tag="Asked"):
    ask: RegisterRequest
    number: int  # of the sending: its answer names it


class RegisterResponseMessage(MaintenanceMessage, tag="Answered"):
    answer: RegisterResponse
    number: int


class VoterStateQuery(MaintenanceMessage, tag="Tell"):
    """From a voter that lost what it kept: tell me what you keep."""


class VoterStateReply(MaintenanceMessage, tag="Told"):
    voter_state: VoterState
    empty: bool  # has nothing either, and does not serve as a voter


class MaintenanceRequestMessage(MaintenanceMessage, tag="Please"):
    """From one that a person told to ask others: go out for this. Told until it is thanked for."""

    request: Request


class MaintenanceRequestAck(MaintenanceMessage, tag="Thanks"):
    """For the request that was made at that time."""

    asked: float


AnyMessage = (
    PositionQuery
    | PositionReply
    | RegisterRequestMessage
    | RegisterResponseMessage
    | VoterStateQuery
    | VoterStateReply
    | MaintenanceRequestMessage
    | MaintenanceRequestAck
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


class InvalidMessageError(ValueError):
    pass


def encode(message: MaintenanceMessage) -> bytes:
    """
    >>> from mulleinhatch.instance.maintenance.paxos_register import ProposalNumber
    >>> from mulleinhatch.instance.maintenance.table import PermitTable
    >>> asked = RegisterRequestMessage(RegisterRequest(ProposalNumber(3, "n.1"), PermitTable(("a",), 1, 1).grant("n", "z", "w")), 7); decode(encode(asked)) == asked
    True
    >>> decode(b"?")
    Traceback (most recent call last):
    mulleinhatch.instance.maintenance.messages.InvalidMessageError: garbage
    """
    data = _encoder.encode(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError("too long")
    return data


def decode(data: bytes) -> MaintenanceMessage:
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError("garbage") from None
