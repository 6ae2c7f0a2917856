"""The I/O of coordinated maintenance: the voter's file, the control port, the log, and leaving once a permit is granted."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from mulleinhatch.instance.gossip.core import GossipNode
from mulleinhatch.instance.maintenance.core import MaintenanceBounds, MaintenanceCoordinator, MaintenanceState
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest
from mulleinhatch.instance.maintenance.store import CorruptVoterFileError, Store
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.runtime.instance_settings import InstanceSettings, InvalidSettingsError
from mulleinhatch.instance.runtime.maintenance_control_port import MaintenanceControlPort, SendMessages
from mulleinhatch.instance.runtime.maintenance_history import MaintenanceHistory

LOG = logging.getLogger(__name__)
READY_AFTER_S = 2.0  # seconds of good health until a returned instance counts as ready
MAX_KIND_CHARACTERS = 40
COORDINATOR_SEED_OFFSET = 3  # the instance's other parts use different seeds


class MaintenanceService:
    """Takes part in coordinated maintenance, and shuts the instance down when it holds a permit.

    Args:
        settings: Name, seed and maintenance bounds of this instance.
        fleet: Membership of the instances.
        reducer: Tells whether this instance is healthy.
        send: Sends gossip messages.
        leave: Begins the shutdown of this instance.

    Raises:
        InvalidSettingsError: The voter's file can't be read.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        fleet: GossipNode,
        reducer: Reducer,
        send: SendMessages,
        leave: Callable[[], None],
    ) -> None:
        self._name, self._bounds = settings.name, settings.upkeep
        self._reducer, self._leave = reducer, leave
        self._zones = dict(self._bounds.zones)
        self._store, voter_state = self._open_store()
        self._coordinator = MaintenanceCoordinator(
            self._coordinator_bounds(),
            fleet,
            settings.seed + COORDINATOR_SEED_OFFSET,
            time.monotonic(),
            voter_state,
            self._store and self._store.persist,
        )
        self._history = MaintenanceHistory(self._store.folder if self._store else None)
        self._control_port = MaintenanceControlPort(self._coordinator, self._zones, self._history, send, self._build_request)
        self._healthy_since: float | None = None
        self._unhealthy_since: float | None = None
        self._has_left = False

    def _open_store(self) -> tuple[Store | None, Any]:
        """Open the voter's file and read its state, if this instance is a voter with a directory for it."""
        if self._name not in self._bounds.voters or not self._bounds.folder:
            return None, None
        try:
            store = Store(self._bounds.folder)
            return store, store.read()
        except (CorruptVoterFileError, OSError) as error:
            raise InvalidSettingsError(f"upkeep.folder: {error}") from None

    def _coordinator_bounds(self) -> MaintenanceBounds:
        bounds = self._bounds
        own_zone = self._zones.get(self._name, "")
        return MaintenanceBounds(bounds.voters, bounds.most, bounds.zone_most, own_zone, bounds.zones, bounds.freeze_after)

    async def listen(self) -> None:
        """Serve the control port if the operator file names one."""
        if self._bounds.control:
            await self._control_port.listen(self._bounds.control)

    def close(self) -> None:
        """Close the control port and the voter's file."""
        self._control_port.close()
        if self._store:
            self._store.close()

    # Called by the gossip service.

    def tick(self, now: float) -> list[tuple[str, bytes]]:
        """Advance by one period; return the messages to send."""
        self._track_health(now)
        self._request_when_unhealthy(now)
        is_ready = self._healthy_since is not None and now - self._healthy_since >= READY_AFTER_S
        messages = self._coordinator.tick(now, time.time(), is_ready)
        self._report_changes()
        return messages

    def on_messages(self) -> list[tuple[str, bytes]]:
        """Handle the changes by received messages; return the messages to send."""
        self._report_changes()
        return self._coordinator.take_outgoing()

    def counters(self) -> dict[str, int]:
        """Return the counters, by the names that operators see."""
        coordinator = self._coordinator
        return {f"upkeep_{name}": count for name, count in coordinator.counts.items()} | {
            "upkeep_state": list(MaintenanceState).index(coordinator.state),
            "upkeep_out": len(coordinator.known.out),
        }

    # Health.

    def _track_health(self, now: float) -> None:
        has_controller = self._reducer.controller is not None
        if not (self._reducer.healthy and has_controller):
            self._healthy_since = None
        elif self._healthy_since is None:
            self._healthy_since = now
        if self._reducer.healthy or not has_controller:
            self._unhealthy_since = None
        elif self._unhealthy_since is None:
            self._unhealthy_since = now

    def _request_when_unhealthy(self, now: float) -> None:
        """Request maintenance for an instance that stays unhealthy, if the operator configured that."""
        after_s = self._bounds.ask_when_ill
        if not after_s or self._unhealthy_since is None or now - self._unhealthy_since < after_s:
            return
        if self._coordinator.state is MaintenanceState.SERVING:
            self._coordinator.request_maintenance(self._build_request("ill", self._bounds.ill_for, is_unhealthy=True))

    def _build_request(self, kind: str, seconds: float, **details: Any) -> MaintenanceRequest:
        zone = self._zones.get(self._name, "")
        return MaintenanceRequest(self._name, zone, kind[:MAX_KIND_CHARACTERS], seconds, time.time(), **details)

    # State changes.

    def _report_changes(self) -> None:
        """Record and log each state change, and leave once the permit is granted."""
        changes, self._coordinator.changes = self._coordinator.changes, []
        for state, reason in changes:
            self._history.record(state, reason)
            LOG.info("upkeep", extra={"fields": {"state": state, "why": reason}})
        if self._coordinator.state is MaintenanceState.LEAVING and not self._has_left:
            self._has_left = True
            # Deferred, because leaving sends gossip messages and one may be in progress.
            asyncio.get_running_loop().call_soon(self._leave)
