"""Failure detection: direct and indirect probes, and the evidence from their outcomes.

Source: Das, Gupta, Motivala, "SWIM" (2002), sections 3.1 (probes) and 4.3 (each round in a new random order).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.member import Member
from mulleinhatch.instance.gossip.messages import ACK, ALIVE, PING, PROBE_REQUEST, SUSPECT, GossipMessage
from mulleinhatch.instance.gossip.outgoing import OutgoingMessage

MAX_OUTCOMES = 16  # number of recent probe outcomes by which a member estimates its own connectivity
MIN_OUTCOMES = 4
EVIDENCE_HALVED_AFTER_S = 3.0
MAX_OPINIONS = 2  # members per report: the worst one, and the others in rotation
MAX_FORWARDED = 64  # forwarded probes that are kept, per probe and heartbeat


class PendingProbe(NamedTuple):
    """A ping that is not acknowledged yet."""

    name: str
    sent_at: float
    is_indirect: bool  # other members were also asked to probe


class ForwardedProbe(NamedTuple):
    """A ping on behalf of another member."""

    requester: str
    number: int  # number of the requester's ping
    subject: str


class ProbeEvidence:
    """Outcomes of this member's probes, with exponential decay."""

    def __init__(self) -> None:
        self.outcomes: list[bool] = []
        self.evidence: dict[str, tuple[float, float, float]] = {}  # by member: failed probes, all probes, time of the last one
        self.rotation_offset = 0

    def record(self, now: float, name: str, success: bool) -> None:
        """Record the outcome of a probe."""
        self.outcomes = [*self.outcomes[1 - MAX_OUTCOMES :], success]
        failed, probes = self._decayed(now, name)
        self.evidence[name] = (failed + (not success), probes + 1.0, now)

    def most_failed(self) -> bool:
        """Return whether more than half of the recent probes failed, regardless of their targets."""
        return len(self.outcomes) >= MIN_OUTCOMES and self.outcomes.count(False) > len(self.outcomes) / 2

    def opinions(self, now: float, is_serving: Callable[[str], bool]) -> list[tuple[str, int, int]]:
        """Return a few observations: name, percentage of failed probes, number of probes.

        Healthy members are reported, too; from unhealthy ones alone, a receiver would conclude that most are unhealthy.
        """
        for name in [name for name in self.evidence if not is_serving(name)]:
            del self.evidence[name]
        observed = []
        for name in self.evidence:
            failed, probes = self._decayed(now, name)
            if probes >= 0.5:
                observed.append((name, round(100.0 * failed / probes), max(1, round(probes))))
        worst = sorted(observed, key=lambda opinion: (-opinion[1], opinion[0]))[: MAX_OPINIONS // 2]
        others = [opinion for opinion in observed if opinion not in worst]
        self.rotation_offset += MAX_OPINIONS // 2
        count = min(len(others), MAX_OPINIONS - len(worst))
        return worst + [others[(self.rotation_offset + offset) % len(others)] for offset in range(count)]

    def _decayed(self, now: float, name: str) -> tuple[float, float]:
        failed, probes, at = self.evidence.get(name, (0.0, 0.0, now))
        weight = 0.5 ** ((now - at) / EVIDENCE_HALVED_AFTER_S)
        return weight * failed, weight * probes


class Prober:
    """Sends and repeats pings, asks other members to probe, and reports acknowledgements and timeouts.

    Args:
        bounds: settings.
        view: the other members by name; owned by `Membership`.
        draw: returns a random integer below its argument.
        on_failure: called with the time and the member when a probe times out.
        counts: counters of the membership; this class increments `probes`.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        view: dict[str, Member],
        draw: Callable[[int], int],
        on_failure: Callable[[float, Member], None],
        counts: dict[str, int],
    ) -> None:
        self.bounds, self.view, self.draw, self.on_failure, self.counts = bounds, view, draw, on_failure, counts
        self.evidence = ProbeEvidence()
        self.pending: dict[int, PendingProbe] = {}
        self.forwarded: dict[int, ForwardedProbe] = {}
        self.order: list[str] = []
        self.number = 0

    def clear(self) -> None:
        """Drop all pending probes, whose timeouts would prove nothing."""
        self.pending.clear()
        self.forwarded.clear()

    def next_targets(self, count: int) -> list[str]:
        """Return the next members to probe; each round has a new random order, so no member waits longer than two rounds."""
        chosen: list[str] = []
        serving = self._serving()
        while len(chosen) < min(count, len(serving)):
            if not self.order:
                self.order = self._serving()
                for last in range(len(self.order) - 1, 0, -1):
                    other = self.draw(last + 1)
                    self.order[last], self.order[other] = self.order[other], self.order[last]
            name = self.order.pop()
            if name in self.view and self.view[name].state <= SUSPECT and name not in chosen:
                chosen.append(name)
        return chosen

    def random_alive(self, count: int, excluded: str = "") -> list[Member]:
        """Return up to `count` members that are alive and not suspected, at random."""
        alive = [member for member in self.view.values() if member.state == ALIVE and member.name != excluded]
        return [alive.pop(self.draw(len(alive))) for _ in range(min(count, len(alive)))]

    def ping(self, now: float, member: Member) -> OutgoingMessage:
        """Return a ping and wait for its acknowledgement."""
        number = self.next_number()
        self.counts["probes"] += 1
        self.pending[number] = PendingProbe(member.name, now, False)
        return OutgoingMessage(member.address, PING, member.name, number)

    def next_number(self) -> int:
        """Return the number of the next ping."""
        self.number += 1
        return self.number

    def check(self, now: float) -> Iterator[OutgoingMessage]:
        """Repeat unacknowledged pings, ask other members to probe, and report timeouts."""
        bounds = self.bounds
        for number, probe in list(self.pending.items()):
            member = self.view.get(probe.name)
            elapsed = now - probe.sent_at
            if member is None or member.state > SUSPECT:
                del self.pending[number]
            elif elapsed >= bounds.probe_timeout_s:
                del self.pending[number]
                self.evidence.record(now, probe.name, False)
                self.on_failure(now, member)
            elif elapsed >= 0.5 * bounds.indirect_probe_after_s:
                # Repeated each heartbeat: with 20% loss one attempt in three fails, and a false suspicion costs all members.
                yield OutgoingMessage(member.address, PING, probe.name, number)
                if not probe.is_indirect and elapsed >= bounds.indirect_probe_after_s:
                    self.pending[number] = probe._replace(is_indirect=True)
                    for helper in self.random_alive(bounds.indirect_probers, probe.name):
                        yield OutgoingMessage(helper.address, PROBE_REQUEST, helper.name, number, probe.name)
        for number in list(self.forwarded):
            if number < self.number - MAX_FORWARDED * bounds.probes_per_heartbeat:
                del self.forwarded[number]

    def forward(self, now: float, request: GossipMessage) -> Iterator[OutgoingMessage]:
        """Probe a member on behalf of another."""
        subject = self.view.get(request.subject)
        if subject and subject.state <= SUSPECT:
            ping = self.ping(now, subject)
            del self.pending[ping.number]  # a timeout of a forwarded probe must not raise a suspicion here
            self.forwarded[ping.number] = ForwardedProbe(request.sender, request.number, request.subject)
            yield ping

    def on_ack(self, now: float, ack: GossipMessage) -> Iterator[OutgoingMessage]:
        """Handle an acknowledgement of a direct, indirect or forwarded ping."""
        if ack.subject:
            self._acknowledge(now, ack.number, ack.subject)
        elif ack.number in self.forwarded:
            probe = self.forwarded.pop(ack.number)
            requester = self.view.get(probe.requester)
            if requester and probe.subject == ack.sender:
                yield OutgoingMessage(requester.address, ACK, probe.requester, probe.number, probe.subject)
        else:
            self._acknowledge(now, ack.number, ack.sender)

    def _acknowledge(self, now: float, number: int, name: str) -> None:
        probe = self.pending.get(number)
        if probe and probe.name == name:
            del self.pending[number]
            self.evidence.record(now, name, True)

    def _serving(self) -> list[str]:
        return [member.name for member in self.view.values() if member.state <= SUSPECT]
