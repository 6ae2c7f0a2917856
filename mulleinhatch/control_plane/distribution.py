"""Distribute the configuration and the list of backends to data planes by long polling.

Each data plane polls with the versions that it has. The response is sent as soon as there is an update, or after the wait
time that the data plane requested.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypedDict

from mulleinhatch.control_plane.configuration_encoder import ConfigurationEncoder, EncodedConfiguration
from mulleinhatch.control_plane.data_plane_directory import DataPlaneDirectory
from mulleinhatch.control_plane.peers import Peers
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.messages.cluster import Member, PollRequest, View
from mulleinhatch.messages.encoded import EncodedPollResponse
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.state import ControlState

MAX_WAIT_S = 5.0
COALESCE_S = 0.004  # changes within this time are sent in one response
POLLER_EXPIRY_S = 12.0  # how long a data plane is counted after its last poll
MAX_ENCODINGS = 3  # for one poll
MIN_INTERVAL_PER_DATA_PLANE_S = 0.002  # least time between two responses to a data plane, per data plane in the system
CONTACT_CHECK_S = 0.25  # interval of the check, shared by all waiting polls, that a majority still confirms the view
NEVER_S = -1e9


class DistributionNode(Protocol):
    """The interface of the node that `Distribution` uses; `ControlPlaneNode` implements it."""

    peers: Peers
    registry: BackendRegistry
    state: ControlState
    data_planes: DataPlaneDirectory

    @property
    def view(self) -> View:
        """The view in force."""

    @property
    def head(self) -> Member | None:
        """The first member of the view's chain."""

    def has_majority_contact(self) -> bool:
        """Return whether a majority of voters confirmed the view recently."""

    async def wait_for_majority_contact(self) -> bool:
        """Return whether a majority of voters confirms the view, after waiting a short time for it."""


@dataclass
class PollerState:
    """A data plane that polls this process. Times are on the monotonic clock, in seconds.

    Attributes:
        polled_at: When it last polled, or its poll was answered.
        answered_at: When its last poll was answered.
        version: The configuration version that it has by its last poll or the answer to it.
        was_confirmed: Whether that answer was given in contact with a majority.
    """

    polled_at: float
    answered_at: float = NEVER_S
    version: int = 0
    was_confirmed: bool = False


class PollerStatus(TypedDict):
    """A data plane that polls this process, for a status page."""

    version: int
    confirmed: bool
    answered_s_ago: float


class Distribution:
    """Responds to the polls of data planes.

    Args:
        node: The node whose configuration and backends are distributed.
        clock: Returns the monotonic time in seconds.
        slicer: Runs the encoding of the configuration.
    """

    def __init__(self, node: DistributionNode, clock: Callable[[], float], slicer: TimeSlicer) -> None:
        self._node = node
        self._clock = clock
        self._pollers: dict[str, PollerState] = {}
        self._change = asyncio.Event()  # set and replaced at each change
        self._waiting = 0  # polls that wait for a change
        self._had_contact = False  # at the last check
        self._contact_check: asyncio.TimerHandle | None = None
        self._encoder = ConfigurationEncoder(node.state, slicer)

    def notify_changed(self) -> None:
        """Wake all waiting polls; call it whenever something that data planes use has changed."""
        change, self._change = self._change, asyncio.Event()
        change.set()

    def count_local_data_planes(self) -> int:
        """Return the number of data planes that poll this process."""
        self._forget_expired_pollers()
        return len(self._pollers)

    def _forget_expired_pollers(self) -> None:
        now = self._clock()
        for name, poller in list(self._pollers.items()):
            if now - poller.polled_at > POLLER_EXPIRY_S:
                del self._pollers[name]

    def count_all_data_planes(self) -> int:
        """Return the number of data planes that poll this process or a reachable peer, at least 1."""
        now = self._clock()
        peers = self._node.peers
        others = sum(peer.data_planes for identity, peer in peers.by_identity.items() if peers.is_alive(identity, now))
        return max(1, self.count_local_data_planes() + others)

    def status(self) -> dict[str, PollerStatus]:
        """Return what each data plane that polls this process was told last, by its name."""
        self._forget_expired_pollers()
        now = self._clock()
        return {
            name: PollerStatus(
                version=poller.version, confirmed=poller.was_confirmed, answered_s_ago=round(now - poller.answered_at, 2)
            )
            for name, poller in sorted(self._pollers.items())
            if poller.answered_at > NEVER_S
        }

    async def poll(self, request: PollRequest) -> EncodedPollResponse:
        """Wait until there is an update for the data plane, its wait time ends or the view changes; then respond."""
        poller = self._pollers.setdefault(request.node, PollerState(self._clock()))
        poller.polled_at, poller.version = self._clock(), request.configuration_version
        self._node.data_planes.record_poll(request.node, request.call_address, request.incarnation, poller.polled_at)
        end = self._clock() + min(MAX_WAIT_S, request.wait_ms / 1000.0)
        epoch = self._node.view.epoch
        while (
            await self._node.wait_for_majority_contact()
            and not self._is_response_due(request, poller)
            and epoch == self._node.view.epoch
        ):
            remaining_s = end - self._clock()
            if remaining_s <= 0:
                break
            if self._has_update(request):
                until_due_s = poller.answered_at + self._min_interval_s() - self._clock()
                remaining_s = min(remaining_s, max(0.001, until_due_s))
            self._schedule_contact_check()
            await self._wait_for_change(remaining_s)
        update = await self._encode_update(request)
        poller.polled_at = poller.answered_at = self._clock()
        response = self._build_response(request, update)
        poller.was_confirmed = response.authoritative
        if update is not None:
            poller.version = update.version
        return response

    async def _encode_update(self, request: PollRequest) -> EncodedConfiguration | None:
        """Return the update to the newest configuration, None where the data plane has it.

        Where the configuration changes faster than it is encoded, the data plane gets none, and polls again.
        """
        for _ in range(MAX_ENCODINGS):
            if self._node.state.document.version <= request.configuration_version:
                return None
            update = await self._encoder.encode(request.configuration_version)
            if update.version == self._node.state.document.version:
                return update
        return None

    def _schedule_contact_check(self) -> None:
        """Schedule a check that a majority still confirms the view: no event wakes the polls when the majority is lost."""
        if self._contact_check is None:
            self._had_contact = self._node.has_majority_contact()
            self._contact_check = asyncio.get_running_loop().call_later(CONTACT_CHECK_S, self._check_contact)

    def _check_contact(self) -> None:
        self._contact_check = None
        if self._had_contact and not self._node.has_majority_contact():
            self.notify_changed()
        elif self._waiting:
            self._schedule_contact_check()

    async def _wait_for_change(self, timeout_s: float) -> None:
        self._waiting += 1
        try:
            async with asyncio.timeout(timeout_s):
                await self._change.wait()
            await asyncio.sleep(COALESCE_S)
        except TimeoutError:
            pass
        finally:
            self._waiting -= 1

    def _min_interval_s(self) -> float:
        """Return the minimum time between two responses to one data plane.

        It grows with the number of data planes, so that the total rate of responses does not.
        """
        return MIN_INTERVAL_PER_DATA_PLANE_S * self.count_all_data_planes()

    def _is_response_due(self, request: PollRequest, poller: PollerState) -> bool:
        """Return whether there is an urgent update, or any update after the minimum interval."""
        registry = self._node.registry
        if self._has_new_state(request):
            return True
        if registry.urgent_cursor > request.registry_cursor:
            return True
        return registry.cursor > request.registry_cursor and self._clock() >= poller.answered_at + self._min_interval_s()

    def _has_update(self, request: PollRequest) -> bool:
        return self._has_new_state(request) or self._node.registry.cursor > request.registry_cursor

    def _has_new_state(self, request: PollRequest) -> bool:
        """Return whether the configuration, the registry's source or the recorded departures are newer."""
        node = self._node
        return (
            node.state.document.version > request.configuration_version
            or request.registry_source != node.registry.source
            or node.state.departure_index > request.departure_index
        )

    def _build_response(self, request: PollRequest, update: EncodedConfiguration | None) -> EncodedPollResponse:
        node = self._node
        changes = node.registry.changes_since(request.registry_source, request.registry_cursor)
        head = node.head
        response = EncodedPollResponse(
            authoritative=node.has_majority_contact(),
            epoch=node.view.epoch,
            departed_backends=node.state.departed_since(request.departure_index),
            departure_index=max(request.departure_index, node.state.departure_index),
            configuration_version=node.state.document.version,
            registry_source=node.registry.source,
            registry_cursor=node.registry.cursor,
            is_full_registry=changes.is_complete,
            backends=changes.encode(),
            control_addresses=[member.internal_address for member in node.view.chain],
            leader_address=head.internal_address if head else "",
            data_planes=self.count_all_data_planes(),
        )
        if update is not None:
            response.base_version, response.configuration = update.base_version, update.data
        return response
