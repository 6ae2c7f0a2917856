"""Encodes outgoing messages as datagrams and fills the free space with member updates, reports and summaries."""

from __future__ import annotations

from collections import Counter

from mulleinhatch.instance.gossip import messages
from mulleinhatch.instance.gossip.aggregation_tree import AggregationTree
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.gossip.messages import MAX_DATAGRAM_BYTES, PING, GossipMessage, MemberUpdate, Report
from mulleinhatch.instance.gossip.outgoing import Datagram, OutgoingMessage
from mulleinhatch.instance.gossip.report_selection import ReportSelection

ENVELOPE_BYTES = 64  # upper bound of a message's size without its names and lists
LEASE_MESSAGE_BYTES, OFFER_BYTES = 40, 45  # upper bounds
MAX_UPDATE_BYTES = 780  # for member updates; reports get the rest
ALL_MEMBERS_RESERVE_BYTES = 60  # reserved for a report in a message with all members


class MessageComposer:
    """Builds datagrams.

    Args:
        fleet: name of the fleet.
        members: membership, which provides the member updates.
        tree: aggregation tree, if there is one.
        reports: selects the reports.
        counts: counters of the node.
    """

    def __init__(
        self,
        fleet: str,
        members: Membership,
        tree: AggregationTree | None,
        reports: ReportSelection,
        counts: Counter[str],
    ) -> None:
        self.fleet, self.members, self.tree, self.reports, self.counts = fleet, members, tree, reports, counts

    def compose(self, now: float, message: OutgoingMessage, pending_requests: int) -> Datagram:
        """Return a message and the state that it carries as a datagram.

        Args:
            now: seconds of the caller's clock.
            message: the message to send.
            pending_requests: queued requests that this member could hand over.
        """
        members = self.members
        summary_data = message.summary_data or self._summaries_for(now, message)
        free_bytes = self._free_bytes(message) - len(summary_data)
        updates = self._updates_for(now, message, free_bytes)
        free_bytes -= sum(members.update_overhead_bytes + len(update.name) + len(update.address) for update in updates)
        reports: list[Report] = [] if message.is_brief else self.reports.choose(now, free_bytes, message.to)
        data = messages.encode(
            GossipMessage(
                messages.VERSION,
                self.fleet,
                members.name,
                members.address,
                members.process_epoch,
                members.incarnation,
                message.kind,
                message.number,
                message.subject,
                updates,
                reports,
                message.lease_messages,
                pending_requests,
                message.offers,
                message.extension,
                self.tree.location.key if self.tree else 0,
                summary_data,
            )
        )
        self.counts["datagrams_sent"] += 1
        self.counts["bytes_sent"] += len(data)
        if self.tree:
            self.tree.byte_rate.add(now, len(data))
        return Datagram(message.address, data)

    def _free_bytes(self, message: OutgoingMessage) -> int:
        """Return the bytes available for summaries, updates and reports."""
        names = len(self.members.name) + len(self.members.address) + len(self.fleet) + len(message.subject)
        lists = LEASE_MESSAGE_BYTES * len(message.lease_messages) + OFFER_BYTES * len(message.offers)
        return MAX_DATAGRAM_BYTES - ENVELOPE_BYTES - names - lists

    def _summaries_for(self, now: float, message: OutgoingMessage) -> bytes:
        if self.tree is None or message.is_brief or message.to not in self.members.view:
            return b""
        return self.tree.composer.for_peer(now, message.kind == PING)

    def _updates_for(self, now: float, message: OutgoingMessage, free_bytes: int) -> list[MemberUpdate]:
        if message.is_brief:
            return self.members.select_suspicion(now, message.to)
        if message.sends_all_members:
            return self.members.select_updates(now, free_bytes - ALL_MEMBERS_RESERVE_BYTES, message.to, all_members=True)
        return self.members.select_updates(now, min(MAX_UPDATE_BYTES, free_bytes), message.to)
