"""Heartbeats between control-plane nodes: liveness, replication progress, view confirmation and changes of backends.

Each node sends to every other; the responses confirm its view (see `MajorityContact`).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from mulleinhatch.control_plane.backend_handoff import BackendHandoff
from mulleinhatch.control_plane.background_tasks import BackgroundTasks
from mulleinhatch.control_plane.confirmation_ages import ConfirmationAges
from mulleinhatch.control_plane.data_plane_directory import DataPlaneDirectory
from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.control_plane.majority_contact import MajorityContact
from mulleinhatch.control_plane.node_status import NodeStatus
from mulleinhatch.control_plane.peers import Peer, Peers
from mulleinhatch.control_plane.view_change import ViewChanger
from mulleinhatch.membership.view_timing import HEARTBEAT_S
from mulleinhatch.messages.cluster import ConfirmationAgeRequest, ConfirmationAgeResponse, Heartbeat, HeartbeatResponse

MIN_GAP_S = 0.03  # minimum time between two heartbeats, where one is requested before the interval ends
MAX_IN_FLIGHT = 3  # heartbeats to one address, so that a lost one does not look like a failed node


class HeartbeatScheduler:
    """Decides when heartbeats are sent: periodically, and soon after a change.

    Args:
        addresses: Returns the internal addresses to send to.
        send: Sends one heartbeat to an address.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        addresses: Callable[[], list[str]],
        send: Callable[[str], Awaitable[None]],
        tasks: BackgroundTasks,
    ) -> None:
        self._clock, self._addresses, self._send, self._tasks = clock, addresses, send, tasks
        self._in_flight: Counter[str] = Counter()  # by address
        self._is_scheduled, self._sent_at = False, -1e9

    async def run(self) -> None:
        """Request a heartbeat periodically, forever."""
        while True:
            self.request_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def request_heartbeat(self) -> None:
        """Send a heartbeat to every control-plane node now, or up to `MIN_GAP_S` later where the last one was just sent."""
        if self._is_scheduled:
            return
        self._is_scheduled = True
        wait_s = self._sent_at + MIN_GAP_S - self._clock()
        asyncio.get_running_loop().call_later(max(0.0, wait_s), self._send_all)

    def _send_all(self) -> None:
        self._is_scheduled, self._sent_at = False, self._clock()
        for address in self._addresses():
            if self._in_flight[address] < MAX_IN_FLIGHT:
                self._in_flight[address] += 1
                self._tasks.start(self._send_one(address))

    async def _send_one(self, address: str) -> None:
        try:
            await self._send(address)
        finally:
            self._in_flight[address] -= 1


class HeartbeatSender:
    """Sends one heartbeat and processes its response."""

    def __init__(
        self,
        clock: Callable[[], float],
        peers: Peers,
        client: InternalClient,
        view_changer: ViewChanger,
        handoff: BackendHandoff,
        status: NodeStatus,
        contact: MajorityContact,
        data_planes: DataPlaneDirectory,
    ) -> None:
        self._clock, self._peers, self._client, self._view_changer = clock, peers, client, view_changer
        self._handoff, self._status, self._contact, self._data_planes = handoff, status, contact, data_planes

    async def send(self, address: str) -> None:
        """Send a heartbeat to an address. An unreachable node is not an error."""
        try:
            await self._exchange(address)
        except OSError:
            self._client.forget(address)

    async def _exchange(self, address: str) -> None:
        sent_at = self._clock()
        peer = self._peers.by_address(address)
        backend_ids = set(peer.unacknowledged_backends) if peer is not None else set()
        heartbeat = self._build_heartbeat(peer, backend_ids, sent_at)
        response = await self._client.call(address, "heartbeat", heartbeat, HeartbeatResponse)
        now = self._clock()
        responder = self._contact.record_response(response, now, sent_at)
        if responder is None:
            return
        if response.needs_all_backends:
            self._handoff.resend_all(responder)
        elif responder is peer:
            self._handoff.acknowledge(responder, backend_ids, sent_at)
        for member in response.known_members:
            self._peers.add(member, now)
        await self._view_changer.learn_view(response.newest)

    def _build_heartbeat(self, peer: Peer | None, backend_ids: set[str], now: float) -> Heartbeat:
        heartbeat = self._status.build_heartbeat(self._handoff.records(backend_ids, now), now)
        if peer is not None and peer.epoch < self._status.view.epoch:
            heartbeat.newest = self._status.view
        data_plane_list = self._data_planes.list_for_peers(now)
        if peer is not None and peer.acknowledged_data_plane_revision != data_plane_list.revision:
            heartbeat.data_plane_list = data_plane_list
        return heartbeat


class HeartbeatResponder:
    """Answers the heartbeats of peers."""

    def __init__(
        self,
        clock: Callable[[], float],
        peers: Peers,
        view_changer: ViewChanger,
        handoff: BackendHandoff,
        status: NodeStatus,
        tasks: BackgroundTasks,
        data_planes: DataPlaneDirectory,
    ) -> None:
        self._clock, self._peers, self._view_changer = clock, peers, view_changer
        self._handoff, self._status, self._tasks, self._data_planes = handoff, status, tasks, data_planes
        self._ages = ConfirmationAges(started_at=clock())
        self._has_requested_backends = False

    async def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Record a peer's heartbeat, and confirm this node's view where no later one was accepted."""
        now, view = self._clock(), self._status.view
        is_known = heartbeat.sender.identity in self._peers.by_identity
        peer = self._peers.record_heartbeat(heartbeat, now)
        self._handoff.merge(heartbeat.backends, now)
        self._data_planes.merge(heartbeat.data_plane_list.data_planes, now)
        if peer is not None:
            self._data_planes.merge(peer.data_planes_in_contact, now)
        response = HeartbeatResponse(
            sender=self._peers.own,
            epoch=view.epoch,
            current=self._view_changer.confirms_epoch(view.epoch),
            needs_all_backends=not self._has_requested_backends and not is_known,
            data_plane_revision=peer.data_plane_revision if peer is not None else 0,
        )
        if response.current:
            self._ages.record(heartbeat.sender.internal_address, now)
        self._has_requested_backends = self._has_requested_backends or is_known
        if heartbeat.epoch < view.epoch:
            response.newest = view
        if peer is not None and not is_known:
            response.known_members = [other.member for other in self._peers.by_identity.values()]
            self._handoff.resend_all(peer)
        if heartbeat.newest.epoch > view.epoch:
            self._tasks.start(self._view_changer.learn_view(heartbeat.newest))
        return response

    async def on_confirmation_age(self, request: ConfirmationAgeRequest) -> ConfirmationAgeResponse:
        """Learn a view, so that this voter no longer confirms an older one; then report when it last confirmed one.

        Raises:
            OSError: The view could not be written to disk.
        """
        await self._view_changer.learn_view(request.newest)
        # No await from here on: nothing is confirmed between the age and the epoch.
        return ConfirmationAgeResponse(
            voter=self._peers.own.identity,
            epoch=self._view_changer.view.epoch,
            ages_ms=self._ages.ages_ms(request.addresses, self._clock()),
        )
