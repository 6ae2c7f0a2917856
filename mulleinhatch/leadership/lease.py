"""Decides when a node may act as the placement leader. Pure: a state machine with time as an argument."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LEASE_MARGIN_S = 0.3  # added to the lease before another node may claim
MAX_PAUSE_S = 1.0  # the leader's knowledge of pending orders stays valid over a pause of this length
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
    """What a node observes about its own position and the recorded leader.

    Attributes:
        can_lead: This node is the head of the chain and in contact with a majority of the voters.
        identity: This node's identity.
        leader: The leader that the replicated state records, empty before the first one.
        token: The fencing token of that leader.
        previous_leader_idle_s: Seconds since the previous leader's last order, as it reported; it will send no more.
        is_previous_leader_fenced: The previous leader is unreachable, and backends reject its token after a higher one.
    """

    can_lead: bool
    identity: str
    leader: str
    token: int
    previous_leader_idle_s: float = 0.0
    is_previous_leader_fenced: bool = False


class LeaderLease:
    """The leader lease as one node sees it.

    | state | event | next state |
    | --- | --- | --- |
    | FOLLOWER | the node can lead | WAITING |
    | WAITING | the previous leader's lease has expired, or it was this node, or it is fenced | CLAIMING |
    | CLAIMING | the claim is committed: its entry's index is the fencing token | LEADER |
    | LEADER | the node cannot lead for a moment, for example during a view change | PAUSED: sends no orders |
    | PAUSED | it can lead again within MAX_PAUSE_S and the recorded token is still its own: nobody claimed since | LEADER |
    | PAUSED | MAX_PAUSE_S passed, or another token is recorded | FOLLOWER |
    | WAITING, CLAIMING | the node cannot lead | FOLLOWER |
    | LEADER, PAUSED | a backend rejects the token as too low, or another leader is recorded | FOLLOWER |

    Args:
        lease_s: How long a leader may act without confirmation.

    Attributes:
        state: The current state.
        token: The fencing token of this node's last committed claim.
        rejected_token: The highest token of this node that a backend rejected as too low, 0 if none was. No later order uses
            it or a lower one.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s + LEASE_MARGIN_S
        self.state = LeaseState.FOLLOWER
        self.token = 0
        self.rejected_token = 0
        self._waiting_since = 0.0
        self._may_claim_at = 0.0
        self._last_led_at = 0.0

    @property
    def is_leader(self) -> bool:
        """Whether this node may send orders."""
        return self.state is LeaseState.LEADER

    def observe(self, observation: LeadershipObservation, now: float) -> LeaseState:
        """Advance the state machine by an observation.

        Returns:
            The new state. CLAIMING asks the caller to commit a claim and to call `on_claim_committed`.
        """
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
        """Become the leader once the claim is committed.

        Args:
            token: The log index of the claim's entry; 0 if the claim failed.
        """
        if self.state is LeaseState.CLAIMING and token > self.rejected_token:
            self.state, self.token = LeaseState.LEADER, token

    def on_higher_token(self, rejected_token: int) -> None:
        """Handle a backend that has seen a higher token than one of this node: step down if that one is current.

        Args:
            rejected_token: The token of the rejected order. A late response to an order of an earlier term says nothing
                about the current one.
        """
        self.rejected_token = max(self.rejected_token, rejected_token)
        if self.token <= self.rejected_token:
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
