"""The latest summaries of other groups, zones and regions, their totals, and comparison with another member's table."""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

import msgspec

from mulleinhatch.instance.gossip.counters import FIGURES
from mulleinhatch.instance.gossip.locations import (
    MAX_CONTACTS,
    GroupLocation,
    pack_addresses,
    stable_hash,
    unpack_addresses,
)
from mulleinhatch.instance.gossip.messages import GROUP, REGION, ZONE, Summary, SummaryMessage

SUMMED = FIGURES[:11]  # figures that are summed; the others are means, each with an amount of evidence
CAPACITY_INDEX = SUMMED.index("capacity")
MAX_ROWS = (63, 15, 15)  # other groups of the zone, other zones of the region, other regions
STALE_AFTER_S = (10.0, 12.0, 16.0)  # by level: time without a summary after which all members count as silent
NON_SPEAKER_STALE_FACTOR = 2.0  # multiplies that time at members that are not speakers
SENDS_TO_GROUPS, SENDS_TO_PEERS = 3, 3  # immediate sends of a membership change
MAX_AGE_DS = 864_000
SAME_AGE_S = 0.05  # summaries made less than this apart are treated as the same
PartKey = tuple[int, str]  # level and name


class Total(NamedTuple):
    """Sums over a group, zone, region or the fleet. Field names are keys of the command line's JSON output."""

    members: int
    silent: int  # members without current figures, because they or their whole group are silent
    unknown: float  # requests per second that the silent members may serve, by which a sum may be higher
    oldest: float  # age of the oldest counted figures in seconds
    figures: dict[str, float]

    def plus(self, other: Total) -> Total:
        """Return the sum of two disjoint parts."""
        return Total(
            self.members + other.members,
            self.silent + other.silent,
            self.unknown + other.unknown,
            max(self.oldest, other.oldest),
            {name: value + other.figures.get(name, 0.0) for name, value in self.figures.items()},
        )

    def most(self, figure: str) -> float:
        """Return the upper bound of a figure."""
        return self.figures[figure] + self.unknown

    def summary(self, level: int, name: str, contacts: Iterable[str]) -> Summary:
        """Return the sums as a summary with age 0."""
        return Summary(
            level,
            name,
            0,
            self.members,
            self.silent,
            int(self.unknown),
            ceil(10.0 * self.oldest),
            [int(self.figures[figure]) for figure in SUMMED],
            pack_addresses(contacts),
        )


def with_age(summary: Summary, age_s: float) -> Summary:
    """Return a copy of a summary with the given age, rounded down."""
    return msgspec.structs.replace(summary, age_ds=min(MAX_AGE_DS, int(10.0 * age_s)))


class ReceivedSummary:
    """The latest summary of another group, zone or region. Uses slots because there is one for each."""

    __slots__ = (
        "summary",
        "made_at",
        "seen_at",
        "contacts",
        "group_sends_left",
        "peer_sends_left",
        "sent_to_groups_at",
        "sent_to_peers_at",
    )

    def __init__(self, summary: Summary, made_at: float) -> None:
        self.summary, self.made_at = summary, made_at
        # Time at which it was last heard from, directly or through others. Age lists propagate it faster than the figures.
        self.seen_at = made_at
        self.contacts: list[str] = []
        self.group_sends_left = self.peer_sends_left = 0
        self.sent_to_groups_at = self.sent_to_peers_at = -1e9
        self.mark_changed()

    def mark_changed(self) -> None:
        """Schedule a few immediate sends to other groups and to peers."""
        self.group_sends_left, self.peer_sends_left = SENDS_TO_GROUPS, SENDS_TO_PEERS

    def is_stale(self, now: float, stale_factor: float = 1.0) -> bool:
        """Return whether it was not heard from for so long that its members count as silent."""
        return now - self.seen_at > stale_factor * STALE_AFTER_S[self.summary.level]

    def total(self, now: float, stale_factor: float = 1.0) -> Total:
        """Return its sums; for a stale summary only the number of silent members and the capacity they may serve."""
        summary = self.summary
        if self.is_stale(now, stale_factor):
            capacity = (summary.figures[CAPACITY_INDEX:] or [0])[0]
            unknown = float(summary.unknown_capacity + capacity)
            return Total(0, summary.members, unknown, 0.0, dict.fromkeys(SUMMED, 0.0))
        figures = dict(zip(SUMMED, map(float, summary.figures)))
        return Total(
            summary.members,
            summary.silent,
            float(summary.unknown_capacity),
            now - self.made_at + summary.oldest_ds / 10.0,
            {name: figures.get(name, 0.0) for name in SUMMED},
        )

    def relayed(self, now: float) -> Summary:
        """Return the summary to relay.

        The age is rounded up, so that a circulating summary does not stay young. A third contact is added: separated parts of
        a group each list two contacts of their own, and are merged through the third.
        """
        return msgspec.structs.replace(
            self.summary,
            age_ds=min(MAX_AGE_DS, int(10.0 * (now - self.made_at)) + 1),
            contacts=pack_addresses(self.contacts[:3]),
        )

    def learn_contacts(self, summary: Summary) -> None:
        """Put the contacts of a summary first, followed by earlier ones up to `MAX_CONTACTS`."""
        contacts = unpack_addresses(summary.contacts)
        earlier = [address for address in self.contacts if address not in contacts]
        self.contacts = [*contacts, *earlier][:MAX_CONTACTS]


class SummaryTable:
    """Summaries by level and name, of the parts of the tree that do not contain this member.

    Args:
        location: location of this member.
        max_age_s: maximum age of an accepted summary, and age after which a row is dropped.
        counts: counters; this class increments `sums_refused` and `news`.
    """

    def __init__(self, location: GroupLocation, max_age_s: float, counts: Counter[str]) -> None:
        self.location, self.max_age_s, self.counts = location, max_age_s, counts
        self.rows: dict[PartKey, ReceivedSummary] = {}

    def drop_old(self, now: float) -> None:
        """Drop rows of parts that were not heard from for `max_age_s` seconds."""
        for key in [key for key, row in self.rows.items() if now - row.seen_at > self.max_age_s]:
            del self.rows[key]

    def total(self, now: float, level: int, stale_factor: float) -> Total:
        """Return the sum over the other groups, zones or regions."""
        total = Total(0, 0, 0.0, 0.0, dict.fromkeys(SUMMED, 0.0))
        for (row_level, _), row in self.rows.items():
            if row_level == level:
                total = total.plus(row.total(now, stale_factor))
        return total

    def known_groups(self) -> int:
        """Return the number of known groups of this member's zone, including its own."""
        return 1 + sum(level == GROUP for level, _ in self.rows)

    # Received summaries.

    def accept(self, now: float, summary: Summary, message: SummaryMessage, is_peer: bool) -> bool:
        """Process a summary and return whether the membership changed.

        Args:
            now: seconds of the caller's clock.
            summary: one of the message's summaries.
            message: the message, which has the sender's location unless the sender is a peer.
            is_peer: whether the sender belongs to this member's group.
        """
        if not self._is_relevant(summary, message, is_peer):
            return False
        key, made_at = (summary.level, summary.name), now - summary.age_ds / 10.0
        row = self.rows.get(key)
        if row is None:
            if not self._has_capacity_for(summary):
                self.counts["sums_refused"] += 1
                return False
            row = self.rows[key] = ReceivedSummary(summary, made_at)
            return self._record_change(row, summary)
        if made_at <= row.made_at + SAME_AGE_S:
            return False
        # A short silence without a membership change is not a change: sending it at once would cost each member a message.
        was_silent = now - row.seen_at > NON_SPEAKER_STALE_FACTOR * STALE_AFTER_S[summary.level]
        is_change = summary.members != row.summary.members or was_silent
        row.summary, row.made_at, row.seen_at = summary, made_at, max(made_at, row.seen_at)
        if is_change:
            return self._record_change(row, summary)
        row.learn_contacts(summary)
        return False

    def _record_change(self, row: ReceivedSummary, summary: Summary) -> bool:
        row.mark_changed()
        self.counts["news"] += 1
        row.learn_contacts(summary)
        return True

    def _is_relevant(self, summary: Summary, message: SummaryMessage, is_peer: bool) -> bool:
        """Return whether it sums a sibling of this member's location and its sender can know it; others would count twice."""
        if summary.level == REGION:
            return summary.name != self.location.region
        if summary.level == ZONE:
            return summary.name != self.location.zone and (is_peer or message.region == self.location.region)
        return summary.name != self.location.group and (is_peer or self.is_own_zone(message))

    def is_own_zone(self, message: SummaryMessage) -> bool:
        """Return whether the sender is in this member's zone."""
        return (message.region, message.zone) == (self.location.region, self.location.zone)

    def _has_capacity_for(self, summary: Summary) -> bool:
        rows = sum(level == summary.level for level, _ in self.rows)
        is_recent = summary.age_ds / 10.0 <= self.max_age_s
        return rows < MAX_ROWS[summary.level] and is_recent and self._is_valid_name(summary)

    @staticmethod
    def _is_valid_name(summary: Summary) -> bool:
        index, _, groups = summary.name.partition("/")
        if summary.level != GROUP:
            return True
        return index.isdigit() and groups.isdigit() and int(index) < int(groups) <= MAX_ROWS[GROUP] + 1

    # Ages, which two members compare instead of all summaries.

    def encode_ages(self, now: float, own_members: int | None = None) -> bytes:
        """Return a two-byte checksum, then two bytes per part: its age and the low byte of its number of members.

        The age is in tenths of a second, or 255 if unknown. By the number of members, a receiver detects changes that one of
        the two members has missed.

        Args:
            now: seconds of the caller's clock.
            own_members: number of members of this member's group, if it is the speaker.
        """
        keys, check_sum = self._listed_parts()
        ages = bytearray(check_sum)
        for key in keys:
            if row := self.rows.get(key):
                ages += bytes((min(255, int(10.0 * (now - row.seen_at)) + 1), row.summary.members & 0xFF))
            elif own_members is not None and key[1] == self.location.group:
                ages += bytes((0, own_members & 0xFF))
            else:
                ages += b"\xff\0"
        return bytes(ages)

    def apply_ages(self, now: float, ages: bytes) -> list[ReceivedSummary]:
        """Apply more recent ages, and return the rows for which this member or the sender has missed a change."""
        differing: list[ReceivedSummary] = []
        keys, check_sum = self._listed_parts()
        is_same_list = ages[:2] == check_sum and len(ages) == 2 + 2 * len(keys)
        comparable = keys if is_same_list else keys[: self.location.groups]  # the groups are always listed in the same order
        entries = struct.iter_unpack("2B", ages[2 : len(ages) // 2 * 2])
        for key, (age_ds, members) in zip(comparable, entries):
            row = self.rows.get(key)
            if row is None:
                continue
            if age_ds < 255 and members == row.summary.members & 0xFF:
                row.seen_at = max(row.seen_at, now - age_ds / 10.0)
            elif not row.is_stale(now):
                differing.append(row)
        if not is_same_list:
            differing += [self.rows[key] for key in keys[self.location.groups :]]
        return differing

    def _listed_parts(self) -> tuple[list[PartKey], bytes]:
        """Return the parts in the order of the ages, and a checksum by which a receiver checks that its list is the same."""
        groups = [(GROUP, f"{index}/{self.location.groups}") for index in range(self.location.groups)]
        others = sorted(key for key in self.rows if key[0] != GROUP)
        return groups + others, (stable_hash(*(name for _, name in others)) & 0xFFFF).to_bytes(2)
