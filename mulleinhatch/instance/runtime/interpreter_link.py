"""The interpreter's side: notices of the link become happenings, errands become commands."""

from __future__ import annotations

import logging
from collections.abc import Callable

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol import interpreter_messages
from mulleinhatch.instance.request_state_machine.reducer import Happening
from mulleinhatch.instance.transport.reconnecting_link import ReconnectingLink

LOG = logging.getLogger(__name__)
SPOILT_MOST = 1000


class Interpreter:
    def __init__(self, host: str, port: int, take: Callable[..., None], count: Callable[[str], None]) -> None:
        self.take, self.count = take, count
        self.complained: set[str] = set()
        self.spoilt: set[str] = set()  # runs whose end came spoilt once
        self.link = ReconnectingLink(host, port, on_open=lambda: take(Happening.LINK_OPENED), on_line=self.line, count=count)

    def line(self, line: bytes) -> None:
        try:
            told = interpreter_messages.parse_notice(line)
        except (ValueError, RecursionError):
            self._complain("lines_broken", {"line": line[:80]})
            self.take(Happening.LINE_BROKEN)
            return
        try:
            self._notice(told)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            self._complain("notices_broken", {"error": repr(error)})
            self._spoilt(told)

    def _spoilt(self, told: dict) -> None:
        """It comes again, perhaps whole, when the link is made anew. An end that is spoilt again is an end still: its run
        fails, whose result nobody can know, and does not keep its place for good."""
        ref = told.get("rid")
        if told.get("t") != "VALUE" or not isinstance(ref, str):
            return
        if ref in self.spoilt:
            self.spoilt.discard(ref)
            self.take(Happening.RUN_SPOILT, ref)
            return
        if len(self.spoilt) >= SPOILT_MOST:
            self.spoilt.clear()
        self.spoilt.add(ref)
        self.take(Happening.LINE_BROKEN)

    def _complain(self, what: str, fields: dict) -> None:
        """Counted each time and logged once: a fault of the other side must not fill the log."""
        self.count(what)
        if what not in self.complained:
            self.complained.add(what)
            LOG.warning(what.replace("_", " "), extra={"fields": fields})

    def _notice(self, told: dict) -> None:
        what, status = told.get("t"), told.get("status")
        if what == "VALUE":
            ending = interpreter_messages.ENDINGS.get(status, Ending.ERROR)
            self.take(
                Happening.RUN_ENDED,
                interpreter_messages.parse_non_negative_int(told["no"]),
                interpreter_messages.parse_text(told["rid"]),
                ending,
                interpreter_messages.parse_result(told, ending is Ending.OK),
            )
        elif what == "AWAIT":
            self.take(
                Happening.CALL_WANTED,
                interpreter_messages.parse_non_negative_int(told["no"]),
                interpreter_messages.parse_text(told["rid"]),
                interpreter_messages.parse_result(told, True),
            )
        elif what == "TOPS":
            self.take(
                Happening.GAUGES,
                interpreter_messages.parse_non_negative_int(told["mark"]),
                interpreter_messages.parse_gauges(told["v"]),
            )
        elif what == "BANNER":
            since = interpreter_messages.parse_non_negative_float(told["time_ms"]) / 1000.0
            LOG.info("interpreter up", extra={"fields": {"status": status, "ms": told["time_ms"]}})
            self.take(Happening.INTERPRETER_UP, status == "new", since)
        elif what == "ERROR":
            self._complain("interpreter_errors", {"command": status, "ref": told.get("rid")})
            if status == "APPLY":
                self.take(Happening.RUN_UNKNOWN, interpreter_messages.parse_text(told["rid"]))
        else:
            if what != "TRACE":
                self._complain("notices_unknown", {"t": what})
            if "no" in told:
                self.take(Happening.NOTICE_PASSED, interpreter_messages.parse_non_negative_int(told["no"]))

    def greet(self, last_notice: int) -> None:
        self.link.send(interpreter_messages.write_connect(last_notice))

    def renew(self) -> None:
        self.link.reconnect()

    def run(self, ref: str, op_type: str, body: bytes) -> None:
        self.link.send(interpreter_messages.write_apply(ref, op_type, body))

    def resolve(self, ref: str, result: bytes) -> None:
        self.link.send(interpreter_messages.write_resolve(ref, result))

    def skip(self, ref: str) -> None:
        self.link.send(interpreter_messages.write_skip_call(ref))

    def gauges(self, mark: int) -> None:
        self.link.send(interpreter_messages.write_gauges_request(mark))
