"""Write a configuration as JSON, and compress it, in pieces."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from mulleinhatch.configuration.item_list import ITEMS_PER_CHUNK, ItemList
from mulleinhatch.steps import Steps

COMPRESSION_CHUNK_BYTES = 1 << 16
COMPRESSION_LEVEL = 6


def json_chunks(value: Mapping[str, Any]) -> Iterator[bytes]:
    """Yield a configuration as compact JSON, at most `ITEMS_PER_CHUNK` items of a list at once.

    >>> b"".join(json_chunks({"version": 1, "routes": ItemList(), "services": ItemList().patched([{"name": "a"}])}))
    b'{"version":1,"routes":[],"services":[{"name":"a"}]}'
    """
    separator = b"{"
    for key, member in value.items():
        yield separator + _compact_json(key) + b":"
        separator = b","
        if isinstance(member, (ItemList, list)) and member:
            yield from _array_chunks(member)
        else:
            yield _compact_json(list(member) if isinstance(member, ItemList) else member)
    yield b"}" if value else b"{}"


def _array_chunks(items: ItemList | list[Any]) -> Iterator[bytes]:
    separator = b"["
    for chunk in _chunks_of(items):
        yield separator + _compact_json(chunk)[1:-1]
        separator = b","
    yield b"]"


def _chunks_of(items: ItemList | list[Any]) -> Iterator[Sequence[Any]]:
    if isinstance(items, ItemList):
        return items.chunks()
    return (items[start : start + ITEMS_PER_CHUNK] for start in range(0, len(items), ITEMS_PER_CHUNK))


def _compact_json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def joined(chunks: Iterable[bytes]) -> Steps[bytes]:
    """Join chunks, one a step."""
    parts = []
    for chunk in chunks:
        parts.append(chunk)
        yield
    return b"".join(parts)


def compressed(chunks: Iterable[bytes]) -> Steps[bytes]:
    """Compress the concatenation of chunks with zlib, a bounded number of bytes a step."""
    compressor, parts = zlib.compressobj(COMPRESSION_LEVEL), []
    for chunk in chunks:
        for start in range(0, len(chunk), COMPRESSION_CHUNK_BYTES):
            parts.append(compressor.compress(chunk[start : start + COMPRESSION_CHUNK_BYTES]))
            yield
    parts.append(compressor.flush())
    return b"".join(parts)


def decompressed(data: bytes) -> Steps[bytes]:
    """Decompress zlib data, a bounded number of bytes a step.

    Raises:
        zlib.error: The data is damaged or incomplete.
    """
    decompressor, parts = zlib.decompressobj(), []
    while not decompressor.eof:
        part = decompressor.decompress(data, COMPRESSION_CHUNK_BYTES)
        data = decompressor.unconsumed_tail
        if not part and not data and not decompressor.eof:
            raise zlib.error("the data is incomplete")
        parts.append(part)
        yield
    return b"".join(parts)


def patch_list_chunks(patches: Sequence[bytes]) -> Iterator[bytes]:
    """Yield a JSON array of patches, which are JSON texts.

    >>> b"".join(patch_list_chunks([b'{"version":2}', b'{"version":3}']))
    b'[{"version":2},{"version":3}]'
    """
    separator = b"["
    for patch in patches:
        yield separator
        yield patch
        separator = b","
    yield b"]" if patches else b"[]"
