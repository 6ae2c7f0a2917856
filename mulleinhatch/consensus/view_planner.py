"""Plan the view that should follow the current one, from the health of the known nodes.

Rules that preserve acknowledged writes:

* Survivors keep their order in the chain, so that each predecessor still holds every entry that its successor holds.
* Only nodes that are caught up in the current epoch join, at the tail.
* The head's log is complete: it is known to hold every committed entry.
* Any tolerated loss (of machines, of zones or of regions) leaves a replica of the chain.

Rules that preserve a majority:

* The number of voters is odd, and 2 * tolerated + 1 as soon as there are as many nodes.
* A caught-up node replaces an unreachable or leaving voter in a single view change, so that the next loss still leaves a
  majority.
* Voters are spread over zones and regions where there are enough nodes: they are replaced one by one until any tolerated
  loss leaves a majority.
* An unreachable voter that only a node of an occupied zone or region could replace keeps its vote for `VOTER_RETURN_S`. Until
  it returns, one more loss stops the control plane for a while; with two voters in one zone, the loss of their disks ends it.

The voters of a view alone choose the next view, so any number of them may change at once (reconfiguration by the former
members). Source: L. Lamport, D. Malkhi, L. Zhou, "Vertical Paxos and Primary-Backup Replication" (2009); J. Lorch et al., "The
SMART Way to Migrate Replicated Stateful Services" (2006).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from mulleinhatch.consensus.fault_tolerance import FaultTolerance
from mulleinhatch.consensus.paxos import identities
from mulleinhatch.messages.cluster import Member, View

VOTER_RETURN_S = 3.0  # a restart of its process is over by then; a disk that was lost must not keep its vote for long


@dataclass(frozen=True)
class MemberHealth:
    """The health of one control-plane node, as the planner sees it.

    Attributes:
        member: The node.
        is_alive: It responded within the failure timeout, and is not leaving.
        is_caught_up: It holds every entry that is committed in the current view.
        unreachable_for_s: Seconds since its last response.
        log_complete: For a member of the chain: it holds every entry that was committed before the view.
        unresponsive_peers: Identities of the nodes that it reports as unresponsive.
        is_leaving: It responds, and is shutting down.
    """

    member: Member
    is_alive: bool
    is_caught_up: bool
    unreachable_for_s: float = 0.0
    log_complete: bool = True
    unresponsive_peers: frozenset[str] = frozenset()
    is_leaving: bool = False


def bootstrap_view(seeds: Iterable[str], internal_address_of: Callable[[str], str]) -> View:
    """Return the view that every seed of a first start derives on its own, without communication.

    Args:
        seeds: Control addresses.
        internal_address_of: Returns the internal address that belongs to a control address.
    """
    members = [
        Member(identity=f"first-{seed}", name=seed, control_address=seed, internal_address=internal_address_of(seed))
        for seed in seeds
    ]
    return View(epoch=1, voters=members, chain=members)


def plan_next_view(view: View, health: Mapping[str, MemberHealth], tolerance: FaultTolerance) -> View | None:
    """Return the view that should follow.

    Args:
        view: The current view.
        health: Every known node and every voter, by identity.
        tolerance: The simultaneous failures that the view must survive.

    Returns:
        The next view; None where the current one needs no change, or where no safe successor exists.
    """
    chain = _plan_chain(view, health)
    if not chain or chain[0].identity not in identities(view.chain):
        return None
    known = [node.member for node in health.values()]
    if not health[chain[0].identity].log_complete or not tolerance.keeps_replica(chain, known):
        return None
    voters = _plan_voters(view, health, tolerance)
    if identities(chain) == identities(view.chain) and identities(voters) == identities(view.voters):
        return None
    return View(epoch=view.epoch + 1, voters=voters, chain=chain)


def _are_connected(first: MemberHealth, second: MemberHealth) -> bool:
    """Return whether neither node reports the other as unresponsive."""
    if first.member.identity in second.unresponsive_peers:
        return False
    return second.member.identity not in first.unresponsive_peers


def _plan_chain(view: View, health: Mapping[str, MemberHealth]) -> list[Member]:
    """Return the survivors in their order, then joining nodes by identity; each node reaches its predecessor."""
    survivors = [health[member.identity] for member in view.chain if member.identity in health]
    current = identities(view.chain)
    joining = [node for node in health.values() if node.is_caught_up and node.member.identity not in current]
    joining.sort(key=lambda node: node.member.identity)
    chain: list[MemberHealth] = []
    for node in survivors + joining:
        if node.is_alive and (not chain or _are_connected(chain[-1], node)):
            chain.append(node)
    return [node.member for node in chain]


def _plan_voters(view: View, health: Mapping[str, MemberHealth], tolerance: FaultTolerance) -> list[Member]:
    """Return the next voters: the current ones, with the unreachable replaced where candidates exist."""
    # The view's member records may be older than the knowledge of their zones.
    voters = [health[member.identity].member for member in view.voters]
    candidates = _voter_candidates(view, health)
    _replace_wiped_voters(voters, candidates)
    _add_voters(voters, candidates, tolerance)
    _replace_unreachable_voters(voters, candidates, health, tolerance)
    while len(voters) > tolerance.voters and len(voters) % 2 == 0:
        unreachable = _unreachable_voter_positions(voters, health)
        if not unreachable:
            break
        del voters[unreachable[0]]
    _spread_voters(voters, candidates, tolerance)
    return voters


def _replace_unreachable_voters(
    voters: list[Member], candidates: list[Member], health: Mapping[str, MemberHealth], tolerance: FaultTolerance
) -> None:
    """Replace each unreachable voter by the candidate that minimizes the worst tolerated loss; ties go by identity."""
    for position in _unreachable_voter_positions(voters, health):
        if not candidates:
            return
        replaced = [[*voters[:position], candidate, *voters[position + 1 :]] for candidate in candidates]
        best = min(replaced, key=tolerance.worst_loss)
        concentrates = tolerance.keeps_majority(voters) and not tolerance.keeps_majority(best)
        if concentrates and _may_return(health[voters[position].identity]):
            continue
        voters[position] = best[position]
        candidates.remove(best[position])


def _may_return(voter: MemberHealth) -> bool:
    """Return whether an unreachable voter may only be cut off; one that leaves says so."""
    return not voter.is_leaving and voter.unreachable_for_s < VOTER_RETURN_S


def _spread_voters(voters: list[Member], candidates: list[Member], tolerance: FaultTolerance) -> None:
    """Exchange voters for candidates in other zones or regions while a tolerated loss could take the majority."""
    while candidates and not tolerance.keeps_majority(voters):
        before = tolerance.worst_loss(voters)
        exchanges = [
            (tolerance.worst_loss([*voters[:position], candidate, *voters[position + 1 :]]), -position, candidate)
            for position in range(len(voters))
            for candidate in candidates
        ]
        loss, negative_position, candidate = min(exchanges, key=lambda exchange: exchange[:2])
        if loss >= before:
            return
        voters[-negative_position] = candidate
        candidates.remove(candidate)


def _voter_candidates(view: View, health: Mapping[str, MemberHealth]) -> list[Member]:
    """Return the caught-up nodes without a vote, by identity."""
    voting = identities(view.voters)
    candidates = [
        node.member for node in health.values() if node.is_alive and node.is_caught_up and node.member.identity not in voting
    ]
    return sorted(candidates, key=lambda member: member.identity)


def _replace_wiped_voters(voters: list[Member], candidates: list[Member]) -> None:
    """Replace a voter by the candidate at its address: the disk was wiped, and its former identity is gone."""
    for candidate in list(candidates):
        for position, voter in enumerate(voters):
            if voter.internal_address == candidate.internal_address:
                voters[position] = candidate
                candidates.remove(candidate)
                break


def _add_voters(voters: list[Member], candidates: list[Member], tolerance: FaultTolerance) -> None:
    """Add voters up to the target number, one or two at a time so that their number is odd after each step."""
    while len(voters) < tolerance.voters:
        step = 1 + len(voters) % 2
        if len(candidates) < step:
            return
        for _ in range(step):
            best = min(candidates, key=lambda candidate: tolerance.worst_loss([*voters, candidate]))
            voters.append(best)
            candidates.remove(best)


def _unreachable_voter_positions(voters: list[Member], health: Mapping[str, MemberHealth]) -> list[int]:
    """Return the positions of voters that are unreachable or leaving, the longest unreachable first."""
    positions = [position for position, voter in enumerate(voters) if not health[voter.identity].is_alive]
    return sorted(positions, key=lambda position: -health[voters[position].identity].unreachable_for_s)
