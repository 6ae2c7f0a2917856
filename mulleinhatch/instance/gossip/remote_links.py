"""Links to other zones and regions: one group maintains each link, and a standby group at a lower rate."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from mulleinhatch.instance.gossip.byte_rate import ByteRate
from mulleinhatch.instance.gossip.introductions import Introductions
from mulleinhatch.instance.gossip.messages import GROUP, NOTICE, REGION, ZONE
from mulleinhatch.instance.gossip.outgoing import OutgoingMessage
from mulleinhatch.instance.gossip.speaker_election import SpeakerElection
from mulleinhatch.instance.gossip.summary_composer import SummaryComposer
from mulleinhatch.instance.gossip.summary_table import STALE_AFTER_S, PartKey, ReceivedSummary, Total

LINK_INTERVAL_S, STANDBY_LINK_INTERVAL_S = 2.5, 5.0  # between messages over a link, by its primary and standby group
SEED_INTERVAL_S, MISSING_SEED_INTERVAL_S = 20.0, 5.0  # between pings to remote seeds; the second if a zone or region is silent
MIN_INTERVAL_S = 0.1  # between messages about changes
MAX_CHANGE_SENDS = 2  # immediate sends of a change over a link, since one message may be lost
URGENT_EXCESS = 4000.0  # changes are sent at once up to this many bytes above the rate


def choose_contact(now: float, row: ReceivedSummary, draw: Callable[[int], int]) -> str:
    """Return a contact: mostly the speaker, sometimes its standby, and also earlier speakers if the row is aging."""
    is_aging = now - row.seen_at > 0.5 * STALE_AFTER_S[row.summary.level]
    candidates = len(row.contacts) if is_aging else min(2, len(row.contacts))
    return row.contacts[0 if draw(8) else draw(candidates)]


class RemoteLinks:
    """A speaker's links to other zones and regions.

    Args:
        composer: builds the messages from the summary table.
        election: decides which links this member's group maintains.
        introductions: pings the remote seeds.
        byte_rate: rate of this member's traffic.
        seeds_pinged_at: start of the first interval between pings to remote seeds.
    """

    def __init__(
        self,
        composer: SummaryComposer,
        election: SpeakerElection,
        introductions: Introductions,
        byte_rate: ByteRate,
        seeds_pinged_at: float,
    ) -> None:
        self.composer, self.election, self.introductions, self.byte_rate = composer, election, introductions, byte_rate
        self.table, self.draw, self.seeds = composer.table, composer.draw, introductions.bounds.beyond
        self.sent_at: dict[PartKey, float] = {}
        self.sent_counts: dict[PartKey, tuple[list[int], int]] = {}  # member counts last sent, and how often
        self.seeds_pinged_at = seeds_pinged_at

    def heartbeat(self, now: float) -> Iterator[OutgoingMessage]:
        """Send due messages over the links that this member's group maintains, and ping remote seeds periodically."""
        totals: dict[str, Total] = {}
        for key, row in list(self.table.rows.items()):
            since_s = now - self.sent_at.get(key, -1e9)
            if key[0] == GROUP or not row.contacts or since_s < MIN_INTERVAL_S:
                continue
            rank = self.election.link_rank(now, key, self.table)
            if rank > 1:
                self.sent_at.pop(key, None)
                continue
            totals = totals or self.composer.totals(now)
            counts = self._member_counts(key, totals)
            previous, sends = self.sent_counts.get(key, ([], 0))
            sends = sends if previous == counts else 0
            is_urgent = rank == 0 and self.byte_rate.excess < URGENT_EXCESS and sends < MAX_CHANGE_SENDS
            if is_urgent or since_s >= (LINK_INTERVAL_S if rank == 0 else STANDBY_LINK_INTERVAL_S):
                self.sent_at[key], self.sent_counts[key] = now, (counts, sends + 1)
                summary_data = self.composer.from_here(summaries=self.composer.for_remote(now, key[0]))
                contact = choose_contact(now, row, self.draw)
                yield OutgoingMessage(contact, NOTICE, is_brief=True, summary_data=summary_data)
        yield from self._ping_seeds(now)

    def _member_counts(self, key: PartKey, totals: dict[str, Total]) -> list[int]:
        """Return the member counts to send over a link; a change of them is sent at once."""
        if key[0] == REGION:
            return [totals["region"].members]
        regions = [row.summary.members for (level, _), row in self.table.rows.items() if level == REGION]
        return [totals["zone"].members, *regions]

    def _ping_seeds(self, now: float) -> Iterator[OutgoingMessage]:
        """Ping remote seeds to discover unknown zones and regions, less often if all known ones are heard."""
        heard = [not row.is_stale(now) for (level, _), row in self.table.rows.items() if level != GROUP]
        interval_s = SEED_INTERVAL_S if heard and all(heard) else MISSING_SEED_INTERVAL_S
        is_due = self.seeds and now - self.seeds_pinged_at >= interval_s
        if is_due and self.election.link_rank(now, (ZONE, ""), self.table) == 0:
            self.seeds_pinged_at = now
            yield from self.introductions.ping_next(now, self.seeds)
