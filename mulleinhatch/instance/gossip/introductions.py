"""Discovery of members of other groups: pings to seeds and contacts, and responses with contacts closer to the sender."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.locations import MAX_CONTACTS, GroupLocation, pack_addresses, unpack_addresses
from mulleinhatch.instance.gossip.messages import (
    ACK,
    GROUP,
    PING,
    REGION,
    SUSPECT,
    ZONE,
    GossipMessage,
    Summary,
    SummaryMessage,
)
from mulleinhatch.instance.gossip.outgoing import OutgoingMessage
from mulleinhatch.instance.gossip.peer_groups import PeerGroup
from mulleinhatch.instance.gossip.summary_composer import SummaryComposer
from mulleinhatch.instance.gossip.summary_table import PartKey

MAX_NEWCOMER_LOCATIONS = 128  # locations for which the last pinging members are kept, to introduce them to each other
MAX_NEWCOMERS = 2  # per location
MAX_PINGED = 64  # addresses whose last ping time is kept
PING_INTERVAL_S = 1.0  # between pings to the same contact
OWN_GROUP_PING_INTERVAL_S = 2.0  # between pings to the same contact of a separated part of this member's group


class Introductions:
    """Pings to other groups and responses to theirs.

    Args:
        location: location of this member.
        members: members of its group.
        bounds: settings with the seeds.
        composer: builds the summaries to send.
        draw: returns a random integer below its argument.
    """

    def __init__(
        self,
        location: GroupLocation,
        members: PeerGroup,
        bounds: FleetBounds,
        composer: SummaryComposer,
        draw: Callable[[int], int],
    ) -> None:
        self.location, self.members, self.bounds, self.composer = location, members, bounds, composer
        self.next_index = draw(64)
        self.newcomers: dict[PartKey, list[str]] = {}
        self.pinged_at: dict[str, float] = {}

    def ping_next(self, now: float, addresses: Sequence[str]) -> Iterator[OutgoingMessage]:
        """Ping the next address in round-robin order."""
        others = [address for address in addresses if address != self.members.address] or self.bounds.beyond
        if others:
            self.next_index += 1
            yield self._ping(now, others[self.next_index % len(others)])

    def ping_contacts(self, now: float, contacts: bytes) -> Iterator[OutgoingMessage]:
        """Ping the contacts listed in a response."""
        for address in unpack_addresses(contacts):
            if address != self.members.address and self._may_ping(now, address, PING_INTERVAL_S):
                yield self._ping(now, address)

    def merge_groups(self, now: float, summary: Summary) -> Iterator[OutgoingMessage]:
        """Ping unknown speakers of this member's group, which belong to a separated part of it, in order to merge the parts."""
        if (summary.level, summary.name) != (GROUP, self.location.group):
            return
        known = {member.address for member in self.members.view.values() if member.state <= SUSPECT}
        known.add(self.members.address)
        for address in unpack_addresses(summary.contacts):
            if address not in known and self._may_ping(now, address, OWN_GROUP_PING_INTERVAL_S):
                yield self._ping(now, address)

    def answer(self, now: float, message: GossipMessage, summaries: SummaryMessage) -> OutgoingMessage:
        """Return the response to another group's ping: contacts closer to the sender, and summaries that it may lack."""
        summary_data = b""
        if summaries.region:
            contacts = self._contacts_for(message.address, summaries)
            # A sender without summaries is not a speaker: it needs contacts only, and immediately.
            known = self.composer.for_stranger(now, summaries) if summaries.summaries else []
            summary_data = self.composer.from_here(contacts=pack_addresses(contacts), summaries=known)
        return OutgoingMessage(message.address, ACK, number=message.number, is_brief=True, summary_data=summary_data)

    def _contacts_for(self, address: str, summaries: SummaryMessage) -> list[str]:
        if not summaries.wants_contacts:
            return []
        key = self._closest_part(summaries)
        newcomers = self.newcomers.get(key, [])
        row = self.composer.table.rows.get(key)
        candidates = [*(row.contacts[:2] if row else ()), *newcomers]
        contacts = [contact for contact in dict.fromkeys(candidates) if contact != address][:MAX_CONTACTS]
        if key in self.newcomers or len(self.newcomers) < MAX_NEWCOMER_LOCATIONS:
            self.newcomers[key] = [address, *(other for other in newcomers if other != address)][:MAX_NEWCOMERS]
        return contacts

    def _closest_part(self, summaries: SummaryMessage) -> PartKey:
        """Return the key of the row that the sender's location belongs to."""
        if summaries.region != self.location.region:
            return REGION, summaries.region
        if summaries.zone != self.location.zone:
            return ZONE, summaries.zone
        return GROUP, summaries.group

    def _may_ping(self, now: float, address: str, interval_s: float) -> bool:
        return now - self.pinged_at.get(address, -1e9) >= interval_s

    def _ping(self, now: float, address: str) -> OutgoingMessage:
        self.pinged_at[address] = now
        if len(self.pinged_at) > MAX_PINGED:
            del self.pinged_at[min(self.pinged_at, key=lambda other: self.pinged_at[other])]
        return OutgoingMessage(address, PING, is_brief=True, summary_data=self.composer.for_ping(now))
