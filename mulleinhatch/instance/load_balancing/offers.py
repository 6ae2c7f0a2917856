"""Offers of capacity: an instance with free slots issues a few short-lived offers, never more than it has free slots.

The issuer counts an offer as a used slot until its expiry and the time that a message may take, or until a request arrives on
it. So however many instances know of a free one, it receives no more requests than it has slots, and they cannot all rush to
it. The receiver considers an offer valid until its own clock says otherwise, counted from the arrival, which is later than
the issue; a request on an expired offer is one like any other. Each offer is used once.
"""

from __future__ import annotations

from typing import NamedTuple

from mulleinhatch.random_source import RandomSource

TRANSIT_S = 0.1  # that a request may be under way after its offer has expired
MAX_OFFERS_KEPT = 64  # by a receiver
OUTCOME_HALVED_AFTER_S = 5.0
# A peer's offers are ignored from this fraction of bad outcomes on, given at least so many of them.
BAD_FRACTION, MIN_BAD = 0.5, 1.5
REST_S = 3.0  # during which a peer that broke off or was unreachable gets nothing
NEEDS_VALID_FOR_S = 1.5  # after a message with a member's pending requests, an offer to it is still worthwhile
MAX_PEERS = 1000  # whose outcomes are kept before old ones are dropped


class IssuedOffer(NamedTuple):
    """A slot that is reserved for a member."""

    to: str
    until: float


class OfferIssuer:
    """Offers that this instance has issued.

    Args:
        offer_for: seconds that an offer is valid.
        max_offers: outstanding at a time.
        seed: of the random choices.

    >>> issuer = OfferIssuer(offer_for=0.3, max_offers=8, seed=1)
    >>> [(to, number) for to, number in issuer.issue(0.0, free_slots=2, needs={"a": 5, "b": 1})]
    [('a', 1), ('a', 2)]
    >>> list(issuer.issue(0.1, free_slots=2, needs={"a": 5})), issuer.redeem(0.2, 1), issuer.outstanding(0.2)
    ([], True, 1)
    >>> issuer.redeem(0.2, 1), len(list(issuer.issue(0.41, free_slots=2, needs={"a": 5})))
    (False, 2)
    """

    def __init__(self, offer_for: float, max_offers: int, seed: int) -> None:
        self.offer_for, self.max_offers, self.draw = offer_for, max_offers, RandomSource(seed).below
        self.issued: dict[int, IssuedOffer] = {}
        self.number = 0
        self.counts = dict.fromkeys(("offers_given", "offers_used", "offers_over"), 0)

    def outstanding(self, now: float) -> int:
        """Return how many offers are valid; expired ones are dropped."""
        for number in [number for number, offer in self.issued.items() if offer.until <= now]:
            del self.issued[number]
            self.counts["offers_over"] += 1
        return len(self.issued)

    def issue(self, now: float, free_slots: int, needs: dict[str, int]) -> list[tuple[str, int]]:
        """Issue as many offers as there are free slots and return their receivers and numbers.

        Args:
            now: seconds of the caller's clock.
            free_slots: of this instance.
            needs: pending requests of others, as heard lately. A receiver is drawn in proportion to these, so that not all
                instances with free slots choose the same one.
        """
        free = min(free_slots - self.outstanding(now), self.max_offers)
        outstanding: dict[str, int] = {}
        for offer in self.issued.values():
            outstanding[offer.to] = outstanding.get(offer.to, 0) + 1
        unmet = {
            name: need - outstanding.get(name, 0) for name, need in sorted(needs.items()) if need > outstanding.get(name, 0)
        }
        offers = []
        while free > 0 and unmet:
            name = self._draw_receiver(unmet)
            unmet[name] -= 1
            if not unmet[name]:
                del unmet[name]
            free -= 1
            self.number += 1
            self.issued[self.number] = IssuedOffer(name, now + self.offer_for + TRANSIT_S)
            self.counts["offers_given"] += 1
            offers.append((name, self.number))
        return offers

    def _draw_receiver(self, unmet: dict[str, int]) -> str:
        position = self.draw(sum(unmet.values()))
        for name, need in unmet.items():
            position -= need
            if position < 0:
                break
        return name

    def redeem(self, now: float, number: int) -> bool:
        """Handle a request on an offer, whose slot the request itself now uses; return whether the offer was valid."""
        is_valid = self.issued.pop(number, None) is not None
        self.counts["offers_used"] += is_valid
        return is_valid


class ReceivedOffer(NamedTuple):
    """A slot at a peer."""

    issuer: str
    address: str  # host:port to send the request to
    number: int
    until: float


class PeerOutcomes:
    """What became of requests at one peer, with exponential decay. Slots: there is one for each peer."""

    __slots__ = ("bad", "total", "at", "rests_until")

    def __init__(self) -> None:
        self.bad = self.total = 0.0
        self.at = self.rests_until = -1e9

    def decay(self, now: float) -> None:
        """Reduce the weight of earlier outcomes."""
        weight = 0.5 ** (max(0.0, now - self.at) / OUTCOME_HALVED_AFTER_S)
        self.bad, self.total, self.at = weight * self.bad, weight * self.total, now


class OfferReceiver:
    """Offers that this instance has received, and which of them a request is handed over on.

    Args:
        seed: of the random choices.

    >>> receiver = OfferReceiver(seed=1)
    >>> for _ in range(2):
    ...     receiver.receive(0.0, ReceivedOffer("b", "h:1", 7, until=0.3))
    >>> receiver.count(0.1)
    1
    >>> receiver.take(0.1).number, receiver.take(0.1), receiver.count(0.1)
    (7, None, 0)
    >>> for number in range(3):
    ...     receiver.record_outcome(0.2, "b", is_bad=True)
    >>> receiver.receive(0.2, ReceivedOffer("b", "h:1", 8, until=0.5)); receiver.count(0.2)     # one that fails all looks idle
    0
    """

    def __init__(self, seed: int) -> None:
        self.draw = RandomSource(seed).below
        self.offers: list[ReceivedOffer] = []
        self.outcomes: dict[str, PeerOutcomes] = {}
        self.last_number: dict[str, int] = {}  # by issuer: a repeated datagram brings nothing new
        self.ejected: set[str] = set()  # by outlier detection
        self.counts = dict.fromkeys(("offers_heard", "offers_unused", "offers_shunned"), 0)

    def receive(self, now: float, offer: ReceivedOffer) -> None:
        """Keep an offer, unless it is a repeated one or its issuer is avoided."""
        if offer.number <= self.last_number.get(offer.issuer, 0):
            return
        self.last_number[offer.issuer] = offer.number
        self.counts["offers_heard"] += 1
        if self.is_usable(now, offer.issuer):
            self.offers.append(offer)
            del self.offers[:-MAX_OFFERS_KEPT]
        else:
            self.counts["offers_shunned"] += 1

    def on_peer_restart(self, issuer: str) -> None:
        """Drop the offers of an earlier process of a peer, whose numbers start anew."""
        self.last_number.pop(issuer, None)
        self._drop_offers_of(issuer)

    def is_usable(self, now: float, issuer: str) -> bool:
        """Return whether requests may go to a peer: it is not ejected, and did well with earlier ones."""
        if issuer in self.ejected:
            return False
        outcomes = self.outcomes.get(issuer)
        if outcomes is None:
            return True
        outcomes.decay(now)
        fails = outcomes.bad >= MIN_BAD and outcomes.bad >= BAD_FRACTION * outcomes.total
        return now >= outcomes.rests_until and not fails

    def count(self, now: float) -> int:
        """Return how many offers are usable; others are dropped."""
        received = len(self.offers)
        self.offers = [offer for offer in self.offers if offer.until > now and self.is_usable(now, offer.issuer)]
        self.counts["offers_unused"] += received - len(self.offers)
        return len(self.offers)

    def take(self, now: float) -> ReceivedOffer | None:
        """Return a usable offer at random, for one use: the newest one would be everybody's choice."""
        if not self.count(now):
            return None
        return self.offers.pop(self.draw(len(self.offers)))

    def record_outcome(self, now: float, issuer: str, is_bad: bool, is_unreachable: bool = False) -> None:
        """Record what became of a request at a peer.

        Args:
            now: seconds of the caller's clock.
            issuer: the peer.
            is_bad: whether the request failed there.
            is_unreachable: whether the peer broke off, or could not be reached.
        """
        outcomes = self.outcomes.setdefault(issuer, PeerOutcomes())
        outcomes.decay(now)
        outcomes.bad, outcomes.total = outcomes.bad + is_bad, outcomes.total + 1.0
        if is_unreachable:
            outcomes.rests_until = now + REST_S
            self._drop_offers_of(issuer)
        if len(self.outcomes) > MAX_PEERS:
            for name in [name for name, seen in self.outcomes.items() if now - seen.at > 10.0 * OUTCOME_HALVED_AFTER_S]:
                del self.outcomes[name]

    def _drop_offers_of(self, issuer: str) -> None:
        self.offers = [offer for offer in self.offers if offer.issuer != issuer]

    def opinions(self, now: float, limit: int) -> list[tuple[str, int, int]]:
        """Return observations of peers: name, percent of the requests with a bad outcome, requests. The worst come first."""
        observed = []
        for name, outcomes in sorted(self.outcomes.items()):
            outcomes.decay(now)
            if outcomes.total >= 0.5:
                observed.append((name, round(100.0 * outcomes.bad / outcomes.total), max(1, round(outcomes.total))))
        observed.sort(key=lambda opinion: (-opinion[1], -opinion[2], opinion[0]))
        return observed[:limit]
