"""The callers' side over HTTP: requests become happenings, errands become answers.

Another protocol is another front with the same errands.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from mulleinhatch.instance.protocol import http_requests, http_responses
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.retry_storms.retry_admission import PUNCTUAL
from mulleinhatch.instance.transport.connections import Connections
from mulleinhatch.networking import http_grammar

LOG = logging.getLogger(__name__)
UNFIT = {"tenant": 400, "id in use": 409, "key in use": 422}  # the status of what is no op for us, 404 for all else


class HttpFront:
    def __init__(self, most: int, take: Callable[..., None], count: Callable[[str], None], counters: Callable[[], str]) -> None:
        self.take, self.count, self.counters = take, count, counters
        self.connections = Connections(
            most,
            http_requests.RequestReader,
            time.monotonic,
            on_message=self.request,
            on_broken=self.broken,
            on_late=self.late,
            on_lost=self.lost,
            count=count,
        )
        self.closing: set[int] = set()  # places whose caller asked that the connection be closed
        self.leaving = False
        self.turned_back: Callable[..., float | None] | None = None
        self.level: Callable[[], float | None] = lambda: None
        self.on_hand: Callable[[bytes], None] | None = None  # told of an op that came from a peer, by its offer
        self.fleet: Callable[[], bytes] | None = None  # what is known of the others, as JSON

    def request(self, place: int, method: bytes, path: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        if fields.get(b"connection", b"").lower() == b"close":
            self.closing.add(place)
        try:
            self._route(place, method, path.partition(b"?")[0], fields, body)
        except http_grammar.BadRequestError as error:
            self._write(place, self._blame(place, error))

    def _route(self, place: int, method: bytes, path: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        if path.startswith(http_requests.REQUEST_PATH):
            if method != b"POST":
                raise http_grammar.BadRequestError("method", 405)
            *told, rank = http_requests.parse_request(path, fields, time.time())
            handed = http_requests.HANDOVER_FIELD in fields and self.on_hand is not None
            if handed:
                self.on_hand(fields[http_requests.HANDOVER_FIELD])
            self.take(Event.REQUEST_RECEIVED, place, *told, body, rank, handed)
        elif path == http_requests.HEALTH_PATH:
            self.take(Event.HEALTH_CHECK_RECEIVED, place)
        elif path == http_requests.COUNTERS_PATH:
            self._write(place, 200, self.counters().encode())
        elif path == http_requests.FLEET_PATH and self.fleet:
            self._write(place, 200, self.fleet())
        else:
            raise http_grammar.BadRequestError("path", 404)

    def _blame(self, place: int, error: http_grammar.BadRequestError) -> int:
        self.connections.blame(place)
        self.count("bad_" + error.cause.replace(" ", "_"))
        LOG.debug("bad request", extra={"fields": {"cause": error.cause, "status": error.status}})
        return error.status

    def broken(self, place: int, error: http_grammar.BadRequestError) -> None:
        """Where the next request would begin is not known: the connection ends with this answer."""
        self.closing.add(place)
        self._write(place, self._blame(place, error))

    def late(self, place: int) -> None:
        self.broken(place, http_grammar.BadRequestError("slow sender", 408))

    def lost(self, place: int) -> None:
        self.closing.discard(place)
        self.take(Event.CLIENT_DISCONNECTED, place)

    def ack(self, place: int, result: bytes, level: float | None) -> None:
        self._write(place, 200, result, level=level)

    def turn_back(self, shed: bool) -> None:
        """Whether tries may be nacked before they are read in full."""
        self.connections.turn_back = self._look if shed and self.turned_back else None

    def _look(self, place: int, now: float, data: bytes, back_at: float) -> tuple[bytes, float] | None:
        """The nack of a try that is turned back, and when its caller is told to come back. `back_at` is when the
        connection's last answer told it to; who never heard of such a time is neither punctual nor stubborn."""
        told = None if self.leaving else http_requests.parse_plain_request(data)
        if told is None:
            return None
        soon = now < back_at - PUNCTUAL
        seconds = self.turned_back(
            now,
            *told,
            is_punctual=back_at > 0.0 and not soon,
            is_too_early=soon,
            connection_id=place,
            figures=partial(http_requests.parse_plain_figures, data),
        )
        if seconds is None:
            return None
        self.count("answers_429")
        return http_responses.write_retry_rejection(self.level(), seconds), now + seconds

    def nack(self, place: int, hold_off: float, not_elsewhere: bool, level: float | None) -> None:
        if hold_off > 0.0:
            self.connections.told_back(place, time.monotonic() + hold_off)
        self._write(place, 503 if self.leaving else 429, level=level, hold_off=hold_off, not_elsewhere=not_elsewhere)

    def fail(self, place: int, level: float | None) -> None:
        self._write(place, 500, level=level)

    def refuse(self, place: int, what: str) -> None:
        """A request in good form that this deployment, or what else is open here, has no place for."""
        self._write(place, self._blame(place, http_grammar.BadRequestError(what, UNFIT.get(what, 404))))

    def health(self, place: int, good: bool, level: float | None) -> None:
        self._write(place, 200 if good else 503, level=level)

    def abandon(self, place: int) -> None:
        self.closing.discard(place)
        self.connections.abandon(place)

    def _write(self, place: int, status: int, body: bytes = b"", **fields: Any) -> None:
        last = place in self.closing
        self.closing.discard(place)
        pieces = http_responses.write_response(status, body, close=last or self.leaving, **fields)
        self.count(f"answers_{status}" if self.connections.answer(place, pieces, last) else "answers_unsent")
