"""One instance's gossip protocol state machine: heartbeats and datagrams go in, datagrams and state changes come out.

`GossipNode` connects membership, reports, leases, outlier detection and the aggregation tree, each of which has its own
state. It does no I/O and reads no clock: `instance/runtime/gossip.py` owns the socket and the timer.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from mulleinhatch.instance.gossip import messages
from mulleinhatch.instance.gossip.aggregation_tree import MAX_GROUP_MEMBERS, AggregationTree
from mulleinhatch.instance.gossip.bounds import FleetBounds, with_grouped_timing
from mulleinhatch.instance.gossip.budgets import LeasedQuota
from mulleinhatch.instance.gossip.counters import FleetCounters
from mulleinhatch.instance.gossip.lease_exchange import LeaseExchange
from mulleinhatch.instance.gossip.locations import locate
from mulleinhatch.instance.gossip.members import Membership, MembershipChange
from mulleinhatch.instance.gossip.message_composer import MessageComposer
from mulleinhatch.instance.gossip.messages import ACK, NOTICE, PING, GossipMessage, InvalidMessageError, Offer
from mulleinhatch.instance.gossip.outgoing import Datagram, OutgoingMessage
from mulleinhatch.instance.gossip.outlier_detection import OutlierDetector
from mulleinhatch.instance.gossip.peer_groups import PeerGroup
from mulleinhatch.instance.gossip.report_selection import (
    FlatReportSelection,
    GroupReportSelection,
    LocalState,
    ReportSelection,
    ReportSource,
)
from mulleinhatch.instance.gossip.summary_table import Total

MAX_MEMBERS = 1000
JUDGE_INTERVAL_S = 0.5
MAX_SUBJECT_LENGTH = 40
TREE_SEED_OFFSET = 5  # gives the tree a random sequence that differs from the membership's
MessageListener = Callable[[float, GossipMessage], None]

__all__ = ["MAX_MEMBERS", "GossipNode", "LocalState", "interpreter_of"]


def interpreter_of(name: str) -> str:
    """Return the subject of opinions on a member's interpreter."""
    return f"interpreter of {name}"[:MAX_SUBJECT_LENGTH]


class GossipNode:
    """The local member of the fleet.

    Args:
        bounds: settings.
        name: name of this member.
        address: host:port at which the other members reach it.
        process_epoch: number that increases with each restart of the process.
        seed: seed of the random choices.
        now: seconds of the caller's clock.

    >>> bounds = FleetBounds("f", seeds=("10.0.0.1:1",), heartbeat_s=0.1)
    >>> a, b = GossipNode(bounds, "a", "10.0.0.1:1", 7, 1, 0.0), GossipNode(bounds, "b", "10.0.0.1:2", 8, 2, 0.0)
    >>> [(to, datagram)] = b.heartbeat(0.1, LocalState()); to
    '10.0.0.1:1'
    >>> [(to, datagram)] = a.handle_datagram(0.1, datagram); to, a.members.alive()
    ('10.0.0.1:2', ['b'])
    >>> b.handle_datagram(0.2, datagram), b.members.alive(), b.handle_datagram(0.2, b"?"), b.counts["unfit_garbage"]
    ([], ['a'], [], 1)
    """

    def __init__(self, bounds: FleetBounds, name: str, address: str, process_epoch: int, seed: int, now: float) -> None:
        location = locate(bounds, name)
        self.bounds = bounds = with_grouped_timing(bounds) if location else bounds
        self.name = name
        self.counts: Counter[str] = Counter()
        self.max_members = MAX_GROUP_MEMBERS if location else MAX_MEMBERS
        self.members: Membership = (PeerGroup if location else Membership)(name, address, process_epoch, bounds, seed, now)
        self.fleet_counters = FleetCounters(self.max_members, bounds.fresh_for_s)
        self.own_counters = FleetCounters(1)  # this member's reports as the others see them
        self.outlier_detector = OutlierDetector()
        self.ejected: list[str] = []
        self.aggregation_tree = (
            AggregationTree(bounds, location, self.members, self.fleet_counters, seed + TREE_SEED_OFFSET, now)
            if location
            else None
        )
        seat = f"{location.region}/{location.zone}/{name}" if location else name
        is_grouped = location is not None
        self.leases = LeaseExchange(bounds, seat, self.members, self.fleet_counters, self.counts, is_grouped, now)
        self.report_source = ReportSource(self.members, self.leases.spare_units, is_grouped)
        self.report_selection = self._create_report_selection()
        tree = self.aggregation_tree
        self.composer = MessageComposer(bounds.fleet, self.members, tree, self.report_selection, self.counts)
        self.heartbeat_at = self.judged_at = now
        self.pending_requests = 0  # queued requests that this instance could hand over, sent with each message
        self.listeners: list[MessageListener] = []

    def _create_report_selection(self) -> ReportSelection:
        if self.aggregation_tree:
            return GroupReportSelection(self.report_source, self.fleet_counters, self.aggregation_tree.byte_rate)
        return FlatReportSelection(self.report_source, self.fleet_counters, self.members.draw)

    @property
    def quotas(self) -> list[LeasedQuota]:
        """The leased quotas in the order of the budgets."""
        return self.leases.quotas

    @property
    def demands(self) -> list[float]:
        """The smoothed demands in units per window, in the order of the budgets."""
        return self.leases.demands

    @property
    def own_opinions(self) -> list[tuple[str, int, int]]:
        """Opinions in this member's current report."""
        return self.report_source.opinions

    @property
    def handover_address(self) -> str:
        """The address to which peers hand requests over; empty if this instance accepts none."""
        return self.report_source.handover_address

    @handover_address.setter
    def handover_address(self, address: str) -> None:
        self.report_source.handover_address = address

    def subscribe(self, listener: MessageListener) -> None:
        """Call a listener with each message from a member's current process."""
        self.listeners.append(listener)

    # Events.

    def heartbeat(self, now: float, local: LocalState) -> list[Datagram]:
        """Run one period of the protocol and return the datagrams to send."""
        self.report_source.local = local
        self.leases.update_demands(local.demands, now - self.heartbeat_at)
        self.heartbeat_at = now
        if now - self.report_source.made_at >= self.bounds.report_interval_s:
            self._start_report(now)
        outgoing = list(self.members.heartbeat(now))
        if self.aggregation_tree:
            outgoing += self.aggregation_tree.heartbeat(now, self.own_counters.rows.get(self.name))
        outgoing += self.leases.heartbeat(now)
        if now - self.judged_at >= JUDGE_INTERVAL_S:
            self.judged_at = now
            self.fleet_counters.drop_old(now)
            self._judge(now)
        return self._compose(now, outgoing)

    def handle_datagram(self, now: float, data: bytes) -> list[Datagram]:
        """Handle received bytes and return the responses; invalid datagrams are counted and dropped."""
        self.counts["datagrams_heard"] += 1
        if self.aggregation_tree:
            self.aggregation_tree.byte_rate.add(now, len(data))
        try:
            message = messages.decode(data, self.bounds.fleet)
        except InvalidMessageError as error:
            self.counts[f"unfit_{error}"] += 1
            return []
        return self._compose(now, self.handle_message(now, message))

    def handle_message(self, now: float, message: GossipMessage) -> list[OutgoingMessage]:
        """Handle a valid message and return the responses."""
        tree, members = self.aggregation_tree, self.members
        if tree and not tree.is_peer(message):
            return self._handle_foreign_message(now, tree, message)
        if message.sender not in members.view and len(members.view) >= self.max_members:
            self.counts["members_refused"] += 1
            return []
        outgoing = list(members.handle_message(now, message))
        if tree:
            summaries = tree.decode_summaries(message)
            if message.kind == PING and tree.should_send_all_members(now, summaries):
                outgoing = [answer._replace(sends_all_members=True) for answer in outgoing]
            outgoing += tree.handle_message(now, message, summaries)
        if message.sender == self.name or message.process_epoch < members.view[message.sender].process_epoch:
            return outgoing
        self._handle_reports(now, message)
        for listener in self.listeners:
            listener(now, message)
        if answer := self.leases.handle_messages(now, message):
            outgoing.append(answer)
        return outgoing

    def _handle_reports(self, now: float, message: GossipMessage) -> None:
        for report in message.reports:
            if report.name == self.name or report.name not in self.members.view:
                continue
            if not self.fleet_counters.record(now, report):
                self.report_selection.record_repeated(report)
                continue
            for subject, bad_percent, evidence in report.opinions:
                self.outlier_detector.record(now, report.name, subject, bad_percent / 100.0, evidence, report.age_s)

    def _handle_foreign_message(self, now: float, tree: AggregationTree, message: GossipMessage) -> list[OutgoingMessage]:
        """Answer a member of another group or without an aggregation tree, to show that this member is alive."""
        if message.sender == self.name:
            self.counts["names_elsewhere"] += message.address != self.members.address
        else:
            self.members.on_foreign_message(now, message)
        if message.group_key:
            return list(tree.handle_message(now, message, tree.decode_summaries(message)))
        self.counts["letters_without_levels"] += 1
        if message.kind != PING:
            return []
        return [OutgoingMessage(message.address, ACK, number=message.number, is_brief=True)]

    def leave(self, now: float) -> list[Datagram]:
        """Leave gracefully: notify some members and return borrowed units."""
        outgoing = list(self.members.leave())
        outgoing += self.leases.return_borrowed(now)
        return self._compose(now, outgoing)

    def message_to(self, now: float, name: str, *, offers: Iterable[Offer] = (), extension: bytes = b"") -> list[Datagram]:
        """Return a brief message to a member, or nothing if it is unknown.

        Updates and reports are sent with heartbeats only; adding them to hundreds of brief messages per second costs too much.
        """
        member = self.members.view.get(name)
        if member is None:
            return []
        message = OutgoingMessage(member.address, NOTICE, name, is_brief=True, offers=list(offers), extension=extension)
        return self._compose(now, [message])

    # Queries.

    def take_changes(self) -> list[MembershipChange]:
        """Return the membership changes since the last call."""
        changes, self.members.changes = self.members.changes, []
        return changes

    def totals(self, now: float) -> dict[str, Total]:
        """Return the sums over `group`, `zone`, `region` and `fleet`; empty without an aggregation tree."""
        return self.aggregation_tree.totals(now) if self.aggregation_tree else {}

    def usable_quota(self, now: float, budget: int, lasts: float = 0.0) -> int:
        """Return the units of a budget that may be used now for `lasts` seconds."""
        return self.quotas[budget].usable(now, lasts)

    def is_judged_unhealthy(self) -> bool:
        """Return whether this member or its interpreter is ejected; always False while the view is frozen."""
        return not self.members.frozen and (self.name in self.ejected or interpreter_of(self.name) in self.ejected)

    def free_fraction(self, now: float) -> float:
        """Return the free fraction of the other members' slots; negative if most members are silent.

        With an aggregation tree only this member's group counts: a hash selects its members, so they are a representative
        sample of the zone, and their figures are more recent than any summary.
        """
        return -1.0 if self.members.frozen else self.fleet_counters.free_fraction(now, set(self.members.alive()))

    # Internals.

    def _start_report(self, now: float) -> None:
        self.report_source.start_report(now)
        if self.aggregation_tree:
            self.own_counters.record(now, self.report_source.current(now))

    def _judge(self, now: float) -> None:
        for subject, bad_percent, evidence in self.own_opinions:
            self.outlier_detector.record(now, self.name, subject, bad_percent / 100.0, evidence)
        observers = {self.name, *self.members.alive()}
        self.ejected = self.outlier_detector.judge(now, observers, self.members.frozen)

    def _compose(self, now: float, outgoing: list[OutgoingMessage]) -> list[Datagram]:
        return [self.composer.compose(now, message, self.pending_requests) for message in outgoing]
