"""What a control-plane node knows about its peers: liveness, replication progress, unacknowledged backend records. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from mulleinhatch.consensus.paxos import identities
from mulleinhatch.consensus.view_planner import MemberHealth
from mulleinhatch.membership.view_timing import ALIVE_S, AUTHORITY_S
from mulleinhatch.messages.cluster import DataPlane, Heartbeat, HeartbeatResponse, Member, View

UNRESPONSIVE_AFTER_S = 1.6  # a member that has not responded for this long is reported to the peers as unresponsive
PEER_EXPIRY_S = 60.0  # a silent peer that is neither a voter nor in the chain is removed after this long
NEVER = -1e9


@dataclass
class Peer:
    """Another control-plane node, as its heartbeats and responses describe it. Times are monotonic seconds of this node."""

    member: Member
    answered_at: float = NEVER  # when it last responded to a heartbeat of this node
    known_since: float = 0.0  # when this node first learned of it, or the end of this node's last pause
    epoch: int = 0  # the newest epoch that it reported
    confirmed_epoch: int = 0  # the epoch of the view that it last confirmed as the newest that it knows
    confirmed_at: float = NEVER  # when the heartbeat was sent that this confirmation answers
    unconfirmed_epoch: int = 0  # the epoch whose view it does not confirm: it accepted a later one, or is writing a vote
    committed: int = 0
    caught_up_epoch: int = 0
    last_index: int = 0
    leaving: bool = False
    log_complete_epoch: int = 0  # the epoch in which it reported a complete log
    data_planes: int = 0
    orders_idle_s: float = 0.0
    unresponsive_peers: frozenset[str] = frozenset()  # identities of members that do not respond to it
    keeps_tenants: bool = False  # whether its version applies the tenants of a patch
    data_plane_revision: int = 0  # of its list of data planes, as last received; 0 before that
    acknowledged_data_plane_revision: int = 0  # of this node's list, as the peer reported
    data_planes_in_contact: tuple[DataPlane, ...] = ()  # those that poll it, by its list
    unacknowledged_backends: set[str] = field(default_factory=set)  # their records are sent again (hinted handoff)


class Peers:
    """All other control-plane nodes that this node knows, by identity."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.by_identity: dict[str, Peer] = {}
        self._own_confirmed_epoch, self._own_confirmed_at = 0, NEVER

    def add(self, member: Member, now: float) -> Peer | None:
        """Return the peer of a member, added if it is new; None for this node itself."""
        if not member.identity or member.identity == self.own.identity:
            return None
        peer = self.by_identity.get(member.identity)
        if peer is None:
            peer = self.by_identity[member.identity] = Peer(member, known_since=now)
        return peer

    def latest_record(self, member: Member) -> Member:
        """Return the latest record that a member sent about itself; its record in a view may be older."""
        if member.identity == self.own.identity:
            return self.own
        peer = self.by_identity.get(member.identity)
        return peer.member if peer is not None else member

    def by_address(self, internal_address: str) -> Peer | None:
        """Return the peer at an address; where several identities have the same address, the one that responded last."""
        candidates = [peer for peer in self.by_identity.values() if peer.member.internal_address == internal_address]
        return max(candidates, key=lambda peer: peer.answered_at, default=None)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> Peer | None:
        """Record the status that a peer reports in its heartbeat; return the peer, None for this node itself."""
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
        peer.keeps_tenants = heartbeat.keeps_tenants
        if heartbeat.data_plane_list.revision:
            data_planes = heartbeat.data_plane_list.data_planes
            peer.data_plane_revision = heartbeat.data_plane_list.revision
            peer.data_planes_in_contact = tuple(one for one in data_planes if one.in_contact)
        self._expire_former_identities(peer)
        return peer

    def record_response(self, response: HeartbeatResponse, now: float, sent_at: float | None = None) -> Peer | None:
        """Record a peer's response to a heartbeat, which shows that messages arrive in both directions.

        Args:
            sent_at: When the heartbeat was sent; `now` if omitted. A confirmation is valid as of this time: the peer may have
                accepted another view between sending its response and `now`.

        Returns:
            The peer, None where the response came from this node itself.
        """
        peer = self.add(response.sender, now)
        if peer is None:
            return None
        peer.answered_at, peer.member = now, response.sender
        peer.epoch = max(peer.epoch, response.epoch)
        peer.acknowledged_data_plane_revision = response.data_plane_revision
        sent_at = now if sent_at is None else sent_at
        peer.unconfirmed_epoch = 0 if response.current else response.epoch
        if response.current and sent_at >= peer.confirmed_at:
            peer.confirmed_epoch, peer.confirmed_at = response.epoch, sent_at
        self._expire_former_identities(peer)
        return peer

    def _expire_former_identities(self, peer: Peer) -> None:
        """Mark former identities at a peer's address as unreachable: a node with a wiped disk has a new identity."""
        for other in self.by_identity.values():
            if other is not peer and other.member.internal_address == peer.member.internal_address:
                other.answered_at = other.confirmed_at = NEVER

    def remove_stale(self, view: View, now: float) -> None:
        """Remove silent nodes that are neither voters nor in the chain."""
        members = set(identities(view.voters)) | set(identities(view.chain))
        for identity, peer in list(self.by_identity.items()):
            if identity not in members and now - max(peer.answered_at, peer.known_since) > PEER_EXPIRY_S:
                del self.by_identity[identity]

    def extend_grace_period(self, now: float) -> None:
        """Restart the failure timeout of all peers after a pause of this process."""
        for peer in self.by_identity.values():
            peer.known_since = max(peer.known_since, now)

    def is_alive(self, identity: str, now: float) -> bool:
        """Return whether a node responded within the last `ALIVE_S` seconds; always true for this node."""
        if identity == self.own.identity:
            return True
        peer = self.by_identity.get(identity)
        return peer is not None and now - peer.answered_at < ALIVE_S

    def is_fit(self, identity: str, now: float) -> bool:
        """Return whether another node responded within the last `ALIVE_S` seconds and is not leaving."""
        peer = self.by_identity.get(identity)
        return peer is not None and not peer.leaving and now - peer.answered_at < ALIVE_S

    def all_keep_tenants(self, view: View, now: float) -> bool:
        """Return whether each replica of the chain, and each other node that is reachable, applies the tenants of a patch.

        A replica from which nothing was received since this process started counts as one that does not.
        """
        chain = set(identities(view.chain)) - {self.own.identity}
        relevant = [peer for identity, peer in self.by_identity.items() if identity in chain or self.is_alive(identity, now)]
        return chain <= self.by_identity.keys() and all(peer.keeps_tenants for peer in relevant)

    def reaches_majority(self, view: View, now: float) -> bool:
        """Return whether more than half of the voters are alive, this node included."""
        count = sum(self.is_alive(identity, now) for identity in identities(view.voters))
        return 2 * count > len(view.voters)

    def record_own_confirmation(self, epoch: int, now: float) -> None:
        """Record that this node knows no later view than that of `epoch`, and has accepted none."""
        self._own_confirmed_epoch, self._own_confirmed_at = epoch, now

    def has_confirmed_majority(self, view: View, now: float) -> bool:
        """Return whether more than half of the voters, this node included, confirmed recently that a view is their newest.

        Once a later view is decided, more than half of the voters have accepted it and do not confirm this one any more. This
        node may be one of them before it learns of the decision, so its own confirmation counts no longer than another's.
        """

        def confirms(identity: str) -> bool:
            if identity == self.own.identity:
                return self._own_confirmed_epoch == view.epoch and now - self._own_confirmed_at < AUTHORITY_S
            peer = self.by_identity.get(identity)
            return peer is not None and peer.confirmed_epoch == view.epoch and now - peer.confirmed_at < AUTHORITY_S

        return 2 * sum(confirms(identity) for identity in identities(view.voters)) > len(view.voters)

    def has_undecided_successor(self, view: View, now: float) -> bool:
        """Return whether a reachable voter has accepted a later view that no node reports as decided."""
        return any(
            self.by_identity[identity].unconfirmed_epoch == view.epoch
            for identity in identities(view.voters)
            if identity in self.by_identity and self.is_alive(identity, now)
        )

    def is_known_to_majority(self, view: View) -> bool:
        """Return whether more than half of a view's voters have persisted it, this node included."""
        known = {identity for identity, peer in self.by_identity.items() if peer.epoch >= view.epoch} | {self.own.identity}
        return 2 * sum(identity in known for identity in identities(view.voters)) > len(view.voters)

    def unresponsive_members(self, view: View, now: float) -> list[str]:
        """Return the identities of members of a view that have not responded for `UNRESPONSIVE_AFTER_S` seconds."""
        known = (self.by_identity.get(identity) for identity in {*identities(view.voters), *identities(view.chain)})
        return sorted(
            peer.member.identity
            for peer in known
            if peer is not None and now - max(peer.answered_at, peer.known_since) > UNRESPONSIVE_AFTER_S
        )

    def health(self, view: View, now: float, own: MemberHealth) -> dict[str, MemberHealth]:
        """Return the health of every known node, this node included, by identity."""
        states = {self.own.identity: own}
        for identity, peer in self.by_identity.items():
            responds = self.is_alive(identity, now)
            alive = responds and not peer.leaving
            since = max(peer.answered_at, peer.known_since)
            states[identity] = MemberHealth(
                peer.member,
                alive,
                peer.caught_up_epoch == view.epoch,
                0.0 if alive else now - since,
                peer.log_complete_epoch == view.epoch,
                peer.unresponsive_peers if alive else frozenset(),
                responds and peer.leaving,
            )
        for member in list(view.voters) + list(view.chain):
            states.setdefault(member.identity, MemberHealth(member, False, False, log_complete=False))
        return states

    def addresses(self, view: View, seeds: Iterable[str]) -> list[str]:
        """Return the internal addresses to send heartbeats to."""
        addresses = {member.internal_address for member in list(view.voters) + list(view.chain)}
        addresses.update(peer.member.internal_address for peer in self.by_identity.values())
        addresses.update(seeds)
        addresses.discard(self.own.internal_address)
        return sorted(addresses)
