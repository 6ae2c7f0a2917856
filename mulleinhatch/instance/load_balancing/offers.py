"""Offers of capacity: an instance with free slots issues a few short-lived offers, never more than it has free slots.

The issuer counts an offer as a used slot until a request arrives on it, or until it has expired and a request under way would
have arrived. So however many instances know of a free one, it receives no more requests than it has slots, which prevents
herding. The receiver measures the validity of an offer by its own clock from the arrival, which is later than the issue; a
request on an expired offer is treated like any other. Each offer is used once.
"""

from __future__ import annotations

from typing import NamedTuple

from mulleinhatch.random_source import RandomSource

TRANSIT_S = 0.1  # time for which a request may be under way after its offer has expired
MAX_OFFERS_KEPT = 64  # by a receiver
OUTCOME_HALVED_AFTER_S = 5.0
# A peer's offers are ignored if at least this fraction of its outcomes and at least this many are bad.
BAD_FRACTION, MIN_BAD = 0.5, 1.5
AVOID_FOR_S = 3.0  # time for which no request is sent to a peer that disconnected or was unreachable
NEEDS_VALID_FOR_S = 1.5  # time after a member's message about pending requests for which it is still sent offers
MAX_PEERS = 1000  # with more peers than this, old outcomes are dropped


class IssuedOffer(NamedTuple):
    """A slot reserved for a member."""

    to: str
    until: float


class OfferIssuer:
    """Offers that this instance has issued.

    Args:
        offer_for: seconds for which an offer is valid.
        max_offers: maximum number of outstanding offers.
        seed: seed of the random choices.

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
        """Return the number of valid offers, after dropping expired ones."""
        for number in [number for number, offer in self.issued.items() if offer.until <= now]:
            del self.issued[number]
            self.counts["offers_over"] += 1
        return len(self.issued)

    def issue(self, now: float, free_slots: int, needs: dict[str, int]) -> list[tuple[str, int]]:
        """Issue as many offers as there are free slots and return their receivers and numbers.

        Args:
            now: seconds of the caller's clock.
            free_slots: free slots of this instance.
            needs: recently reported pending requests of other members. Receivers are drawn in proportion to these, so that
                instances with free slots do not all choose the same one.
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
        """Redeem an offer whose request arrived and now uses the slot; return whether the offer was valid."""
        is_valid = self.issued.pop(number, None) is not None
        self.counts["offers_used"] += is_valid
        return is_valid


class ReceivedOffer(NamedTuple):
    """A slot offered by a peer."""

    issuer: str
    address: str  # host:port to send the request to
    number: int
    until: float


class PeerOutcomes:
    """Outcomes of requests at one peer, with exponential decay. Uses slots because there is one per peer."""

    __slots__ = ("bad", "total", "at", "avoided_until")

    def __init__(self) -> None:
        self.bad = self.total = 0.0
        self.at = self.avoided_until = -1e9

    def decay(self, now: float) -> None:
        """Reduce the weight of earlier outcomes."""
        weight = 0.5 ** (max(0.0, now - self.at) / OUTCOME_HALVED_AFTER_S)
        self.bad, self.total, self.at = weight * self.bad, weight * self.total, now


class OfferReceiver:
    """Offers that this instance has received, and the choice of one for each request that is handed over.

    Args:
        seed: seed of the random choices.

    >>> receiver = OfferReceiver(seed=1)
    >>> for _ in range(2):
    ...     receiver.receive(0.0, ReceivedOffer("b", "h:1", 7, until=0.3))
    >>> receiver.count(0.1)
    1
    >>> receiver.take(0.1).number, receiver.take(0.1), receiver.count(0.1)
    (7, None, 0)
    >>> for number in range(3):
    ...     receiver.record_outcome(0.2, "b", is_bad=True)
    >>> receiver.receive(0.2, ReceivedOffer("b", "h:1", 8, until=0.5)); receiver.count(0.2)     # a failing peer looks idle
    0
    """

    def __init__(self, seed: int) -> None:
        self.draw = RandomSource(seed).below
        self.offers: list[ReceivedOffer] = []
        self.outcomes: dict[str, PeerOutcomes] = {}
        self.last_number: dict[str, int] = {}  # by issuer: number of the last offer, to ignore duplicate datagrams
        self.ejected: set[str] = set()  # by outlier detection
        self.counts = dict.fromkeys(("offers_heard", "offers_unused", "offers_shunned"), 0)

    def receive(self, now: float, offer: ReceivedOffer) -> None:
        """Store an offer unless it is a duplicate or its issuer is avoided."""
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
        """Drop the offers of a peer's earlier process; the numbers of the new process start again."""
        self.last_number.pop(issuer, None)
        self._drop_offers_of(issuer)

    def is_usable(self, now: float, issuer: str) -> bool:
        """Return whether requests may be sent to a peer: it is not ejected, and few earlier ones failed."""
        if issuer in self.ejected:
            return False
        outcomes = self.outcomes.get(issuer)
        if outcomes is None:
            return True
        outcomes.decay(now)
        fails = outcomes.bad >= MIN_BAD and outcomes.bad >= BAD_FRACTION * outcomes.total
        return now >= outcomes.avoided_until and not fails

    def count(self, now: float) -> int:
        """Return the number of usable offers, after dropping others."""
        received = len(self.offers)
        self.offers = [offer for offer in self.offers if offer.until > now and self.is_usable(now, offer.issuer)]
        self.counts["offers_unused"] += received - len(self.offers)
        return len(self.offers)

    def take(self, now: float) -> ReceivedOffer | None:
        """Remove and return a random usable offer: if all receivers chose the newest one, they would herd."""
        if not self.count(now):
            return None
        return self.offers.pop(self.draw(len(self.offers)))

    def record_outcome(self, now: float, issuer: str, is_bad: bool, is_unreachable: bool = False) -> None:
        """Record the outcome of a request at a peer.

        Args:
            now: seconds of the caller's clock.
            issuer: the peer.
            is_bad: whether the request failed there.
            is_unreachable: whether the peer disconnected or could not be reached.
        """
        outcomes = self.outcomes.setdefault(issuer, PeerOutcomes())
        outcomes.decay(now)
        outcomes.bad, outcomes.total = outcomes.bad + is_bad, outcomes.total + 1.0
        if is_unreachable:
            outcomes.avoided_until = now + AVOID_FOR_S
            self._drop_offers_of(issuer)
        if len(self.outcomes) > MAX_PEERS:
            for name in [name for name, seen in self.outcomes.items() if now - seen.at > 10.0 * OUTCOME_HALVED_AFTER_S]:
                del self.outcomes[name]

    def _drop_offers_of(self, issuer: str) -> None:
        self.offers = [offer for offer in self.offers if offer.issuer != issuer]

    def opinions(self, now: float, limit: int) -> list[tuple[str, int, int]]:
        """Return observations of peers, worst first: name, percentage of requests with a bad outcome, number of requests."""
        observed = []
        for name, outcomes in sorted(self.outcomes.items()):
            outcomes.decay(now)
            if outcomes.total >= 0.5:
                observed.append((name, round(100.0 * outcomes.bad / outcomes.total), max(1, round(outcomes.total))))
        observed.sort(key=lambda opinion: (-opinion[1], -opinion[2], opinion[0]))
        return observed[:limit]
