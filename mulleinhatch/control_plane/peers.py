"""What one core machine knows of the others: heard when, how far, and what they still have to be told. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from mulleinhatch.consensus.paxos import identities
from mulleinhatch.consensus.view_planner import MemberHealth
from mulleinhatch.messages.cluster import Heartbeat, HeartbeatResponse, Member, View

ALIVE_S = 1.0  # a peer that did not answer for so long is out of reach
AUTHORITY_S = 1.0  # how long the word of a majority that our view is the newest may be relied on, from when it was asked
MISSED_S = 1.6  # a machine that has not answered for so long is told of to others
FORGET_S = 60.0
NEVER = -1e9


@dataclass
class Peer:
    """Another core machine. Times on the steady clock."""

    member: Member
    answered_at: float = NEVER  # when it last answered us
    known_since: float = 0.0
    epoch: int = 0  # the newest that it said it is in
    confirmed_epoch: int = 0  # it said that the view of this epoch is the newest it knows of,
    confirmed_at: float = NEVER  # in answer to what was sent then
    disturbed_epoch: int = 0  # it said that it accepted a view after the one of this epoch, or that it is writing its vote
    committed: int = 0
    caught_up_epoch: int = 0
    last_index: int = 0
    leaving: bool = False
    log_complete_epoch: int = 0  # the epoch in which it said that it is settled
    data_planes: int = 0
    orders_idle_s: float = 0.0
    unresponsive_peers: frozenset[str] = frozenset()  # identities of machines that have not answered it for long
    owed_backends: set[str] = field(default_factory=set)  # hinted handoff: what it has not acknowledged yet


class Peers:
    def __init__(self, own: Member) -> None:
        self.own = own
        self.by_identity: dict[str, Peer] = {}

    def add(self, member: Member, now: float) -> Peer | None:
        """A member that was named or spoke; None for ourselves. An address belongs to its newest identity."""
        if not member.identity or member.identity == self.own.identity:
            return None
        peer = self.by_identity.get(member.identity)
        if peer is None:
            peer = self.by_identity[member.identity] = Peer(member, known_since=now)
        return peer

    def by_address(self, internal_address: str) -> Peer | None:
        """The peer that speaks from an address: of several that did, the one that answered last."""
        there = [peer for peer in self.by_identity.values() if peer.member.internal_address == internal_address]
        return max(there, key=lambda peer: peer.answered_at, default=None)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> Peer | None:
        """A peer's heartbeat: what it says of itself."""
        peer = self.add(heartbeat.sender, now)
        if peer is None:
            return None
        peer.member = heartbeat.sender
        peer.epoch, peer.caught_up_epoch = heartbeat.epoch, heartbeat.caught_up_epoch
        peer.last_index, peer.leaving = heartbeat.last_index, heartbeat.leaving
        peer.committed, peer.unresponsive_peers = heartbeat.committed, frozenset(heartbeat.unresponsive_peers)
        peer.log_complete_epoch = heartbeat.epoch if heartbeat.log_complete else 0
        peer.data_planes = heartbeat.data_planes
        peer.orders_idle_s = heartbeat.orders_idle_ms / 1000.0
        self._replace_at(peer)
        return peer

    def record_response(self, answer: HeartbeatResponse, now: float, asked_at: float | None = None) -> Peer | None:
        """A peer answered our heartbeat, which was sent at `asked_at`: there is a way in both directions."""
        peer = self.add(answer.sender, now)
        if peer is None:
            return None
        peer.answered_at, peer.member = now, answer.sender
        peer.epoch = max(peer.epoch, answer.epoch)
        asked_at = now if asked_at is None else asked_at
        peer.disturbed_epoch = 0 if answer.current else answer.epoch
        if answer.current and asked_at >= peer.confirmed_at:
            peer.confirmed_epoch, peer.confirmed_at = answer.epoch, asked_at
        self._replace_at(peer)
        return peer

    def _replace_at(self, peer: Peer) -> None:
        """Who speaks from an address is the only one there: an emptied disk has a new identity."""
        for other in self.by_identity.values():
            if other is not peer and other.member.internal_address == peer.member.internal_address:
                other.answered_at = other.confirmed_at = NEVER

    def remove_stale(self, view: View, now: float) -> None:
        """Drops machines that are in no list and silent."""
        kept = set(identities(view.voters)) | set(identities(view.chain))
        for identity, peer in list(self.by_identity.items()):
            if identity not in kept and now - max(peer.answered_at, peer.known_since) > FORGET_S:
                del self.by_identity[identity]

    def is_alive(self, identity: str, now: float) -> bool:
        if identity == self.own.identity:
            return True
        peer = self.by_identity.get(identity)
        return peer is not None and now - peer.answered_at < ALIVE_S

    def reaches_majority(self, view: View, now: float) -> bool:
        """Whether more than half of the voters answer us, ourselves among them."""
        count = sum(self.is_alive(identity, now) for identity in identities(view.voters))
        return 2 * count > len(view.voters)

    def has_confirmed_majority(self, view: View, now: float) -> bool:
        """Whether more than half of the voters said lately that this view is the newest they know of, ourselves among them.

        Once a later view is decided, more than half have accepted it and say so no more."""

        def confirms(identity: str) -> bool:
            if identity == self.own.identity:
                return True
            peer = self.by_identity.get(identity)
            return peer is not None and peer.confirmed_epoch == view.epoch and now - peer.confirmed_at < AUTHORITY_S

        return 2 * sum(confirms(identity) for identity in identities(view.voters)) > len(view.voters)

    def has_undecided_successor(self, view: View, now: float) -> bool:
        """Whether a voter in reach has accepted a later view that nobody has told of."""
        return any(
            self.by_identity[identity].disturbed_epoch == view.epoch
            for identity in identities(view.voters)
            if identity in self.by_identity and self.is_alive(identity, now)
        )

    def is_known_to_majority(self, view: View) -> bool:
        """Whether more than half of its voters have the view on disk, ourselves among them."""
        known = {identity for identity, peer in self.by_identity.items() if peer.epoch >= view.epoch} | {self.own.identity}
        return 2 * sum(identity in known for identity in identities(view.voters)) > len(view.voters)

    def unresponsive_members(self, view: View, now: float) -> list[str]:
        """Members of the view that have not answered us for long."""
        known = (self.by_identity.get(identity) for identity in {*identities(view.voters), *identities(view.chain)})
        return sorted(
            peer.member.identity
            for peer in known
            if peer is not None and now - max(peer.answered_at, peer.known_since) > MISSED_S
        )

    def health(self, view: View, now: float, own: MemberHealth) -> dict[str, MemberHealth]:
        """Every known machine by identity, ourselves too."""
        states = {self.own.identity: own}
        for identity, peer in self.by_identity.items():
            alive = self.is_alive(identity, now) and not peer.leaving
            since = max(peer.answered_at, peer.known_since)
            states[identity] = MemberHealth(
                peer.member,
                alive,
                peer.caught_up_epoch == view.epoch,
                0.0 if alive else now - since,
                peer.log_complete_epoch == view.epoch,
                peer.unresponsive_peers if alive else frozenset(),
            )
        for member in list(view.voters) + list(view.chain):
            states.setdefault(member.identity, MemberHealth(member, False, False, log_complete=False))
        return states

    def addresses(self, view: View, seeds: Iterable[str]) -> list[str]:
        """Internal addresses to send heartbeats to."""
        found = {member.internal_address for member in list(view.voters) + list(view.chain)}
        found.update(peer.member.internal_address for peer in self.by_identity.values())
        found.update(seeds)
        found.discard(self.own.internal_address)
        return sorted(found)
