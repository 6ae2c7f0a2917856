"""Lease requests and grants between members, for all budgets of the operator's file."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.budgets import LeasedQuota, LeaseGrant, LeaseRequest
from mulleinhatch.instance.gossip.counters import FleetCounters
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.gossip.messages import ALIVE, NOTICE, GossipMessage, LeaseMessage
from mulleinhatch.instance.gossip.outgoing import OutgoingMessage

DEMAND_SMOOTHING_S = 3.0  # leases would keep changing if they followed the demand of single windows


class LeaseExchange:
    """This member's quotas, its demand for each, and the lease messages.

    Args:
        bounds: settings with the budgets.
        seat: name under which this member owns a share.
        members: membership, which knows the lenders.
        fleet_counters: reports with the spare units of members.
        counts: counters of the node.
        is_brief: whether lease messages carry no other state, to save bytes.
        now: seconds of the caller's clock.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        seat: str,
        members: Membership,
        fleet_counters: FleetCounters,
        counts: Counter[str],
        is_brief: bool,
        now: float,
    ) -> None:
        self.members, self.fleet_counters, self.counts, self.is_brief = members, fleet_counters, counts, is_brief
        self.quotas = [LeasedQuota(budget, seat, now, bounds.request_interval_s) for budget in bounds.budgets]
        self.demands = [0.0] * len(self.quotas)

    def update_demands(self, demands: Sequence[float], elapsed_s: float) -> None:
        """Move the smoothed demands towards those of the last window."""
        weight = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        for index, demand in enumerate(demands[: len(self.demands)]):
            self.demands[index] += weight * (demand - self.demands[index])

    def heartbeat(self, now: float) -> Iterator[OutgoingMessage]:
        """Yield the lease requests that are due."""
        has_duplicate_name = self.members.has_duplicate_name(now)
        for index, quota in enumerate(self.quotas):
            quota.has_duplicate_name = has_duplicate_name
            yield from self._request_leases(now, index, quota)

    def _request_leases(self, now: float, index: int, quota: LeasedQuota) -> Iterator[OutgoingMessage]:
        demand = self.demands[index]
        spares = self._find_spares(now, index) if quota.usable(now) < demand + 1 else []
        for lender, wanted in quota.plan_requests(now, demand, spares):
            if lender in self.members.view:
                yield self._create_request(now, index, lender, wanted)

    def _find_spares(self, now: float, index: int) -> list[tuple[str, int]]:
        """Return members and their spare units, largest first.

        Similar amounts are in random order; otherwise all members with a shortage would ask the same lender.
        """
        spares = [
            (name, row.report.spare_units[index])
            for name, row in self.fleet_counters.rows.items()
            if self.fleet_counters.is_fresh(now, row) and index < len(row.report.spare_units) and self._is_alive(name)
        ]
        start = self.members.draw(len(spares)) if spares else 0
        return sorted(spares[start:] + spares[:start], key=lambda spare: -spare[1].bit_length())

    def _is_alive(self, name: str) -> bool:
        member = self.members.view.get(name)
        return member is not None and member.state == ALIVE

    def _create_request(self, now: float, index: int, lender: str, wanted: int) -> OutgoingMessage:
        request = self.quotas[index].create_request(now, lender, wanted)
        self.counts["asks"] += 1
        message = LeaseMessage(index, request.number, False, request.amount, request.wanted)
        address = self.members.view[lender].address
        return OutgoingMessage(address, NOTICE, lender, is_brief=self.is_brief, lease_messages=[message])

    def handle_messages(self, now: float, message: GossipMessage) -> OutgoingMessage | None:
        """Handle the lease messages of a datagram and return the grants for its requests, if any."""
        grants = [grant for lease in message.lease_messages if (grant := self._handle(now, message, lease))]
        if not grants:
            return None
        return OutgoingMessage(message.address, NOTICE, message.sender, is_brief=self.is_brief, lease_messages=grants)

    def _handle(self, now: float, message: GossipMessage, lease: LeaseMessage) -> LeaseMessage | None:
        if lease.budget >= len(self.quotas):
            self.counts["trades_unknown"] += 1
            return None
        quota, demand = self.quotas[lease.budget], self.demands[lease.budget]
        if lease.is_grant:
            if lease.process_epoch == self.members.process_epoch:
                quota.handle_grant(now, message.sender, LeaseGrant(lease.number, lease.amount))
                self.counts["gives_heard"] += 1
            return None
        grant = quota.handle_request(
            now,
            (message.sender, message.process_epoch),
            LeaseRequest(lease.number, lease.amount, lease.wanted),
            quota.spare_units(now, demand),
            quota.units_to_reclaim(now, demand),
        )
        return grant and LeaseMessage(lease.budget, grant.number, True, grant.amount, 0, message.process_epoch)

    def return_borrowed(self, now: float) -> Iterator[OutgoingMessage]:
        """Yield the messages that return all borrowed units."""
        for index, quota in enumerate(self.quotas):
            for lender, borrowed in quota.borrowed.items():
                if borrowed.amount and lender in self.members.view:
                    yield self._create_request(now, index, lender, 0)

    def spare_units(self, now: float) -> list[int]:
        """Return the units that this member can spare, by budget."""
        return [quota.spare_units(now, demand) for quota, demand in zip(self.quotas, self.demands)]
