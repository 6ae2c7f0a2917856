"""Calls of the dependency that runs wait for."""

from __future__ import annotations

from mulleinhatch.admission.interface import Decision, Ending
from mulleinhatch.instance.request_state_machine.events import Action
from mulleinhatch.instance.request_state_machine.interpreter_session import InterpreterSession


class DependencyCalls(InterpreterSession):
    """Starts, ends and skips the calls that runs wait for."""

    def _call_requested(self, now: float, number: int, request_id: str, call_payload: bytes) -> None:
        """Record that a run waits for a call, which confirms its start, or its resumption after the previous call."""
        request = self.requests.get(request_id)
        if not self._accept_notice(now, number, request_id) or request is None or not request.running:
            return
        self.unconfirmed_runs.pop(request_id, None)
        self.unconfirmed_resumes.pop(request_id, None)
        self.counts["calls_wanted"] += 1
        request.call_payload = call_payload
        self.controller.record_call_request(now, request_id)

    def _call_ended(self, now: float, request_id: str, ending: Ending, result: bytes) -> None:
        """Resume the run with the result of its call."""
        request = self.requests.get(request_id)
        if request is None or not request.running:
            return
        self.controller.record_call_end(now, request_id, ending)
        if ending is Ending.OK and request.connection_id is not None:
            self._resume_run(request_id, (Action.RESUME_RUN, request_id, result))

    def _dependency_share_changed(self, now: float, share: float) -> None:
        self.dependency_share = share
        if self.controller:
            self.controller.set_dependency_share(now, share)

    def _do_call(self, now: float, decision: Decision) -> None:
        if request := self.requests.get(decision.ref):
            self.actions.append((Action.START_CALL, request.request_id, decision.seconds, request.call_payload))

    def _do_skip_call(self, now: float, decision: Decision) -> None:
        self._resume_run(decision.ref, (Action.SKIP_CALL, decision.ref))
