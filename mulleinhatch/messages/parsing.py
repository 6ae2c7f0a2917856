"""Parsing of the messages between the processes of the system. Pure."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import betterproto

from mulleinhatch.errors import MessageError

MAX_COUNT = (1 << 63) - 1  # the largest value that fits every 64-bit integer field of the messages

ParsedMessage = TypeVar("ParsedMessage", bound=betterproto.Message)


class UnreadableMessageError(MessageError):
    """The bytes cannot be parsed as a message of the expected type: both sides must run compatible versions."""

    def __init__(self, message_type: str, cause: Exception) -> None:
        super().__init__(f"the bytes are not a valid {message_type} ({cause!r}); both sides must run compatible versions")


def parse_message(message_type: Callable[[], ParsedMessage], body: bytes) -> ParsedMessage:
    """Parse the bytes as a message.

    Args:
        message_type: The class of the message.
        body: Its protobuf encoding.

    Raises:
        UnreadableMessageError: The bytes are not a valid message of this type.
    """
    try:
        return message_type().parse(body)
    except Exception as error:  # betterproto's parser raises many types of exceptions
        raise UnreadableMessageError(getattr(message_type, "__name__", "message"), error) from error
