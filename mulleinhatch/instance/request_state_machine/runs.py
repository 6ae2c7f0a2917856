"""Runs of requests: start, end, result, and the answers to their duplicates."""

from __future__ import annotations

from collections.abc import Sequence

from mulleinhatch.admission.interface import Decision, Ending
from mulleinhatch.instance.request_state_machine.events import Action
from mulleinhatch.instance.request_state_machine.state import ReducerState
from mulleinhatch.instance.request_state_machine.tables import PendingRequest
from mulleinhatch.instance.retry_storms.duplicate_detection import RequestFingerprint
from mulleinhatch.instance.retry_storms.request_log import fingerprint
from mulleinhatch.invariants import check

RUN_END_COUNTERS = {ending: "run_" + ending.name.lower() for ending in Ending}


class RunTracker(ReducerState):
    """Starts runs at the interpreter and answers clients when runs end."""

    def _run_rejected(self, now: float, request_id: str) -> None:
        """Handle the interpreter's answer that it does not know the request id.

        No request with this id was received by this machine: the client gets an error, and no measurement counts the run.
        """
        self.counts["runs_unknown"] += 1
        if request := self.requests.get(request_id):
            if request.connection_id is not None:
                self.actions.append((Action.SEND_INVALID, request.connection_id, "op id"))
                self._detach_connection(request)
            request.may_have_run = False
            self._end_run(now, request_id, Ending.MOOT, b"")
            self.keys.forget(request_id)  # nothing ran for its key

    def _unreadable_run_end_received(self, now: float, request_id: str) -> None:
        """Fail a run whose end notice arrived twice in a malformed form."""
        self.counts["runs_spoilt"] += 1
        self._end_run(now, request_id, Ending.ERROR, b"")

    def _gauges_received(self, now: float, mark: int, gauge_readings: Sequence[float]) -> None:
        """Confirm the runs that were started before these gauges were requested.

        The interpreter answers in order, so a run that was started before the gauges were requested has reached it, unless the
        link was lost in between: a run still unconfirmed when the first gauges after a reconnect arrive is started again.
        """
        if mark > self.last_gauge_mark:
            self.counts["notices_strange"] += 1  # never requested: the runs that they would confirm may still be in transit
            return
        self.gauge_readings, self.gauges_read_at, self.interpreter_message_at = gauge_readings, now, now
        confirmed_runs = [request_id for request_id, last_mark in self.unconfirmed_runs.items() if last_mark < mark]
        confirmed_resumes = [request_id for request_id, (last_mark, _) in self.unconfirmed_resumes.items() if last_mark < mark]
        if mark < self.resync_mark:
            return
        for request_id in confirmed_runs:
            del self.unconfirmed_runs[request_id]
            if self.resync_mark:
                self.counts["runs_asked_again"] += 1
                self._start_run(self.requests[request_id])
        for request_id in confirmed_resumes:
            _, action = self.unconfirmed_resumes.pop(request_id)
            if self.resync_mark:
                self.counts["calls_told_again"] += 1
                self._resume_run(request_id, action)
        self.resync_mark = 0

    def _do_run(self, now: float, decision: Decision) -> None:
        """Start the run of an admitted request."""
        request = self.requests.get(decision.ref)
        check(request and not request.running, "only an op that is held is run")
        if request:
            if not self.run_count:
                self.idle_until = now
            self.run_count += 1
            request.running, request.run_started_at, request.may_have_run = True, now, True
            if self.storms and request.request_type in self.non_retryable_types:
                self.storms.executed.add(now, request.request_id, RequestFingerprint(*request.fingerprints), request.deadline)
            self._start_run(request)

    def _do_reject(self, now: float, decision: Decision) -> None:
        """Reject a request that never ran."""
        request = self.requests.get(decision.ref)
        check(request and not request.running and request.connection_id is not None, "only an op that never ran is nacked")
        if request:
            seconds = decision.seconds
            if self.storms:
                self.storms.duplicates.record_rejected(now, request.fingerprints)
                if seconds > 0.0:
                    seconds = self.storms.retry_after(now, seconds, False)
            self._respond(now, request, Action.SEND_REJECTION, seconds, decision.flag)

    def _do_fail(self, now: float, decision: Decision) -> None:
        """Answer with a failure; a run whose end notice was lost is ended as well, or it would occupy its slot forever."""
        request = self.requests.get(decision.ref)
        check(request and request.connection_id is not None, "only an op that is owed an answer fails")
        if request:
            self._respond(now, request, Action.SEND_FAILURE)
            if request.is_run_end_unknown and request.running:
                self._end_run(now, request.request_id, Ending.ERROR, b"")

    def _do_keep(self, now: float, decision: Decision) -> None:
        """Remember the request by its idempotency key."""
        if (request := self.requests.get(decision.ref)) and request.key:
            fingerprints = fingerprint(0, request.request_type, request.tenant, request.key, request.body)
            self.keys.remember(
                request.key_scope,
                request.request_id,
                fingerprints,
                now + decision.seconds,
                self.duplicate_windows[request.request_type][1],
            )

    def _do_forget(self, now: float, decision: Decision) -> None:
        self.keys.forget(decision.ref)

    def _do_answer_from(self, now: float, decision: Decision) -> None:
        if request := self.requests.get(decision.ref):
            self._answer_duplicate(now, request)

    def _start_run(self, request: PendingRequest) -> None:
        self.unconfirmed_runs[request.request_id] = self.last_gauge_mark
        self.actions.append((Action.START_RUN, request.request_id, request.request_type, request.body))

    def _resume_run(self, request_id: str, action: tuple) -> None:
        """Resume a run; the action is repeated until gauges confirm it, because a run whose resumption is lost never ends."""
        self.unconfirmed_resumes[request_id] = self.last_gauge_mark, action
        self.actions.append(action)

    def _end_run(self, now: float, request_id: str, ending: Ending, result: bytes) -> None:
        """Record the end of a run and answer its client and the duplicates that wait for it."""
        request = self.requests.get(request_id)
        self.unconfirmed_runs.pop(request_id, None)
        self.unconfirmed_resumes.pop(request_id, None)
        if request is None or not request.running:
            self.counts["endings_unexpected"] += 1
            return
        request.running = False
        self.run_count -= 1
        if ending is Ending.MOOT and self.storms:
            self.storms.executed.remove(request_id)
        if ending is Ending.STOPPED and request.connection_id is not None:
            ending = Ending.ERROR  # not stopped by this instance; the controller would treat it as paused
        self.counts[RUN_END_COUNTERS[ending]] += 1
        if self.on_run_ended and ending in (Ending.OK, Ending.ERROR):
            self.on_run_ended(
                now,
                now - request.run_started_at,
                request.handover_data[2] if request.handover_data else 0.0,
                ending is Ending.ERROR,
            )
        self._record_run_end(now, request, ending, result)
        for follower in self.followers.pop(request_id, ()):
            if follower in self.requests:
                self._answer_duplicate(now, self.requests[follower])

    def _answer_duplicate(self, now: float, request: PendingRequest) -> None:
        """Answer from the result of the original request, at once or when its run ends.

        If the original was dropped before it ran, another duplicate may have replaced it.
        """
        originals = (request.duplicate_of, self.keys.find_original(request.key_scope, request.arrived_at, now))
        for original in originals:
            if (result := self.keys.result(original)) is not None:
                return self._record_run_end(now, request, Ending.OK, result)
        for original in originals:
            if original in self.requests and self.requests[original].running:
                self.followers.setdefault(original, []).append(request.request_id)
                return
        self._record_run_end(now, request, Ending.ERROR, b"")

    def _record_run_end(self, now: float, request: PendingRequest, ending: Ending, result: bytes) -> None:
        """Report the end of a request's own run, or of its original's run, to the admission controller and the client."""
        self.controller.record_run_end(now, request.request_id, ending)
        self._respond_to_run(now, request, ending, result)

    def _respond_to_run(self, now: float, request: PendingRequest, ending: Ending, result: bytes) -> None:
        """Store the result under the key and answer the client."""
        if ending is Ending.OK:
            self.keys.store_result(request.request_id, result)
            if self.storms and request.connection_id is not None:
                self.storms.duplicates.record_served(now, request.fingerprints)
                self.storms.executed.record_response(now, request.request_id, request.connection_id)
            self._respond(now, request, Action.SEND_RESULT, result)
        else:
            self._respond(now, request, Action.SEND_FAILURE)
