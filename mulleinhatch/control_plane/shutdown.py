"""The planned end of a core machine: it stays until the core does not need it any more, as long as its grace period lasts."""

from __future__ import annotations

import asyncio
import logging

from mulleinhatch.consensus.paxos import identities
from mulleinhatch.control_plane.node import CoreNode

LOG = logging.getLogger(__name__)
LEAST_S = 1.0  # from the notice to the end: what was asked before is answered
GRACE_MARGIN_S = 1.0  # before the grace period ends, we end
LOOK_S = 0.1


def _successor_known(node: CoreNode) -> bool:
    """Whether a machine without a vote is there that can take ours."""
    now, voting = node.clock(), identities(node.view.voters)
    return any(
        node.peers.is_alive(identity, now) and not peer.leaving and identity not in voting
        for identity, peer in node.peers.by_identity.items()
    )


def may_end(node: CoreNode) -> bool:
    """Whether a machine that leaves is not needed any more: the view without it is on the disks of a majority of its voters,
    the replicas of its chain hold all, and nobody is about to take its vote."""
    view = node.view
    if node.replica.position >= 0 or not node.peers.is_known_to_majority(view):
        return False
    chain = [node.peers.by_identity.get(identity) for identity in identities(view.chain)]
    if any(peer is None or peer.log_complete_epoch != view.epoch for peer in chain):
        return False
    return node.member.identity not in identities(view.voters) or not _successor_known(node)


async def leave(node: CoreNode, grace_s: float) -> None:
    """Tells the others that we leave; returns when we may end, or shortly before the grace period does."""
    node.leaving = True
    node.request_heartbeat()
    begun = node.clock()
    latest = begun + max(LEAST_S, grace_s - GRACE_MARGIN_S)
    await asyncio.sleep(LEAST_S)
    while node.clock() < latest and not may_end(node):
        await asyncio.sleep(LOOK_S)
    LOG.info("left", extra={"seconds": round(node.clock() - begun, 2), "needed": not may_end(node)})
