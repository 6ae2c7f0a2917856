"""Aliases for identifying values: one key maps a text to the same alias in every file, and the mapping can't be reversed
without the key.

Shape and length are kept: a hexadecimal ID stays hexadecimal, letters stay letters, and a number keeps its number of digits.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from string import ascii_lowercase, ascii_uppercase, digits

from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.file import TraceMetadata
from mulleinhatch.instance.traces.kinds import Record

ROUNDS = 8
HEX = frozenset("0123456789abcdef")
MIN_KEY_BYTES = 16  # a shorter key could be guessed


class Aliases:
    """Maps names, IDs and numbers to aliases.

    Args:
        key: Secret key of at least `MIN_KEY_BYTES` bytes.

    Raises:
        ValueError: The key is too short.

    >>> aliases = Aliases(b"a key of sixteen bytes")
    >>> first, second = aliases.text("Moshi-17"), aliases.text("Moshi-17")
    >>> first == second != "Moshi-17", len(first), first[5], first[6:].isdigit()
    (True, 8, '-', True)
    >>> len({aliases.number(number) for number in range(1000)})
    1000
    """

    def __init__(self, key: bytes) -> None:
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"the key has {len(key)} bytes, at least {MIN_KEY_BYTES} are required")
        self.key = blake2b(key, digest_size=32).digest()

    def _stream(self, text: str, count: int) -> bytes:
        stream = b""
        while len(stream) < count:
            stream += blake2b(text.encode("utf-8", "surrogateescape"), key=self.key, person=b"%d" % len(stream)).digest()
        return stream

    def ref(self, ref: str) -> str:
        """Return the alias of a request ID."""
        if len(ref) == 16 and HEX.issuperset(ref):
            return blake2b(ref.encode(), key=self.key, digest_size=8, person=b"ref").hexdigest()
        return self.text(ref)

    def text(self, text: str) -> str:
        """Return the alias of a text; ASCII punctuation stays, letters outside ASCII become ASCII letters."""
        drawn = self._stream(text, 2 * len(text))
        return "".join(
            self._map_character(character, drawn[2 * index] << 8 | drawn[2 * index + 1]) for index, character in enumerate(text)
        )

    @staticmethod
    def _map_character(character: str, draw: int) -> str:
        if character.isdigit():
            return digits[draw % 10]
        if not character.isalpha():
            return character if character.isascii() else "_"
        alphabet = ascii_uppercase if character.isupper() else ascii_lowercase
        return alphabet[draw % 26]

    def number(self, number: int) -> int:
        """Return the alias of a non-negative integer: distinct numbers get distinct aliases with the same number of digits.

        Source: J. Black, P. Rogaway, "Ciphers with arbitrary finite domains" (2002): a Feistel network, repeated
            until the result is in the range.
        """
        low = 10 ** (len(str(number)) - 1) if number > 9 else 0
        size = 10 ** len(str(number)) - low
        half = max(1, ((size - 1).bit_length() + 1) // 2)
        value = number - low
        while True:
            left, right = value >> half, value & (1 << half) - 1
            for round_number in range(ROUNDS):
                mixed = blake2b(
                    b"%d %d %d" % (size, round_number, right), key=self.key, digest_size=8, person=b"number"
                ).digest()
                left, right = right, left ^ int.from_bytes(mixed, "big") & (1 << half) - 1
            value = left << half | right
            if value < size:
                return low + value


def anonymize_metadata(metadata: TraceMetadata, aliases: Aliases) -> TraceMetadata:
    """Return metadata with aliases; seed and deployment stay, because a replay needs them and they identify nobody."""
    return TraceMetadata(
        aliases.text(metadata.instance),
        metadata.seed,
        metadata.clock,
        metadata.wall,
        metadata.number,
        metadata.deployment,
        metadata.op_types,
        [aliases.text(tenant) for tenant in metadata.tenants],
        metadata.policy,
        metadata.made_by,
        [{**source, "instance": aliases.text(str(source.get("instance", "")))} for source in metadata.merged],
    )


def anonymize_records(records: Iterable[Record], aliases: Aliases) -> Iterator[Record]:
    """Yield the records with aliases for request IDs, callers and the details of notes."""
    for record in records:
        values = record.values
        if record.kind is kinds.READ:
            values = (values[0], aliases.ref(values[1]), *values[2:7], aliases.number(values[7]), *values[8:])
        elif record.kind is kinds.NOTE:
            values = (values[0], aliases.text(values[1]))
        yield Record(record.kind, record.time, values)
