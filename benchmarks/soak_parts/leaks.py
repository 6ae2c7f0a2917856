"""Search a soak's logs and status pages for API keys of tenants and for digests of keys."""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Iterable, Mapping

DIGESTS = ("md5", "sha1", "sha256", "sha512", "blake2b", "blake2s", "sha3_256")
SHORTEST_PREFIX = 16  # characters of an encoded digest that identify it


def revealing_texts(key: str) -> list[bytes]:
    """Return the byte strings that reveal a key: the key, its unsalted digests, and their prefixes in hex and base64."""
    found = [key.encode()]
    for name in DIGESTS:
        digest = hashlib.new(name, key.encode()).digest()
        found += [digest.hex()[:SHORTEST_PREFIX].encode(), base64.b64encode(digest)[:SHORTEST_PREFIX], digest]
    return found


def find_leaks(texts: Mapping[str, bytes], keys: Iterable[str]) -> list[str]:
    """Return a line for each text that contains a key or a digest of one.

    Args:
        texts: Contents by name of the file or page.
        keys: All keys that a client or a configuration used.

    >>> find_leaks({"log": b"refused key-1"}, ["key-1"]), find_leaks({"log": b"refused"}, ["key-1"])
    (['log: a key or a digest of one'], [])
    """
    patterns = [pattern for key in keys for pattern in revealing_texts(key)]
    return [f"{name}: a key or a digest of one" for name, text in texts.items() if any(pattern in text for pattern in patterns)]
