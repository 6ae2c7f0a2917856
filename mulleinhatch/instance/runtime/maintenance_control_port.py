"""The control port of coordinated maintenance: a line of JSON per request and response, on its own loopback address.

The keys of requests and responses are part of the operators' interface (`cli/instance/upkeep.py`, `docs/operate/upkeep.md`).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from mulleinhatch.instance.maintenance.core import MaintenanceCoordinator
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest, QueuePosition, order, schedule
from mulleinhatch.instance.maintenance.table import PermitRefusedError, PermitTable
from mulleinhatch.instance.runtime.maintenance_history import MaintenanceHistory

LOG = logging.getLogger(__name__)
MAX_LINE_BYTES = 8192
CHANGE_TIMEOUT_S = 10.0  # seconds for an operator's change to be agreed, and for a request to arrive
CHANGE_POLL_S = 0.02
UNDECIDED_OUTCOMES = ("beaten", "moved", "")  # another round may still agree on the change

SendMessages = Callable[[list[tuple[str, bytes]]], None]
RequestFactory = Callable[..., MaintenanceRequest]


class MaintenanceControlPort:
    """Serves operators' requests about coordinated maintenance.

    Args:
        coordinator: Agrees on permits with the other instances.
        zones: The zone of each instance.
        history: State changes of this instance.
        send: Sends gossip messages.
        build_request: Builds a maintenance request of this instance from a kind and seconds.
    """

    def __init__(
        self,
        coordinator: MaintenanceCoordinator,
        zones: dict[str, str],
        history: MaintenanceHistory,
        send: SendMessages,
        build_request: RequestFactory,
    ) -> None:
        self._coordinator, self._zones, self._history = coordinator, zones, history
        self._send, self._build_request = send, build_request
        self._server: asyncio.AbstractServer | None = None
        self._actions: dict[str, Callable[[dict[str, Any]], Any]] = {
            "ask": self._ask,
            "cancel": self._cancel,
            "freeze": self._freeze,
            "bounds": self._set_bounds,
            "voters": self._set_voters,
            "release": self._release,
            "over": self._grant_over_bound,
            "show": self._show,
        }

    async def listen(self, address: str) -> None:
        """Serve requests at "HOST:PORT"."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=MAX_LINE_BYTES)

    def close(self) -> None:
        """Accept no further requests."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = json.loads(await asyncio.wait_for(reader.readline(), CHANGE_TIMEOUT_S))
            response = await self._execute(request)
        except (PermitRefusedError, KeyError, TypeError, ValueError, TimeoutError) as error:
            response = {"error": str(error) or type(error).__name__}
        with contextlib.suppress(OSError):
            writer.write(json.dumps(response).encode() + b"\n")
            await writer.drain()
        writer.close()

    async def _execute(self, request: dict[str, Any]) -> dict[str, Any]:
        action = self._actions.get(request["do"])
        if action is None:
            raise PermitRefusedError(f"unknown action: {request['do']}")
        await action(request)
        return self.status()

    # Actions, by the value of `do`.

    async def _ask(self, request: dict[str, Any]) -> None:
        own = self._build_request(
            str(request["kind"]),
            float(request["seconds"]),
            earliest_start=float(request.get("wished", 0.0)),
            deadline=float(request.get("latest", 0.0)),
            urgency=int(request.get("urgency", 0)),
        )
        names = self._chosen_names(request.get("names"), request.get("zone"), bool(request.get("all")))
        requests = [own._replace(name=name, zone=self._zones.get(name, "")) for name in names]
        self._coordinator.request_for_others(time.monotonic(), requests)

    async def _cancel(self, request: dict[str, Any]) -> None:
        self._coordinator.cancel()

    async def _freeze(self, request: dict[str, Any]) -> None:
        await self._agree(lambda table: table.freeze(str(request["why"])))

    async def _set_bounds(self, request: dict[str, Any]) -> None:
        await self._agree(lambda table: table.set_bounds(int(request["most"]), int(request["zone_most"])))

    async def _set_voters(self, request: dict[str, Any]) -> None:
        await self._agree(lambda table: table.set_voters(list(request["voters"])))

    async def _release(self, request: dict[str, Any]) -> None:
        name, reason = str(request["name"]), str(request["why"])
        LOG.warning("permit released by an operator", extra={"fields": {"name": name, "why": reason}})
        await self._agree(lambda table: _without_permit(table, name))

    async def _grant_over_bound(self, request: dict[str, Any]) -> None:
        name, reason = str(request["name"]), str(request["why"])
        if not reason:
            raise PermitRefusedError("a reason is required to exceed the bound")
        LOG.warning("permit beyond the bound requested by an operator", extra={"fields": {"name": name, "why": reason}})
        zone = self._zones.get(name, "")
        await self._agree(lambda table: table.grant(name, zone, "by hand", over=reason))

    async def _show(self, request: dict[str, Any]) -> None:
        """Do nothing: each response carries the status."""

    def _chosen_names(self, names: list[str] | None, zone: str | None, all_members: bool) -> list[str]:
        """Return the instances that a request applies to: the named ones, those of a zone, all, or this one.

        Raises:
            PermitRefusedError: A named instance is not alive, or none of the zone is.
        """
        own_name = self._coordinator.name
        alive = [own_name, *self._coordinator.fleet.members.alive()]
        if names:
            unknown = sorted(set(names) - set(alive))
            if unknown:
                raise PermitRefusedError(f"{unknown[0]} is not an alive member")
            return list(names)
        if zone:
            in_zone = [name for name in alive if self._zones.get(name) == zone]
            if not in_zone:
                raise PermitRefusedError(f"no member of zone {zone} is alive")
            return in_zone
        return alive if all_members else [own_name]

    async def _agree(self, change: Callable[[PermitTable], PermitTable]) -> None:
        """Propose a change, repeatedly until it is agreed or refused, as rounds of other instances may beat it.

        Raises:
            PermitRefusedError: The change is refused, or no majority responds in time.
        """
        ends_at, proposal = time.monotonic() + CHANGE_TIMEOUT_S, None
        while time.monotonic() < ends_at and (proposal is None or proposal.outcome in UNDECIDED_OUTCOMES):
            if self._coordinator.round is None:
                proposal = self._coordinator.propose(time.monotonic(), change)
                self._send(self._coordinator.take_outgoing())
            await asyncio.sleep(CHANGE_POLL_S)
        if proposal is None or proposal.outcome != "agreed":
            raise PermitRefusedError(proposal.why if proposal and proposal.why else "no majority of the voters responds")

    # Status.

    def status(self) -> dict[str, Any]:
        """Return the permits in use, the order of the waiting requests, and the history."""
        coordinator, table = self._coordinator, self._permit_table()
        voter = coordinator.voter
        return {
            "name": coordinator.name,
            "state": coordinator.state.value,
            "fence": coordinator.fencing_token,
            "voter": None if voter is None else "abstains" if voter.is_abstaining else "votes",
            "table": table._asdict() | {"out": [permit._asdict() for permit in table.out]},
            "order": self._order_status(table),
            "places": {
                name: {"place": reply.position, "of": reply.waiting, "may_go": reply.available_permits, "why": reply.reasons}
                for name, reply in coordinator.current_replies(time.monotonic()).items()
            },
            "history": self._history.entries(),
        }

    def _permit_table(self) -> PermitTable:
        """Return the table that this instance accepted as a voter, or else the newest one it knows."""
        voter, known = self._coordinator.voter, self._coordinator.known
        if voter is None or voter.is_abstaining:
            return known
        return voter.voter_state.table or known

    def _order_status(self, table: PermitTable) -> list[dict[str, Any]]:
        now = time.time()
        zone_counts = Counter(permit.zone for permit in table.out)
        requests = [known.request for known in self._coordinator.requests.values()]
        positions = order(requests, [permit.name for permit in table.out], dict(zone_counts), now)
        out = {permit.name: (permit.zone, now) for permit in table.out}
        starts = schedule(positions, out, table.most, table.zone_most, now)
        return [_position_status(position, starts.get(position.request.name)) for position in positions]


def _position_status(position: QueuePosition, starts_at: float | None) -> dict[str, Any]:
    return {
        "name": position.request.name,
        "may": position.is_allowed,
        "why": ", ".join(position.reasons),
        "at": starts_at,
    }


def _without_permit(table: PermitTable, name: str) -> PermitTable:
    """Return the table without an instance's permit.

    Raises:
        PermitRefusedError: The instance holds none.
    """
    permit = table.permit(name)
    if permit is None:
        raise PermitRefusedError(f"{name} holds no permit")
    return table.release(name, permit.fence)
