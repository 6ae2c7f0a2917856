"""Messages between instances and voters, carried in the `more` field of gossip messages.

They are MessagePack arrays validated into these structs. The tags are part of the protocol: they are the class names of
earlier versions and must not follow a rename.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from mulleinhatch.instance.maintenance.paxos_register import RegisterRequest, RegisterResponse, VoterState
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest

MAX_MESSAGE_BYTES = 1000
ShortText = Annotated[str, Meta(max_length=40)]


class MaintenanceMessage(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base class of the maintenance messages; a MessagePack array that starts with the tag."""

    pass


class PositionQuery(MaintenanceMessage, tag="Query"):
    """Ask a voter for the sender's position in the order; voters query each other, too.

    Attributes:
        request: The sender's request, if it has one.
        cancelled: Whether the sender withdraws its request.
    """

    request: MaintenanceRequest | None = None
    cancelled: bool = False


class PositionReply(MaintenanceMessage, tag="Reply"):
    """A voter's view of the sender's request and permit.

    Attributes:
        fencing_token: Fencing token of the sender's permit; 0 for none.
        position: Position in the order from 0; -1 if the sender is not in it.
        waiting: Number of requests that are allowed to start.
        available_permits: Number of permits that the voter can still grant.
        reasons: Reasons for the position.
        version: Version of the voter's table; 0 for none.
        receiver_writes: The receiver's highest write count as a voter that the sender knows.
        writes: The voter's own write count.
        frozen: Reason of a freeze; empty for none.
        number: Highest proposal number the voter promised; a lower proposal would be rejected.
    """

    fencing_token: int
    position: int
    waiting: int
    available_permits: int
    reasons: Annotated[str, Meta(max_length=120)] = ""
    version: int = 0
    receiver_writes: int = 0
    writes: int = 0
    frozen: ShortText = ""
    number: int = 0


class RegisterRequestMessage(MaintenanceMessage, tag="Asked"):
    """A `RegisterRequest`; the response repeats `number`, which identifies the round."""

    request: RegisterRequest
    number: int


class RegisterResponseMessage(MaintenanceMessage, tag="Answered"):
    """A `RegisterResponse` to the request with that `number`."""

    response: RegisterResponse
    number: int


class VoterStateQuery(MaintenanceMessage, tag="Tell"):
    """Ask a voter for its state, sent by a voter that lost its own."""


class VoterStateReply(MaintenanceMessage, tag="Told"):
    """A voter's state; `is_empty` means that it has none either and abstains."""

    voter_state: VoterState
    is_empty: bool


class MaintenanceRequestMessage(MaintenanceMessage, tag="Please"):
    """Ask another instance, on behalf of an operator, to request maintenance; repeated until acknowledged."""

    request: MaintenanceRequest


class MaintenanceRequestAck(MaintenanceMessage, tag="Thanks"):
    """Acknowledge the request made at the time `requested_at`."""

    requested_at: float


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
    """Raised for bytes that are no valid message, or a message that is too long."""

    pass


def encode(message: MaintenanceMessage) -> bytes:
    """Encode a message.

    Raises:
        InvalidMessageError: It exceeds `MAX_MESSAGE_BYTES`.

    >>> from mulleinhatch.instance.maintenance.paxos_register import ProposalNumber
    >>> from mulleinhatch.instance.maintenance.table import PermitTable
    >>> request = RegisterRequest(ProposalNumber(3, "n.1"), PermitTable(("a",), 1, 1).grant("n", "z", "w"))
    >>> message = RegisterRequestMessage(request, 7)
    >>> decode(encode(message)) == message
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
    """Decode a message.

    Raises:
        InvalidMessageError: The bytes are no valid message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError("garbage") from None
