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
| ACTING | a stub refuses the token as too low, or the replicated state names another holder | OUTSIDE |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LEASE_MARGIN_S = 0.3
PAUSE_S = 1.0  # what is known of the stubs' orders is believed over a pause of this length
FENCED_S = 1.0  # the wait where a former holder that is out of reach is fenced off by the stubs themselves


class RoleState(Enum):
    OUTSIDE = "outside"
    WAITING = "waiting"
    CLAIMING = "claiming"
    ACTING = "acting"
    PAUSED = "paused"


@dataclass(frozen=True)
class Sight:
    """What a machine sees of its place. `holder` and `token` are the replicated state's."""

    leads: bool  # head of the chain, and in touch with a majority of the voters
    identity: str
    holder: str
    token: int
    former_idle_s: float = 0.0  # how long the former holder says that it has not acted and will not again
    former_fenced: bool = False  # it is out of reach, and stubs refuse its token once they have seen a higher one


class HolderRole:
    """One machine's view of one role."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s + LEASE_MARGIN_S
        self.state = RoleState.OUTSIDE
        self.token = 0
        self._since = self._may_at = self._acted_at = 0.0

    def observe(self, sight: Sight, now: float) -> RoleState:
        """The state after a look."""
        named = sight.holder == sight.identity and sight.token == self.token
        if self.state in (RoleState.ACTING, RoleState.PAUSED):
            self._pause(sight.leads, named, now)
            return self.state
        if not sight.leads:
            self.state = RoleState.OUTSIDE
        elif self.state is RoleState.OUTSIDE:
            self.state = RoleState.WAITING
            unclaimed = sight.holder in ("", sight.identity)
            self._since, self._may_at = now, now if unclaimed else now + self._lease_s
        if self.state is RoleState.WAITING:
            if sight.former_idle_s > 0.0:
                self._may_at = min(self._may_at, now + max(0.0, self._lease_s - sight.former_idle_s))
            if now >= self._may_at or (sight.former_fenced and now >= self._since + FENCED_S):
                self.state = RoleState.CLAIMING
        return self.state

    def _pause(self, leads: bool, named: bool, now: float) -> None:
        if self.state is RoleState.ACTING:
            self._acted_at = now
        if not named or now - self._acted_at > PAUSE_S:
            self.state = RoleState.OUTSIDE
        else:
            self.state = RoleState.ACTING if leads else RoleState.PAUSED

    def claimed(self, token: int) -> None:
        """The claim is committed under `token`; 0 where it failed."""
        if self.state is RoleState.CLAIMING and token:
            self.state, self.token = RoleState.ACTING, token

    def outranked(self) -> None:
        """A stub has seen a higher token: a new claim is needed."""
        self.state = RoleState.OUTSIDE

    @property
    def acting(self) -> bool:
        return self.state is RoleState.ACTING
