"""The planned shutdown of a control-plane node: it runs until the others no longer need it, or its grace period ends."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from mulleinhatch.consensus.paxos import identities
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.messages.cluster import View
from mulleinhatch.replication.chain import Replica

LOG = logging.getLogger(__name__)
MIN_SHUTDOWN_S = 1.0  # minimum time from the announcement to the end, to respond to requests received before
GRACE_MARGIN_S = 1.0  # the process ends this long before its grace period does
CHECK_INTERVAL_S = 0.1


class LeavingNode(Protocol):
    """The interface of a node that the shutdown uses."""

    clock: Callable[[], float]
    peers: Peers
    replica: Replica
    leaving: bool

    @property
    def view(self) -> View:
        """The view in force."""

    def request_heartbeat(self) -> None:
        """Send a heartbeat to every control-plane node soon."""


def _has_replacement_voter(node: LeavingNode) -> bool:
    """Return whether a reachable node without a vote can replace this node as a voter."""
    now, voting = node.clock(), identities(node.view.voters)
    return any(
        node.peers.is_alive(identity, now) and not peer.leaving and identity not in voting
        for identity, peer in node.peers.by_identity.items()
    )


def may_stop(node: LeavingNode) -> bool:
    """Return whether the control plane no longer needs a leaving node.

    A majority of the voters has persisted a view whose chain lacks this node, each replica of that chain has the complete
    log, and no other node is about to replace this node as a voter.
    """
    view = node.view
    if node.replica.position >= 0 or not node.peers.is_known_to_majority(view):
        return False
    chain = [node.peers.by_identity.get(identity) for identity in identities(view.chain)]
    if any(peer is None or peer.log_complete_epoch != view.epoch for peer in chain):
        return False
    return node.replica.identity not in identities(view.voters) or not _has_replacement_voter(node)


async def leave(node: LeavingNode, grace_s: float) -> None:
    """Announce that a node leaves; return when it may stop, or shortly before its grace period ends.

    Args:
        grace_s: Seconds until the process is killed.
    """
    node.leaving = True
    node.request_heartbeat()
    started_at = node.clock()
    deadline = started_at + max(MIN_SHUTDOWN_S, grace_s - GRACE_MARGIN_S)
    await asyncio.sleep(MIN_SHUTDOWN_S)
    while node.clock() < deadline and not may_stop(node):
        await asyncio.sleep(CHECK_INTERVAL_S)
    duration_s = round(node.clock() - started_at, 2)
    LOG.info("left the core; the process may stop", extra={"duration_s": duration_s, "still_needed": not may_stop(node)})
