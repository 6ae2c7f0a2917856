"""Build the response to GET /status of a control-plane node. Its keys are part of the operators' interface."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Protocol, TypedDict

from mulleinhatch.control_plane.distribution import PollerStatus
from mulleinhatch.control_plane.peers import Peer, Peers
from mulleinhatch.control_plane.quotas import QuotaAccountStatus
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.messages.cluster import Backend, Member, View
from mulleinhatch.process.loop_watch import LoopWatch, turn_status
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.chain import Replica
from mulleinhatch.replication.state import ControlState


class StatusNode(Protocol):
    """The interface of the node that the status reads; `ControlPlaneNode` implements it."""

    member: Member
    peers: Peers
    registry: BackendRegistry
    replica: Replica
    state: ControlState
    watch: LoopWatch
    slicer: TimeSlicer

    @property
    def view(self) -> View:
        """The view in force."""

    def has_majority_contact(self) -> bool:
        """Return whether a majority of voters confirmed the view recently."""


class PeerStatus(TypedDict):
    """One other control-plane node."""

    answered_s_ago: float
    leaving: bool


class BackendStatus(TypedDict):
    """One backend, with the adapters of each loaded model."""

    service: str
    address: str
    draining: bool
    gone: bool
    silent: bool
    models: dict[str, list[str]]


# Written as a call because three keys keep names that the code no longer uses: `stubs` are the backends by id, `holder` is the
# placement leader, `fence_token` its fencing token.
ControlPlaneStatus = TypedDict(  # noqa: UP013 (see above)
    "ControlPlaneStatus",
    {
        "name": str,
        "identity": str,
        "epoch": int,
        "chain": list[str],
        "voters": list[str],
        "authoritative": bool,
        "last": int,
        "committed": int,
        "version": int,
        "holder": str,
        "fence_token": int,
        "orders": list[Mapping[str, Any]],
        "data_planes": int,
        "polls": Mapping[str, PollerStatus],
        "peers": dict[str, PeerStatus],
        "stubs": dict[str, BackendStatus],
        "quotas": dict[str, QuotaAccountStatus],
        "longest_turn": Mapping[str, str | float],
        "calculations": Sequence[Mapping[str, str | float]],
    },
)


def build_status(
    node: StatusNode,
    orders: list[Mapping[str, Any]],
    data_planes: int,
    polls: Mapping[str, PollerStatus],
    quotas: dict[str, QuotaAccountStatus],
    now: float,
) -> ControlPlaneStatus:
    """Return the status of a node.

    Args:
        node: The node of this process.
        orders: The latest placement orders, oldest first.
        data_planes: The number of data planes in the whole system.
        polls: What each data plane that polls this process was told last, by its name.
        quotas: The tenants with a limit that this process owns, by name.
        now: The time of the monotonic clock in seconds.
    """
    return {
        "name": node.member.name,
        "identity": node.member.identity,
        "epoch": node.view.epoch,
        "chain": [member.name for member in node.view.chain],
        "voters": [member.name for member in node.view.voters],
        "authoritative": node.has_majority_contact(),
        "last": node.replica.last_index,
        "committed": node.replica.committed,
        "version": node.state.document.version,
        "holder": node.state.leader,
        "fence_token": node.state.fencing_token,
        "orders": orders,
        "data_planes": data_planes,
        "polls": polls,
        "peers": {peer.member.name: _peer_status(peer, now) for peer in node.peers.by_identity.values()},
        "stubs": {backend_id: _backend_status(entry.backend) for backend_id, entry in node.registry.entries.items()},
        "quotas": quotas,
        "longest_turn": turn_status(node.watch),
        "calculations": node.slicer.status(),
    }


def _peer_status(peer: Peer, now: float) -> PeerStatus:
    return PeerStatus(answered_s_ago=round(now - peer.answered_at, 2), leaving=peer.leaving)


def _backend_status(backend: Backend) -> BackendStatus:
    return BackendStatus(
        service=backend.service,
        address=backend.address,
        draining=backend.draining,
        gone=backend.gone,
        silent=backend.silent,
        models={model.name: list(model.adapters) for model in backend.models},
    )
