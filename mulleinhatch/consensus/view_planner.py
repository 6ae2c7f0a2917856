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
    is_alive: bool
    is_caught_up: bool
    unreachable_for_s: float = 0.0
    log_complete: bool = True
    unresponsive_peers: frozenset[str] = frozenset()


def bootstrap_view(seeds: Iterable[str], internal_of: Callable[[str], str]) -> View:
    """The view that all seeds of a first start agree on without a word. `seeds` are control addresses; `internal_of` gives the
    internal address beside one."""
    members = [
        Member(identity=f"first-{seed}", name=seed, control_address=seed, internal_address=internal_of(seed)) for seed in seeds
    ]
    return View(epoch=1, voters=members, chain=members)


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


def _are_connected(first: MemberHealth, second: MemberHealth) -> bool:
    """Whether two machines reach each other, as far as they told."""
    if first.member.identity in second.unresponsive_peers:
        return False
    return second.member.identity not in first.unresponsive_peers


def _plan_chain(view: View, health: Mapping[str, MemberHealth]) -> list[Member]:
    """Survivors in their order, then those that are caught up, by identity; each reaches the one before it."""
    survivors = [health[member.identity] for member in view.chain if member.identity in health]
    current = identities(view.chain)
    joining = [node for node in health.values() if node.is_caught_up and node.member.identity not in current]
    joining.sort(key=lambda node: node.member.identity)
    chain: list[MemberHealth] = []
    for node in survivors + joining:
        if node.is_alive and (not chain or _are_connected(chain[-1], node)):
            chain.append(node)
    return [node.member for node in chain]


def _plan_voters(view: View, health: Mapping[str, MemberHealth], tolerated: int) -> list[Member]:
    """Return the next voters: the current ones, with the unreachable replaced where candidates exist."""
    voters = list(view.voters)
    candidates = _voter_candidates(view, health)
    target_count = 2 * tolerated + 1
    _replace_wiped_voters(voters, candidates)
    _add_voters(voters, candidates, target_count)
    for position, candidate in zip(_unreachable_voter_positions(voters, health), candidates):
        voters[position] = candidate
    while len(voters) > target_count and len(voters) % 2 == 0:
        unreachable = _unreachable_voter_positions(voters, health)
        if not unreachable:
            break
        del voters[unreachable[0]]
    return voters


def _voter_candidates(view: View, health: Mapping[str, MemberHealth]) -> list[Member]:
    """Machines that hold the state and have no vote, by identity."""
    voting = identities(view.voters)
    candidates = [
        node.member for node in health.values() if node.is_alive and node.is_caught_up and node.member.identity not in voting
    ]
    return sorted(candidates, key=lambda member: member.identity)


def _replace_wiped_voters(voters: list[Member], candidates: list[Member]) -> None:
    """Who speaks from a voter's address with another identity has its place: the disk was emptied, the former one is gone."""
    for candidate in list(candidates):
        for position, voter in enumerate(voters):
            if voter.internal_address == candidate.internal_address:
                voters[position] = candidate
                candidates.remove(candidate)
                break


def _add_voters(voters: list[Member], candidates: list[Member], target_count: int) -> None:
    """Adds voters up to the wanted number; their number stays odd, or becomes it."""
    while len(voters) < target_count:
        step = 1 + len(voters) % 2
        if len(candidates) < step:
            return
        voters += candidates[:step]
        del candidates[:step]


def _unreachable_voter_positions(voters: list[Member], health: Mapping[str, MemberHealth]) -> list[int]:
    """Places of voters that are out of reach or leave, the longest gone first."""
    positions = [position for position, voter in enumerate(voters) if not health[voter.identity].is_alive]
    return sorted(positions, key=lambda position: -health[voters[position].identity].unreachable_for_s)
