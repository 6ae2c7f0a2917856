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

LEASE_MARGIN_S = 0.3  # added to the lease before another node may claim
MAX_PAUSE_S = 1.0  # what the leader knows of pending orders stays valid over a pause of this length
FENCED_WAIT_S = 1.0  # replaces the lease where the backends themselves reject an unreachable previous leader


class LeaseState(Enum):
    """The state of one node's leader lease; `LeaderLease` has the transitions."""

    FOLLOWER = "follower"
    WAITING = "waiting"
    CLAIMING = "claiming"
    LEADER = "leader"
    PAUSED = "paused"


@dataclass(frozen=True)
class LeadershipObservation:
    """What a machine sees of its place. `leader` and `token` are the replicated state's."""

    can_lead: bool
    identity: str
    leader: str
    token: int
    previous_leader_idle_s: float = 0.0
    is_previous_leader_fenced: bool = False


class LeaderLease:
    """One machine's view of one role."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s + LEASE_MARGIN_S
        self.state = LeaseState.FOLLOWER
        self.token = 0
        self._waiting_since = 0.0
        self._may_claim_at = 0.0
        self._last_led_at = 0.0

    @property
    def is_leader(self) -> bool:
        """Whether this node may give orders."""
        return self.state is LeaseState.LEADER

    def observe(self, observation: LeadershipObservation, now: float) -> LeaseState:
        """The state after a look."""
        if self.state in (LeaseState.LEADER, LeaseState.PAUSED):
            self._update_leader(observation, now)
            return self.state
        if not observation.can_lead:
            self.state = LeaseState.FOLLOWER
        elif self.state is LeaseState.FOLLOWER:
            self._start_waiting(observation, now)
        if self.state is LeaseState.WAITING:
            self._claim_if_due(observation, now)
        return self.state

    def on_claim_committed(self, token: int) -> None:
        """The claim is committed under `token`; 0 where it failed."""
        if self.state is LeaseState.CLAIMING and token:
            self.state, self.token = LeaseState.LEADER, token

    def on_higher_token(self) -> None:
        """A backend has seen a higher token: a new claim is needed."""
        self.state = LeaseState.FOLLOWER

    def _start_waiting(self, observation: LeadershipObservation, now: float) -> None:
        self.state = LeaseState.WAITING
        self._waiting_since = now
        has_other_leader = observation.leader not in ("", observation.identity)
        self._may_claim_at = now + self._lease_s if has_other_leader else now

    def _claim_if_due(self, observation: LeadershipObservation, now: float) -> None:
        if observation.previous_leader_idle_s > 0.0:
            remaining_s = max(0.0, self._lease_s - observation.previous_leader_idle_s)
            self._may_claim_at = min(self._may_claim_at, now + remaining_s)
        is_fenced = observation.is_previous_leader_fenced and now >= self._waiting_since + FENCED_WAIT_S
        if now >= self._may_claim_at or is_fenced:
            self.state = LeaseState.CLAIMING

    def _update_leader(self, observation: LeadershipObservation, now: float) -> None:
        """Pause, resume or step down."""
        if self.state is LeaseState.LEADER:
            self._last_led_at = now
        is_recorded = observation.leader == observation.identity and observation.token == self.token
        if not is_recorded or now - self._last_led_at > MAX_PAUSE_S:
            self.state = LeaseState.FOLLOWER
        else:
            self.state = LeaseState.LEADER if observation.can_lead else LeaseState.PAUSED
