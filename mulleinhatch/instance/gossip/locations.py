"""Location of a member in the aggregation tree (region, zone and group), and packed addresses."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

from mulleinhatch.instance.gossip.bounds import FleetBounds

MAX_CONTACTS = 4
ADDRESS_BYTES = 6


@lru_cache(maxsize=65536)
def stable_hash(*names: str) -> int:
    """Return a 64-bit hash that is the same in every process.

    >>> stable_hash("a", "b") == stable_hash("a", "b") != stable_hash("ab")
    True
    """
    return int.from_bytes(blake2b("\0".join(names).encode(), digest_size=8).digest())


class GroupLocation(NamedTuple):
    """The group of a member."""

    region: str
    zone: str
    group: str  # index and number of groups, for example `3/16`
    index: int
    groups: int
    key: int  # 32 bits, sent in each message: a sender with the same key is a peer


def locate(bounds: FleetBounds, name: str) -> GroupLocation | None:
    """Return the group that a hash of its name assigns to a member, or None without a zone.

    >>> locate(FleetBounds("f"), "a")
    >>> location = locate(FleetBounds("f", zone="z", region="r", groups=16), "a")
    >>> location.groups, 0 <= location.index < 16
    (16, True)
    """
    if not bounds.zone:
        return None
    index = stable_hash(name) * bounds.groups >> 64
    group = f"{index}/{bounds.groups}"
    key = stable_hash(bounds.region, bounds.zone, group) >> 32 | 1
    return GroupLocation(bounds.region, bounds.zone, group, index, bounds.groups, key)


def pack_addresses(addresses: Iterable[str]) -> bytes:
    """Return up to `MAX_CONTACTS` addresses as bytes, without invalid ones.

    >>> unpack_addresses(pack_addresses(["127.0.0.1:80", "10.1.2.3:65535"]))
    ['127.0.0.1:80', '10.1.2.3:65535']
    """
    packed = b""
    for address in addresses:
        host, _, port = address.rpartition(":")
        try:
            packed += struct.pack("!4BH", *map(int, host.split(".")), int(port))
        except (struct.error, ValueError):
            continue  # a number is out of range
    return packed[: ADDRESS_BYTES * MAX_CONTACTS]


def unpack_addresses(packed: bytes) -> list[str]:
    """Return the addresses packed by `pack_addresses`; an incomplete last one is ignored."""
    complete = packed[: len(packed) // ADDRESS_BYTES * ADDRESS_BYTES]
    return ["%d.%d.%d.%d:%d" % fields for fields in struct.iter_unpack("!4BH", complete)]
