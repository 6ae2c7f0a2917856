"""Connects a data plane to the control plane: long-polls for configuration and registry, and reports demand.

One node is polled at a time while it answers. Where it does not, or has no contact with a majority, the next ones are asked
beside it, each a short time after the one before, until one answers with a majority: the time without news is one time limit,
not a sum of them.
"""

from __future__ import annotations

import asyncio
import logging
import math
import os
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from mulleinhatch.data_plane.configuration_in_force import ConfigurationInForce
from mulleinhatch.data_plane.confirmation_watch import ConfirmationWatch
from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.data_plane.poll_targets import PollTargets, TargetStatus
from mulleinhatch.messages.cluster import (
    ContactRequest,
    ContactResponse,
    DemandReport,
    DemandResponse,
    ModelDemand,
    PollRequest,
    PollResponse,
)
from mulleinhatch.messages.parsing import UnreadableMessageError, parse_message
from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.settings import Settings
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.steps import release_steps

LOG = logging.getLogger(__name__)
POLL_WAIT_S = 1.0  # short enough to leave a silent node well within `configuration_apply_s`
POLL_RESPONSE_MARGIN_S = 0.5  # added to the wait; a node that does not answer by then counts as unreachable
FIRST_POLL_TIMEOUT_S = 0.8  # short: a node that has not answered before may be down
NEXT_POLL_AFTER_S = 0.2  # without an answer after the wait, the next node is asked beside this one
POLL_RETRY_DELAY_S = 0.1
DEMAND_REPORT_TIMEOUT_S = 0.6
INCARNATION_BYTES = 7  # of the random number that tells this process from others of its name
SLICE_S = 0.001  # of processor time: requests wait for as long as it takes on this machine's share of a core


@dataclass(frozen=True)
class PollResult:
    """The end of one poll.

    Attributes:
        address: The node that was polled.
        update: Its answer, None without one.
        answered_at: Loop time as of which the answer is valid.
    """

    address: str
    update: PollResponse | None
    answered_at: float = -math.inf


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

    Attributes:
        snapshot: The newest snapshot.
        leader: Internal address of the head of the chain, which leads placement once it holds the lease; empty if unknown.
        call_address: Where control-plane nodes can call this data plane, empty if they can't.
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
        self.call_address = ""
        self._incarnation = int.from_bytes(os.urandom(INCARNATION_BYTES))
        self._settings, self._http, self._clock = settings, http, clock
        self._slicer = slicer or TimeSlicer(LoopWatch(), SLICE_S)
        self._on_snapshot, self._on_new_leader = on_snapshot, on_new_leader
        self._configuration = ConfigurationInForce(self._slicer)
        self._confirmed_at = -math.inf  # when a node with a majority last confirmed the configuration in force
        self._registry_source, self._registry_cursor = "", 0
        self._targets = PollTargets(settings.name, self._internal_addresses(settings.seeds))
        self._results: asyncio.Queue[PollResult | None] = asyncio.Queue()  # of the current round; None ends it
        self._watch = ConfirmationWatch(self._targets, settings.bounds.configuration_apply_s, clock())
        self._control_epoch = 0  # epoch of the view that the published addresses belong to
        self._source = ""  # address of the node that last answered with a majority
        self._answering = ""  # address of the node whose answer is being applied
        self._epoch = 0  # epoch of the newest view that a node reported
        self._deregistrations_index = 0  # log index up to which deregistered backends are known
        self._unconfirmed_since: float | None = None  # when a first configuration was offered without a majority
        self.snapshot = ControlPlaneSnapshot()
        self.leader = ""

    def _internal_addresses(self, control_addresses: Sequence[str]) -> list[str]:
        """Return the internal addresses of control-plane nodes: all nodes use the same internal port."""
        port = self._settings.internal_address.rpartition(":")[2]
        return [f"{address.rpartition(':')[0]}:{port}" for address in control_addresses]

    def replace_seeds(self, seeds: Sequence[str]) -> None:
        """Poll the nodes at other seeds, at once if no node confirms the configuration now.

        Args:
            seeds: Control addresses.
        """
        self._targets.replace_seeds(self._internal_addresses(seeds))
        self._poll_new_targets()

    def _poll_new_targets(self) -> None:
        if not self._watch.is_confirmed:
            self._results.put_nowait(None)

    def on_call(self, call: ContactRequest) -> ContactResponse:
        """Poll the nodes that a control-plane node names in a call, unless one confirms the configuration already.

        A call only tells where to poll. One for another name is rejected; one for another incarnation too if this process was
        started with the whole system, as it may come from a former system at the same addresses.
        """
        is_other_process = call.incarnation != self._incarnation and self._settings.first_start
        if call.name != self._settings.name or is_other_process:
            return ContactResponse(is_known=False)
        if call.epoch >= self._epoch and not self._watch.is_confirmed and self._targets.add_called(call.control_addresses):
            LOG.info("a control plane called and is polled", extra={"control_planes": call.control_addresses})
            self._poll_new_targets()
        return ContactResponse(is_known=True)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if not await self._poll_round(self._targets.ranked(self._clock())):
                self._watch.record_unconfirmed(self._configuration.version, self._clock())
                await asyncio.sleep(POLL_RETRY_DELAY_S)

    async def _poll_round(self, addresses: Sequence[str]) -> bool:
        """Poll nodes until one answers with a majority; return whether one did.

        The next node is asked as soon as the one before has failed, has answered without a majority, or is late. Of the nodes
        asked before the one that answers, those without an answer count as silent. A round ends early if there are new nodes.
        """
        results = self._results = asyncio.Queue()
        polls: dict[str, asyncio.Task[None]] = {}
        remaining = list(addresses)
        try:
            while remaining or polls:
                patience_s = None
                if remaining:
                    address = remaining.pop(0)
                    is_first = address == addresses[0]
                    wait_s = POLL_WAIT_S if is_first and self._targets.is_responsive(address) else 0.0
                    polls[address] = asyncio.ensure_future(self._poll_into(results, address, wait_s))
                    patience_s = wait_s + NEXT_POLL_AFTER_S
                try:
                    async with asyncio.timeout(patience_s):
                        result = await results.get()
                except TimeoutError:
                    continue
                if result is None:
                    self._record_silence(polls)
                    return False
                earlier = list(polls)[: list(polls).index(result.address)]
                del polls[result.address]
                if await self._take(result):
                    self._record_silence(earlier)
                    return True
            return False
        finally:
            for poll in polls.values():
                poll.cancel()

    def _record_silence(self, addresses: Iterable[str]) -> None:
        for address in addresses:
            self._targets.record_silence(address, self._clock())

    async def _poll_into(self, results: asyncio.Queue[PollResult | None], address: str, wait_s: float) -> None:
        """Poll a node; put the result into a queue, whatever happens: the round waits for one of each poll."""
        result = PollResult(address, None)
        try:
            result = await self._poll(address, wait_s)
        except HttpCallError as error:
            LOG.debug("control plane did not answer; another one is asked", extra={"error": str(error)})
        except Exception:
            LOG.exception("a poll of a control plane failed; another one is asked")
        finally:
            results.put_nowait(result)

    async def _poll(self, address: str, wait_s: float = 0.0) -> PollResult:
        """Send one poll.

        Raises:
            HttpCallError: No answer that can be read arrived in time.
        """
        request = PollRequest(
            node=self._settings.name,
            zone=self._settings.zone,
            configuration_version=self._configuration.base_version,
            registry_source=self._registry_source,
            registry_cursor=self._registry_cursor,
            wait_ms=int(1000 * wait_s),
            departure_index=self._deregistrations_index,
            call_address=self.call_address,
            incarnation=self._incarnation,
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
        # After a pause of this process the response may be old: it counts as no newer than the timeout allows.
        return PollResult(address, update, min(self._clock(), sent_at + timeout_s))

    async def _take(self, result: PollResult) -> bool:
        """Apply the result of a poll; return whether its node was in contact with a majority."""
        update = result.update
        if update is None:
            self._http.forget(result.address)
            self._targets.record_silence(result.address, self._clock())
            return False
        if update.epoch < self._epoch:
            update.authoritative = False  # the node has not learned of a newer view yet
        self._epoch = max(self._epoch, update.epoch)
        self._answering = result.address
        await self._apply(update, result.answered_at)
        is_usable = update.authoritative and not self._configuration.is_incomplete
        self._targets.record_answer(result.address, is_usable, self._clock())
        if is_usable:
            self._targets.forget_called()
            self._watch.record_confirmed(result.address, self._clock())
        if is_usable and result.address != self._source:
            fields = {"control_plane": result.address, "former": self._source, "view_epoch": update.epoch}
            LOG.info("another control plane is polled", extra=fields)
            self._source = result.address
        return is_usable

    # Applying an update.

    async def _apply(self, update: PollResponse, answered_at: float) -> None:
        replaced = await self._apply_configuration(update)
        if update.authoritative and self._configuration.version >= update.configuration_version > 0:
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
            self._configuration.table,
            backends,
            data_planes,
            update.authoritative,
            self._confirmed_at,
            self._control_epoch,
            tuple(self._targets.published),
            self._answering,
        )
        self._on_snapshot(self.snapshot)
        if replaced:
            await self._slicer.run("release of a former configuration", release_steps(replaced))

    def _apply_control_addresses(self, update: PollResponse) -> None:
        if not update.authoritative and self._targets.published:
            return
        if update.control_addresses:
            self._targets.publish(update.control_addresses)
            self._control_epoch = update.epoch
        if update.leader_address and update.leader_address != self.leader:
            self.leader = update.leader_address
            self._on_new_leader()

    async def _apply_configuration(self, update: PollResponse) -> list[Any]:
        """Put the configuration of an update into force; return what it replaced, to be released once nothing else uses it."""
        configuration = self._configuration
        if not update.configuration or not configuration.is_wanted(update):
            return []
        if not configuration.version and not update.authoritative and not self._may_use_unconfirmed():
            return []
        return await configuration.replace(update, self._answering)

    def _may_use_unconfirmed(self) -> bool:
        """Return whether a first configuration may be used although its source has no majority.

        It may be outdated, but if the control plane has no majority for a long time it is better than none.
        """
        if self._unconfirmed_since is None:
            self._unconfirmed_since = self._clock()
        bounds = self._settings.bounds
        return self._clock() - self._unconfirmed_since >= bounds.contact_s + bounds.configuration_apply_s

    def targets_status(self) -> dict[str, TargetStatus]:
        """Return what is known of each control-plane node that may be polled, by its address."""
        return self._targets.status()

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
