"""Sends maintenance messages inside gossip datagrams and decodes the received ones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from mulleinhatch.instance.gossip.counters import FleetCounters
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.gossip.messages import GossipMessage
from mulleinhatch.instance.gossip.outgoing import Datagram
from mulleinhatch.instance.maintenance import messages
from mulleinhatch.instance.maintenance.messages import InvalidMessageError, MaintenanceMessage

MessageHandler = Callable[[float, str, MaintenanceMessage], None]  # monotonic seconds, sender, message


class MaintenanceFleet(Protocol):
    """The parts of the gossip protocol that coordinated maintenance uses."""

    name: str
    members: Membership
    fleet_counters: FleetCounters

    def subscribe(self, listener: Callable[[float, GossipMessage], None]) -> None:
        """Call a listener with each message of a member's current process."""

    def message_to(self, now: float, name: str, *, extension: bytes = b"") -> list[Datagram]:
        """Return the datagrams that carry an extension to a member."""


class MaintenanceMessenger:
    """Sends maintenance messages to instances; those to this instance are handled at once.

    Args:
        fleet: Gossip transport; its messages with an extension are decoded and passed to `handle_message`.
        counts: Counters of invalid messages.
        handle_message: Called with each message, also with those of this instance to itself.
    """

    def __init__(self, fleet: MaintenanceFleet, counts: Counter[str], handle_message: MessageHandler) -> None:
        self.fleet, self.counts, self.handle_message = fleet, counts, handle_message
        self.name = fleet.name
        self.last_now = 0.0  # monotonic seconds of the latest event
        self.outgoing: list[Datagram] = []
        fleet.subscribe(self._on_gossip_message)

    @property
    def process_epoch(self) -> int:
        """Number that grows with each restart of this instance's process."""
        return self.fleet.members.process_epoch

    def send(self, name: str, message: MaintenanceMessage) -> None:
        """Send a message to an instance."""
        if name == self.name:
            self.handle_message(self.last_now, name, message)
            return
        try:
            self.outgoing += self.fleet.message_to(self.last_now, name, extension=messages.encode(message))
        except InvalidMessageError as error:
            self.counts[f"words_{error}".replace(" ", "_")] += 1

    def send_to_all(self, names: Iterable[str], message: MaintenanceMessage) -> None:
        """Send a message to several instances."""
        for name in names:
            self.send(name, message)

    def take_outgoing(self) -> list[Datagram]:
        """Return and clear the datagrams to send."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def _on_gossip_message(self, now: float, gossip_message: GossipMessage) -> None:
        if not gossip_message.extension:
            return
        self.last_now = now
        try:
            self.handle_message(now, gossip_message.sender, messages.decode(gossip_message.extension))
        except InvalidMessageError:
            self.counts["words_unfit"] += 1
