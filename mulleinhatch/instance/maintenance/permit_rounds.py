"""Runs the rounds by which an instance changes the permit table: one at a time, repeated until a majority responds."""

from __future__ import annotations

from collections.abc import Callable

from mulleinhatch.instance.maintenance.messages import RegisterRequestMessage, RegisterResponseMessage
from mulleinhatch.instance.maintenance.messenger import MaintenanceMessenger
from mulleinhatch.instance.maintenance.paxos_register import ProposalRound
from mulleinhatch.instance.maintenance.table import PermitTable
from mulleinhatch.random_source import RandomSource

RESEND_INTERVAL_S = 0.25  # seconds until requests are sent again to voters that have not responded
ROUND_TIMEOUT_S = 3.0  # seconds until a round is abandoned; must be shorter than ABSTENTION_S
BACKOFF_RANGE_S = (0.2, 1.0)  # seconds, drawn uniformly, until the round after a beaten one
MAX_PROPOSER_LENGTH = 60  # characters of the proposer's name in a proposal number

TableChange = Callable[[PermitTable], PermitTable]


class PermitRounds:
    """Proposes changes of the permit table, one round at a time.

    Args:
        messenger: Transport of the requests.
        table: Table assumed until a response brings a newer one.
        seed: Seed of the backoff times.
        now: Monotonic seconds.
        on_abandoned: Called with the reason when a round ends without an agreement.
    """

    def __init__(
        self,
        messenger: MaintenanceMessenger,
        table: PermitTable,
        seed: int,
        now: float,
        on_abandoned: Callable[[str], None],
    ) -> None:
        self.messenger, self.counts, self.on_abandoned = messenger, messenger.counts, on_abandoned
        self.known = table
        self.current: ProposalRound | None = None
        self.next_allowed_at = now  # monotonic seconds
        self._random_fraction = RandomSource(seed).fraction
        self._started_at = self._sent_at = -1e9
        self._rounds = 0  # rounds started here; identifies the responses to the current one
        self._number = 0  # highest proposal number known

    def begin(self, now: float, change: TableChange) -> ProposalRound:
        """Start a round for a change of the table.

        Returns:
            The round. If this instance is the only voter, the round has completed and is no longer `current`.
        """
        self._rounds += 1
        self._number += 1
        self.counts["rounds"] += 1
        proposer = f"{self.messenger.name}.{self.messenger.process_epoch}.{self._rounds}"[-MAX_PROPOSER_LENGTH:]
        started = self.current = ProposalRound(proposer, self._number, self.known, change)
        self._started_at = now
        self._send_requests(now)
        return started

    def cancel(self) -> None:
        """Drop the current round; late responses to it are ignored."""
        self.current = None

    def resume(self, now: float) -> None:
        """Send requests again when they are due, or abandon the current round after `ROUND_TIMEOUT_S`."""
        if now - self._started_at >= ROUND_TIMEOUT_S:
            self.counts["rounds_given_up"] += 1
            self._abandon(now, "no majority of the voters responds")
        elif now - self._sent_at >= RESEND_INTERVAL_S:
            self._send_requests(now)

    def record_number(self, number: int) -> None:
        """Record a proposal number in use, so that the next round uses a higher one."""
        self._number = max(self._number, number)

    def handle_response(self, now: float, message: RegisterResponseMessage) -> PermitTable | None:
        """Handle a voter's response; return the table if it completes the agreement on it."""
        current = self.current
        if current is None or message.number != self._rounds:
            return None
        was_preparing = current.table is None
        current.handle_response(message.response)
        if not current.outcome:
            if was_preparing and current.table is not None:
                self._send_requests(now)
            return None
        self.counts[f"rounds_{current.outcome}"] += 1
        self.record_number(current.highest)
        if current.outcome in ("moved", "refused"):
            self.known = current.known
        if current.outcome != "agreed":
            self._abandon(now, current.why)
            return None
        self.known, self.current = current.table, None
        return current.table

    def _send_requests(self, now: float) -> None:
        self._sent_at = now
        for voter, request in self.current.pending_requests():
            self.messenger.send(voter, RegisterRequestMessage(request, self._rounds))

    def _abandon(self, now: float, reason: str) -> None:
        shortest, longest = BACKOFF_RANGE_S
        self.current = None
        self.next_allowed_at = now + shortest + (longest - shortest) * self._random_fraction()
        self.on_abandoned(reason)
