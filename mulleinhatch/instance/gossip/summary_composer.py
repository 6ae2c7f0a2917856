"""Selects the summaries for each kind of receiver within the byte limit of a message."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from mulleinhatch.instance.gossip.group_summary import GroupSummary
from mulleinhatch.instance.gossip.locations import GroupLocation, stable_hash
from mulleinhatch.instance.gossip.messages import (
    GROUP,
    REGION,
    SUSPECT,
    ZONE,
    Summary,
    SummaryMessage,
    encode_summary_message,
)
from mulleinhatch.instance.gossip.peer_groups import PeerGroup
from mulleinhatch.instance.gossip.speaker_election import SpeakerElection
from mulleinhatch.instance.gossip.summary_table import ReceivedSummary, SummaryTable, Total

MAX_SUMMARY_BYTES = 640
MAX_SUMMARIES_TO_PEER, MAX_SUMMARIES_TO_GROUP = 3, 6
GROUP_REFRESH_INTERVALS_S = (8.0, 4.0, 4.0)  # by level: between sends of an unchanged row to other groups
PEER_REFRESH_INTERVAL_S = 12.0  # between sends of an unchanged row to peers


class SummaryComposer:
    """Builds `SummaryMessage`s.

    Args:
        location: location of this member.
        members: members of its group.
        table: summaries of other parts of the tree.
        group_summary: summary of this member's group.
        election: decides whether this member is the speaker.
        draw: returns a random integer below its argument.
    """

    def __init__(
        self,
        location: GroupLocation,
        members: PeerGroup,
        table: SummaryTable,
        group_summary: GroupSummary,
        election: SpeakerElection,
        draw: Callable[[int], int],
    ) -> None:
        self.location, self.members, self.table = location, members, table
        self.group_summary, self.election, self.draw = group_summary, election, draw

    def totals(self, now: float) -> dict[str, Total]:
        """Return the sums over `group`, `zone`, `region` and `fleet`, as known to this member."""
        stale_factor = self.election.stale_factor
        group = self.group_summary.total(now)
        zone = group.plus(self.table.total(now, GROUP, stale_factor))
        region = zone.plus(self.table.total(now, ZONE, stale_factor))
        return {
            "group": group,
            "zone": zone,
            "region": region,
            "fleet": region.plus(self.table.total(now, REGION, stale_factor)),
        }

    def view_digest(self) -> int:
        """Return a two-byte hash of the members seen in this member's group, including itself; never 0."""
        digest = stable_hash(self.members.name)
        for member in self.members.view.values():
            if member.state <= SUSPECT:
                digest ^= stable_hash(member.name)
        return digest & 0xFFFF or 1

    def ages(self, now: float) -> bytes:
        """Return the ages of all parts of the tree, including this member's group if it is the speaker."""
        is_first = self.election.rank() == 0
        published = self.group_summary.published
        return self.table.encode_ages(now, published.members if is_first and published else None)

    def for_peer(self, now: float, is_ping: bool) -> bytes:
        """Return changes and then the rows sent to peers longest ago; empty if nothing is due.

        A ping also has the ages and a view digest, by which the receiver decides whether to send all members.
        """
        chosen: list[Summary] = []
        rows = sorted(self.table.rows.values(), key=lambda row: (-row.peer_sends_left, row.sent_to_peers_at))
        for row in rows:
            is_due = row.peer_sends_left or now - row.sent_to_peers_at >= PEER_REFRESH_INTERVAL_S
            if len(chosen) >= MAX_SUMMARIES_TO_PEER or not is_due:
                break
            row.peer_sends_left, row.sent_to_peers_at = max(0, row.peer_sends_left - 1), now
            chosen.append(row.relayed(now))
        if is_ping:
            ages, view_digest = self.table.encode_ages(now), self.view_digest()
            return fit_message(SummaryMessage(ages=ages, summaries=chosen, view_digest=view_digest))
        return fit_message(SummaryMessage(summaries=chosen)) if chosen else b""

    def for_group(self, now: float) -> bytes:
        """Return a speaker's message to another group of its zone: its group's summary, changes, and the rest in rotation."""
        chosen: list[Summary] = []
        if self.group_summary.sends_left and (own := self.group_summary.current(now)):
            self.group_summary.sends_left -= 1
            chosen.append(own)
        due = [
            row
            for (level, _), row in self.table.rows.items()
            if row.group_sends_left or now - row.sent_to_groups_at >= GROUP_REFRESH_INTERVALS_S[level]
        ]
        due.sort(key=lambda row: (-row.group_sends_left, row.sent_to_groups_at))
        for row in due[: MAX_SUMMARIES_TO_GROUP - len(chosen)]:
            row.group_sends_left, row.sent_to_groups_at = max(0, row.group_sends_left - 1), now
            chosen.append(row.relayed(now))
        return self.from_here(ages=self.ages(now), summaries=chosen)

    def for_group_that_missed(self, now: float, missed: list[ReceivedSummary]) -> bytes:
        """Return the summaries that another group's speaker missed, newest first."""
        newest = sorted(missed, key=lambda row: -row.made_at)[:MAX_SUMMARIES_TO_GROUP]
        summaries = [row.relayed(now) for row in newest]
        return self.from_here(ages=self.ages(now), summaries=[*self._own_if_speaker(now), *summaries])

    def for_remote(self, now: float, level: int) -> list[Summary]:
        """Return the summaries for another zone or region: this one's sums, and its siblings, so that it discovers them."""
        totals = self.totals(now)
        contacts = [self.members.address, *self._contact_of_other_group(now)]
        if level == REGION:
            own = totals["region"].summary(REGION, self.location.region, contacts)
        else:
            own = totals["zone"].summary(ZONE, self.location.zone, contacts)
        siblings = [
            row.relayed(now) for (row_level, _), row in self.table.rows.items() if row_level >= level and not row.is_stale(now)
        ]
        return [own, *siblings]

    def for_ping(self, now: float) -> bytes:
        """Return the contents of a ping to another group: a request for contacts and, from a speaker, summaries."""
        summaries: list[Summary] = []
        # A member that is alone needs contacts only.
        if self.election.is_speaker(now) and not self.election.is_alone():
            own = self.group_summary.current(now)
            summaries = [own] if own else []
            summaries += self.for_remote(now, REGION)[:1]
            summaries += self.for_remote(now, ZONE)
        return self.from_here(wants_contacts=True, summaries=summaries, view_digest=self.view_digest())

    def for_stranger(self, now: float, message: SummaryMessage) -> list[Summary]:
        """Return summaries that a pinging member of another group may lack: groups of a shared zone, else sums of this one."""
        if self.table.is_own_zone(message):
            rows = [row for (level, name), row in self.table.rows.items() if level == GROUP and name != message.group]
            own = self._own_if_speaker(now)
            count = min(len(rows), MAX_SUMMARIES_TO_GROUP)
            return [*own, *(rows.pop(self.draw(len(rows))).relayed(now) for _ in range(count))]
        if self.election.rank():
            return []
        return self.for_remote(now, REGION if message.region != self.location.region else ZONE)

    def from_here(self, **fields: object) -> bytes:
        """Return an encoded message with this member's location."""
        return fit_message(SummaryMessage(self.location.region, self.location.zone, self.location.group, **fields))

    def _own_if_speaker(self, now: float) -> list[Summary]:
        own = self.group_summary.current(now) if self.election.rank() == 0 else None
        return [own] if own else []

    def _contact_of_other_group(self, now: float) -> list[str]:
        """Return a speaker of another group, as a contact if all members of this group are gone."""
        names = sorted(
            name for (level, name), row in self.table.rows.items() if level == GROUP and row.contacts and not row.is_stale(now)
        )
        return self.table.rows[GROUP, names[self.draw(len(names))]].contacts[:1] if names else []


def fit_message(message: SummaryMessage) -> bytes:
    """Encode a message, dropping its last summaries until it fits into `MAX_SUMMARY_BYTES`."""
    summaries = list(message.summaries)
    while len(data := encode_summary_message(message)) > MAX_SUMMARY_BYTES and summaries:
        summaries.pop()
        message = msgspec.structs.replace(message, summaries=summaries)
    return data
