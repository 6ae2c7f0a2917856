"""The way to the control plane: long-polls with the versions that are known, and reports of demand to the holder of orders."""

from __future__ import annotations

import asyncio
import json
import logging
import zlib
from collections.abc import Callable

from result import Err

from mulleinhatch.configuration.document import EMPTY, Document, apply_patch
from mulleinhatch.configuration.routes import RouteTable, build_table
from mulleinhatch.data_plane.snapshot import Snapshot
from mulleinhatch.membership.rendezvous import ranked
from mulleinhatch.messages.cluster import DemandReport, DemandResponse, ModelDemand, PollRequest, PollResponse
from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.process.settings import Settings

LOG = logging.getLogger(__name__)
POLL_WAIT_S = 1.0  # short enough that a control plane that fell silent is left well within the bound of configurations
POLL_SLACK_S = 0.5  # beyond the wait: who does not answer then is out of reach
FIRST_POLL_S = 0.8  # the first word of a control plane that may be down is not waited for long
PAUSE_S = 0.1
DEMAND_S = 0.6
REST_S = 2.0  # a control plane that failed or is cut off is asked last for so long


class ControlLink:
    """Keeps `on_snapshot` told of the newest snapshot. Versions never go back within the life of the process."""

    def __init__(
        self,
        settings: Settings,
        caller: HttpClient,
        clock: Callable[[], float],
        on_snapshot: Callable[[Snapshot], None],
        on_leader: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_leader = on_leader  # called when another machine holds the orders: it knows nothing of the demand yet
        self._settings, self._caller, self._clock, self._on_snapshot = settings, caller, clock, on_snapshot
        self._document: Document = EMPTY
        self._table = RouteTable()
        self._source, self._cursor = "", 0
        port = settings.internal_address.rpartition(":")[2]
        self._seeds = [f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seeds]
        self._known: list[str] = []
        self._rests: dict[str, float] = {}
        self._spoke: set[str] = set()
        self._epoch = 0  # the newest view that a control plane told of
        self._left_index = 0
        self._unsure_since: float | None = None  # when first a configuration was offered by a machine not sure of it
        self.snapshot = Snapshot()
        self.leader = ""

    async def run(self) -> None:
        while True:
            address = self._next_address()
            try:
                await self._poll(address)
            except HttpCallError as error:
                LOG.debug("no answer from a control plane", extra={"error": str(error)})
                self._caller.forget(address)
                self._rests[address] = self._clock() + REST_S
                self._spoke.discard(address)
                await asyncio.sleep(PAUSE_S / 4)

    def _next_address(self) -> str:
        """The control plane to ask: by rendezvous, so that data planes spread; those that failed come last."""
        now = self._clock()
        addresses = list(dict.fromkeys([*self._known, *self._seeds])) if self._known else self._seeds
        known = set(self._known)
        order = ranked(self._settings.name, addresses)
        return min(
            order,
            key=lambda address: (
                max(0.0, self._rests.get(address, 0.0) - now),
                bool(known) and address not in known,
                order.index(address),
            ),
        )

    async def _poll(self, address: str) -> None:
        wait = POLL_WAIT_S if address in self._spoke else 0.0
        request = PollRequest(
            node=self._settings.name,
            zone=self._settings.zone,
            configuration_version=self._document.version,
            registry_source=self._source,
            registry_cursor=self._cursor,
            wait_ms=int(1000 * wait),
            left_index=self._left_index,
        )
        whole = await self._caller.request(
            address, "POST", "/internal/poll", bytes(request), max(FIRST_POLL_S, wait + POLL_SLACK_S)
        )
        if whole.status != 200:
            raise HttpCallError(address, f"status {whole.status}")
        answer = PollResponse().parse(whole.body)
        if answer.epoch < self._epoch:
            answer.authoritative = False  # it lives in a view that is over
        self._epoch = max(self._epoch, answer.epoch)
        self._spoke.add(address)
        self._take(answer)
        if not answer.authoritative:
            self._rests[address] = self._clock() + REST_S
            await asyncio.sleep(PAUSE_S)

    def _take(self, answer: PollResponse) -> None:
        now = self._clock()
        self._take_configuration(answer)
        backends = self.snapshot.backends
        # A machine that is cut off hears of no backends: its silence about them is no news.
        whole = answer.whole_registry and answer.authoritative
        if answer.backends or whole or backends.unconfirmed or answer.left:
            backends = backends.updated(answer.backends, whole, now, answer.left)
        self._left_index = max(self._left_index, answer.left_index)
        self._source, self._cursor = answer.registry_source, answer.registry_cursor
        if answer.authoritative or not self._known:
            self._known = list(answer.control_addresses) or self._known
            if answer.leader_address and answer.leader_address != self.leader:
                self.leader = answer.leader_address
                self._on_leader()
        data_planes = max(1, answer.data_planes) if answer.authoritative else max(self.snapshot.data_planes, answer.data_planes)
        self.snapshot = Snapshot(self._table, backends, data_planes, answer.authoritative)
        self._on_snapshot(self.snapshot)

    def _take_configuration(self, answer: PollResponse) -> None:
        if not answer.configuration or answer.configuration_version <= self._document.version:
            return
        if answer.base_version and answer.base_version != self._document.version:
            return
        if not self._document.version and not answer.authoritative and not self._waited_for_the_sure():
            return
        document = self._read(answer)
        if document is None or document.version != answer.configuration_version:
            LOG.error(
                "a configuration could not be built from what was told; the whole one is asked for",
                extra={"version": answer.configuration_version},
            )
            self._document = Document(0, EMPTY.value)
            return
        self._document, self._table = document, build_table(document)
        LOG.info("configuration in force", extra={"version": document.version})

    def _waited_for_the_sure(self) -> bool:
        """Whether a first configuration has been offered long enough by machines only that are not sure that it is the newest:
        beside a core that has no majority an older one serves better than none."""
        if self._unsure_since is None:
            self._unsure_since = self._clock()
        bounds = self._settings.bounds
        return self._clock() - self._unsure_since >= bounds.contact_s + bounds.configuration_apply_s

    def _read(self, answer: PollResponse) -> Document | None:
        value = json.loads(zlib.decompress(answer.configuration))
        if not answer.base_version:
            return Document(answer.configuration_version, value)
        document = self._document
        for patch in value:
            made = apply_patch(document, patch)
            if isinstance(made, Err):
                return None
            document = made.ok_value
        return document

    async def report(self, demand: list[ModelDemand], partial: bool = False) -> bool:
        """Tells the holder of orders what is asked for here, or only what is urgent of it; whether it took it."""
        if not self.leader:
            return False
        message = DemandReport(node=self._settings.name, demand=demand, partial=partial)
        try:
            whole = await self._caller.request(self.leader, "POST", "/internal/demand", bytes(message), DEMAND_S)
            return whole.status == 200 and DemandResponse().parse(whole.body).taken
        except HttpCallError:
            self._caller.forget(self.leader)
            return False
