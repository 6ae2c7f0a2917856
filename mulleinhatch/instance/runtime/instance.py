"""One service instance: creates its parts and performs the actions of the reducer."""

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
from mulleinhatch.instance.protocol import directory_reports
from mulleinhatch.instance.request_state_machine.events import Action, Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.runtime import signals
from mulleinhatch.instance.runtime.background_tasks import BackgroundTasks
from mulleinhatch.instance.runtime.caller_listener import ClientListener
from mulleinhatch.instance.runtime.instance_settings import InstanceSettings, InvalidSettingsError
from mulleinhatch.instance.runtime.interpreter_link import InterpreterLink
from mulleinhatch.instance.transport.datagrams import DatagramSender
from mulleinhatch.invariants import VIOLATIONS

if TYPE_CHECKING:
    from mulleinhatch.admission import AdmissionController
    from mulleinhatch.instance.runtime.dependency_calls import DependencyClient
    from mulleinhatch.instance.runtime.gossip import GossipService
    from mulleinhatch.instance.runtime.tracing import Tracing
    from mulleinhatch.instance.traces.recorder import Recorder

LOG = logging.getLogger(__name__)
RESERVED_DESCRIPTORS = 16  # descriptors that are not for client connections
RESERVED_DEPENDENCY_CONNECTIONS = 64  # further ones, if there is a dependency
LISTEN_TIMEOUT_S = 15.0  # seconds; a predecessor that was just killed may still hold the address
MIN_LISTEN_PAUSE_S, MAX_LISTEN_PAUSE_S = 0.02, 0.25  # seconds between attempts; doubled each time, with random jitter
CLOSE_LISTENER_BEFORE_STOP_S = 0.12  # seconds; after the last answers of the admission controller
CLOSE_LISTENER_INTERVAL_S = 0.02  # seconds; repeated until the stop, for connections that become idle
EXIT_AFTER_STOP_S = (
    0.5  # seconds; the supervisor stops the process at the announced time, and an earlier exit would lose requests
)
REPORT_INTERVAL_S = directory_reports.ENTRY_LIFETIME_S / 6
SWEEP_INTERVAL_S = 0.25
RELOADABLE_FIELDS = ("interpreter", "directory", "dependency", "stop_after", "descriptors")  # fields that a reload changes


def max_connections(settings: InstanceSettings) -> int:
    """Return the number of client connections that the limit on descriptors allows."""
    descriptors = min(settings.descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    reserved = RESERVED_DESCRIPTORS + (RESERVED_DEPENDENCY_CONNECTIONS if settings.dependency else 0)
    return max(1, descriptors - min(reserved, descriptors // 2))


class Instance:
    """A service instance: client listener, interpreter link, reducer, and the optional parts.

    Args:
        settings: Settings of the instance.
        read_settings: Reads the settings again, for a reload.
    """

    def __init__(self, settings: InstanceSettings, read_settings: Callable[[], InstanceSettings] | None = None) -> None:
        self.settings, self.read_settings = settings, read_settings or (lambda: settings)
        self.counts: Counter[str] = Counter()
        self.tracing: Tracing | None = None
        self.gossip: GossipService | None = None
        self.reducer = Reducer(
            settings.deployment,
            settings.op_types,
            settings.tenants,
            settings.seed,
            settings.storms,
            self._record_decisions if settings.traces else None,
        )
        self.listener = listener = ClientListener(
            max_connections(settings),
            self.handle_event,
            self.count,
            self.counters_text,
            self.reducer.reject_early if settings.storms else None,
            lambda: self.reducer.advice_level,
        )
        if settings.storms:
            listener.on_connected = self.reducer.record_connection
        self.interpreter = interpreter = InterpreterLink(*settings.interpreter, self.handle_event, self.count)
        self.datagrams = DatagramSender()
        self.tasks = BackgroundTasks(self.count, settings.seed)
        self.dependency: DependencyClient | None = None
        if settings.dependency:
            from mulleinhatch.instance.runtime.dependency_calls import DependencyClient

            self.dependency = DependencyClient(*settings.dependency, self.handle_event, self.count)
        self.port = 0
        self.is_listed_open: bool | None = None  # not reported until the interpreter is ready
        # Clients close idle connections earlier, so one that is idle longer belongs to a client that is gone.
        self.idle_timeout_s = settings.deployment.get("longest_idle") or math.inf
        self.stopped = asyncio.Event()
        self.action_handlers: dict[Action, Callable[..., None]] = {
            Action.SEND_RESULT: listener.send_result,
            Action.SEND_REJECTION: listener.send_rejection,
            Action.SEND_FAILURE: listener.send_failure,
            Action.SEND_INVALID: listener.send_invalid,
            Action.SEND_HEALTH: listener.send_health,
            Action.ABANDON_CONNECTION: listener.abandon_connection,
            Action.GREET_INTERPRETER: interpreter.greet,
            Action.RECONNECT_LINK: interpreter.renew,
            Action.START_RUN: interpreter.run,
            Action.REQUEST_GAUGES: interpreter.gauges,
            Action.START_CALL: self._start_call,
            Action.RESUME_RUN: interpreter.resolve,
            Action.SKIP_CALL: interpreter.skip,
            Action.SET_TIMER: self._set_timer,
            Action.REPORT_AVAILABILITY: self._report_availability,
            Action.SET_IDLE_TIMEOUT: self._set_idle_timeout,
            Action.BEGIN_SHUTDOWN: self._begin_shutdown,
            Action.SET_EARLY_REJECTION: listener.set_early_rejection,
        }

    def _record_decisions(self, controller: AdmissionController, now: float, is_cold_start: bool, since: float) -> Recorder:
        """Wrap the admission controller in a recorder. Its libraries are imported only where traces are written."""
        from mulleinhatch.instance.runtime.tracing import Tracing

        self.tracing = Tracing(self.settings)
        return self.tracing.record_decisions(controller, now, is_cold_start, since)

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counts[name] += 1

    def handle_event(self, event: Event, *arguments: Any) -> None:
        """Pass an event to the reducer and perform the actions.

        An exception in one request must not affect those of other clients: the actions made before it are still performed.
        """
        try:
            self.reducer.reduce(time.monotonic(), event, *arguments)
        except Exception:
            self._record_internal_error(event)
        for action, *fields in self.reducer.actions:
            try:
                self.action_handlers[action](*fields)
            except Exception:
                self._record_internal_error(action)

    def _record_internal_error(self, source: Event | Action) -> None:
        self.count("errors_inside")
        LOG.exception("unexpected exception", extra={"fields": {"at": source.name.lower()}})

    # Actions that neither the listener nor the interpreter link performs.

    def _set_timer(self, seconds: float, token: int) -> None:
        due = time.monotonic() + seconds
        asyncio.get_running_loop().call_later(seconds, self._timer_expired, token, due)

    def _timer_expired(self, token: int, due: float) -> None:
        late_ms = 1000.0 * (time.monotonic() - due)
        self.counts["alarm_late_ms_most"] = max(self.counts["alarm_late_ms_most"], math.ceil(late_ms))
        self.handle_event(Event.TIMER_EXPIRED, token)

    def _start_call(self, request_id: str, seconds: float, payload: bytes) -> None:
        if self.dependency:
            self.dependency.call(request_id, seconds, payload)
        else:  # no dependency is configured; the run must not wait forever
            asyncio.get_running_loop().call_soon(self.handle_event, Event.CALL_ENDED, request_id, Ending.UNREACHABLE, b"")

    def _report_availability(self, is_open: bool) -> None:
        self.is_listed_open = is_open
        self._send_report()

    def _set_idle_timeout(self, seconds: float) -> None:
        self.idle_timeout_s = seconds

    def _begin_shutdown(self, seconds: float) -> None:
        """Serve until shortly before the stop, then accept what is in the backlog, stop listening and close idle connections.

        A request that arrived at the moment of the stop would be lost; one that finds no listener is sent to another instance.
        """
        self.listener.is_leaving = True
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, seconds - CLOSE_LISTENER_BEFORE_STOP_S), self._close_listener)
        loop.call_later(seconds + EXIT_AFTER_STOP_S, self.stopped.set)
        if self.gossip:
            self.gossip.leave()
        self.log_counters("draining before the stop")

    def _close_listener(self) -> None:
        if not self.stopped.is_set():
            asyncio.get_running_loop().call_later(CLOSE_LISTENER_INTERVAL_S, self._close_listener)
            self.listener.connections.shut_down()

    def _send_report(self) -> None:
        """Report to the directory whether this instance is available."""
        directory = self.settings.directory
        if directory and self.is_listed_open is not None:
            sent = self.datagrams.send(directory, directory_reports.write_report(self.settings.name, self.is_listed_open))
            self.count("reports_sent" if sent else "reports_unsent")

    # Life cycle.

    async def serve(self) -> None:
        """Run until the stop."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.tasks.handle_loop_exception)
        signals.handle_signals(loop, hangup=self.reload, end=self.leave, counters=lambda: self.log_counters("counters"))
        self.port = await self._listen()
        LOG.info("listening for clients", extra={"fields": {"name": self.settings.name, "port": self.port}})
        if self.settings.fleet:
            from mulleinhatch.instance.runtime.gossip import GossipService

            self.gossip = GossipService(self.settings, self.reducer, self.handle_event, self.leave)
            self.gossip.listen()
            self.listener.serve_fleet_status(self.gossip.status_json)
            if self.gossip.maintenance:
                await self.gossip.maintenance.listen()
            if self.gossip.load_balancing:
                self.action_handlers[Action.HAND_OVER] = self.gossip.load_balancing.hand_over
                self.listener.accept_handovers(self.gossip.load_balancing.accept_handover)
        self.tasks.run_forever("link", self.interpreter.link.run)
        self.tasks.run_every("reports", REPORT_INTERVAL_S, self._send_report)
        self.tasks.run_every("sweep", SWEEP_INTERVAL_S, self._sweep)
        await self.stopped.wait()
        if self.gossip:
            self.gossip.close()
        if self.tracing:
            self.tracing.close()
        if self.dependency:
            self.dependency.close()
        self.tasks.cancel()
        self.log_counters("stopped")

    async def _listen(self) -> int:
        """Listen for clients; retry while another process still has the address."""
        until, pause = time.monotonic() + LISTEN_TIMEOUT_S, MIN_LISTEN_PAUSE_S
        while True:
            try:
                return self.listener.connections.listen(*self.settings.listen)
            except OSError as error:
                if time.monotonic() >= until:
                    raise
                LOG.info("can't listen yet, retrying", extra={"fields": {"error": error}})
            await asyncio.sleep(pause * (0.5 + self.tasks.draw(1000) / 1000.0))
            pause = min(MAX_LISTEN_PAUSE_S, 2.0 * pause)

    def _sweep(self) -> None:
        if self.tracing:
            self.tracing.flush_if_due(time.monotonic())
        self.listener.connections.sweep(self.idle_timeout_s)
        if self.dependency:
            self.dependency.sweep()

    def leave(self) -> None:
        """Request the shutdown."""
        self.handle_event(Event.SHUTDOWN_REQUESTED, self.settings.stop_after)

    def reload(self) -> None:
        """Read the settings again. They are validated completely first; invalid ones change nothing."""
        try:
            new = self.read_settings()
        except InvalidSettingsError as error:
            self.count("reloads_refused")
            LOG.error("reload refused, the old settings stay in force", extra={"fields": {"error": error}})
            return
        unchanged_until_restart = [
            key for key in new._fields if key not in RELOADABLE_FIELDS and getattr(new, key) != getattr(self.settings, key)
        ]
        self.count("reloads")
        LOG.info("settings reloaded", extra={"fields": {"left_until_restart": ",".join(unchanged_until_restart)}})
        self.settings = self.settings._replace(**{key: getattr(new, key) for key in RELOADABLE_FIELDS})
        self.listener.connections.max_connections = max_connections(new)
        self.interpreter.link.change_address(*new.interpreter)
        if self.dependency and new.dependency:
            self.dependency.set_address(*new.dependency)
        self._send_report()

    def log_counters(self, event: str) -> None:
        """Log all counters."""
        LOG.info(event, extra={"fields": self.counters()})

    def counters(self) -> dict[str, int]:
        """Return all counters and gauges by name."""
        storms = self.reducer.storms.counters() if self.reducer.storms else {}
        traces = self.tracing.writer.counts if self.tracing else {}
        gossip = self.gossip.counters() if self.gossip else {}
        return {
            **self.counts,
            **self.reducer.counts,
            **storms,
            **traces,
            **gossip,
            "connections_open": len(self.listener.connections.open),
            "ops_owed": len(self.reducer.requests),
            "advice_percent": round(100.0 * (self.reducer.advice_level or 0.0)),
            **{"broken_" + name.replace(" ", "_"): count for name, count in VIOLATIONS.items()},
        }

    def counters_text(self) -> str:
        """Return all counters as lines of name=value."""
        return "".join(f"{name}={count}\n" for name, count in sorted(self.counters().items()))
