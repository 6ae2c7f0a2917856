"""Aggregation tree: members exchange reports within their group, and only sums of other groups, zones and regions.

One member is the speaker of each group. The speakers of a zone send summaries to each other at steps of 1, 2, 4, ... groups,
so that a summary reaches all groups after as many messages as the number of groups has bits. For each other zone and region
one speaker maintains the link. Membership changes are sent at once and everything else in rotation, within a limit of bytes
per second.

`summary_table` stores received summaries, `group_summary` computes the sums of this member's group, `summary_composer` selects
the summaries for each receiver, `introductions` discovers other groups, and `remote_links` maintains the links to other zones
and regions. `GossipNode` calls this module.

Source: Hensgen, Finkel, Manber, "Two Algorithms for Barrier Synchronization" (1988), for the dissemination at doubling steps.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.byte_rate import ByteRate
from mulleinhatch.instance.gossip.counters import FleetCounters, MemberFigures
from mulleinhatch.instance.gossip.group_summary import GroupSummary
from mulleinhatch.instance.gossip.introductions import Introductions
from mulleinhatch.instance.gossip.locations import GroupLocation
from mulleinhatch.instance.gossip.messages import (
    ACK,
    GROUP,
    NOTICE,
    PING,
    GossipMessage,
    SummaryMessage,
    decode_summary_message,
)
from mulleinhatch.instance.gossip.outgoing import OutgoingMessage
from mulleinhatch.instance.gossip.peer_groups import PeerGroup
from mulleinhatch.instance.gossip.remote_links import MIN_INTERVAL_S, URGENT_EXCESS, RemoteLinks, choose_contact
from mulleinhatch.instance.gossip.speaker_election import SpeakerElection
from mulleinhatch.instance.gossip.summary_composer import SummaryComposer
from mulleinhatch.instance.gossip.summary_table import SENDS_TO_GROUPS, SENDS_TO_PEERS, ReceivedSummary, SummaryTable, Total
from mulleinhatch.random_source import RandomSource

MAX_GROUP_MEMBERS = 96
MESH_ROUND_S = 2.0  # a speaker sends one message per bit of the number of groups in this time
STANDBY_INTERVAL_S = 4.0  # between messages of a group's standby speaker to other groups
SEED_INTERVAL_S, MISSING_GROUP_SEED_INTERVAL_S = 20.0, 5.0  # between pings to seeds; the second while a group is unknown
# Interval between seed pings of a member without peers. It grows by the step after each seed was pinged once.
ALONE_MIN_INTERVAL_S, ALONE_MAX_INTERVAL_S, ALONE_INTERVAL_STEP_S = 1.0, 8.0, 0.7
MISSED_CHANGE_INTERVAL_S = 0.4  # between messages about changes that another group's speaker missed
ALL_MEMBERS_INTERVAL_S = 0.5  # between messages that list all members for a peer with a different view
GROUP_FANOUT, PEER_FANOUT = 2, 2  # groups and peers to which a change is sent at once; the others receive it in rotation
RATE_BYTES_PER_S = 2600.0  # sent and received together
OPTIONAL_EXCESS = 8000.0  # periodic messages are still sent up to this many bytes above the rate


class AggregationTree:
    """One member's node of the tree; `heartbeat` and `handle_message` yield the messages to send.

    Args:
        bounds: settings.
        location: location of this member.
        members: members of its own group.
        fleet_counters: reports of the peers.
        seed: seed of the random choices.
        now: seconds of the caller's clock.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        location: GroupLocation,
        members: PeerGroup,
        fleet_counters: FleetCounters,
        seed: int,
        now: float,
    ) -> None:
        self.bounds, self.location, self.members = bounds, location, members
        self.draw = draw = RandomSource(seed).below
        self.counts: Counter[str] = Counter()
        self.byte_rate = ByteRate(RATE_BYTES_PER_S, now)
        started_at = now - 0.01 * draw(70)  # random offset, so that members started together do not send at the same time
        self.mesh_sent_at = self.change_sent_at = self.seeds_pinged_at = started_at
        self.all_members_sent_at = self.missed_sent_at = now
        self.step = 0  # number of mesh steps taken
        self.pings_while_alone = 0  # seed pings since this member last knew a peer
        self.mesh_interval_s = MESH_ROUND_S / max(2, (location.groups - 1).bit_length())
        self.summaries = SummaryTable(location, bounds.forget_after_s, self.counts)
        self.election = SpeakerElection(location, members, now)
        self.group_summary = GroupSummary(location, members, fleet_counters, self.election, started_at)
        self.composer = SummaryComposer(location, members, self.summaries, self.group_summary, self.election, draw)
        self.introductions = Introductions(location, members, bounds, self.composer, draw)
        self.links = RemoteLinks(self.composer, self.election, self.introductions, self.byte_rate, started_at)

    def is_speaker(self, now: float) -> bool:
        """Return whether this member is the speaker of its group."""
        return self.election.is_speaker(now)

    def is_peer(self, message: GossipMessage) -> bool:
        """Return whether the sender belongs to this member's group."""
        return message.group_key == self.location.key

    def totals(self, now: float) -> dict[str, Total]:
        """Return the sums over `group`, `zone`, `region` and `fleet`, as known to this member."""
        return self.composer.totals(now)

    # Heartbeat.

    def heartbeat(self, now: float, own_figures: MemberFigures | None) -> Iterator[OutgoingMessage]:
        """Run one period and yield the messages to send."""
        self.group_summary.own_figures = own_figures
        if self.members.left:
            return
        self.summaries.drop_old(now)
        rank = self.election.rank()
        yield from self._ping_seeds(now, rank)
        if rank > 1 or not self.election.is_settled(now):
            yield from self.send_changes(now)
            return
        since_s = now - self.mesh_sent_at
        interval_s = self.mesh_interval_s if rank == 0 else STANDBY_INTERVAL_S
        if rank == 0 or since_s >= interval_s:
            self.group_summary.refresh(now)
        if rank == 0:
            yield from self.links.heartbeat(now)
        if since_s >= interval_s and (self.byte_rate.excess < OPTIONAL_EXCESS or since_s >= 3.0 * interval_s):
            self.mesh_sent_at = now
            yield from self._send_to_groups(now, 1)
        elif rank == 0:
            yield from self.send_changes(now)

    def _ping_seeds(self, now: float, rank: int) -> Iterator[OutgoingMessage]:
        is_alone = self.election.is_alone()
        if is_alone:  # ping each seed once first, so that any group member that pings one of them learns of this member
            repeated = max(0, self.pings_while_alone - len(self.bounds.seeds))
            interval_s = min(ALONE_MAX_INTERVAL_S, ALONE_MIN_INTERVAL_S + ALONE_INTERVAL_STEP_S * repeated)
        elif self.summaries.known_groups() >= self.location.groups:
            interval_s = SEED_INTERVAL_S
        else:
            interval_s = MISSING_GROUP_SEED_INTERVAL_S
        if (is_alone or rank == 0) and now - self.seeds_pinged_at >= interval_s:
            self.seeds_pinged_at = now
            self.pings_while_alone = self.pings_while_alone + 1 if is_alone else 0
            yield from self.introductions.ping_next(now, self.bounds.seeds)

    def _send_to_groups(self, now: float, count: int) -> Iterator[OutgoingMessage]:
        """Send summaries to the next groups at doubling steps, skipping unknown and silent ones."""
        groups = self.location.groups
        for _ in range(count):
            for _ in range(max(1, groups.bit_length())):
                self.step += 1
                index = (self.location.index + (1 << self.step % max(1, (groups - 1).bit_length()))) % groups
                row = self.summaries.rows.get((GROUP, f"{index}/{groups}"))
                if row and row.contacts and (not row.is_stale(now) or not self.draw(4)):
                    contact = choose_contact(now, row, self.draw)
                    summary_data = self.composer.for_group(now)
                    yield OutgoingMessage(contact, NOTICE, is_brief=True, summary_data=summary_data)
                    break

    def send_changes(self, now: float) -> Iterator[OutgoingMessage]:
        """Send changes at once if the byte rate allows it; otherwise they are sent in rotation."""
        if now - self.change_sent_at < MIN_INTERVAL_S or self.byte_rate.excess > URGENT_EXCESS:
            return
        rows = self.summaries.rows.values()
        is_speaker = self.election.rank() == 0 and self.election.is_settled(now)
        if is_speaker and (
            self.group_summary.has_unsent_change() or any(row.group_sends_left == SENDS_TO_GROUPS for row in rows)
        ):
            self.change_sent_at = now
            yield from self._send_to_groups(now, GROUP_FANOUT)
        if any(row.peer_sends_left == SENDS_TO_PEERS for row in rows):
            self.change_sent_at = now
            summary_data = self.composer.for_peer(now, is_ping=False)
            for peer in self.members.prober.random_alive(PEER_FANOUT):
                yield OutgoingMessage(peer.address, NOTICE, peer.name, is_brief=True, summary_data=summary_data)

    # Messages.

    def decode_summaries(self, message: GossipMessage) -> SummaryMessage:
        """Return the summaries of a message; invalid ones are counted and treated as empty."""
        summaries = decode_summary_message(message.summary_data) if message.summary_data else SummaryMessage()
        self.counts["upward_unfit"] += summaries is None
        return summaries or SummaryMessage()

    def handle_message(self, now: float, message: GossipMessage, summaries: SummaryMessage) -> Iterator[OutgoingMessage]:
        """Process the summaries of a message and yield the responses; its other contents are handled elsewhere."""
        is_peer = self.is_peer(message)
        has_changes = False
        for summary in summaries.summaries:
            has_changes |= self.summaries.accept(now, summary, summaries, is_peer)
            yield from self.introductions.merge_groups(now, summary)
        yield from self._compare_ages(now, message, summaries, is_peer)
        if has_changes:
            yield from self.send_changes(now)
        if not is_peer and message.kind == PING:
            yield self.introductions.answer(now, message, summaries)
        if message.kind == ACK:
            yield from self.introductions.ping_contacts(now, summaries.contacts)

    def should_send_all_members(self, now: float, summaries: SummaryMessage) -> bool:
        """Return whether to send all members to a pinging peer because its view differs; rate-limited under heavy churn."""
        if not summaries.view_digest or summaries.view_digest == self.composer.view_digest():
            return False
        is_too_soon = now - self.all_members_sent_at < ALL_MEMBERS_INTERVAL_S
        if is_too_soon or self.byte_rate.excess > 2.0 * OPTIONAL_EXCESS:
            return False
        self.all_members_sent_at = now
        return True

    def _compare_ages(
        self, now: float, message: GossipMessage, summaries: SummaryMessage, is_peer: bool
    ) -> Iterator[OutgoingMessage]:
        """Send changes that the sender missed: to a peer with the next message, to another group's speaker at once."""
        if not summaries.ages or not (is_peer or self.summaries.is_own_zone(summaries)):
            return
        missed = self.summaries.apply_ages(now, summaries.ages)
        if not is_peer:
            yield from self._send_missed(now, message.address, missed)
            return
        for row in missed:
            row.peer_sends_left = max(1, row.peer_sends_left)

    def _send_missed(self, now: float, address: str, missed: list[ReceivedSummary]) -> Iterator[OutgoingMessage]:
        """Send another group's speaker the changes it missed, since the next scheduled message would go to another group.

        If the other speaker has newer information, it sees that from the ages and responds in the same way.
        """
        is_too_soon = now - self.missed_sent_at < MISSED_CHANGE_INTERVAL_S
        if not missed or is_too_soon or self.byte_rate.excess > OPTIONAL_EXCESS:
            return
        self.missed_sent_at = now
        summary_data = self.composer.for_group_that_missed(now, missed)
        yield OutgoingMessage(address, NOTICE, is_brief=True, summary_data=summary_data)
