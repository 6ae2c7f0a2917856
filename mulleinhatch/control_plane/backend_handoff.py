"""Deliver changes of the backend registry to every peer, even after a long outage of that peer (hinted handoff).

Source: DeCandia et al., "Dynamo: Amazon's Highly Available Key-value Store", SOSP 2007, section 4.6.
"""

from __future__ import annotations

from collections.abc import Callable

from mulleinhatch.control_plane.peers import Peer, Peers
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.messages.cluster import Backend


class BackendHandoff:
    """Tracks the backend records that each peer has not acknowledged yet."""

    def __init__(self, clock: Callable[[], float], registry: BackendRegistry, peers: Peers) -> None:
        self._clock, self._registry, self._peers = clock, registry, peers
        self._changed_at: dict[str, float] = {}  # by backend id

    def record_change(self, backend_id: str) -> None:
        """Send a backend's record to every peer with its next heartbeat."""
        self._changed_at[backend_id] = self._clock()
        for peer in self._peers.by_identity.values():
            peer.unacknowledged_backends.add(backend_id)

    def records(self, backend_ids: set[str], now: float) -> list[Backend]:
        """Return the records of backends in the form that heartbeats carry."""
        return self._registry.records_for_peer(backend_ids, now)

    def merge(self, backends: list[Backend], now: float) -> None:
        """Merge records that a peer sent into the registry."""
        for backend in backends:
            self._registry.merge(backend, now)

    def resend_all(self, peer: Peer) -> None:
        """Send all records, with the next heartbeat, to a peer that has none."""
        peer.unacknowledged_backends.update(self._registry.entries)

    def acknowledge(self, peer: Peer, sent_ids: set[str], sent_at: float) -> None:
        """Record that a peer received the records of a heartbeat that was sent at `sent_at`.

        A record that changed after the heartbeat was sent and before its response came stays unacknowledged.
        """
        changed = {backend_id for backend_id in sent_ids if self._changed_at.get(backend_id, 0.0) >= sent_at}
        peer.unacknowledged_backends -= sent_ids - changed

    def expire(self, now: float) -> None:
        """Expire silent backends, and forget those that the registry has removed."""
        self._registry.expire(now)
        entries = self._registry.entries
        for backend_id in [backend_id for backend_id in self._changed_at if backend_id not in entries]:
            del self._changed_at[backend_id]
