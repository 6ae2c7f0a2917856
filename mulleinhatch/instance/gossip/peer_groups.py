"""Membership of one group of a zone: `Membership` with a fraction of the messages, for groups of bounded size.

Each member probes its successor on a ring of names and occasionally a random member; it probes its predecessor if no message
from it arrives. Each peer probes a suspected member itself before declaring it gone, and a member that refutes a suspicion
notifies all its peers at once. In a group of a few dozen members this costs little, and a pause of two seconds combined with
message loss does not cause a member to be declared gone.
"""

from __future__ import annotations

from collections.abc import Iterator

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.gossip.messages import ALIVE, GONE, LEFT, NOTICE, PING, SUSPECT, GossipMessage, MemberUpdate
from mulleinhatch.instance.gossip.outgoing import OutgoingMessage
from mulleinhatch.instance.gossip.update_selection import UpdateSelection

RING_PROBE_INTERVAL_S, RANDOM_PROBE_INTERVAL_S = 1.0, 3.0
PREDECESSOR_TIMEOUT_S = 1.75  # the predecessor is probed after this time without a message from it
GONE_CONTACT_INTERVAL_S = 4.0
SUSPECT_PROBE_DELAYS_S = (0.0, 1.2)  # times after the start of a suspicion at which each peer probes the suspect itself
REFUTATION_HEARTBEATS = 2  # number of heartbeats at which a refuting member notifies all peers
MOVED = "restarted in another group"


class PeerGroup(Membership):
    """The members of this member's group; see `Membership` for the arguments.

    >>> from mulleinhatch.instance.gossip.messages import STATES
    >>> group = PeerGroup("a", "10.0.0.1:1", 7, FleetBounds("f"), 1, 0.0)
    >>> _ = list(group.handle_message(0.1, GossipMessage(1, "f", "b", "10.0.0.1:2", 7, 0, "ping", 3)))
    >>> group.on_peer_moved(0.2, "b", 8); STATES[group.view["b"].state], group.alive()
    ('left', [])
    """

    update_overhead_bytes = 25  # close to the encoded size, so that a group of a few dozen members fits into one message

    def __init__(self, name: str, address: str, process_epoch: int, bounds: FleetBounds, seed: int, now: float) -> None:
        super().__init__(name, address, process_epoch, bounds, seed, now)
        # Random offsets, so that members started together do not probe at the same time.
        self.ring_probed_at = now - RING_PROBE_INTERVAL_S * self.draw(100) / 100.0
        self.random_probed_at = now - RANDOM_PROBE_INTERVAL_S * self.draw(100) / 100.0
        self.predecessor_probed_at = self.gone_contacted_at = now
        self.refutations_left = 0
        self.suspect_probes: dict[str, int] = {}  # by suspect: number of probes sent

    def _probe_members(self, now: float) -> Iterator[OutgoingMessage]:
        yield from self._send_refutation()
        yield from self._probe_suspects(now)
        tolerance_s = 0.5 * self.bounds.heartbeat_s
        if now - self.ring_probed_at >= RING_PROBE_INTERVAL_S - tolerance_s:
            self.ring_probed_at = max(self.ring_probed_at + RING_PROBE_INTERVAL_S, now - RING_PROBE_INTERVAL_S)
            if name := self._ring_neighbour(1):
                yield self.prober.ping(now, self.view[name])
        if now - self.random_probed_at >= RANDOM_PROBE_INTERVAL_S - tolerance_s:
            self.random_probed_at = now
            for name in self.prober.next_targets(1):
                yield self.prober.ping(now, self.view[name])
        predecessor = self._ring_neighbour(-1)
        if predecessor:
            heard_at = max(self.view[predecessor].heard_at, self.predecessor_probed_at)
            if now - heard_at >= PREDECESSOR_TIMEOUT_S:
                self.predecessor_probed_at = now
                yield self.prober.ping(now, self.view[predecessor])
        if now - self.gone_contacted_at >= GONE_CONTACT_INTERVAL_S:
            self.gone_contacted_at = now
            yield from self._contact_gone_member(now)

    def _ring_neighbour(self, step: int) -> str:
        """Return the name of the successor (1) or predecessor (-1) among the members alive; empty if there is none."""
        ring = sorted([self.name, *(member.name for member in self.view.values() if member.state == ALIVE)])
        name = ring[(ring.index(self.name) + step) % len(ring)]
        return name if name != self.name else ""

    def _probe_suspects(self, now: float) -> Iterator[OutgoingMessage]:
        """Ping each suspect; the pings are not tracked as probes, since a timeout must not raise another suspicion."""
        suspects = {member.name: member for member in self.view.values() if member.state == SUSPECT}
        self.suspect_probes = {name: count for name, count in self.suspect_probes.items() if name in suspects}
        for name, member in suspects.items():
            count = self.suspect_probes.get(name, 0)
            if count < len(SUSPECT_PROBE_DELAYS_S) and now - member.since >= SUSPECT_PROBE_DELAYS_S[count]:
                self.suspect_probes[name] = count + 1
                if member.heard_at > member.since:
                    continue
                yield OutgoingMessage(member.address, PING, name, self.prober.next_number(), is_brief=True)

    def _send_refutation(self) -> Iterator[OutgoingMessage]:
        if self.refutations_left:
            self.refutations_left -= 1
            for name in self.alive():
                yield OutgoingMessage(self.view[name].address, NOTICE, name, is_brief=True)

    def _apply_update_about_self(self, now: float, update: MemberUpdate) -> None:
        previous = self.incarnation
        super()._apply_update_about_self(now, update)
        if self.incarnation > previous:
            self.refutations_left = REFUTATION_HEARTBEATS

    def on_foreign_message(self, now: float, message: GossipMessage) -> None:
        """Handle a message from outside the group: use only updates about this member and the sender's location."""
        for update in message.member_updates:
            if update.name == self.name and update.address == self.address:
                self._apply_update_about_self(now, update)
        member = self.view.get(message.sender)
        if member and member.address == message.address and message.process_epoch >= member.process_epoch:
            self.on_peer_moved(now, message.sender, message.process_epoch)

    def on_peer_moved(self, now: float, name: str, process_epoch: int) -> None:
        """Mark a peer that was restarted in another group or without an aggregation tree as left, since it is not gone."""
        member = self.view[name]
        if member.state != LEFT:
            member.process_epoch = process_epoch
            self._set_state(now, member, LEFT, MOVED)

    def select_suspicion(self, now: float, to: str) -> list[MemberUpdate]:
        """Return the suspicion of the receiver, which otherwise might keep answering pings without refuting it."""
        member = self.view.get(to)
        return [member.to_update(now)] if member and member.state in (SUSPECT, GONE) else []

    def select_updates(self, now: float, free_bytes: int, to: str, all_members: bool = False) -> list[MemberUpdate]:
        """Return recent changes and the receiver's state unless it is alive; with `all_members`, all members as well."""
        selection = UpdateSelection(free_bytes, self.update_overhead_bytes)
        if self.left:  # otherwise the message itself shows that this member is alive
            selection.add(self._own_update(LEFT))
        if (member := self.view.get(to)) and member.state != ALIVE:
            selection.add(member.to_update(now))
        self.updates.fill(selection, self.view, now)
        if all_members:
            self._add_all_members(now, selection, to)
        return selection.updates()

    def _add_all_members(self, now: float, selection: UpdateSelection, to: str) -> None:
        serving = [member for member in self.view.values() if member.state <= SUSPECT and member.name != to]
        start = self.draw(len(serving)) if serving else 0  # random, so that members that do not fit are sent another time
        for member in serving[start:] + serving[:start]:
            selection.add(member.to_update(now))
