"""The link to the interpreter: numbered notices, lost notices, reconnects."""

from __future__ import annotations

import math

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.request_state_machine.events import Action
from mulleinhatch.instance.request_state_machine.runs import RunTracker

RUN_GAP_S = 1.0  # time without a run end, although runs were active, that counts as an outage of the interpreter
MAX_NOTICE_GAP = 4000  # notices that the interpreter stores; a number further ahead cannot be the next one


class InterpreterSession(RunTracker):
    """Tracks which numbered notices of the interpreter were received, and reconnects when some may be lost."""

    def _link_opened(self, now: float) -> None:
        """Greet the interpreter with the last notice received, so that it sends those after it again."""
        if self.storms:
            self.storms.detector.record_outage(now)
        self.is_link_new = True
        self.actions.append((Action.GREET_INTERPRETER, self.last_notice))
        self.resync_mark = math.inf

    def _malformed_line_received(self, now: float) -> None:
        """Reconnect the link: the start of the next line is unknown, and the interpreter resends missed notices.

        A line that is still malformed after the reconnect is skipped; otherwise nothing after it would ever be read.
        """
        if self.last_notice > self.reconnected_at_notice:
            self.reconnected_at_notice = self.last_notice
            self.actions.append((Action.RECONNECT_LINK,))

    def _other_notice_received(self, now: float, number: int) -> None:
        self._accept_notice(now, number, "")

    def _run_ended(self, now: float, number: int, request_id: str, ending: Ending, result: bytes) -> None:
        if not self._accept_notice(now, number, request_id):
            return
        if self.storms and now - max(self.last_run_end_at, self.idle_until) > RUN_GAP_S:
            self.storms.detector.record_outage(now)
        self.last_run_end_at = now
        self._end_run(now, request_id, ending, result)

    def _accept_notice(self, now: float, number: int, request_id: str) -> bool:
        """Decide whether a numbered notice is new.

        A number far beyond the next one is accepted only for a known request: if it were taken for the last number, no later
        notice would be accepted.

        Returns:
            Whether the notice must be handled.
        """
        if number <= self.last_notice:
            self.counts["notices_repeated"] += 1
            return False
        self.interpreter_message_at = now
        if self.is_link_new and number > self.last_notice + 1:
            self._handle_lost_notices(now)
        self.is_link_new = False
        if number <= self.last_notice + MAX_NOTICE_GAP:
            self.last_notice = number
            return True
        self.counts["notices_strange"] += 1
        return request_id in self.requests

    def _handle_lost_notices(self, now: float) -> None:
        """Handle a gap: while the link was down, the interpreter sent more notices than it stores.

        It is unknown which runs ended. They must not execute again, and those that no client waits for, now or after their
        deadline, must not occupy slots.
        """
        self.counts["notices_lost"] += 1
        for request in list(self.requests.values()):
            request.is_run_end_unknown = request.running and request.request_id not in self.unconfirmed_runs
            if request.is_run_end_unknown and request.connection_id is None:
                self._end_run(now, request.request_id, Ending.ERROR, b"")
