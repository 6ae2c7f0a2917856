"""One service instance: joins the layers and carries out what the reducer asks for."""
from __future__ import annotations

import asyncio
import logging
import signal
import time
from collections import Counter
from typing import Any

from mulleinhatch.holds import BROKEN
from mulleinhatch.interface import Ending
from mulleinhatch.program.placement import Placement
from mulleinhatch.protocol import http, link, reports
from mulleinhatch.routing.reducer import Errand, Happening, Reducer
from mulleinhatch.transport.connections import Connections
from mulleinhatch.transport.datagrams import Datagrams
from mulleinhatch.transport.link import Link

LOG = logging.getLogger(__name__)
DESCRIPTORS_KEPT = 16       # of the limit, for all that is no client connection
LISTEN_TRIES, LISTEN_RETRY = 50, 0.1    # a predecessor killed a moment ago may still hold the address
OUTLIVE_STOP = 0.5          # seconds: whoever stops us does it at the time told; to end first would lose ops
REPORT_EVERY = reports.LISTED_FOR / 6
TRIM_EVERY = 0.25


class Instance:
    def __init__(self, placement: Placement) -> None:
        self.placement = placement
        self.counts: Counter[str] = Counter()
        self.reducer = Reducer(placement.deployment, placement.op_types, placement.tenants, placement.seed)
        most = max(1, placement.descriptors - min(DESCRIPTORS_KEPT, placement.descriptors // 2))
        self.connections = Connections(most, http.RequestReader, time.time, on_message=self.request,
                                       on_broken=self.broken, on_lost=self.lost, count=self.count)
        self.link = Link(*placement.interpreter, on_open=lambda: self.take(Happening.LINK_OPENED),
                         on_line=self.notice, count=self.count)
        self.directory = Datagrams(*placement.directory) if placement.directory else None
        self.port = 0
        self.listed_open, self.interpreter_up, self.leaving = True, False, False
        self.idle_kept = float("inf")
        self.closing: set[int] = set()      # places whose caller asked that the connection be closed
        self.stopped = asyncio.Event()
        self.errands = {errand: getattr(self, "_" + errand.name.lower()) for errand in Errand}

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def take(self, happening: Happening, *told: Any) -> None:
        """The one way in: what happened goes to the reducer, and its errands are run."""
        try:
            for errand, *fields in self.reducer.reduce(time.time(), happening, *told):
                self.errands[errand](*fields)
        except Exception:    # one op gone wrong must not take those of all other callers with it
            self.count("errors_inside")
            LOG.exception("could not take %s", happening.value)
            if __debug__:
                raise

    # In.

    def request(self, place: int, method: bytes, path: bytes, fields: dict[bytes, bytes],
                body: bytes) -> None:
        if fields.get(b"connection", b"").lower() == b"close":
            self.closing.add(place)
        if path.startswith(http.OP_PATH) and method == b"POST":
            ref, op_type, tenant, *rest = http.op_told(path, fields, time.time())
            self.take(Happening.OP_READ, place, ref, op_type, tenant, *rest, body)
        elif path == http.HEALTH_PATH:
            self.take(Happening.CHECKED, place)
        elif path == http.COUNTERS_PATH:
            self._write(place, 200, self.counters().encode())
        else:
            self.count("requests_unknown")
            self._write(place, 404)

    def broken(self, place: int, error: ValueError) -> None:
        self.count("requests_broken")
        LOG.info("broken request", extra={"fields": {"place": place, "error": error}})
        self.connections.answer(place, http.answer(400, close=True), last=True)

    def lost(self, place: int) -> None:
        self.closing.discard(place)
        self.take(Happening.CALLER_LOST, place)

    def notice(self, line: bytes) -> None:
        try:
            self._noticed(link.notice(line))
        except (KeyError, TypeError, ValueError) as error:
            self.count("notices_broken")
            LOG.warning("broken notice", extra={"fields": {"error": repr(error)}})

    def _noticed(self, told: dict) -> None:
        what, status = told.get("t"), told.get("status")
        if what == "VALUE":
            self.take(Happening.RUN_ENDED, told["no"], told["rid"], link.ENDINGS.get(status, Ending.ERROR),
                      link.result(told))
        elif what == "TOPS":
            self.take(Happening.GAUGES, int(told["mark"]), told["v"])
        elif what == "BANNER":
            LOG.info("interpreter up", extra={"fields": {"status": status, "ms": told.get("time_ms")}})
            self.interpreter_up = True
            self.take(Happening.INTERPRETER_UP, status == "new", told.get("time_ms", 0.0) / 1000.0)
            self._report()
        elif what == "ERROR":
            LOG.warning("interpreter error", extra={"fields": {"command": status, "ref": told.get("rid")}})
            if told.get("rid") and status == "APPLY":
                self.take(Happening.RUN_UNKNOWN, told["rid"])
        else:
            self.count("notices_other")

    # Out.

    def _write(self, place: int, status: int, body: bytes = b"", **fields: Any) -> None:
        last = place in self.closing
        self.closing.discard(place)
        pieces = http.answer(status, body, close=last or self.leaving, **fields)
        self.count(f"answers_{status}" if self.connections.answer(place, pieces, last) else "answers_unsent")

    def _ack(self, place: int, result: bytes, level: float | None) -> None:
        self._write(place, 200, result, level=level)

    def _nack(self, place: int, hold_off: float, not_elsewhere: bool, level: float | None) -> None:
        self._write(place, 503 if self.leaving else 429, level=level, hold_off=hold_off,
                    not_elsewhere=not_elsewhere)

    def _fail(self, place: int, level: float | None) -> None:
        self._write(place, 500, level=level)

    def _unknown(self, place: int) -> None:
        self._write(place, 404)

    def _health(self, place: int, good: bool, level: float | None) -> None:
        self._write(place, 200 if good else 503, level=level)

    def _listing(self, is_open: bool) -> None:
        self.listed_open = is_open
        self._report()

    def _greet(self, last_notice: int) -> None:
        self.link.send(link.connect(last_notice))

    def _run(self, ref: str, op_type: str, body: bytes) -> None:
        self.link.send(link.apply(ref, op_type, body))

    def _gauges(self, mark: int) -> None:
        self.link.send(link.top(mark))

    def _alarm(self, seconds: float, token: int) -> None:
        asyncio.get_running_loop().call_later(seconds, self.take, Happening.ALARM, token)

    def _trim(self, seconds: float) -> None:
        self.idle_kept = seconds

    def _report(self) -> None:
        if self.directory and self.interpreter_up:
            sent = self.directory.send(reports.report(self.placement.name, self.listed_open))
            self.count("reports_sent" if sent else "reports_unsent")

    # Its life.

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        self.port = await self._listen()
        LOG.info("listening", extra={"fields": {"name": self.placement.name, "port": self.port}})
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        loop.add_signal_handler(signal.SIGINT, self.leave)
        loop.add_signal_handler(signal.SIGUSR1, self.log_counters, "counters")
        tasks = [asyncio.ensure_future(work) for work in
                 (self.link.keep(), self._every(REPORT_EVERY, self._report),
                  self._every(TRIM_EVERY, self._sweep))]
        await self.stopped.wait()
        for task in tasks:
            task.cancel()
        self.log_counters("stopped")

    async def _listen(self) -> int:
        for _ in range(LISTEN_TRIES - 1):
            try:
                return self.connections.listen(*self.placement.listen)
            except OSError as error:
                LOG.warning("can't listen yet", extra={"fields": {"error": error}})
                await asyncio.sleep(LISTEN_RETRY)
        return self.connections.listen(*self.placement.listen)

    @staticmethod
    async def _every(seconds: float, work: Any) -> None:
        while True:
            work()
            await asyncio.sleep(seconds)

    def _sweep(self) -> None:
        self.connections.drop_reset()
        if self.idle_kept < float("inf"):
            self.connections.close_idle(self.idle_kept)

    def leave(self) -> None:
        """The notice to leave. It listens to the end: what lies in the backlog of a closed socket is lost."""
        if self.leaving:
            return
        self.leaving = True
        self.log_counters("leaving")
        self.take(Happening.LEAVE, self.placement.stop_after)
        asyncio.get_running_loop().call_later(self.placement.stop_after + OUTLIVE_STOP, self.stopped.set)

    def log_counters(self, event: str) -> None:
        LOG.info(event, extra={"fields": self.counted()})

    def counted(self) -> dict[str, int]:
        return {**self.counts, **self.reducer.counts, "connections_open": len(self.connections.open),
                "ops_owed": len(self.reducer.owed),
                **{"broken_" + what.replace(" ", "_"): count for what, count in BROKEN.items()}}

    def counters(self) -> str:
        return "".join(f"{name}={count}\n" for name, count in sorted(self.counted().items()))
