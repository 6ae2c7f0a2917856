"""Order the control-plane nodes that a data plane may poll. Pure.

| node | rank |
| --- | --- |
| of the published chain, confirmed by its last answer or not asked lately | first |
| of the published chain, answered without contact with a majority a moment ago | second |
| named by a call of a control-plane node only | third |
| named by the settings only | fourth |
| did not answer a moment ago | last |

Within a rank, rendezvous hashing spreads the data planes over the nodes.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TypedDict

from mulleinhatch.membership.rendezvous import rank_by_weight

SILENT_S = 2.0  # a node that did not answer is asked last for this time
MAX_CALLED = 9  # addresses named in calls that are kept
UNCONFIRMED_S = 2.0  # a node that answered without contact with a majority is asked after the others for this time


@dataclass
class TargetState:
    """What is known of one node. Times are loop times in seconds."""

    silent_until: float = 0.0
    unconfirmed_until: float = 0.0
    is_responsive: bool = False  # whether it answered the last poll


NEVER_POLLED = TargetState()


class Naming(StrEnum):
    """Who named a node; where several did, the one that counts."""

    CONTROL_PLANE = "control plane"
    CALL = "call"
    SETTINGS = "settings"


NAMING_RANKS = {naming: rank for rank, naming in enumerate(Naming)}


class TargetStatus(TypedDict):
    """One node, for the status page: who named it, and whether it answered its last poll."""

    named_by: Naming
    responsive: bool


class PollTargets:
    """The nodes that a data plane may poll.

    Args:
        name: The name of the data plane.
        seeds: The internal addresses that its settings name.

    Attributes:
        published: The internal addresses of the chain, as the control plane last published them.
    """

    def __init__(self, name: str, seeds: Sequence[str]) -> None:
        self._name, self._seeds = name, list(seeds)
        self._called: list[str] = []
        self.published: list[str] = []
        self._positions = self._rank_positions()  # by address: its place by rendezvous hashing
        self._states: dict[str, TargetState] = {}

    def publish(self, addresses: Sequence[str]) -> None:
        """Replace the published addresses."""
        if self.published == addresses:
            return
        self.published = list(addresses)
        self._update_positions()

    def add_called(self, addresses: Sequence[str]) -> bool:
        """Add addresses that a control-plane node named in a call, the latest `MAX_CALLED`; return whether one is new."""
        is_new = any(address not in self._positions for address in addresses)
        self._called = list(dict.fromkeys([*addresses, *self._called]))[:MAX_CALLED]
        self._update_positions()
        return is_new

    def forget_called(self) -> None:
        """Forget the addresses that were named in calls: a node has published its chain since."""
        if self._called:
            self._called = []
            self._update_positions()

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the addresses that the settings name."""
        self._seeds = list(seeds)
        self._update_positions()

    def _update_positions(self) -> None:
        self._positions = self._rank_positions()
        self._states = {address: state for address, state in self._states.items() if address in self._positions}

    def _rank_positions(self) -> dict[str, int]:
        order = rank_by_weight(self._name, dict.fromkeys([*self.published, *self._seeds, *self._called]))
        return {address: position for position, address in enumerate(order)}

    @property
    def addresses(self) -> list[str]:
        """All addresses, in the order of rendezvous hashing."""
        return list(self._positions)

    def status(self) -> dict[str, TargetStatus]:
        """Return what is known of each node, by its address."""
        return {
            address: TargetStatus(named_by=self._naming(address), responsive=self.is_responsive(address))
            for address in self._positions
        }

    def _naming(self, address: str) -> Naming:
        if address in self.published:
            return Naming.CONTROL_PLANE
        return Naming.CALL if address in self._called else Naming.SETTINGS

    def ranked(self, now: float) -> list[str]:
        """Return all addresses, the one to poll first in front."""

        def rank(address: str) -> tuple[float, int, bool, int]:
            state = self._states.get(address, NEVER_POLLED)
            silent_s = max(0.0, state.silent_until - now)
            naming_rank = NAMING_RANKS[self._naming(address)]
            return silent_s, naming_rank, now < state.unconfirmed_until, self._positions[address]

        return sorted(self._positions, key=rank)

    def is_responsive(self, address: str) -> bool:
        """Return whether a node answered its last poll."""
        return address in self._states and self._states[address].is_responsive

    def record_answer(self, address: str, is_confirmed: bool, now: float) -> None:
        """Record an answer, and whether its node was in contact with a majority."""
        state = self._states.setdefault(address, TargetState())
        state.is_responsive, state.silent_until = True, 0.0
        state.unconfirmed_until = 0.0 if is_confirmed else now + UNCONFIRMED_S

    def record_silence(self, address: str, now: float) -> None:
        """Record that a node did not answer in time."""
        state = self._states.setdefault(address, TargetState())
        state.is_responsive, state.silent_until = False, now + SILENT_S
