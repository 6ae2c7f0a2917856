"""API keys: reading them from `Authorization`, hiding them, and the digests by which they are compared. Pure.

A key exists only in the configuration and in the client's request. For comparison only its digest is stored, computed with a
random digest key of the process, and no `repr` shows either.

Source: RFC 6750, section 2.1 (`Authorization: Bearer KEY`); RFC 9110, section 11.1 (the scheme's name is case-insensitive).
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Sequence
from enum import Enum

from result import Err, Ok, Result

DIGEST_BYTES = 16  # two of a million keys of one configuration share a digest with a probability below 1e-27
BEARER = re.compile(rb"bearer +([^\s]+)", re.IGNORECASE)


class AuthenticationError(Enum):
    """Why a request has no tenant. The values are sent in responses and never contain a key."""

    NO_KEY = "an API key is needed: send Authorization: Bearer KEY"
    MALFORMED = "Authorization is not of the form Bearer KEY"
    REPEATED = "Authorization occurs more than once"
    UNKNOWN_KEY = "the API key is not known"


class Secret:
    """A value that `repr` does not show.

    Args:
        value: The value as sent on the wire.
    """

    __slots__ = ("_value",)

    def __init__(self, value: bytes) -> None:
        self._value = value

    def reveal(self) -> bytes:
        """Return the value; the caller must keep it out of logs, errors and status pages."""
        return self._value

    def __repr__(self) -> str:
        return "Secret(...)"


class KeyDigester:
    """Computes the digests by which keys are compared.

    Args:
        digest_key: At most 64 random bytes, private to the process: without them a digest reveals nothing about its key.
    """

    __slots__ = ("_digest_key",)

    def __init__(self, digest_key: bytes) -> None:
        self._digest_key = digest_key

    def digest(self, secret: Secret) -> bytes:
        """Return the digest of a key."""
        return hashlib.blake2b(secret.reveal(), digest_size=DIGEST_BYTES, key=self._digest_key).digest()

    def __repr__(self) -> str:
        return "KeyDigester(...)"


def read_bearer_key(authorization: Sequence[bytes]) -> Result[Secret, AuthenticationError]:
    """Read the key of a request.

    Args:
        authorization: The values of all its `Authorization` fields, without surrounding whitespace.

    >>> read_bearer_key([b"bearer abc"]), read_bearer_key([b"abc"])
    (Ok(Secret(...)), Err(<AuthenticationError.MALFORMED: 'Authorization is not of the form Bearer KEY'>))
    """
    if not authorization:
        return Err(AuthenticationError.NO_KEY)
    if len(authorization) > 1:
        return Err(AuthenticationError.REPEATED)
    match = BEARER.fullmatch(authorization[0])
    if match is None:
        return Err(AuthenticationError.MALFORMED)
    return Ok(Secret(match.group(1)))
