"""One instance's load balancing logic: free slots and pending requests go in; offers and a redirected fraction come out.

It does no I/O and reads no clock, and uses the gossip protocol for members, figures and messages. It falls back to serving
requests locally in this order: a leaving instance only hands over; during a retry storm nothing is handed over (a retry stays
a retry at a peer); an instance that is isolated, has a frozen view, or finds most of the fleet unhealthy neither issues nor
uses offers; without offers it may choose a peer by two reports. Each fallback has a counter.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from mulleinhatch.instance.gossip.core import interpreter_of
from mulleinhatch.instance.gossip.counters import MemberFigures
from mulleinhatch.instance.gossip.messages import GossipMessage, Offer
from mulleinhatch.instance.gossip.outgoing import Datagram
from mulleinhatch.instance.load_balancing.bounds import LoadBalancingBounds
from mulleinhatch.instance.load_balancing.estimates import Estimate
from mulleinhatch.instance.load_balancing.fleet import LoadBalancingFleet
from mulleinhatch.instance.load_balancing.load_statistics import LoadStatistics
from mulleinhatch.instance.load_balancing.offers import NEEDS_VALID_FOR_S, OfferIssuer, OfferReceiver, ReceivedOffer
from mulleinhatch.instance.load_balancing.redirects import LoadObservation, RedirectController

MAX_ASKED = 2  # members that are sent a separate message about pending requests per heartbeat
GUESS_FRESH_FOR_S = 1.0  # older reports are not used for guesses
MIN_GUESS_SLOTS = 2  # free slots required at the peer, minus requests sent there since its report
OBSERVATION_INTERVAL_S = 0.5
MAX_OPINIONS = 2
RECEIVER_SEED_OFFSET, REDIRECT_SEED_OFFSET = 1, 2  # give each component a different random sequence


class InstanceLoad(NamedTuple):
    """Current load of this instance."""

    free_slots: int  # requests that could start immediately
    pending: int  # queued requests that could be handed over
    slots: int  # maximum number of concurrent requests
    is_leaving: bool = False
    in_retry_storm: bool = False


class LoadBalancer:
    """Offers to peers, handover to peers, and the redirected fraction.

    Args:
        bounds: settings.
        fleet: members, their reports and messages.
        seed: seed of the random choices.
        now: seconds of the caller's clock.
        is_warming_up: whether the instance was just started.
    """

    def __init__(
        self, bounds: LoadBalancingBounds, fleet: LoadBalancingFleet, seed: int, now: float, is_warming_up: bool
    ) -> None:
        self.bounds, self.fleet = bounds, fleet
        self.offer_issuer = OfferIssuer(bounds.offer_for, bounds.most_offers, seed)
        self.offer_receiver = OfferReceiver(seed + RECEIVER_SEED_OFFSET)
        self.redirects = RedirectController(bounds.step, bounds.step_every, seed + REDIRECT_SEED_OFFSET, now, is_warming_up)
        self.statistics = LoadStatistics(fleet.members, fleet.fleet_counters, now)
        self.needs: dict[str, tuple[int, float]] = {}  # by member: pending requests, and time of that report
        self.peer_epochs: dict[str, int] = {}
        self.guesses_sent: dict[str, list[float]] = {}  # by member: times at which a request was sent there on a guess
        self.counts: Counter[str] = Counter()
        self.load = InstanceLoad(0, 0, 1)
        self.observed_at = self.guessed_at = now
        self.observation = LoadObservation(0.0, -1.0)
        self.redirect_fraction = 0.0
        self.outgoing: list[Datagram] = []
        fleet.subscribe(self._on_message)

    # Events of this instance.

    def record_arrival(self, now: float, work: float) -> None:
        """Record a request of this instance's clients."""
        self.statistics.record_arrival(now, work)

    def record_run(self, now: float, seconds: float, work: float, failed: bool) -> None:
        """Record a completed run."""
        self.statistics.record_run(now, seconds, work, failed)

    def heartbeat(self, now: float, load: InstanceLoad) -> list[Datagram]:
        """Run one period and return the datagrams to send; `count_offers` and `redirect_fraction` may change."""
        self.load = load
        datagrams = self.take_messages()
        self._drop_old(now)
        self._update_ejected()
        reason = self.suspension_reason()
        if reason:
            self.counts["held_back_" + reason] += 1
        self.fleet.pending_requests = load.pending if self.bounds.hand_over and not reason else 0
        if self.fleet.pending_requests and not self.offer_receiver.count(now):
            datagrams += self._ask_for_offers(now)
        datagrams += self._issue_offers(now)
        if now - self.observed_at >= OBSERVATION_INTERVAL_S:
            self.observed_at = now
            self.observation = self.statistics.observe(now, load.slots)
        self.redirect_fraction = self.redirects.update(now, self.observation) if self.bounds.advice else 0.0
        return datagrams

    def on_load_change(self, now: float, load: InstanceLoad) -> list[Datagram]:
        """Handle an arrival or a completed run between two heartbeats, and return the datagrams to send.

        An instance that starts to queue asks for offers immediately; one with free slots issues them.
        """
        previous, self.load = self.load, load
        datagrams = self._issue_offers(now) if load.free_slots and self.needs else []
        starts_to_queue = load.pending and not previous.pending and self.bounds.hand_over
        if starts_to_queue and not self.offer_receiver.count(now) and not self.suspension_reason():
            self.fleet.pending_requests = load.pending
            datagrams += self._ask_for_offers(now)
        return datagrams

    def suspension_reason(self) -> str:
        """Return why handover is suspended, as the suffix of a counter; empty if it is not."""
        fleet = self.fleet
        if self.load.in_retry_storm:
            return "storm"
        if fleet.members.frozen or not fleet.members.alive():
            return "deaf"
        return "sick" if fleet.outlier_detector.blocked_ejections > 1 and not fleet.ejected else ""

    def _update_ejected(self) -> None:
        ejected = self.fleet.ejected
        self.offer_receiver.ejected = {
            name for name in self.fleet.members.alive() if name in ejected or interpreter_of(name) in ejected
        }

    def _drop_old(self, now: float) -> None:
        for name in [name for name, (_, at) in self.needs.items() if now - at > NEEDS_VALID_FOR_S]:
            del self.needs[name]
        for name in [name for name, times in self.guesses_sent.items() if now - times[-1] > GUESS_FRESH_FOR_S]:
            del self.guesses_sent[name]

    # Messages.

    def _on_message(self, now: float, message: GossipMessage) -> None:
        if message.process_epoch != self.peer_epochs.get(message.sender):
            self.peer_epochs[message.sender] = message.process_epoch
            self.offer_receiver.on_peer_restart(message.sender)
        for offer in message.offers:
            received = ReceivedOffer(message.sender, offer.address, offer.number, now + offer.valid_for_s)
            self.offer_receiver.receive(now, received)
        if message.pending_requests:
            self.needs[message.sender] = message.pending_requests, now
            self.outgoing += self._issue_offers(now)
        else:
            self.needs.pop(message.sender, None)

    def take_messages(self) -> list[Datagram]:
        """Return the responses to received messages, to be sent immediately."""
        datagrams, self.outgoing = self.outgoing, []
        return datagrams

    def _issue_offers(self, now: float) -> list[Datagram]:
        if not self.bounds.hand_over or not self.needs or self.suspension_reason() or self.load.is_leaving:
            return []
        is_failing = self.statistics.is_failing(now)
        self.counts["held_back_failing"] += is_failing
        if is_failing:
            return []
        offers: dict[str, list[Offer]] = {}
        needs = {name: need for name, (need, _) in self.needs.items()}
        for to, number in self.offer_issuer.issue(now, self.load.free_slots, needs):
            offers.setdefault(to, []).append(Offer(number, self.bounds.offer_for, self.bounds.at))
        return [
            datagram
            for to, offers_to_one in offers.items()
            for datagram in self.fleet.message_to(now, to, offers=offers_to_one)
        ]

    def _ask_for_offers(self, now: float) -> list[Datagram]:
        """Return messages to a few members; each message carries the number of pending requests."""
        return [datagram for name in self._members_to_ask(now) for datagram in self.fleet.message_to(now, name)]

    def _members_to_ask(self, now: float) -> list[str]:
        """Return random members that recently reported free slots, and other members if there are too few."""
        fleet, draw = self.fleet, self.offer_receiver.draw
        serving = fleet.members.alive()
        with_free_slots = [
            name
            for name, row in fleet.fleet_counters.rows.items()
            if fleet.fleet_counters.is_fresh(now, row) and row.value("room") > 0.0 and name in fleet.members.view
        ]
        chosen = [with_free_slots.pop(draw(len(with_free_slots))) for _ in range(min(MAX_ASKED, len(with_free_slots)))]
        while len(chosen) < min(MAX_ASKED, len(serving)):
            name = serving.pop(draw(len(serving)))
            if name not in chosen:
                chosen.append(name)
        return chosen

    # Handover.

    def count_offers(self, now: float) -> int:
        """Return the number of requests that can be handed over now."""
        if not self.bounds.hand_over or self.suspension_reason():
            return 0
        return self.offer_receiver.count(now) or int(self._guess(now) is not None)

    def take_offer(self, now: float) -> ReceivedOffer | None:
        """Return an offer to hand a request over on, or None if all offers have expired."""
        if offer := self.offer_receiver.take(now):
            self.counts["handed_on_offers"] += 1
            return offer
        if guess := self._guess(now):
            self.guessed_at = now
            self.guesses_sent.setdefault(guess.issuer, []).append(now)
            self.counts["handed_on_guesses"] += 1
        return guess

    def _guess(self, now: float) -> ReceivedOffer | None:
        """Return the better of two random members by their reports; at most one guess per heartbeat.

        Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
        """
        if not self.bounds.guesses or now - self.guessed_at < self.fleet.bounds.heartbeat_s:
            return None
        candidates = self._guess_candidates(now)
        if len(candidates) < 2:
            return None
        draw = self.offer_receiver.draw
        first, second = draw(len(candidates)), draw(len(candidates))
        _, name, row = max(candidates[first], candidates[second], key=lambda candidate: candidate[:2])
        return ReceivedOffer(name, row.report.handover_address, 0, now)

    def _guess_candidates(self, now: float) -> list[tuple[float, str, MemberFigures]]:
        """Return the members that probably have free slots, as tuples of free slots, name and report."""
        candidates = []
        for name, row in self.fleet.fleet_counters.rows.items():
            is_fresh = now - row.made_at <= GUESS_FRESH_FOR_S and row.report.handover_address
            if not is_fresh or not self.offer_receiver.is_usable(now, name):
                continue
            free_slots = row.value("room") - len(self.guesses_sent.get(name, ()))
            if free_slots >= MIN_GUESS_SLOTS and row.value("healthy") and name in self.fleet.members.view:
                candidates.append((free_slots, name, row))
        return candidates

    def record_handover(self, now: float, offer: ReceivedOffer, is_bad: bool, is_unreachable: bool) -> None:
        """Record the outcome of a request that was handed over to a peer."""
        self.offer_receiver.record_outcome(now, offer.issuer, is_bad, is_unreachable)

    # Reports.

    def opinions(self, now: float) -> list[tuple[str, int, int]]:
        """Return observations of peers' interpreters."""
        observed = self.offer_receiver.opinions(now, MAX_OPINIONS)
        return [(interpreter_of(name), bad_percent, evidence) for name, bad_percent, evidence in observed]

    def figures(self, now: float) -> list[int]:
        """Return this instance's pace and load figures for the report."""
        return self.statistics.figures(now, self.load.slots)

    def estimate(self, now: float) -> Estimate | None:
        """Return this instance's pace, shrunk towards that of similar instances."""
        return self.statistics.estimate_pace(now, self.load.slots)
