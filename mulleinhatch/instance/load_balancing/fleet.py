"""The parts of the gossip protocol that load balancing uses."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.counters import FleetCounters
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.gossip.messages import GossipMessage, Offer
from mulleinhatch.instance.gossip.outgoing import Datagram
from mulleinhatch.instance.gossip.outlier_detection import OutlierDetector


class LoadBalancingFleet(Protocol):
    """Members, their reports and messages; `GossipNode` provides them.

    Attributes:
        bounds: Settings of the gossip protocol.
        members: Membership as this instance knows it.
        fleet_counters: Reports of the members.
        outlier_detector: Detects unhealthy members.
        ejected: Subjects that are ejected as outliers: members, or interpreters of members.
        pending_requests: Queued requests that this instance could hand over, sent with each message.
    """

    bounds: FleetBounds
    members: Membership
    fleet_counters: FleetCounters
    outlier_detector: OutlierDetector
    ejected: list[str]
    pending_requests: int

    def subscribe(self, listener: Callable[[float, GossipMessage], None]) -> None:
        """Call a listener with each message from a member's current process."""

    def message_to(self, now: float, name: str, *, offers: Iterable[Offer] = ()) -> list[Datagram]:
        """Return a brief message to a member, or nothing if it is unknown."""
