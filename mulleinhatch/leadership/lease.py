"""When a machine may act as the holder of a role. Pure: a state machine over what it is told, time an argument.

| state | event | next |
| --- | --- | --- |
| FOLLOWER | it can_lead the chain and hears a majority | WAITING |
| WAITING | a lease has passed since the former holder could last act, or it was the holder itself | CLAIMING |
| CLAIMING | its claim is committed: the entry's index is the fencing token | LEADER |
| LEADER | it does not lead for a moment, as while a view changes | PAUSED: gives no orders |
| PAUSED | it can_lead again within `MAX_PAUSE_S`, and the replicated state still names its token: no other claim meanwhile | LEADER |
| PAUSED | longer, or another token | FOLLOWER |
| others | it does not lead, or hears no majority | FOLLOWER |
| LEADER | a backend refuses the token as too low, or the replicated state names another holder | FOLLOWER |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LEASE_MARGIN_S = 0.3
MAX_PAUSE_S = 1.0  # what is known of the backends' orders is believed over a pause of this length
FENCED_WAIT_S = 1.0  # the wait where a former holder that is out of reach is fenced off by the backends themselves


class LeaseState(Enum):
    FOLLOWER = "follower"
    WAITING = "waiting"
    CLAIMING = "claiming"
    LEADER = "leader"
    PAUSED = "paused"


@dataclass(frozen=True)
class LeadershipObservation:
    """What a machine sees of its place. `leader` and `token` are the replicated state's."""

    can_lead: bool  # head of the chain, and in touch with a majority of the voters
    identity: str
    leader: str
    token: int
    previous_leader_idle_s: float = 0.0  # how long the former holder says that it has not acted and will not again
    is_previous_leader_fenced: bool = (
        False  # it is out of reach, and backends refuse its token once they have seen a higher one
    )


class LeaderLease:
    """One machine's view of one role."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s + LEASE_MARGIN_S
        self.state = LeaseState.FOLLOWER
        self.token = 0
        self._waiting_since = self._may_claim_at = self._last_led_at = 0.0

    def observe(self, observation: LeadershipObservation, now: float) -> LeaseState:
        """The state after a look."""
        is_named_leader = observation.leader == observation.identity and observation.token == self.token
        if self.state in (LeaseState.LEADER, LeaseState.PAUSED):
            self._update_leader(observation.can_lead, is_named_leader, now)
            return self.state
        if not observation.can_lead:
            self.state = LeaseState.FOLLOWER
        elif self.state is LeaseState.FOLLOWER:
            self.state = LeaseState.WAITING
            unclaimed = observation.leader in ("", observation.identity)
            self._waiting_since, self._may_claim_at = now, now if unclaimed else now + self._lease_s
        if self.state is LeaseState.WAITING:
            if observation.previous_leader_idle_s > 0.0:
                self._may_claim_at = min(self._may_claim_at, now + max(0.0, self._lease_s - observation.previous_leader_idle_s))
            if now >= self._may_claim_at or (
                observation.is_previous_leader_fenced and now >= self._waiting_since + FENCED_WAIT_S
            ):
                self.state = LeaseState.CLAIMING
        return self.state

    def _update_leader(self, can_lead: bool, is_named_leader: bool, now: float) -> None:
        if self.state is LeaseState.LEADER:
            self._last_led_at = now
        if not is_named_leader or now - self._last_led_at > MAX_PAUSE_S:
            self.state = LeaseState.FOLLOWER
        else:
            self.state = LeaseState.LEADER if can_lead else LeaseState.PAUSED

    def on_claim_committed(self, token: int) -> None:
        """The claim is committed under `token`; 0 where it failed."""
        if self.state is LeaseState.CLAIMING and token:
            self.state, self.token = LeaseState.LEADER, token

    def on_higher_token(self) -> None:
        """A backend has seen a higher token: a new claim is needed."""
        self.state = LeaseState.FOLLOWER

    @property
    def is_leader(self) -> bool:
        return self.state is LeaseState.LEADER
