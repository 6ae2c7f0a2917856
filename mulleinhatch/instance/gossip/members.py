"""Membership: suspicion and refutation, and checks of this member's own connectivity.

SWIM with Lifeguard's local health awareness and two differences. A member whose heartbeat was late, or for which many members
fall silent at once, declares nobody gone; and a member that sent a message recently is never declared gone, even if others
report it. The cost of a heartbeat does not depend on the number of members. `docs/design/fleet.md` has the table of states.

Source: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection" (2018).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.connectivity import count_members
from mulleinhatch.instance.gossip.member import Member
from mulleinhatch.instance.gossip.messages import (
    ACK,
    ALIVE,
    GONE,
    LEFT,
    NOTICE,
    PING,
    PROBE_REQUEST,
    STATES,
    SUSPECT,
    GossipMessage,
    MemberUpdate,
)
from mulleinhatch.instance.gossip.outgoing import OutgoingMessage
from mulleinhatch.instance.gossip.probing import Prober
from mulleinhatch.instance.gossip.update_selection import UpdateQueue, UpdateSelection, add_random_members
from mulleinhatch.random_source import RandomSource

HEARD_LATELY_S = 1.0  # a member that sent a message within this time is not declared gone
SEED_INTERVAL = 10  # heartbeats between pings to a seed, per 16 members
DUPLICATE_SEEN_FOR_S = 3.0  # time for which a message from a second instance with this member's name counts
COUNTERS = (
    "probes",
    "probes_failed",
    "suspected",
    "declared_gone",
    "refuted",
    "beats_late",
    "earlier_lives",
    "frozen",
    "thawed",
)


class MembershipChange(NamedTuple):
    """A change of a member's state, for the log."""

    name: str
    state: str
    why: str


class Membership:
    """The other members, the messages to them, and their state changes for the log.

    `heartbeat` and `handle_message` yield the messages to send; `changes` collects the state changes.

    Args:
        name: name of this member.
        address: host:port at which the other members reach it.
        process_epoch: number that increases with each restart of the process.
        bounds: settings.
        seed: seed of the random choices.
        now: seconds of the caller's clock.
    """

    update_overhead_bytes = 34  # upper bound of an encoded update's size without its name and address

    def __init__(self, name: str, address: str, process_epoch: int, bounds: FleetBounds, seed: int, now: float) -> None:
        self.name, self.address, self.process_epoch, self.incarnation = name, address, process_epoch, 0
        self.bounds, self.draw = bounds, RandomSource(seed).below
        self.view: dict[str, Member] = {}
        self.counts = dict.fromkeys(COUNTERS, 0)
        self.prober = Prober(bounds, self.view, self.draw, self._on_probe_failed, self.counts)
        self.updates = UpdateQueue()
        self.changes: list[MembershipChange] = []
        self.heartbeat_at, self.started_at, self.seed_countdown = now, now, SEED_INTERVAL
        self.frozen = False  # this member seems to be cut off and declares nobody gone
        self.left = False
        self.ignores_suspicions_until = -1e9  # until then, reported suspicions may date from the time when this view was frozen
        self.duplicate_seen_at = -1e9
        self.outlived = False  # an instance with this name that was started later exists elsewhere

    def alive(self) -> list[str]:
        """Return the names of the other members that are alive or only suspected."""
        return [member.name for member in self.view.values() if member.state <= SUSPECT]

    def is_serving(self, name: str) -> bool:
        """Return whether a member is alive or only suspected."""
        member = self.view.get(name)
        return member is not None and member.state <= SUSPECT

    def heard_lately(self, now: float, name: str) -> bool:
        """Return whether a member sent a message within `HEARD_LATELY_S`."""
        member = self.view.get(name)
        return member is not None and now - member.heard_at <= HEARD_LATELY_S

    def has_duplicate_name(self, now: float) -> bool:
        """Return whether another instance uses this name and was started later or was seen recently."""
        return self.outlived or now - self.duplicate_seen_at < DUPLICATE_SEEN_FOR_S

    def opinions(self, now: float) -> list[tuple[str, int, int]]:
        """Return observations of members by this member's probes; none while the view is frozen."""
        return [] if self.frozen else self.prober.evidence.opinions(now, self.is_serving)

    # Heartbeat.

    def heartbeat(self, now: float) -> Iterator[OutgoingMessage]:
        """Run one period of the protocol and yield the messages to send."""
        late_s = now - self.heartbeat_at - self.bounds.heartbeat_s
        self.heartbeat_at = now
        if late_s > self.bounds.late_after_s:
            self._on_late_heartbeat(now)
        yield from self.prober.check(now)
        self._judge_own_connectivity(now)
        self._declare_gone(now)
        if self.left:
            # Repeated until the process ends: if most members leave together, a few messages would not reach the rest.
            for member in self.prober.random_alive(self.bounds.probes_per_heartbeat):
                yield OutgoingMessage(member.address, NOTICE, member.name)
            return
        yield from self._probe_members(now)

    def _on_late_heartbeat(self, now: float) -> None:
        """Restart all timers: silence during a pause of this process proves nothing about other members."""
        self.counts["beats_late"] += 1
        self.prober.clear()
        self._reset_suspicions(now, SUSPECT)

    def _probe_members(self, now: float) -> Iterator[OutgoingMessage]:
        bounds = self.bounds
        for name in self.prober.next_targets(bounds.probes_per_heartbeat):
            yield self.prober.ping(now, self.view[name])
        yield from self._contact_gone_member(now)
        known = len(self.alive())
        self.seed_countdown -= 1
        if bounds.seeds and (known < 2 or self.seed_countdown <= 0):
            # Needed after joining, too: two groups that joined through different seeds would never merge otherwise. The
            # interval grows with the number of members; otherwise the load of a seed would.
            self.seed_countdown = SEED_INTERVAL * (1 + known // 16)
            seed = bounds.seeds[self.draw(len(bounds.seeds))]
            if seed != self.address:
                yield OutgoingMessage(seed, PING)

    def _contact_gone_member(self, now: float) -> Iterator[OutgoingMessage]:
        """Contact a random member that is gone, to detect the end of a partition, or forget it."""
        if gone := [member for member in self.view.values() if member.state >= GONE]:
            member = gone[self.draw(len(gone))]
            if now - member.since > self.bounds.forget_after_s:
                del self.view[member.name]
                self.updates.discard(member.name)
            elif member.state == GONE:
                yield OutgoingMessage(member.address, NOTICE, member.name)

    def _on_probe_failed(self, now: float, member: Member) -> None:
        self.counts["probes_failed"] += 1
        if member.state == ALIVE and not self.heard_lately(now, member.name):
            self._set_state(now, member, SUSPECT, "no answer to probes")
            self.counts["suspected"] += 1

    def _judge_own_connectivity(self, now: float) -> None:
        """Freeze the view while this member seems to be cut off, and unfreeze it afterwards."""
        heard = count_members(now, self.view.values(), self.heard_lately)
        frozen = heard.is_cut_off(self.prober.evidence.most_failed())
        thaws = self.frozen and not frozen
        if frozen is not self.frozen:
            self.frozen = frozen
            state = "frozen" if frozen else "thawed"
            self.counts[state] += 1
            self.changes.append(MembershipChange(self.name, state, heard.describe()))
        if frozen:
            self.ignores_suspicions_until = now + 2.0 * self.bounds.suspicion_timeout_s
        if frozen or thaws:
            self._reset_suspicions(now, SUSPECT if frozen else ALIVE)

    def _reset_suspicions(self, now: float, state: int) -> None:
        """Restart or clear suspicions raised while few members were heard; otherwise hundreds would have to refute theirs."""
        for member in self.view.values():
            if member.state == SUSPECT:
                member.state, member.since = state, now

    def _declare_gone(self, now: float) -> None:
        if self.frozen:
            return
        for member in self.view.values():
            has_timed_out = member.state == SUSPECT and now - member.since >= self.bounds.suspicion_timeout_s
            if has_timed_out and not self.heard_lately(now, member.name):
                self._set_state(now, member, GONE, "silent")
                self.counts["declared_gone"] += 1

    def _set_state(self, now: float, member: Member, state: int, why: str) -> None:
        member.state, member.since = state, now
        self.updates.add(member.name)
        self.changes.append(MembershipChange(member.name, STATES[state], why))

    # Messages.

    def handle_message(self, now: float, message: GossipMessage) -> Iterator[OutgoingMessage]:
        """Apply a message of this fleet and yield the responses.

        An unknown sender becomes a member; a message of an earlier process epoch changes nothing.
        """
        if message.sender == self.name:
            if message.process_epoch != self.process_epoch and message.address != self.address:
                self._resolve_name_conflict(now, message.process_epoch, message.address)
            return
        known = self.view.get(message.sender)
        if known and message.process_epoch < known.process_epoch:
            self.counts["earlier_lives"] += 1
            # The sender may be a second instance with that name, which learns of the other one by this answer.
            yield OutgoingMessage(message.address, NOTICE, message.sender)
            return
        sender = MemberUpdate(message.sender, message.address, message.process_epoch, message.incarnation, ALIVE)
        self._apply_update(now, sender)
        member = self.view[message.sender]
        if message.process_epoch == member.process_epoch:
            member.heard_at = now
        for update in message.member_updates:
            self._apply_update(now, update)
        if message.kind == PING:
            yield OutgoingMessage(message.address, ACK, message.sender, message.number)
        elif message.kind == PROBE_REQUEST:
            yield from self.prober.forward(now, message)
        elif message.kind == ACK:
            yield from self.prober.on_ack(now, message)

    def _resolve_name_conflict(self, now: float, process_epoch: int, address: str) -> None:
        """Handle another process epoch of this member's name.

        At this member's address it is an earlier process of this instance whose clock was ahead: this process takes a later
        epoch. At another address it is a second instance: the later of the two stays, and the other is marked as outlived.
        """
        if process_epoch == self.process_epoch:
            return
        if address == self.address:
            if process_epoch > self.process_epoch:
                self.process_epoch, self.incarnation = process_epoch + 1, 0
            return
        self.duplicate_seen_at = now
        if process_epoch > self.process_epoch and not self.outlived:
            self.outlived = True
            self.changes.append(MembershipChange(self.name, "outlived", f"a later instance of this name is at {address}"))

    def _apply_update(self, now: float, update: MemberUpdate) -> None:
        if update.name == self.name:
            self._apply_update_about_self(now, update)
            return
        member = self.view.get(update.name)
        if member is None:
            self._add_member(now, update)
            return
        if (update.process_epoch, update.incarnation, update.state) <= member.rank:
            self._apply_known_suspicion(now, member, update)
            return
        if self._is_unreliable(now, member, update):
            return
        previous = member.state
        member.address, member.process_epoch, member.incarnation = update.address, update.process_epoch, update.incarnation
        member.state = update.state
        self.updates.add(update.name)
        is_suspicion = update.state == SUSPECT and now >= self.ignores_suspicions_until
        member.since = now - update.age_s if is_suspicion else now
        if previous != update.state:
            self.changes.append(MembershipChange(update.name, STATES[update.state], "reported by another member"))

    def _add_member(self, now: float, update: MemberUpdate) -> None:
        if update.state <= SUSPECT:
            self.view[update.name] = Member(update, now)
            self.updates.add(update.name)
            self.changes.append(MembershipChange(update.name, STATES[update.state], "reported by another member"))

    def _apply_known_suspicion(self, now: float, member: Member, update: MemberUpdate) -> None:
        """Adopt the earlier start time of a suspicion that is already known."""
        is_same = update.state == SUSPECT == member.state and update.incarnation == member.incarnation
        if is_same and now >= self.ignores_suspicions_until:
            member.since = min(member.since, max(now - update.age_s, self.started_at))

    def _is_unreliable(self, now: float, member: Member, update: MemberUpdate) -> bool:
        """Return whether to ignore an update although it is newer than the known state."""
        if update.state == GONE:
            # An isolated member accepts no such update, and a member that sent a message recently is alive.
            return self.frozen or self.heard_lately(now, update.name)
        return (
            # The suspicion may have been raised by an isolated member, or before this one was reconnected.
            update.state == SUSPECT
            and not self.frozen
            and now < self.ignores_suspicions_until
            and (update.process_epoch, update.incarnation) == (member.process_epoch, member.incarnation)
        )

    def _apply_update_about_self(self, now: float, update: MemberUpdate) -> None:
        """Refute a suspicion with a higher incarnation, or resolve a name conflict."""
        if update.process_epoch != self.process_epoch:
            if update.address != self.address and update.state <= SUSPECT:
                self._resolve_name_conflict(now, update.process_epoch, update.address)
            elif update.process_epoch > self.process_epoch:
                self._resolve_name_conflict(now, update.process_epoch, self.address)
        elif update.state in (SUSPECT, GONE) and update.incarnation >= self.incarnation and not self.left:
            self.incarnation = update.incarnation + 1
            self.counts["refuted"] += 1

    def leave(self) -> Iterator[OutgoingMessage]:
        """Leave gracefully: notify some members at once, which pass it on."""
        self.left = True
        for member in self.prober.random_alive(4 * self.bounds.indirect_probers):
            yield OutgoingMessage(member.address, NOTICE, member.name)

    # Updates in messages.

    def select_updates(self, now: float, free_bytes: int, to: str, all_members: bool = False) -> list[MemberUpdate]:
        """Return as many updates as fit into a message.

        These are this member's state, the receiver's state (which it may refute), recent changes, and random members, through
        which a new member learns of the fleet and differing views converge.
        """
        selection = UpdateSelection(free_bytes, self.update_overhead_bytes)
        selection.add(self._own_update(LEFT if self.left else ALIVE))
        if member := self.view.get(to):
            selection.add(member.to_update(now))
        self.updates.fill(selection, self.view, now)
        add_random_members(selection, list(self.view.values()), self.draw, now)
        return selection.updates()

    def select_suspicion(self, now: float, to: str) -> list[MemberUpdate]:
        """Return the updates for a brief message; none without an aggregation tree."""
        return []

    def _own_update(self, state: int) -> MemberUpdate:
        return MemberUpdate(self.name, self.address, self.process_epoch, self.incarnation, state)
