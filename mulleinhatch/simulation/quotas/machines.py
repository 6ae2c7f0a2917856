"""Simulated control-plane nodes around the real `QuotaOwner`: the views and limits that each knows, and whether it may answer.

Authority is the worst case that the real protocol allows: a node whose view has a decided successor keeps answering for a
random fraction of `AUTHORITY_S` after that decision, and may never learn of a view.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from mulleinhatch.messages.cluster import QuotaGrant, QuotaRequest
from mulleinhatch.quotas.limits import QuotaBounds
from mulleinhatch.quotas.owner import OwnerView, QuotaOwner
from mulleinhatch.tenants.tenant import Tenant

AUTHORITY_S = 1.0  # same value as in control_plane/peers.py


@dataclass(frozen=True)
class DecidedView:
    """A view, and how the voters decided it.

    Attributes:
        epoch: Its epoch.
        chain: Internal addresses of its chain.
        decided_at: When a majority had accepted it.
        acceptors: Addresses of that majority, which confirm no older view from then on; other voters do until they learn it.
        unconfirmed_since: By voter address, when it last confirmed the previous view to that view's owner, if its link was
            lost before the decision. These voters are too few to cost the owner its majority.
    """

    epoch: int
    chain: tuple[str, ...]
    decided_at: float
    acceptors: frozenset[str] = frozenset()
    unconfirmed_since: Mapping[str, float] = field(default_factory=dict)


@dataclass
class ViewHistory:
    """All decided views, oldest first."""

    views: list[DecidedView] = field(default_factory=list)

    @property
    def latest(self) -> DecidedView:
        """The newest view."""
        return self.views[-1]

    def decide(
        self,
        chain: tuple[str, ...],
        now: float,
        acceptors: frozenset[str] = frozenset(),
        unconfirmed_since: Mapping[str, float] | None = None,
    ) -> DecidedView:
        """Add the next view."""
        self.views.append(DecidedView(len(self.views) + 1, chain, now, acceptors, unconfirmed_since or {}))
        return self.latest

    def superseded_at(self, epoch: int) -> float:
        """Return when the successor of a view was decided, infinity for the newest view."""
        return self.views[epoch].decided_at if epoch < len(self.views) else math.inf


class ControlPlaneMachine:
    """One control-plane node.

    Args:
        address: Its internal address.
        views: All decided views, which determine its authority.
        bounds: The deployment's rule.
        takeover_s: How long a new owner waits.
        authority_s: How long it keeps answering in a view that has a decided successor, at most `AUTHORITY_S`.
    """

    def __init__(self, address: str, views: ViewHistory, bounds: QuotaBounds, takeover_s: float, authority_s: float) -> None:
        self.address = address
        self.is_dead = False
        self.frozen_until = 0.0
        self.started_at = 0.0
        self.died_at = math.inf
        self.epoch = 0  # the epoch of the view that it knows
        self.owner = QuotaOwner(bounds, takeover_s)
        self._views, self._authority_s = views, authority_s
        self._cut_since = math.inf
        self._lapsed_epoch, self._lapsed_at = -1, math.inf  # the view that was last confirmed before a partition, and when
        self._tenants: Mapping[str, Tenant] = {}
        self._version = 0

    def learn(
        self, view: DecidedView, tenants: Mapping[str, Tenant], version: int, now: float
    ) -> Mapping[str, tuple[str, ...]]:
        """Learn a view and a configuration if they are newer; return the tenants by former owner to ask for levels."""
        if self.is_dead:
            return {}
        if version > self._version:
            self._tenants, self._version = tenants, version
        self.epoch = max(self.epoch, view.epoch)
        view_of_owner = OwnerView(self.epoch, self.address, self.chain)
        return self.owner.update(view_of_owner, self._tenants, self._version, now).former_owners

    def may_answer(self, now: float) -> bool:
        """Return whether a majority confirmed its view recently enough."""
        if self.is_dead or self.address not in self.chain:
            return False
        lapsed_at = self._lapsed_at if self._lapsed_epoch == self.epoch else math.inf
        return now < min(self._views.superseded_at(self.epoch), self._cut_since, lapsed_at) + self._authority_s

    def last_confirmed(self, other: ControlPlaneMachine, now: float) -> float:
        """Return when this voter, which just learned a successor of the other one's view, last confirmed that view to it."""
        confirms_until = now
        if other.epoch < len(self._views.views):
            successor = self._views.views[other.epoch]
            if self.address in successor.acceptors:
                confirms_until = successor.decided_at
            confirms_until = successor.unconfirmed_since.get(self.address, confirms_until)
        return max(self.started_at, min(confirms_until, other.lost_at, now))

    @property
    def lost_at(self) -> float:
        """The time since which it requests no confirmations, because it is partitioned or dead."""
        return min(self._cut_since, self.died_at)

    def cut(self, now: float) -> None:
        """Partition it from all other control-plane nodes; data planes still reach it."""
        self._cut_since = min(self._cut_since, now)

    def heal(self, now: float) -> None:
        """End the partition. If its view has a successor by now, no majority confirms that view to it any more."""
        if self._cut_since < self._views.superseded_at(self.epoch) <= now:
            self._lapsed_epoch, self._lapsed_at = self.epoch, self._cut_since
        self._cut_since = math.inf

    @property
    def is_cut(self) -> bool:
        """Whether it is partitioned."""
        return self._cut_since < math.inf

    def answer(self, request: QuotaRequest, now: float) -> list[QuotaGrant] | None:
        """Return the grants for a request, None if it may not answer."""
        return self.owner.answer(request, now) if self.may_answer(now) else None

    @property
    def chain(self) -> tuple[str, ...]:
        """The chain of the view that it knows."""
        return self._views.views[self.epoch - 1].chain if self.epoch else ()
