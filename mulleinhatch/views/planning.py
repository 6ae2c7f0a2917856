"""Which view should follow the one in force. Pure: from a view and who is alive to a view, or None where it may stay.

Rules that keep what was acknowledged: survivors keep their order, so that each predecessor holds all that its successor holds;
only machines that are caught up in the view's epoch join, at the tail; the head holds, for certain, all that was
committed; a chain
has more members than disks may be lost at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from mulleinhatch.messages.cluster import Member, View
from mulleinhatch.views.ballots import identities


@dataclass(frozen=True)
class Health:
    """How a core machine fares, as the planner sees it."""

    member: Member
    alive: bool  # heard within the failure timeout, and not leaving
    caught_up: bool  # holds all that was committed in the view in force
    gone_for_s: float = 0.0  # since it was last heard
    settled: bool = True  # of a member of the chain: it holds all that was committed before the view


REPLACED_AFTER_S = 8.0  # a silent voter makes way for a new one, or for nobody where enough are left


def _chain(view: View, health: Mapping[str, Health]) -> list[Member]:
    """Survivors in their order, then those that are caught up, by identity."""
    survivors = [member for member in view.chain if member.identity in health and health[member.identity].alive]
    known = identities(view.chain)
    joining = sorted(
        (one.member for one in health.values() if one.alive and one.caught_up and one.member.identity not in known),
        key=lambda member: member.identity,
    )
    return survivors + joining


def _same_place(one: Member, other: Member) -> bool:
    return one.internal_address == other.internal_address


def _voters(view: View, health: Mapping[str, Health], tolerated: int) -> list[Member]:
    """At most one voter is changed at a time, so that any two majorities in a row share one."""
    voters = list(view.voters)
    candidates = sorted(
        (
            one.member
            for one in health.values()
            if one.alive and one.caught_up and one.member.identity not in identities(voters)
        ),
        key=lambda member: member.identity,
    )
    for candidate in candidates:
        for place, voter in enumerate(voters):
            if _same_place(voter, candidate):  # its disk was emptied: the former identity is never heard again
                voters[place] = candidate
                return voters
    if candidates:
        silent = [
            (one.gone_for_s, place)
            for place, voter in enumerate(voters)
            if (one := health.get(voter.identity)) is not None and one.gone_for_s > REPLACED_AFTER_S
        ]
        if silent:
            voters[max(silent)[1]] = candidates[0]
        else:
            voters.append(candidates[0])
        return voters
    if len(voters) > 2 * tolerated + 1:
        silent = [
            (one.gone_for_s, place)
            for place, voter in enumerate(voters)
            if (one := health.get(voter.identity)) is not None and one.gone_for_s > REPLACED_AFTER_S
        ]
        if silent:
            del voters[max(silent)[1]]
    return voters


def next_view(view: View, health: Mapping[str, Health], tolerated: int) -> View | None:
    """The view that should follow, None where the one in force is right or no safe one can be formed.

    `health` tells of every machine known, by identity; `tolerated` is how many disks may be lost at once."""
    chain = _chain(view, health)
    survivors = [member for member in chain if member.identity in identities(view.chain)]
    if not survivors or not health[survivors[0].identity].settled or len(chain) < min(tolerated + 1, len(view.voters)):
        return None
    voters = _voters(view, health, tolerated)
    proposed = View(epoch=view.epoch + 1, voters=voters, chain=chain)
    if identities(chain) == identities(view.chain) and identities(voters) == identities(view.voters):
        return None
    return proposed
