"""What data planes are told: each long-polls with the versions it has, and is answered as soon as there is something newer."""

from __future__ import annotations

import asyncio
import json
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from mulleinhatch.control_plane.node import CoreNode
from mulleinhatch.messages.cluster import PollRequest, PollResponse

MAX_WAIT_S = 5.0
COALESCE_S = 0.004  # changes that come together are told together
POLLER_EXPIRY_S = 12.0  # a data plane that did not poll for so long is gone
MAX_PATCHES = 32
MIN_INTERVAL_PER_DATA_PLANE_S = 0.002
LEADERSHIP_CHECK_S = 0.25  # between two looks whether we may still speak


@dataclass
class PollerState:
    """A data plane that polls here, and when it was last answered."""

    polled_at: float
    answered_at: float = -1e9


class Distribution:
    """Answers polls. `notify_changed` is called whenever something that data planes hear of moved."""

    def __init__(self, node: CoreNode, clock: Callable[[], float]) -> None:
        self._node, self._clock = node, clock
        self._pollers: dict[str, PollerState] = {}
        self._event = asyncio.Event()
        self._full_configuration_version, self._full_configuration = -1, b""

    def notify_changed(self) -> None:
        event, self._event = self._event, asyncio.Event()
        event.set()

    def count_local_data_planes(self) -> int:
        """Data planes that poll here."""
        now = self._clock()
        for name, poller in list(self._pollers.items()):
            if now - poller.polled_at > POLLER_EXPIRY_S:
                del self._pollers[name]
        return len(self._pollers)

    def count_all_data_planes(self) -> int:
        """Data planes of the whole system, as the core machines in reach count them."""
        now = self._clock()
        peers = self._node.peers
        others = sum(peer.data_planes for identity, peer in peers.by_identity.items() if peers.is_alive(identity, now))
        return max(1, self.count_local_data_planes() + others)

    async def poll(self, request: PollRequest) -> PollResponse:
        """Waits until there is news for the asker, or its wait is over."""
        poller = self._pollers.setdefault(request.node, PollerState(self._clock()))
        poller.polled_at = self._clock()
        end = self._clock() + min(MAX_WAIT_S, request.wait_ms / 1000.0)
        epoch = self._node.view.epoch
        while (
            await self._node.confirm_leadership()
            and not self._is_response_due(request, poller)
            and epoch == self._node.view.epoch
        ):
            left = end - self._clock()
            if left <= 0:
                break
            if self._has_update(request):
                left = min(left, max(0.001, poller.answered_at + self._min_interval_s() - self._clock()))
            try:
                async with asyncio.timeout(min(left, LEADERSHIP_CHECK_S)):
                    await self._event.wait()
                await asyncio.sleep(COALESCE_S)
            except TimeoutError:
                pass
        poller.polled_at = poller.answered_at = self._clock()
        return self._build_response(request)

    def _min_interval_s(self) -> float:
        """The least time between two answers to one data plane, so that many of them cost no more than few."""
        return MIN_INTERVAL_PER_DATA_PLANE_S * self.count_all_data_planes()

    def _is_response_due(self, request: PollRequest, poller: PollerState) -> bool:
        """Whether there is news, and it is urgent or the last answer is long enough ago."""
        node = self._node
        if node.state.document.version > request.configuration_version or request.registry_source != node.registry.source:
            return True
        if node.state.left_index > request.left_index:
            return True
        if node.registry.urgent_cursor > request.registry_cursor:
            return True
        return node.registry.cursor > request.registry_cursor and self._clock() >= poller.answered_at + self._min_interval_s()

    def _has_update(self, request: PollRequest) -> bool:
        registry = self._node.registry
        return (
            self._node.state.document.version > request.configuration_version
            or request.registry_source != registry.source
            or self._node.state.left_index > request.left_index
            or registry.cursor > request.registry_cursor
        )

    def _build_response(self, request: PollRequest) -> PollResponse:
        node = self._node
        changes = node.registry.changes_since(request.registry_source, request.registry_cursor)
        head = node.head
        answer = PollResponse(
            authoritative=node.has_majority_contact(),
            epoch=node.view.epoch,
            left=node.state.left_since(request.left_index),
            left_index=max(request.left_index, node.state.left_index),
            configuration_version=node.state.document.version,
            registry_source=node.registry.source,
            registry_cursor=node.registry.cursor,
            whole_registry=changes.is_complete,
            backends=changes.backends,
            control_addresses=[member.internal_address for member in node.view.chain],
            leader_address=head.internal_address if head else "",
            data_planes=self.count_all_data_planes(),
        )
        if node.state.document.version > request.configuration_version:
            answer.base_version, answer.configuration = self._encode_configuration(request.configuration_version)
        return answer

    def _encode_configuration(self, known: int) -> tuple[int, bytes]:
        """The version that the bytes build on, 0 for a whole configuration; compressed JSON."""
        patches = self._node.state.patches_since(known) if known else None
        if patches is not None and len(patches) <= MAX_PATCHES:
            return known, zlib.compress(b"[" + b",".join(patches) + b"]")
        document = self._node.state.document
        if self._full_configuration_version != document.version:
            self._full_configuration, self._full_configuration_version = (
                zlib.compress(json.dumps(document.value, separators=(",", ":")).encode(), 6),
                document.version,
            )
        return 0, self._full_configuration
