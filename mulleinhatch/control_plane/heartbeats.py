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

    def __init__(self, core: CoreNode) -> None:
        self._core = core
        self._on_their_way: Counter[str] = Counter()  # by address
        self._planned, self._sent_at = False, -1e9
        self._backends_asked = False
        self._backend_changed_at: dict[str, float] = {}

    async def run(self) -> None:
        while True:
            self.send_soon()
            await asyncio.sleep(HEARTBEAT_S)

    def send_soon(self) -> None:
        """Sends a heartbeat to every core machine now, or a little later where the last one was just sent."""
        if self._planned:
            return
        self._planned = True
        wait_s = self._sent_at + BEAT_GAP_S - self._core.clock()
        asyncio.get_running_loop().call_later(max(0.0, wait_s), self._send_all)

    def _send_all(self) -> None:
        core = self._core
        self._planned, self._sent_at = False, core.clock()
        seeds = [core.internal_of(seed) for seed in core.settings.seeds]
        for address in core.peers.addresses(core.view, seeds):
            if self._on_their_way[address] < MOST_BEATS:
                self._on_their_way[address] += 1
                core.spawn(self._send(address))

    async def _send(self, address: str) -> None:
        try:
            await self._exchange(address)
        except OSError:
            self._core.caller.forget(address)
        finally:
            self._on_their_way[address] -= 1

    def _message(self, peer: Peer | None, owed: set[str], now: float) -> Heartbeat:
        core = self._core
        message = Heartbeat(
            sender=core.member,
            epoch=core.view.epoch,
            caught_up_epoch=core.view.epoch if core.is_caught_up() else 0,
            last_index=core.replica.last,
            settled=core.replica.settled,
            committed=core.replica.committed,
            leaving=core.unfit(),
            backends=core.registry.for_peer(owed, now),
            data_planes=core.data_planes(),
            orders_idle_ms=int(1000 * core.orders_idle_s()),
            misses=core.peers.missed(core.view, now),
        )
        if peer is not None and peer.epoch < core.view.epoch:
            message.newest = core.view
        return message

    async def _exchange(self, address: str) -> None:
        core, begun = self._core, self._core.clock()
        peer = core.peers.at(address)
        owed = set(peer.owed_backends) if peer is not None else set()
        answer = await core.ask(address, "heartbeat", self._message(peer, owed, begun), HeartbeatResponse())
        now = core.clock()
        spoke = core.authoritative()
        heard = core.peers.answered(answer, now, begun)
        if not spoke and core.authoritative():
            core.changed()
        if heard is None:
            return
        if answer.wants_all_backends:
            heard.owed_backends.update(core.registry.entries)
        elif heard is peer:
            heard.owed_backends -= owed - self._changed_since(owed, begun)
        for member in answer.known:
            core.peers.learn(member, now)
        await core.learn(answer.newest)

    def _changed_since(self, ids: set[str], begun: float) -> set[str]:
        """Backends that changed while a heartbeat with them was on its way: they are owed again."""
        return {backend_id for backend_id in ids if self._backend_changed_at.get(backend_id, 0.0) >= begun}

    async def on_heartbeat(self, message: Heartbeat) -> HeartbeatResponse:
        core, now = self._core, self._core.clock()
        known = message.sender.identity in core.peers.by_identity
        peer = core.peers.heard(message, now)
        for backend in message.backends:
            core.registry.merge(backend, now)
        answer = HeartbeatResponse(
            sender=core.member,
            epoch=core.view.epoch,
            current=core.votes.undisturbed(core.view.epoch),
            wants_all_backends=not self._backends_asked and not known,
        )
        self._backends_asked = self._backends_asked or known
        if message.epoch < core.view.epoch:
            answer.newest = core.view
        if peer is not None and not known:
            answer.known = [other.member for other in core.peers.by_identity.values()]
            peer.owed_backends.update(core.registry.entries)
        if message.newest.epoch > core.view.epoch:
            core.spawn(core.learn(message.newest))
        return answer

    def backend_changed(self, backend_id: str) -> None:
        """The others hear of a backend with the next heartbeat."""
        self._backend_changed_at[backend_id] = self._core.clock()
        for peer in self._core.peers.by_identity.values():
            peer.owed_backends.add(backend_id)

    def forget_backends(self) -> None:
        """Drops what is kept of backends that the registry has forgotten."""
        entries = self._core.registry.entries
        for backend_id in [backend_id for backend_id in self._backend_changed_at if backend_id not in entries]:
            del self._backend_changed_at[backend_id]
