"""The interpreter side: notices of the link become events, actions become commands."""

from __future__ import annotations

import logging

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol import interpreter_messages
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.runtime.callbacks import CounterIncrement, EventHandler
from mulleinhatch.instance.transport.reconnecting_link import ReconnectingLink

LOG = logging.getLogger(__name__)
MAX_UNREADABLE_RUN_ENDS = 1000  # maximum number of remembered request ids
# Log lines by counter.
PROBLEMS = {
    "lines_broken": "the interpreter sent a line that cannot be parsed",
    "notices_broken": "the interpreter sent a notice that cannot be read",
    "notices_unknown": "the interpreter sent a notice of unknown type",
    "interpreter_errors": "the interpreter answered a command with an error",
}


class InterpreterLink:
    """Parses the notices of the interpreter and sends commands to it."""

    def __init__(self, host: str, port: int, handle_event: EventHandler, count: CounterIncrement) -> None:
        self.handle_event, self.count = handle_event, count
        self.logged_problems: set[str] = set()
        self.unreadable_run_ends: set[str] = set()  # request ids whose end arrived unreadable once
        self.link = ReconnectingLink(
            host, port, on_open=lambda: handle_event(Event.LINK_OPENED), on_line=self.on_line, count=count
        )

    def on_line(self, line: bytes) -> None:
        """Handle one line of the link."""
        try:
            message = interpreter_messages.parse_notice(line)
        except (ValueError, RecursionError):
            self._count_problem("lines_broken", {"line": line[:80]})
            self.handle_event(Event.MALFORMED_LINE_RECEIVED)
            return
        try:
            self._handle_notice(message)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            self._count_problem("notices_broken", {"error": repr(error)})
            self._handle_unreadable_run_end(message)

    def _handle_unreadable_run_end(self, message: dict) -> None:
        """Handle a notice of a run's end that cannot be read.

        The interpreter sends it again after a reconnect. If it is unreadable again, the run has ended with an unknown
        result: it fails, so that it does not occupy capacity forever.
        """
        request_id = message.get("rid")
        if message.get("t") != "VALUE" or not isinstance(request_id, str):
            return
        if request_id in self.unreadable_run_ends:
            self.unreadable_run_ends.discard(request_id)
            self.handle_event(Event.UNREADABLE_RUN_END_RECEIVED, request_id)
            return
        if len(self.unreadable_run_ends) >= MAX_UNREADABLE_RUN_ENDS:
            self.unreadable_run_ends.clear()
        self.unreadable_run_ends.add(request_id)
        self.handle_event(Event.MALFORMED_LINE_RECEIVED)

    def _count_problem(self, kind: str, fields: dict) -> None:
        """Count each problem and log the first of its kind: a faulty interpreter must not fill the log."""
        self.count(kind)
        if kind not in self.logged_problems:
            self.logged_problems.add(kind)
            LOG.warning(PROBLEMS[kind], extra={"fields": fields})

    def _handle_notice(self, message: dict) -> None:
        kind, status = message.get("t"), message.get("status")
        if kind == "VALUE":
            ending = interpreter_messages.ENDINGS.get(status, Ending.ERROR)
            self.handle_event(
                Event.RUN_ENDED,
                interpreter_messages.parse_non_negative_int(message["no"]),
                interpreter_messages.parse_text(message["rid"]),
                ending,
                interpreter_messages.parse_result(message, ending is Ending.OK),
            )
        elif kind == "AWAIT":
            self.handle_event(
                Event.CALL_REQUESTED,
                interpreter_messages.parse_non_negative_int(message["no"]),
                interpreter_messages.parse_text(message["rid"]),
                interpreter_messages.parse_result(message, True),
            )
        elif kind == "TOPS":
            self.handle_event(
                Event.GAUGES_RECEIVED,
                interpreter_messages.parse_non_negative_int(message["mark"]),
                interpreter_messages.parse_gauges(message["v"]),
            )
        elif kind == "BANNER":
            since = interpreter_messages.parse_non_negative_float(message["time_ms"]) / 1000.0
            LOG.info("interpreter is ready", extra={"fields": {"status": status, "ms": message["time_ms"]}})
            self.handle_event(Event.INTERPRETER_READY, status == "new", since)
        elif kind == "ERROR":
            self._count_problem("interpreter_errors", {"command": status, "ref": message.get("rid")})
            if status == "APPLY":
                self.handle_event(Event.RUN_REJECTED, interpreter_messages.parse_text(message["rid"]))
        else:
            if kind != "TRACE":
                self._count_problem("notices_unknown", {"t": kind})
            if "no" in message:
                self.handle_event(Event.OTHER_NOTICE_RECEIVED, interpreter_messages.parse_non_negative_int(message["no"]))

    def greet(self, last_notice: int) -> None:
        """Connect, naming the last notice received."""
        self.link.send(interpreter_messages.write_connect(last_notice))

    def renew(self) -> None:
        """Reconnect the link."""
        self.link.reconnect()

    def run(self, request_id: str, op_type: str, body: bytes) -> None:
        """Start a run."""
        self.link.send(interpreter_messages.write_apply(request_id, op_type, body))

    def resolve(self, request_id: str, result: bytes) -> None:
        """Resume a run with the result of its call."""
        self.link.send(interpreter_messages.write_resolve(request_id, result))

    def skip(self, request_id: str) -> None:
        """Resume a run without its call."""
        self.link.send(interpreter_messages.write_skip_call(request_id))

    def gauges(self, mark: int) -> None:
        """Request the gauges."""
        self.link.send(interpreter_messages.write_gauges_request(mark))
