"""When a machine may act as the holder of a role. Pure: a state machine over what it is told, time an argument.

| state | event | next |
| --- | --- | --- |
| OUTSIDE | it leads the chain and hears a majority | WAITING |
| WAITING | a lease has passed since the former holder could last act, or it was the holder itself | CLAIMING |
| CLAIMING | its claim is committed: the entry's index is the fencing token | ACTING |
| ACTING | it does not lead for a moment, as while a view changes | PAUSED: gives no orders |
| PAUSED | it leads again within `PAUSE_S`, and the replicated state still names its token: nobody claimed meanwhile | ACTING |
| PAUSED | longer, or another token | OUTSIDE |
| others | it does not lead, or hears no majority | OUTSIDE |
| ACTING | a backend refuses the token as too low, or the replicated state names another holder | OUTSIDE |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LEASE_MARGIN_S = 0.3
PAUSE_S = 1.0  # what is known of the backends' orders is believed over a pause of this length
FENCED_S = 1.0  # the wait where a former holder that is out of reach is fenced off by the backends themselves


class LeaseState(Enum):
    OUTSIDE = "outside"
    WAITING = "waiting"
    CLAIMING = "claiming"
    ACTING = "acting"
    PAUSED = "paused"


@dataclass(frozen=True)
class LeadershipObservation:
    """What a machine sees of its place. `leader` and `token` are the replicated state's."""

    leads: bool  # head of the chain, and in touch with a majority of the voters
    identity: str
    leader: str
    token: int
    former_idle_s: float = 0.0  # how long the former holder says that it has not acted and will not again
    former_fenced: bool = False  # it is out of reach, and backends refuse its token once they have seen a higher one


class LeaderLease:
    """One machine's view of one role."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s + LEASE_MARGIN_S
        self.state = LeaseState.OUTSIDE
        self.token = 0
        self._since = self._may_at = self._acted_at = 0.0

    def observe(self, observation: LeadershipObservation, now: float) -> LeaseState:
        """The state after a look."""
        named = observation.leader == observation.identity and observation.token == self.token
        if self.state in (LeaseState.ACTING, LeaseState.PAUSED):
            self._pause(observation.leads, named, now)
            return self.state
        if not observation.leads:
            self.state = LeaseState.OUTSIDE
        elif self.state is LeaseState.OUTSIDE:
            self.state = LeaseState.WAITING
            unclaimed = observation.leader in ("", observation.identity)
            self._since, self._may_at = now, now if unclaimed else now + self._lease_s
        if self.state is LeaseState.WAITING:
            if observation.former_idle_s > 0.0:
                self._may_at = min(self._may_at, now + max(0.0, self._lease_s - observation.former_idle_s))
            if now >= self._may_at or (observation.former_fenced and now >= self._since + FENCED_S):
                self.state = LeaseState.CLAIMING
        return self.state

    def _pause(self, leads: bool, named: bool, now: float) -> None:
        if self.state is LeaseState.ACTING:
            self._acted_at = now
        if not named or now - self._acted_at > PAUSE_S:
            self.state = LeaseState.OUTSIDE
        else:
            self.state = LeaseState.ACTING if leads else LeaseState.PAUSED

    def claimed(self, token: int) -> None:
        """The claim is committed under `token`; 0 where it failed."""
        if self.state is LeaseState.CLAIMING and token:
            self.state, self.token = LeaseState.ACTING, token

    def outranked(self) -> None:
        """A backend has seen a higher token: a new claim is needed."""
        self.state = LeaseState.OUTSIDE

    @property
    def acting(self) -> bool:
        return self.state is LeaseState.ACTING
