"""The interpreter's side: notices of the link become happenings, errands become commands."""

from __future__ import annotations

import logging
from collections.abc import Callable

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol import link
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.transport.link import Link

LOG = logging.getLogger(__name__)
SPOILT_MOST = 1000


class Interpreter:
    def __init__(self, host: str, port: int, take: Callable[..., None], count: Callable[[str], None]) -> None:
        self.take, self.count = take, count
        self.complained: set[str] = set()
        self.spoilt: set[str] = set()  # runs whose end came spoilt once
        self.link = Link(host, port, on_open=lambda: take(Event.LINK_OPENED), on_line=self.line, count=count)

    def line(self, line: bytes) -> None:
        try:
            told = link.notice(line)
        except (ValueError, RecursionError):
            self._complain("lines_broken", {"line": line[:80]})
            self.take(Event.MALFORMED_LINE_RECEIVED)
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
            self.take(Event.UNREADABLE_RUN_END_RECEIVED, ref)
            return
        if len(self.spoilt) >= SPOILT_MOST:
            self.spoilt.clear()
        self.spoilt.add(ref)
        self.take(Event.MALFORMED_LINE_RECEIVED)

    def _complain(self, what: str, fields: dict) -> None:
        """Counted each time and logged once: a fault of the other side must not fill the log."""
        self.count(what)
        if what not in self.complained:
            self.complained.add(what)
            LOG.warning(what.replace("_", " "), extra={"fields": fields})

    def _notice(self, told: dict) -> None:
        what, status = told.get("t"), told.get("status")
        if what == "VALUE":
            ending = link.ENDINGS.get(status, Ending.ERROR)
            self.take(
                Event.RUN_ENDED,
                link.non_negative_int(told["no"]),
                link.text(told["rid"]),
                ending,
                link.result(told, ending is Ending.OK),
            )
        elif what == "AWAIT":
            self.take(Event.CALL_REQUESTED, link.non_negative_int(told["no"]), link.text(told["rid"]), link.result(told, True))
        elif what == "TOPS":
            self.take(Event.GAUGES_RECEIVED, link.non_negative_int(told["mark"]), link.readings(told["v"]))
        elif what == "BANNER":
            since = link.non_negative_float(told["time_ms"]) / 1000.0
            LOG.info("interpreter up", extra={"fields": {"status": status, "ms": told["time_ms"]}})
            self.take(Event.INTERPRETER_READY, status == "new", since)
        elif what == "ERROR":
            self._complain("interpreter_errors", {"command": status, "ref": told.get("rid")})
            if status == "APPLY":
                self.take(Event.RUN_REJECTED, link.text(told["rid"]))
        else:
            if what != "TRACE":
                self._complain("notices_unknown", {"t": what})
            if "no" in told:
                self.take(Event.OTHER_NOTICE_RECEIVED, link.non_negative_int(told["no"]))

    def greet(self, last_notice: int) -> None:
        self.link.send(link.connect(last_notice))

    def renew(self) -> None:
        self.link.renew()

    def run(self, ref: str, op_type: str, body: bytes) -> None:
        self.link.send(link.apply(ref, op_type, body))

    def resolve(self, ref: str, result: bytes) -> None:
        self.link.send(link.resolve(ref, result))

    def skip(self, ref: str) -> None:
        self.link.send(link.skip_call(ref))

    def gauges(self, mark: int) -> None:
        self.link.send(link.request_gauges(mark))
