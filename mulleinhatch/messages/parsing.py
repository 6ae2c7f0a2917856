"""Parse the messages between the processes of the system. Pure."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import betterproto

from mulleinhatch.errors import MessageError

MAX_COUNT = (1 << 63) - 1  # the largest number that the messages carry in every integer field of 64 bits

ParsedMessage = TypeVar("ParsedMessage", bound=betterproto.Message)


class UnreadableMessageError(MessageError):
    """The bytes of a message do not form one of the expected type: both sides must run compatible versions."""

    def __init__(self, message_type: str, cause: Exception) -> None:
        super().__init__(f"the bytes are no {message_type} ({cause!r}); both sides must run compatible versions")


def parse_message(message_type: Callable[[], ParsedMessage], body: bytes) -> ParsedMessage:
    """Return the message that the bytes form.

    Args:
        message_type: The class of the message.
        body: Its protobuf encoding.

    Raises:
        UnreadableMessageError: The bytes form no such message.
    """
    try:
        return message_type().parse(body)
    except Exception as error:  # betterproto lets through whatever its parser runs into
        raise UnreadableMessageError(getattr(message_type, "__name__", "message"), error) from error
