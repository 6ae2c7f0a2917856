"""Connects a data plane to the control plane: long-polls for configuration and registry, and reports demand."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import zlib
from collections.abc import Callable
from typing import Any

from result import Err

from mulleinhatch.configuration.document import EMPTY, Document, accept_patch_steps, replaced_items_steps, with_item_lists_steps
from mulleinhatch.configuration.encoding import decompressed
from mulleinhatch.configuration.json_reader import read_json_steps
from mulleinhatch.configuration.routes import RouteTable, RouteTableBuilder
from mulleinhatch.configuration.tenants import TenantTableBuilder
from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.errors import ConfigurationError
from mulleinhatch.membership.rendezvous import rank_by_weight
from mulleinhatch.messages.cluster import DemandReport, DemandResponse, ModelDemand, PollRequest, PollResponse
from mulleinhatch.messages.parsing import UnreadableMessageError, parse_message
from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.settings import Settings
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.steps import Steps, release_steps
from mulleinhatch.tenants.api_keys import KeyDigester

LOG = logging.getLogger(__name__)
POLL_WAIT_S = 1.0  # short enough to leave a silent node well within `configuration_apply_s`
POLL_RESPONSE_MARGIN_S = 0.5  # added to the wait; a node that does not answer by then counts as unreachable
FIRST_POLL_TIMEOUT_S = 0.8  # short: a node that has not answered before may be down
POLL_RETRY_DELAY_S = 0.1
DEMAND_REPORT_TIMEOUT_S = 0.6
DIGEST_KEY_BYTES = 32  # length of the random key for this process's digests of the tenants' API keys
SLICE_S = 0.001  # of processor time: requests wait for as long as it takes on this machine's share of a core
COOLDOWN_S = 2.0  # a node that failed, or has no majority, is polled last for this time


class UnusableConfigurationError(ConfigurationError):
    """A configuration update from a node can't be applied; the complete configuration is requested instead."""


class ControlPlaneClient:
    """Keeps the newest snapshot of configuration and registry.

    Versions never go back while the process runs. If an update can't be applied, the configuration in force stays and the next
    poll requests a complete one. A configuration older than the one in force is never accepted, whoever sends it.

    Args:
        settings: Settings of this data plane.
        http: Client for calls to control-plane nodes.
        clock: Loop time in seconds.
        on_snapshot: Called with each new snapshot.
        on_new_leader: Called when the placement leader changes.
        slicer: Runs the work that grows with the configuration.
    """

    def __init__(
        self,
        settings: Settings,
        http: HttpClient,
        clock: Callable[[], float],
        on_snapshot: Callable[[ControlPlaneSnapshot], None],
        on_new_leader: Callable[[], None] = lambda: None,
        slicer: TimeSlicer | None = None,
    ) -> None:
        self._settings, self._http, self._clock = settings, http, clock
        self._slicer = slicer or TimeSlicer(LoopWatch(), SLICE_S)
        self._on_snapshot, self._on_new_leader = on_snapshot, on_new_leader
        self._document: Document = EMPTY
        self._table = RouteTable()
        self._table_builder = RouteTableBuilder()
        self._tenants = TenantTableBuilder(KeyDigester(os.urandom(DIGEST_KEY_BYTES)))
        self._confirmed_at = -math.inf  # when a node with a majority last confirmed the configuration in force
        self._needs_complete_configuration = False  # an update could not be applied to the one in force
        self._registry_source, self._registry_cursor = "", 0
        port = settings.internal_address.rpartition(":")[2]
        self._seeds = [f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seeds]
        self._control_addresses: list[str] = []  # published by the control plane; the seeds are used while empty
        self._control_epoch = 0  # epoch of the view that the addresses belong to
        self._cooldown_until: dict[str, float] = {}  # by address
        self._responsive: set[str] = set()  # addresses whose last poll was answered
        self._epoch = 0  # epoch of the newest view that a node reported
        self._deregistrations_index = 0  # log index up to which deregistered backends are known
        self._unconfirmed_since: float | None = None  # when a first configuration was offered without a majority
        self.snapshot = ControlPlaneSnapshot()
        self.leader = ""  # internal address of the head of the chain, which leads placement once it holds the lease

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            address = self._next_address()
            try:
                await self._poll(address)
            except HttpCallError as error:
                LOG.debug("control plane did not answer; another one is asked", extra={"error": str(error)})
                self._http.forget(address)
                self._cooldown_until[address] = self._clock() + COOLDOWN_S
                self._responsive.discard(address)
                await asyncio.sleep(POLL_RETRY_DELAY_S / 4)

    def _next_address(self) -> str:
        """Return the address to poll: ranked by rendezvous hashing to spread the data planes, with failed nodes last."""
        now = self._clock()
        if not self._control_addresses:
            addresses = self._seeds
        else:
            addresses = list(dict.fromkeys([*self._control_addresses, *self._seeds]))
        order = rank_by_weight(self._settings.name, addresses)
        published = set(self._control_addresses)

        def preference(address: str) -> tuple[float, bool, int]:
            cooldown_s = max(0.0, self._cooldown_until.get(address, 0.0) - now)
            is_outdated = bool(published) and address not in published
            return cooldown_s, is_outdated, order.index(address)

        return min(order, key=preference)

    async def _poll(self, address: str) -> None:
        wait_s = POLL_WAIT_S if address in self._responsive else 0.0
        request = PollRequest(
            node=self._settings.name,
            zone=self._settings.zone,
            configuration_version=0 if self._needs_complete_configuration else self._document.version,
            registry_source=self._registry_source,
            registry_cursor=self._registry_cursor,
            wait_ms=int(1000 * wait_s),
            departure_index=self._deregistrations_index,
        )
        timeout_s = max(FIRST_POLL_TIMEOUT_S, wait_s + POLL_RESPONSE_MARGIN_S)
        sent_at = self._clock()
        response = await self._http.request(address, "POST", "/internal/poll", bytes(request), timeout_s)
        if response.status != 200:
            raise HttpCallError(address, f"status {response.status}")
        try:
            update = parse_message(PollResponse, response.body)
        except UnreadableMessageError as error:
            LOG.error("poll response can't be read; another control plane is asked", extra={"error": str(error)})
            raise HttpCallError(address, str(error)) from error
        if update.epoch < self._epoch:
            update.authoritative = False  # the node has not learned of a newer view yet
        self._epoch = max(self._epoch, update.epoch)
        self._responsive.add(address)
        # After a pause of this process the response may be old: it counts as no newer than the timeout allows.
        await self._apply(update, min(self._clock(), sent_at + timeout_s))
        if not update.authoritative or self._needs_complete_configuration:
            self._cooldown_until[address] = self._clock() + COOLDOWN_S
            await asyncio.sleep(POLL_RETRY_DELAY_S)

    # Applying an update.

    async def _apply(self, update: PollResponse, answered_at: float) -> None:
        replaced = await self._apply_configuration(update)
        if update.authoritative and self._document.version >= update.configuration_version > 0:
            self._confirmed_at = max(self._confirmed_at, answered_at)
        self._apply_control_addresses(update)
        backends = self.snapshot.backends
        # A partitioned node gets no heartbeats from backends, so a backend missing from its list may still be alive.
        is_complete = update.is_full_registry and update.authoritative
        if update.backends or is_complete or backends.unconfirmed or update.departed_backends:
            backends = backends.updated(update.backends, is_complete, self._clock(), update.departed_backends)
        self._deregistrations_index = max(self._deregistrations_index, update.departure_index)
        self._registry_source, self._registry_cursor = update.registry_source, update.registry_cursor
        if update.authoritative:
            data_planes = max(1, update.data_planes)
        else:
            data_planes = max(self.snapshot.data_planes, update.data_planes)
        self.snapshot = ControlPlaneSnapshot(
            self._table,
            backends,
            data_planes,
            update.authoritative,
            self._confirmed_at,
            self._control_epoch,
            tuple(self._control_addresses),
        )
        self._on_snapshot(self.snapshot)
        if replaced:
            await self._slicer.run("release of a former configuration", release_steps(replaced))

    def _apply_control_addresses(self, update: PollResponse) -> None:
        if not update.authoritative and self._control_addresses:
            return
        if update.control_addresses:
            self._control_addresses, self._control_epoch = list(update.control_addresses), update.epoch
        if update.leader_address and update.leader_address != self.leader:
            self.leader = update.leader_address
            self._on_new_leader()

    async def _apply_configuration(self, update: PollResponse) -> list[Any]:
        """Put the configuration of an update into force; return what it replaced, to be released once nothing else uses it."""
        if not update.configuration or not self._is_wanted(update):
            return []
        if not self._document.version and not update.authoritative and not self._may_use_unconfirmed():
            return []
        try:
            document = await self._slicer.run("decoding of a configuration", self._decode_configuration(update))
            table = await self._slicer.run("building of a route table", self._build_table(document))
        except UnusableConfigurationError as error:
            self._table_builder = RouteTableBuilder()  # it may have followed a part of the update
            LOG.error(
                "configuration update can't be applied; requesting the complete configuration",
                extra={"version": update.configuration_version, "error": str(error)},
            )
            self._needs_complete_configuration = True
            return []
        replaced = await self._slicer.run("building of a route table", replaced_items_steps(self._document, document))
        replaced += [*self._table_builder.replaced, *self._tenants.replaced]
        self._table_builder.replaced, self._tenants.replaced = [], []
        self._document, self._table, self._needs_complete_configuration = document, table, False
        LOG.info("configuration in force", extra={"version": document.version})
        return replaced

    def _is_wanted(self, update: PollResponse) -> bool:
        """Return whether an update is newer than the configuration in force, or a complete one that was requested."""
        if update.base_version:
            return update.configuration_version > self._document.version == update.base_version
        if self._needs_complete_configuration:
            return update.configuration_version >= self._document.version
        return update.configuration_version > self._document.version

    def _may_use_unconfirmed(self) -> bool:
        """Return whether a first configuration may be used although its source has no majority.

        It may be outdated, but if the control plane has no majority for a long time it is better than none.
        """
        if self._unconfirmed_since is None:
            self._unconfirmed_since = self._clock()
        bounds = self._settings.bounds
        return self._clock() - self._unconfirmed_since >= bounds.contact_s + bounds.configuration_apply_s

    def _decode_configuration(self, update: PollResponse) -> Steps[Document]:
        """Return the configuration of an update, which holds either a complete one or patches.

        Raises:
            UnusableConfigurationError: The bytes can't be read, a patch does not apply, or the resulting version differs.
        """
        try:
            value = yield from read_json_steps((yield from decompressed(update.configuration)))
        except (zlib.error, ValueError, RecursionError) as error:
            raise UnusableConfigurationError(f"its bytes can't be read: {error}") from error
        if not update.base_version:
            return Document(update.configuration_version, (yield from with_item_lists_steps(value)))
        document = self._document
        for patch in value:
            yield
            try:
                patched = yield from accept_patch_steps(document, patch)
            except (AttributeError, KeyError, TypeError) as error:
                raise UnusableConfigurationError(f"a patch is malformed: {error!r}") from error
            if isinstance(patched, Err):
                raise UnusableConfigurationError(f"a patch does not apply: {patched.err_value}")
            document = patched.ok_value
        if document.version != update.configuration_version:
            raise UnusableConfigurationError(f"its patches lead to version {document.version}")
        return document

    def _build_table(self, document: Document) -> Steps[RouteTable]:
        """Return the route table of a configuration that a control-plane node sent.

        Raises:
            UnusableConfigurationError: The value is not a valid configuration.
        """
        try:
            tenants = yield from self._tenants.build_steps(document.value)
            return (yield from self._table_builder.build_steps(document, tenants))
        except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
            raise UnusableConfigurationError(f"it is not a valid configuration: {error!r}") from error

    # Reporting demand.

    async def report_demand(self, demand: list[ModelDemand], is_partial: bool) -> bool:
        """Report demand to the placement leader.

        Args:
            demand: Demand for each model.
            is_partial: Whether the report adds to the previous one instead of replacing it.

        Returns:
            Whether the leader accepted it.
        """
        if not self.leader:
            return False
        report = DemandReport(node=self._settings.name, demand=demand, partial=is_partial)
        try:
            response = await self._http.request(self.leader, "POST", "/internal/demand", bytes(report), DEMAND_REPORT_TIMEOUT_S)
            return response.status == 200 and parse_message(DemandResponse, response.body).accepted
        except (HttpCallError, UnreadableMessageError):
            self._http.forget(self.leader)
            return False
