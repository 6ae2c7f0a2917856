"""Upkeep's I/O: the voter's file, what people ask for on a loopback port of its own, and leaving when a permit is there."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from mulleinhatch.instance.gossip.core import GossipNode
from mulleinhatch.instance.maintenance.core import MaintenanceBounds, MaintenanceCoordinator, MaintenanceState
from mulleinhatch.instance.maintenance.schedule import MaintenanceRequest, order, schedule
from mulleinhatch.instance.maintenance.store import CorruptVoterFileError, Store
from mulleinhatch.instance.maintenance.table import PermitRefusedError, PermitTable
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.runtime.instance_settings import InvalidSettingsError, Placement

LOG = logging.getLogger(__name__)
MOST_HISTORY = 1 << 20  # bytes of the file of what happened; then the older half goes
FIT_AFTER = 2.0  # seconds of good health until one that returned counts as fit
LONGEST_LINE = 8192
ANSWER_WITHIN = 10.0  # seconds for a person's change to be agreed
HISTORY = 256  # changes that are remembered


class UpkeepSide:
    def __init__(
        self,
        placement: Placement,
        fleet: GossipNode,
        reducer: Reducer,
        send: Callable[[list[tuple[str, bytes]]], None],
        leave: Callable[[], None],
    ) -> None:
        told = placement.upkeep
        self.placement, self.reducer, self.send, self.leave = placement, reducer, send, leave
        self.store, voter_state = None, None
        if placement.name in told.voters and told.folder:
            try:
                self.store = Store(told.folder)
                voter_state = self.store.read()
            except (CorruptVoterFileError, OSError) as error:
                raise InvalidSettingsError(f"upkeep.folder: {error}") from None
        zones = dict(told.zones)
        bounds = MaintenanceBounds(
            told.voters, told.most, told.zone_most, zones.get(placement.name, ""), told.zones, told.freeze_after
        )
        self.core = MaintenanceCoordinator(
            bounds, fleet, placement.seed + 3, time.monotonic(), voter_state, self.store and self.store.persist
        )
        self.fit_since: float | None = None
        self.left = False
        self.server: asyncio.AbstractServer | None = None
        self.history: deque[tuple[float, str, str]] = deque(maxlen=HISTORY)
        self.ill_since: float | None = None

    async def listen(self) -> None:
        if self.placement.upkeep.control:
            host, _, port = self.placement.upkeep.control.rpartition(":")
            self.server = await asyncio.start_server(self._asked, host, int(port), limit=LONGEST_LINE)

    def beat(self, now: float) -> list[tuple[str, bytes]]:
        good = self.reducer.healthy and self.reducer.controller is not None
        self.fit_since = (self.fit_since if self.fit_since is not None else now) if good else None
        self._ask_when_ill(now, good)
        letters = self.core.tick(now, time.time(), good and now - self.fit_since >= FIT_AFTER)
        self._tell()
        return letters

    def _ask_when_ill(self, now: float, good: bool) -> None:
        """An instance that stays ill asks by itself, where the operator wants that."""
        after = self.placement.upkeep.ask_when_ill
        self.ill_since = (
            None if good or self.reducer.controller is None else self.ill_since if self.ill_since is not None else now
        )
        if (
            after
            and self.ill_since is not None
            and now - self.ill_since >= after
            and self.core.state is MaintenanceState.SERVING
        ):
            self.core.ask(self._request("ill", self.placement.upkeep.ill_for, is_unhealthy=True))

    def _request(self, kind: str, seconds: float, **more: Any) -> MaintenanceRequest:
        zone = dict(self.placement.upkeep.zones).get(self.placement.name, "")
        return MaintenanceRequest(self.placement.name, zone, kind[:40], seconds, time.time(), **more)

    def _remember(self, state: str, why: str) -> None:
        """In the folder, too, where there is one: a process that went out for work has forgotten why."""
        self.history.append((time.time(), state, why))
        if not self.store:
            return
        path = self.store.folder / "history"
        try:
            if path.exists() and path.stat().st_size > MOST_HISTORY:
                lines = path.read_bytes().splitlines(keepends=True)
                path.write_bytes(b"".join(lines[len(lines) // 2 :]))
            with open(path, "a") as file:
                file.write(json.dumps([round(time.time(), 3), state, why]) + "\n")
        except OSError as error:
            LOG.warning("history not kept", extra={"fields": {"error": error}})

    def _remembered(self) -> list[list[Any]]:
        if not self.store or not (self.store.folder / "history").exists():
            return [list(entry) for entry in self.history]
        lines = (self.store.folder / "history").read_text().splitlines()[-HISTORY:]
        told = []
        for line in lines:
            with contextlib.suppress(ValueError):  # one that a crash cut short
                told.append(json.loads(line))
        return told

    def heard(self) -> list[tuple[str, bytes]]:
        self._tell()
        return self.core.take_outgoing()

    def _tell(self) -> None:
        """One line a change, and leaving when the permit is there."""
        changes, self.core.changes = self.core.changes, []
        for state, why in changes:
            self._remember(state, why)
            LOG.info("upkeep", extra={"fields": {"state": state, "why": why}})
        if self.core.state is MaintenanceState.GOING and not self.left:
            self.left = True
            # Not within a datagram or beat of the fleet: leaving tells the fleet, too.
            asyncio.get_running_loop().call_soon(self.leave)

    def close(self) -> None:
        if self.server:
            self.server.close()
        if self.store:
            self.store.close()

    # What people ask for: a line of JSON each way.

    async def _asked(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            told = json.loads(await asyncio.wait_for(reader.readline(), ANSWER_WITHIN))
            answer = await self._done(told)
        except (PermitRefusedError, KeyError, TypeError, ValueError, TimeoutError) as error:
            answer = {"error": str(error) or type(error).__name__}
        with contextlib.suppress(OSError):
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        writer.close()

    async def _done(self, told: dict[str, Any]) -> dict[str, Any]:
        what, core = told["do"], self.core
        if what == "ask":
            one = self._request(
                str(told["kind"]),
                float(told["seconds"]),
                wished=float(told.get("wished", 0.0)),
                latest=float(told.get("latest", 0.0)),
                urgency=int(told.get("urgency", 0)),
            )
            core.request_for_others(
                time.monotonic(), self._several(one, told.get("names"), told.get("zone"), bool(told.get("all")))
            )
        elif what == "cancel":
            core.cancel()
        elif what == "freeze":
            await self._agreed(lambda table: table.freeze(str(told["why"])))
        elif what == "bounds":
            await self._agreed(lambda table: table.bounds(int(told["most"]), int(told["zone_most"])))
        elif what == "voters":
            await self._agreed(lambda table: table.electorate(list(told["voters"])))
        elif what == "release":
            name, why = str(told["name"]), str(told["why"])
            LOG.warning("released by hand", extra={"fields": {"name": name, "why": why}})
            await self._agreed(lambda table: self._released(table, name))
        elif what == "over":
            name, why = str(told["name"]), str(told["why"])
            if not why:
                raise PermitRefusedError("a reason is wanted to go over the bound")
            LOG.warning("over the bound by hand", extra={"fields": {"name": name, "why": why}})
            zone = dict(self.placement.upkeep.zones).get(name, "")
            await self._agreed(lambda table: table.grant(name, zone, "by hand", over=why))
        elif what != "show":
            raise PermitRefusedError(f"no such word: {what}")
        return self.told()

    def _several(
        self, one: MaintenanceRequest, names: list[str] | None, zone: str | None, everybody: bool
    ) -> list[MaintenanceRequest]:
        """This instance, or those named, of a zone, or all that are there."""
        zones = dict(self.placement.upkeep.zones)
        there = [self.placement.name, *self.core.fleet.members.alive()]
        if names:
            if unknown := sorted(set(names) - set(there)):
                raise PermitRefusedError(f"{unknown[0]} is not there")
            chosen = list(names)
        elif zone:
            chosen = [name for name in there if zones.get(name) == zone]
            if not chosen:
                raise PermitRefusedError(f"nobody of zone {zone} is there")
        else:
            chosen = there if everybody else [self.placement.name]
        return [one._replace(name=name, zone=zones.get(name, "")) for name in chosen]

    @staticmethod
    def _released(table: PermitTable, name: str) -> PermitTable:
        permit = table.permit(name)
        if permit is None:
            raise PermitRefusedError(f"{name} holds no permit")
        return table.release(name, permit.fence)

    async def _agreed(self, change: Callable[[PermitTable], PermitTable]) -> None:
        """Round after round until it is agreed or refused: others may be asking, too."""
        until, done = time.monotonic() + ANSWER_WITHIN, None
        while time.monotonic() < until and (done is None or done.outcome in ("beaten", "moved", "")):
            if self.core.round is None:
                done = self.core.change(time.monotonic(), change)
                self.send(self.core.take_outgoing())
            await asyncio.sleep(0.02)
        if done is None or done.outcome != "agreed":
            raise PermitRefusedError(done.why if done and done.why else "no majority of the voters answers")

    def told(self) -> dict[str, Any]:
        core, now = self.core, time.monotonic()
        table = core.voter.voter_state.table or core.known if core.voter and not core.voter.is_abstaining else core.known
        wall = time.time()
        zones = Counter(permit.zone for permit in table.out)
        places = order(
            [known.request for known in core.requests.values()], [permit.name for permit in table.out], dict(zones), wall
        )
        out = {permit.name: (permit.zone, wall) for permit in table.out}
        going = schedule(places, out, table.most, table.zone_most, wall)
        return {
            "name": core.name,
            "state": core.state.value,
            "fence": core.fencing_token,
            "voter": None if core.voter is None else "abstains" if core.voter.is_abstaining else "votes",
            "table": table._asdict() | {"out": [permit._asdict() for permit in table.out]},
            "order": [
                {
                    "name": place.request.name,
                    "may": place.is_allowed,
                    "why": ", ".join(place.reasons),
                    "at": going.get(place.request.name),
                }
                for place in places
            ],
            "places": {
                name: {"place": reply.place, "of": reply.waiting, "may_go": reply.may_go, "why": reply.why}
                for name, reply in core.current_replies(now).items()
            },
            "history": self._remembered(),
        }

    def counted(self) -> dict[str, int]:
        return {f"upkeep_{name}": count for name, count in self.core.counts.items()} | {
            "upkeep_state": list(MaintenanceState).index(self.core.state),
            "upkeep_out": len(self.core.known.out),
        }
