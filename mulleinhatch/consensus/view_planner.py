"""Which view should follow the one in force. Pure: from a view and who is alive to a view, or None where it may stay.

Rules that keep what was acknowledged: survivors keep their order, so that each predecessor holds all that its successor holds;
only machines that are caught up in the view's epoch join, at the tail; the head holds, for certain, all that was committed; a
chain has more members than disks may be lost at once.

Rules that keep a majority: the voters are an odd number, twice the machines that may be lost at once and one as soon as
there are so many; a machine that holds the state takes the place of a voter that is silent or leaves, in the one view, so
that the loss after it finds a majority again. Voters of a view choose the next one by a decision of that view alone, so
any number of them may change at once (reconfiguration by the former members, as in Vertical Paxos and in SMART).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from mulleinhatch.consensus.paxos import identities
from mulleinhatch.messages.cluster import Member, View


@dataclass(frozen=True)
class MemberHealth:
    """How a core machine fares, as the planner sees it."""

    member: Member
    alive: bool  # heard within the failure timeout, and not leaving
    caught_up: bool  # holds all that was committed in the view in force
    unreachable_for_s: float = 0.0  # since it was last heard
    log_complete: bool = True  # of a member of the chain: it holds all that was committed before the view
    unresponsive_peers: frozenset[str] = frozenset()  # identities of machines that have not answered it for long


def bootstrap_view(seeds: Iterable[str], internal_of: Callable[[str], str]) -> View:
    """The view that all seeds of a first start agree on without a word. `seeds` are control addresses; `internal_of` gives the
    internal address beside one."""
    members = [
        Member(identity=f"first-{seed}", name=seed, control_address=seed, internal_address=internal_of(seed)) for seed in seeds
    ]
    return View(epoch=1, voters=members, chain=members)


def _are_connected(one: MemberHealth, other: MemberHealth) -> bool:
    """Whether two machines reach each other, as far as they told."""
    return one.member.identity not in other.unresponsive_peers and other.member.identity not in one.unresponsive_peers


def _plan_chain(view: View, health: Mapping[str, MemberHealth]) -> list[Member]:
    """Survivors in their order, then those that are caught up, by identity; each reaches the one before it."""
    survivors = [health[member.identity] for member in view.chain if member.identity in health]
    known = identities(view.chain)
    joining = sorted(
        (one for one in health.values() if one.caught_up and one.member.identity not in known),
        key=lambda one: one.member.identity,
    )
    chain: list[MemberHealth] = []
    for one in survivors + joining:
        if one.alive and (not chain or _are_connected(chain[-1], one)):
            chain.append(one)
    return [one.member for one in chain]


def _share_address(one: Member, other: Member) -> bool:
    return one.internal_address == other.internal_address


def _voter_candidates(view: View, health: Mapping[str, MemberHealth]) -> list[Member]:
    """Machines that hold the state and have no vote, by identity."""
    voting = identities(view.voters)
    able = (one.member for one in health.values() if one.alive and one.caught_up and one.member.identity not in voting)
    return sorted(able, key=lambda member: member.identity)


def _replace_wiped_voters(voters: list[Member], candidates: list[Member]) -> None:
    """Who speaks from a voter's address with another identity has its place: the disk was emptied, the former one is gone."""
    for candidate in list(candidates):
        for place, voter in enumerate(voters):
            if _share_address(voter, candidate):
                voters[place] = candidate
                candidates.remove(candidate)
                break


def _add_voters(voters: list[Member], candidates: list[Member], wanted: int) -> None:
    """Adds voters up to the wanted number; their number stays odd, or becomes it."""
    while len(voters) < wanted:
        step = 1 + len(voters) % 2
        if len(candidates) < step:
            return
        voters += candidates[:step]
        del candidates[:step]


def _unreachable_voter_positions(voters: list[Member], health: Mapping[str, MemberHealth]) -> list[int]:
    """Places of voters that are out of reach or leave, the longest gone first."""
    places = [place for place, voter in enumerate(voters) if not health[voter.identity].alive]
    return sorted(places, key=lambda place: -health[voters[place].identity].unreachable_for_s)


def _plan_voters(view: View, health: Mapping[str, MemberHealth], tolerated: int) -> list[Member]:
    voters, candidates = list(view.voters), _voter_candidates(view, health)
    wanted = 2 * tolerated + 1
    _replace_wiped_voters(voters, candidates)
    _add_voters(voters, candidates, wanted)
    for place, candidate in zip(_unreachable_voter_positions(voters, health), candidates):
        voters[place] = candidate
    while len(voters) > wanted and len(voters) % 2 == 0 and (silent := _unreachable_voter_positions(voters, health)):
        del voters[silent[0]]
    return voters


def plan_next_view(view: View, health: Mapping[str, MemberHealth], tolerated: int) -> View | None:
    """The view that should follow, None where the one in force is right or no safe one can be formed.

    `health` tells of every machine known and of every voter, by identity; `tolerated` is how many disks may be lost at once."""
    chain = _plan_chain(view, health)
    if not chain or chain[0].identity not in identities(view.chain):
        return None
    if not health[chain[0].identity].log_complete or len(chain) < tolerated + 1:
        return None
    voters = _plan_voters(view, health, tolerated)
    if identities(chain) == identities(view.chain) and identities(voters) == identities(view.voters):
        return None
    return View(epoch=view.epoch + 1, voters=voters, chain=chain)
