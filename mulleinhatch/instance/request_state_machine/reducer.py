"""The request state machine: one event goes in, the actions to perform come out.

No I/O and no clock: the caller passes the monotonic time in seconds with each event. Requests that wait for an answer are
identified by the number of their connection.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Decision, Deployment, Ending, Verb
from mulleinhatch.instance.request_state_machine.arrivals import RequestArrivals
from mulleinhatch.instance.request_state_machine.dependency_calls import DependencyCalls
from mulleinhatch.instance.request_state_machine.events import Action, Event
from mulleinhatch.instance.request_state_machine.peers import PeerHandover
from mulleinhatch.instance.request_state_machine.storm_control import RetryStormControl
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.invariants import check

GAUGES_VALID_S = 1.0  # older gauges do not reflect the current load of the cores


class Reducer(RequestArrivals, RetryStormControl, DependencyCalls, PeerHandover):
    """The only place where the state of a service instance changes.

    `reduce` passes an event to the admission controller, takes the controller's decisions until there are none, and returns
    the actions that carry them out, in order. Actions are plain tuples of an `Action` and its fields: every request causes
    several, and creating an object for each would cost processor time.

    Args:
        deployment: Settings of the instance and the request types.
        request_types: Names of the request types, in the order of `deployment["op_types"]`.
        tenants: Names of the tenants; empty if requests carry no tenant.
        seed: Seed of the random draws.
        storms: Bounds of the retry storm detection; None disables it.
        record: Wraps the admission controller, to record its calls. Called with the controller, the time, whether the
            interpreter started cold, and when it started.

    >>> reducer = Reducer({"op_types": [{}], "cores": 1}, ["read"], [], seed=7)
    >>> def happens(now, *arguments):
    ...     return [(action.value, *more) for action, *more in reducer.reduce(now, *arguments)]
    >>> happens(0.0, Event.INTERPRETER_READY, False, 9.0)
    [('report availability', True), ('request gauges', 1)]
    >>> happens(0.0, Event.REQUEST_RECEIVED, 4, "r1", "read", "", 0.0, 2.0, 1, 0.1, 8.0, False, "", b"in")
    [('start run', 'r1', 'read', b'in'), ('request gauges', 2), ('set timer', 0.1, 1)]
    >>> happens(1.2, Event.RUN_ENDED, 1, "r1", Ending.OK, b"out")
    [('ack', 4, b'out', None)]
    """

    def __init__(
        self,
        deployment: Deployment,
        request_types: Sequence[str],
        tenants: Sequence[str],
        seed: int,
        storms: StormBounds | None = None,
        record: Callable[[AdmissionController, float, bool, float], Any] | None = None,
    ) -> None:
        super().__init__(deployment, request_types, tenants, seed, storms, record)
        self.event_handlers = {event: getattr(self, "_" + event.name.lower()) for event in Event}
        self.decision_handlers = {
            verb: ("decided_" + verb.value.replace(" ", "_"), getattr(self, "_do_" + verb.name.lower(), self._do_unsupported))
            for verb in Verb
        }

    def reduce(self, now: float, event: Event, *arguments: object) -> list[tuple]:
        """Handle one event.

        Args:
            now: Monotonic time in seconds.
            event: What happened.
            arguments: As listed beside the members of `Event`.

        Returns:
            The actions to perform, in order. They also stay in `actions` until the next event, so that a caller that catches
            an exception from here can still perform the actions that preceded it.
        """
        self.actions = []
        self.event_handlers[event](now, *arguments)
        if self.storms and self.controller:
            self._update_storm_state(now)
            if self.parked_retries:
                self._resolve_parked_retries(now)
        while self.controller and (decision := self.controller.next_decision(now)):
            name, handle_decision = self.decision_handlers[decision.verb]
            self.counts[name] += 1
            handle_decision(now, decision)
        return self.actions

    def _interpreter_ready(self, now: float, cold: bool, since: float) -> None:
        """Create the admission controller, or handle a reconnect or a restart of the interpreter.

        The gauges requested here arrive after all missed notices; only then is it known which of the last runs never reached
        the interpreter. Gauges requested before the interpreter is ready would never arrive.
        """
        if self.controller is None:
            if self.record:
                # The recording keeps microseconds, and a replay must see the same times.
                now, since = round(now, 6), round(since, 6)
            self.controller = AdmissionController({**self.deployment, "fresh_start": cold}, self.seed, now - since)
            if cold:
                self.warmed_up_at = now - since + self.deployment.get("cold_for", 0.0)
            if self.record:
                self.controller = self.record(self.controller, now, cold, since)
            if self.stop_at is not None:
                self.controller.begin_drain(now, self.stop_at - now)
            for (tenant, _), budget in list(self.tenant_budgets.items()):
                self._tenant_budget_changed(now, tenant, *budget)
            if self.peer_load:
                self._peer_load_changed(now, *self.peer_load)
            if self.dependency_share is not None:
                self._dependency_share_changed(now, self.dependency_share)
        elif now - since > self.interpreter_message_at:
            # The interpreter started after its last message was received, so it is a new process.
            if self.last_notice:
                # The greeting named a notice of the previous process; the new one would skip its notices up to that number.
                self.actions.append((Action.RECONNECT_LINK,))
            self.last_notice, self.reconnected_at_notice, self.interpreter_message_at = 0, -1, now
            for request in [request for request in self.requests.values() if request.running]:
                self._end_run(now, request.request_id, Ending.ERROR, b"")
        self.actions.append((Action.REPORT_AVAILABILITY, self.healthy))
        self._request_gauges()
        self.resync_mark = self.last_gauge_mark

    def _timer_expired(self, now: float, token: int) -> None:
        """Wake the admission controller, with the gauges if they are recent."""
        if self.controller and token:
            fresh = now - self.gauges_read_at <= GAUGES_VALID_S
            self.controller.handle_wakeup(now, token, self.gauge_readings if fresh else ())

    def _shutdown_requested(self, now: float, grace: float) -> None:
        """Start draining. Only the first shutdown request counts, because it sets the time of the stop."""
        if self.stop_at is not None:
            return  # already draining
        self.healthy, self.stop_at = False, now + grace
        self.actions.append((Action.BEGIN_SHUTDOWN, grace))
        if self.controller:
            self.controller.begin_drain(now, grace)

    def _do_health(self, now: float, decision: Decision) -> None:
        self.healthy = decision.flag
        self.actions.append((Action.REPORT_AVAILABILITY, decision.flag))

    def _do_advise(self, now: float, decision: Decision) -> None:
        self.advice_level = decision.level

    def _do_trim(self, now: float, decision: Decision) -> None:
        self.actions.append((Action.SET_IDLE_TIMEOUT, decision.seconds))

    def _do_wake(self, now: float, decision: Decision) -> None:
        """Set the timer and request the gauges now: waiting for them when the timer expires would delay answers."""
        self._request_gauges()
        self.actions.append((Action.SET_TIMER, decision.seconds, decision.ref))

    def _do_unsupported(self, now: float, decision: Decision) -> None:
        """Report a decision that has no corresponding action."""
        check(False, f"the link has no word for {decision.verb.value}")
