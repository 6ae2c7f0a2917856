"""One service instance: joins the layers and has what the reducer asks for carried out."""

from __future__ import annotations

import asyncio
import logging
import math
import resource
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol import reports
from mulleinhatch.instance.request_state_machine.events import Action, Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.runtime import signals
from mulleinhatch.instance.runtime.background_tasks import Tasks
from mulleinhatch.instance.runtime.caller_listener import HttpFront
from mulleinhatch.instance.runtime.instance_settings import InvalidSettingsError, Placement
from mulleinhatch.instance.runtime.interpreter_link import Interpreter
from mulleinhatch.instance.transport.datagrams import Datagrams
from mulleinhatch.invariants import BROKEN

if TYPE_CHECKING:
    from mulleinhatch.admission import AdmissionController
    from mulleinhatch.instance.runtime.dependency_calls import Dependency
    from mulleinhatch.instance.runtime.gossip import FleetSide
    from mulleinhatch.instance.runtime.tracing import Tracing
    from mulleinhatch.instance.traces.recorder import Recorder

LOG = logging.getLogger(__name__)
DESCRIPTORS_KEPT = 16  # of the limit, for all that is no client connection
LINKS_KEPT = 64  # and for calls of a dependency
LISTEN_FOR = 15.0  # seconds: a predecessor killed a moment ago may still hold the address
LISTEN_RETRY, LISTEN_RETRY_MOST = 0.02, 0.25  # seconds between tries, doubled in between, drawn by half
SHUT_BEFORE, SHUT_EVERY = 0.12, 0.02  # seconds before the stop: later than the module's last answers; until all have heard it
OUTLIVE_STOP = 0.5  # seconds: whoever stops us does it at the time told; to end first would lose ops
REPORT_EVERY = reports.LISTED_FOR_S / 6
SWEEP_EVERY = 0.25
TAKEN_OVER = ("interpreter", "directory", "dependency", "stop_after", "descriptors")  # by a reload, of the placement


def connections_held(placement: Placement) -> int:
    descriptors = min(placement.descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    kept = DESCRIPTORS_KEPT + (LINKS_KEPT if placement.dependency else 0)
    return max(1, descriptors - min(kept, descriptors // 2))


class Instance:
    def __init__(self, placement: Placement, placed_anew: Callable[[], Placement] | None = None) -> None:
        self.placement, self.placed_anew = placement, placed_anew or (lambda: placement)
        self.counts: Counter[str] = Counter()
        self.tracing: Tracing | None = None
        self.fleet: FleetSide | None = None
        self.reducer = Reducer(
            placement.deployment,
            placement.op_types,
            placement.tenants,
            placement.seed,
            placement.storms,
            self._recorded if placement.traces else None,
        )
        self.front = front = HttpFront(connections_held(placement), self.take, self.count, self.counters)
        if placement.storms:
            front.turned_back, front.level = self.reducer.reject_early, lambda: self.reducer.advice_level
            front.connections.on_connected = self.reducer.record_connection
        self.interpreter = interpreter = Interpreter(*placement.interpreter, self.take, self.count)
        self.datagrams = Datagrams()
        self.tasks = Tasks(self.count, placement.seed)
        self.dependency: Dependency | None = None
        if placement.dependency:
            from mulleinhatch.instance.runtime.dependency_calls import Dependency

            self.dependency = Dependency(*placement.dependency, self.take, self.count)
        self.port = 0
        self.listed_open: bool | None = None  # not reported until the interpreter is up
        # Callers close their own before: what outlives that was left by one that asks no more.
        self.idle_kept = placement.deployment.get("longest_idle") or math.inf
        self.stopped = asyncio.Event()
        self.errands: dict[Action, Callable[..., None]] = {
            Action.SEND_RESULT: front.ack,
            Action.SEND_REJECTION: front.nack,
            Action.SEND_FAILURE: front.fail,
            Action.SEND_INVALID: front.refuse,
            Action.SEND_HEALTH: front.health,
            Action.ABANDON_CONNECTION: front.abandon,
            Action.GREET_INTERPRETER: interpreter.greet,
            Action.RECONNECT_LINK: interpreter.renew,
            Action.START_RUN: interpreter.run,
            Action.REQUEST_GAUGES: interpreter.gauges,
            Action.START_CALL: self._call,
            Action.RESUME_RUN: interpreter.resolve,
            Action.SKIP_CALL: interpreter.skip,
            Action.SET_TIMER: self._alarm,
            Action.REPORT_AVAILABILITY: self._listing,
            Action.SET_IDLE_TIMEOUT: self._trim,
            Action.BEGIN_SHUTDOWN: self._leave,
            Action.SET_EARLY_REJECTION: front.turn_back,
        }

    def _recorded(self, hatch: AdmissionController, now: float, cold: bool, since: float) -> Recorder:
        """What stands between reducer and module where traces are written; its libraries are loaded for it alone."""
        from mulleinhatch.instance.runtime.tracing import Tracing

        self.tracing = Tracing(self.placement)
        return self.tracing.recorded(hatch, now, cold, since)

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def take(self, event: Event, *told: Any) -> None:
        """The one way in: what happened goes to the reducer, and its errands are run. An op gone wrong must
        not take those of other callers with it, so what was asked for before an error is still done."""
        try:
            self.reducer.reduce(time.monotonic(), event, *told)
        except Exception:
            self._error_inside(event)
        for action, *fields in self.reducer.actions:
            try:
                self.errands[action](*fields)
            except Exception:
                self._error_inside(action)

    def _error_inside(self, where: Event | Action) -> None:
        self.count("errors_inside")
        LOG.exception("error inside", extra={"fields": {"at": where.value}})

    # Errands that are neither the front's nor the interpreter's.

    def _alarm(self, seconds: float, token: int) -> None:
        due = time.monotonic() + seconds
        asyncio.get_running_loop().call_later(seconds, self._alarm_goes_off, token, due)

    def _alarm_goes_off(self, token: int, due: float) -> None:
        late = 1000.0 * (time.monotonic() - due)
        self.counts["alarm_late_ms_most"] = max(self.counts["alarm_late_ms_most"], math.ceil(late))
        self.take(Event.TIMER_EXPIRED, token)

    def _call(self, ref: str, seconds: float, query: bytes) -> None:
        if self.dependency:
            self.dependency.call(ref, seconds, query)
        else:  # nobody told of one, and the run must not wait for ever
            asyncio.get_running_loop().call_soon(self.take, Event.CALL_ENDED, ref, Ending.UNREACHABLE, b"")

    def _listing(self, is_open: bool) -> None:
        self.listed_open = is_open
        self._report()

    def _trim(self, seconds: float) -> None:
        self.idle_kept = seconds

    def _leave(self, seconds: float) -> None:
        """It serves until shortly before the stop, then takes what lies in the backlog, listens no more, and ends what rests:
        a request that came in the moment of the stop would be lost, one that finds nobody is sent elsewhere."""
        self.front.leaving = True
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, seconds - SHUT_BEFORE), self._shut)
        loop.call_later(seconds + OUTLIVE_STOP, self.stopped.set)
        if self.fleet:
            self.fleet.leave()
        self.log_counters("leaving")

    def _shut(self) -> None:
        if not self.stopped.is_set():
            asyncio.get_running_loop().call_later(SHUT_EVERY, self._shut)
            self.front.connections.shut()

    def _report(self) -> None:
        directory = self.placement.directory
        if directory and self.listed_open is not None:
            sent = self.datagrams.send(directory, reports.report(self.placement.name, self.listed_open))
            self.count("reports_sent" if sent else "reports_unsent")

    # Its life.

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.tasks.loop_failed)
        signals.handled(loop, hangup=self.reload, end=self.leave, counters=lambda: self.log_counters("counters"))
        self.port = await self._listen()
        LOG.info("listening", extra={"fields": {"name": self.placement.name, "port": self.port}})
        if self.placement.fleet:
            from mulleinhatch.instance.runtime.gossip import FleetSide

            self.fleet = FleetSide(self.placement, self.reducer, self.take, self.leave)
            self.fleet.listen()
            self.front.fleet = self.fleet.told
            if self.fleet.upkeep:
                await self.fleet.upkeep.listen()
            if self.fleet.spread:
                self.errands[Action.HAND_OVER], self.front.on_hand = self.fleet.spread.hand, self.fleet.spread.came
        self.tasks.keep("link", self.interpreter.link.keep)
        self.tasks.every("reports", REPORT_EVERY, self._report)
        self.tasks.every("sweep", SWEEP_EVERY, self._sweep)
        await self.stopped.wait()
        if self.fleet:
            self.fleet.close()
        if self.tracing:
            self.tracing.close()
        if self.dependency:
            self.dependency.close()
        self.tasks.cancel()
        self.log_counters("stopped")

    async def _listen(self) -> int:
        until, pause = time.monotonic() + LISTEN_FOR, LISTEN_RETRY
        while True:
            try:
                return self.front.connections.listen(*self.placement.listen)
            except OSError as error:
                if time.monotonic() >= until:
                    raise
                LOG.info("can't listen yet", extra={"fields": {"error": error}})
            await asyncio.sleep(pause * (0.5 + self.tasks.draw(1000) / 1000.0))
            pause = min(LISTEN_RETRY_MOST, 2.0 * pause)

    def _sweep(self) -> None:
        if self.tracing:
            self.tracing.beat(time.monotonic())
        self.front.connections.sweep(self.idle_kept)
        if self.dependency:
            self.dependency.sweep()

    def leave(self) -> None:
        self.take(Event.SHUTDOWN_REQUESTED, self.placement.stop_after)

    def reload(self) -> None:
        """The file is checked whole before anything is touched; a faulty one leaves the old in force."""
        try:
            new = self.placed_anew()
        except InvalidSettingsError as error:
            self.count("reloads_refused")
            LOG.error("reload refused", extra={"fields": {"error": error}})
            return
        left = [key for key in new._fields if key not in TAKEN_OVER and getattr(new, key) != getattr(self.placement, key)]
        self.count("reloads")
        LOG.info("reloaded", extra={"fields": {"left_until_restart": ",".join(left)}})
        self.placement = self.placement._replace(**{key: getattr(new, key) for key in TAKEN_OVER})
        self.front.connections.most = connections_held(new)
        self.interpreter.link.move(*new.interpreter)
        if self.dependency and new.dependency:
            self.dependency.move(*new.dependency)
        self._report()

    def log_counters(self, event: str) -> None:
        LOG.info(event, extra={"fields": self.counted()})

    def counted(self) -> dict[str, int]:
        storms = self.reducer.storms.counted() if self.reducer.storms else {}
        traces = self.tracing.keeper.counts if self.tracing else {}
        fleet = self.fleet.counted() if self.fleet else {}
        return {
            **self.counts,
            **self.reducer.counts,
            **storms,
            **traces,
            **fleet,
            "connections_open": len(self.front.connections.open),
            "ops_owed": len(self.reducer.requests),
            "advice_percent": round(100.0 * (self.reducer.advice_level or 0.0)),
            **{"broken_" + what.replace(" ", "_"): count for what, count in BROKEN.items()},
        }

    def counters(self) -> str:
        return "".join(f"{name}={count}\n" for name, count in sorted(self.counted().items()))
