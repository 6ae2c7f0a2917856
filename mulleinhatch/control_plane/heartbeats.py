"""Heartbeats between core machines: who is in reach, how far each is, which view it lives in, and news of backends.

Each machine sends to every other. What a peer has not acknowledged of the backends is kept for it and sent with the next
heartbeat (hinted handoff).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from mulleinhatch.control_plane.peers import Peer
from mulleinhatch.messages.cluster import Heartbeat, HeartbeatResponse

if TYPE_CHECKING:
    from mulleinhatch.control_plane.node import CoreNode

HEARTBEAT_S = 0.3
BEAT_GAP_S = 0.03  # between heartbeats that are sent for news
MOST_BEATS = 3  # on their way to one machine: one that is lost must not look like a machine that is


class Heartbeats:
    """Sends and answers the heartbeats of one core machine."""

    def __init__(self, node: CoreNode) -> None:
        self._node = node
        self._on_their_way: Counter[str] = Counter()  # by address
        self._planned, self._sent_at = False, -1e9
        self._backends_asked = False
        self._backend_changed_at: dict[str, float] = {}

    async def run(self) -> None:
        while True:
            self.request_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def request_heartbeat(self) -> None:
        """Sends a heartbeat to every core machine now, or a little later where the last one was just sent."""
        if self._planned:
            return
        self._planned = True
        wait_s = self._sent_at + BEAT_GAP_S - self._node.clock()
        asyncio.get_running_loop().call_later(max(0.0, wait_s), self._send_all)

    def _send_all(self) -> None:
        node = self._node
        self._planned, self._sent_at = False, node.clock()
        seeds = [node.internal_address_of(seed) for seed in node.settings.seeds]
        for address in node.peers.addresses(node.view, seeds):
            if self._on_their_way[address] < MOST_BEATS:
                self._on_their_way[address] += 1
                node.start_task(self._send(address))

    async def _send(self, address: str) -> None:
        try:
            await self._exchange(address)
        except OSError:
            self._node.http_client.forget(address)
        finally:
            self._on_their_way[address] -= 1

    def _message(self, peer: Peer | None, owed: set[str], now: float) -> Heartbeat:
        node = self._node
        message = Heartbeat(
            sender=node.member,
            epoch=node.view.epoch,
            caught_up_epoch=node.view.epoch if node.is_caught_up() else 0,
            last_index=node.replica.last_index,
            log_complete=node.replica.log_complete,
            committed=node.replica.committed,
            leaving=node.is_unfit(),
            backends=node.registry.records_for_peer(owed, now),
            data_planes=node.data_planes(),
            orders_idle_ms=int(1000 * node.placement_idle_s()),
            unresponsive_peers=node.peers.unresponsive_members(node.view, now),
        )
        if peer is not None and peer.epoch < node.view.epoch:
            message.newest = node.view
        return message

    async def _exchange(self, address: str) -> None:
        node, begun = self._node, self._node.clock()
        peer = node.peers.by_address(address)
        owed = set(peer.owed_backends) if peer is not None else set()
        answer = await node.call(address, "heartbeat", self._message(peer, owed, begun), HeartbeatResponse())
        now = node.clock()
        spoke = node.has_majority_contact()
        heard = node.peers.record_response(answer, now, begun)
        if not spoke and node.has_majority_contact():
            node.publish_change()
        if heard is None:
            return
        if answer.needs_all_backends:
            heard.owed_backends.update(node.registry.entries)
        elif heard is peer:
            heard.owed_backends -= owed - self._changed_since(owed, begun)
        for member in answer.known_members:
            node.peers.add(member, now)
        await node.learn_view(answer.newest)

    def _changed_since(self, ids: set[str], begun: float) -> set[str]:
        """Backends that changed while a heartbeat with them was on its way: they are owed again."""
        return {backend_id for backend_id in ids if self._backend_changed_at.get(backend_id, 0.0) >= begun}

    async def on_heartbeat(self, message: Heartbeat) -> HeartbeatResponse:
        node, now = self._node, self._node.clock()
        known = message.sender.identity in node.peers.by_identity
        peer = node.peers.record_heartbeat(message, now)
        for backend in message.backends:
            node.registry.merge(backend, now)
        answer = HeartbeatResponse(
            sender=node.member,
            epoch=node.view.epoch,
            current=node.view_changer.is_undisturbed(node.view.epoch),
            needs_all_backends=not self._backends_asked and not known,
        )
        self._backends_asked = self._backends_asked or known
        if message.epoch < node.view.epoch:
            answer.newest = node.view
        if peer is not None and not known:
            answer.known_members = [other.member for other in node.peers.by_identity.values()]
            peer.owed_backends.update(node.registry.entries)
        if message.newest.epoch > node.view.epoch:
            node.start_task(node.learn_view(message.newest))
        return answer

    def backend_changed(self, backend_id: str) -> None:
        """The others hear of a backend with the next heartbeat."""
        self._backend_changed_at[backend_id] = self._node.clock()
        for peer in self._node.peers.by_identity.values():
            peer.owed_backends.add(backend_id)

    def forget_removed_backends(self) -> None:
        """Drops what is kept of backends that the registry has forgotten."""
        entries = self._node.registry.entries
        for backend_id in [backend_id for backend_id in self._backend_changed_at if backend_id not in entries]:
            del self._backend_changed_at[backend_id]
