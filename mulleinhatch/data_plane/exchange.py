"""One request's way: routed, held, sent to a backend, its answer passed back. `request_state` decides what follows from what is
known; this module carries it out.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Protocol

from mulleinhatch.configuration.routes import Route
from mulleinhatch.data_plane.admission import Held, Refused
from mulleinhatch.data_plane.delays import Delay
from mulleinhatch.data_plane.events import EventCutter
from mulleinhatch.data_plane.front import ClientSession
from mulleinhatch.data_plane.pool import BackendPool
from mulleinhatch.data_plane.request_state import Answer, Next, RequestState, read_answer
from mulleinhatch.data_plane.routing import BackendStates
from mulleinhatch.data_plane.snapshot import KnownBackend, ModelName
from mulleinhatch.networking.http_client import ClientConnection, Loss
from mulleinhatch.networking.http_streaming import HOP_BY_HOP, Head, write_request

LOG = logging.getLogger(__name__)
NOT_PASSED = HOP_BY_HOP | {b"content-length", b"request-deadline", b"expect-instance", b"priority", b"expect"}
END_SLACK_S = 0.05
LEAST_SEND_S = 0.02  # with less time left a request is not sent
SWITCH_SILENCE_S = 2.0  # a resumable stream whose backend says nothing for so long is taken up elsewhere
GATHERED = 1 << 18  # bytes of a plain answer that are gathered before its head is passed on


@dataclass(frozen=True)
class Prompt:
    """What a request's fields tell of its prompt."""

    model: str
    adapter: str
    tokens: int
    prefix: str  # the last of the shared parts: all before it are shared with it
    session: str  # the last part, its own or its session's


def read_prompt(head: Head) -> Prompt:
    """
    >>> from mulleinhatch.networking.http_streaming import parse_request_head
    >>> lines = b"POST / HTTP/1.1", b"Model: m/a1", b"Token-Usage: 30,4", b"Prompt-Prefix: a:1,b:2", b"", b""
    >>> read_prompt(parse_request_head(b"\\r\\n".join(lines)))
    Prompt(model='m', adapter='a1', tokens=30, prefix='a', session='b')
    """
    model, _, adapter = head.first.get(b"model", b"").decode("latin-1").partition("/")
    tokens = head.first.get(b"token-usage", b"").split(b",")[0].strip()
    parts = [
        part.split(b":")[0].strip().decode("latin-1")
        for part in head.first.get(b"prompt-prefix", b"").split(b",")
        if part.strip()
    ]
    shared = parts[-2] if len(parts) > 1 else parts[0] if parts else ""
    return Prompt(model, adapter, int(tokens) if tokens.isdigit() else 0, shared, parts[-1] if parts else "")


def backend_fields(head: Head, remaining_s: float, backend_id: str, priority: int, last_id: bytes) -> list[tuple[bytes, bytes]]:
    """The fields of the request at the backend."""
    fields = [
        (name, text)
        for name, text in head.fields
        if (lower := name.lower()) not in NOT_PASSED and not (last_id and lower == b"last-event-id")
    ]
    fields.append((b"Request-Deadline", b"%d" % max(1, int(1000 * remaining_s))))
    fields.append((b"Expect-Instance", backend_id.encode()))
    fields.append((b"Priority", b"%d" % min(9, max(0, priority))))
    if last_id:
        fields.append((b"Last-Event-Id", last_id))
    return fields


class ExchangeHost(Protocol):
    """What an exchange needs of the instance that owns it: its clock, its backends, and who hears what became of a request."""

    loop: asyncio.AbstractEventLoop
    pool: BackendPool
    states: BackendStates

    def now(self) -> float: ...

    def choose(self, exchange: ClientExchange) -> KnownBackend | None: ...

    def another_can_take(self, exchange: ClientExchange, backend: KnownBackend) -> bool: ...

    def still_listed(self, backend: KnownBackend) -> bool: ...

    def may_repeat(self, service: str) -> bool: ...

    def retry_after(self, exchange: ClientExchange) -> float: ...

    def hold_again(self, exchange: ClientExchange) -> None: ...

    def put_back(self, exchange: ClientExchange) -> None: ...

    def sent(self, exchange: ClientExchange) -> None: ...

    def first_answer(self, exchange: ClientExchange, backend: KnownBackend, seconds: float) -> None: ...

    def backend_answered(self, backend: KnownBackend, head: Head) -> None: ...

    def backends_failed(self, backend: KnownBackend) -> None: ...

    def backend_is_other(self, backend: KnownBackend, head: Head, name: ModelName) -> None: ...

    def sent_back_full(self, backend: KnownBackend, name: ModelName) -> None: ...

    def left_backend(self, backend: KnownBackend) -> None: ...

    def attempt_ended(self, exchange: ClientExchange, backend: KnownBackend, completed: bool, full: bool) -> None: ...

    def note_refusal(self, exchange: ClientExchange, why: str, retry_after_s: float) -> None: ...

    def served(self, exchange: ClientExchange) -> None: ...

    def forget(self, exchange: ClientExchange) -> None: ...


class ClientExchange:
    """One client request from its arrival to the end of its answer."""

    def __init__(
        self, router: ExchangeHost, session: ClientSession, head: Head, body: bytes, route: Route, service: str, due: float
    ) -> None:
        self.router, self.session, self.head, self.body = router, session, head, body
        self.route, self.service, self.due = route, service, due
        self.prompt = read_prompt(head)
        self.request_id = head.first.get(b"request-id", b"")
        self.name = ModelName(service, self.prompt.model, self.prompt.adapter)
        self.held = Held(
            self, self.name, route.priority, route.target_s, self.prompt.session, router.now(), due, prefix=self.prompt.prefix
        )
        self.attempt: Attempt | None = None
        resumable = route.streaming and route.resumable
        self.state = RequestState(route.idempotent, resumable, route.max_attempts)
        self.sent_back: set[str] = set()
        self.over = False
        self.delay = Delay.NONE  # what kept it from a backend when it arrived
        self.cutter = EventCutter(head.first.get(b"last-event-id", b"")) if resumable else None
        self._timer = router.loop.call_at(due + END_SLACK_S, self._time_over)

    def limit_time(self, until: float) -> None:
        """The process ends: a request that has not gone to a backend by then is answered."""
        if until < self.due and self.attempt is None and not self.over:
            self._timer.cancel()
            self._timer = self.router.loop.call_at(until, self._leave_over)

    def _leave_over(self) -> None:
        if self.over:
            return
        if self.attempt is None:
            self._follow(self.state.unserved(), "this instance ends")
        else:
            self._timer = self.router.loop.call_at(self.due + END_SLACK_S, self._time_over)

    # From admission.

    def start(self) -> None:
        """Its turn: it goes to a backend, or back to the held ones if none can take it."""
        backend = self.router.choose(self)
        if backend is None:
            self.router.put_back(self)
            return
        if self.state.sends and not self.router.may_repeat(self.service):
            self._follow(self.state.unserved(), "no budget for another stub")
            return
        self.attempt = Attempt(self, backend)
        self.attempt.begin()

    def refused(self, refused: Refused) -> None:
        """It is not taken, or given up before it ran: answered at once."""
        self._follow(self.state.unserved(), refused.reason.value, refused.retry_after_s)

    # From the attempt.

    def sent_back_by(self, attempt: Attempt, full: bool) -> None:
        """A backend did not run it, for certain."""
        self._attempt_over(attempt, completed=False, full=full)
        self.sent_back.add(attempt.backend.id)
        self._follow(self.state.not_run(), "no stub could take it")

    def unreached(self, attempt: Attempt) -> None:
        """No byte of it reached the backend."""
        self._attempt_over(attempt, completed=False)
        self.sent_back.add(attempt.backend.id)
        self._follow(self.state.unreached(len(self.sent_back)), "no stub could be reached")

    def broke(self, attempt: Attempt) -> None:
        """It may have run, and what became of it is not known."""
        self._attempt_over(attempt, completed=False)
        self.sent_back.add(attempt.backend.id)
        following = self.state.lost()
        if following is Next.ANOTHER_BACKEND and self.cutter is not None:
            self.cutter.cut()
        self._follow(following, "the stub broke off; whether it ran is not known")

    def completed(self, attempt: Attempt) -> None:
        self._attempt_over(attempt, completed=True)
        self._close()
        self.session.finish()
        self.router.served(self)

    def _attempt_over(self, attempt: Attempt, completed: bool, full: bool = False) -> None:
        self.attempt = None
        self.router.attempt_ended(self, attempt.backend, completed, full)

    def _again(self) -> None:
        if self.router.now() + LEAST_SEND_S > self.due:
            self._time_over()
            return
        self.router.hold_again(self)

    # Ends.

    def _follow(self, following: Next, why: str, retry_after_s: float | None = None) -> None:
        """Carries out what follows from what is known."""
        if following is Next.ANOTHER_BACKEND:
            self._again()
        elif following is Next.REFUSE:
            self._answer_unrun(why, self.router.retry_after(self) if retry_after_s is None else retry_after_s)
        elif following is Next.BREAK_OFF:
            self._break_off()
        else:
            self._fail(504 if following is Next.TIME_OVER else 502, why)

    def _answer_unrun(self, why: str, retry_after_s: float) -> None:
        self._close()
        LOG.debug("refused", extra={"request_id": self.request_id.decode("latin-1"), "why": why})
        self.router.note_refusal(self, why, retry_after_s)
        self.session.refuse(503, f"not run: {why}", retry_after_s)

    def _fail(self, status: int, why: str) -> None:
        self._close()
        LOG.debug("failed", extra={"request_id": self.request_id.decode("latin-1"), "why": why})
        self.session.refuse(status, why)

    def _break_off(self) -> None:
        self._close()
        self.session.break_off()

    def _time_over(self) -> None:
        if self.over:
            return
        self._drop_attempt()
        self._follow(self.state.time_over(), "the time is over")

    def cancel(self) -> None:
        """The client left: its backend is freed at once."""
        if not self.over:
            self._drop_attempt()
            self._close()

    def _drop_attempt(self) -> None:
        attempt = self.attempt
        if attempt is not None:
            attempt.drop()
            self._attempt_over(attempt, completed=False)

    def _close(self) -> None:
        self.over = True
        self._timer.cancel()
        self.router.forget(self)

    def on_writable(self, writable: bool) -> None:
        if self.attempt is not None:
            self.attempt.pause(not writable)


class Attempt:
    """One sending of a request to one backend; hears the answer as an `AnswerSink`."""

    def __init__(self, exchange: ClientExchange, backend: KnownBackend) -> None:
        self.exchange, self.backend, self.router = exchange, backend, exchange.router
        self._connection: ClientConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self._head: Head | None = None
        self._answer: Answer | None = None  # what the head said
        self._gathered: list[bytes] | None = None
        self._size = 0
        self._over = False
        self._silence: asyncio.TimerHandle | None = None
        self._counted = False  # as running at the backend
        self._sent_at = 0.0
        self._first_seen = False

    def begin(self) -> None:
        exchange = self.exchange
        exchange.state.begin()
        connection = self.router.pool.take(self.backend.id)
        if connection is not None:
            self._send(connection)
        else:
            self._task = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        try:
            connection = await self.router.pool.open(self.backend.address)
        except OSError:
            if not self._over:
                self._over = True
                self.router.backends_failed(self.backend)
                self.exchange.unreached(self)
            return
        if self._over:
            connection.close()
        elif not self.router.still_listed(self.backend):
            connection.close()
            self._over = True
            self.exchange.unreached(self)
        else:
            self._send(connection)

    def _send(self, connection: ClientConnection) -> None:
        exchange = self.exchange
        self._connection = connection
        last_id = exchange.cutter.last_id if exchange.cutter is not None else b""
        fields = backend_fields(
            exchange.head, exchange.due - self.router.now(), self.backend.id, exchange.route.priority, last_id
        )
        self.router.sent(exchange)
        self._counted = True
        self._sent_at = self.router.now()
        connection.send(write_request(exchange.head.method, exchange.head.target, fields, exchange.body), self)
        if exchange.cutter is not None:
            self._expect_more()

    def _expect_more(self) -> None:
        """A backend that says nothing for long is left for another where the stream may go on there."""
        if self._silence is not None:
            self._silence.cancel()
        quiet = max(SWITCH_SILENCE_S, 4.0 * self.exchange.route.gap_s)
        if self._head is None:
            quiet = max(quiet, 0.75 * self.exchange.route.target_s)
        self._silence = self.router.loop.call_later(quiet, self._fell_silent)

    def _fell_silent(self) -> None:
        exchange = self.exchange
        if not self._over and exchange.state.may_run_again and self.router.another_can_take(exchange, self.backend):
            self.router.backends_failed(self.backend)
            self._connection.close()
            self.on_loss(Loss.BROKEN)

    # The answer.

    def expects(self, head: Head) -> bool:
        return not self.exchange.request_id or head.first.get(b"request-id") == self.exchange.request_id

    def on_head(self, head: Head) -> None:
        self._head = head
        self._answer = read_answer(head.status, head.first, self.exchange.route.idempotent)
        if self._answer is Answer.NOT_RUN:
            return
        if self._answer is Answer.SPOILT:
            self._connection.close()
            self.on_loss(Loss.BROKEN)
        elif not self.exchange.route.streaming or head.status >= 300:
            self._gathered = []
        elif not self.exchange.state.head_passed:
            self._pass_head(head, head.length)

    def _pass_head(self, head: Head, length: int | None) -> None:
        self.exchange.state.head_passed = True
        self.exchange.session.write_head(head, None if self.exchange.cutter is not None else length)

    def on_body(self, data: bytes) -> None:
        exchange = self.exchange
        if self._answer is Answer.NOT_RUN:
            return
        if not self._first_seen:
            self._first_seen = True
            self.router.first_answer(exchange, self.backend, self.router.now() - self._sent_at)
        if self._gathered is not None:
            self._gather(data)
        elif exchange.cutter is not None:
            self._expect_more()
            whole = exchange.cutter.feed(data)
            if whole:
                exchange.session.write_body(whole)
        else:
            exchange.session.write_body(data)

    def _gather(self, data: bytes) -> None:
        self._gathered.append(data)
        self._size += len(data)
        if self._size > GATHERED:
            self._pass_gathered(self._head.length)

    def _pass_gathered(self, length: int | None) -> None:
        gathered, self._gathered = self._gathered, None
        self._pass_head(self._head, length)
        for data in gathered:
            if data:
                self.exchange.session.write_body(data)

    def on_end(self) -> None:
        if self._over:
            return
        self._finish()
        exchange, head = self.exchange, self._head
        if self._connection is not None:
            self.router.pool.give_back(self.backend.id, self._connection, head)
        if self._answer is Answer.NOT_RUN:
            self._sent_back(head)
            return
        self.router.backend_answered(self.backend, head)
        if head.status >= 300 and exchange.state.head_passed and exchange.cutter is not None:
            exchange.broke(self)
            return
        if head.status >= 500 and not exchange.state.head_passed and self._may_repeat():
            exchange.broke(self)
            return
        if self._gathered is not None:
            self._pass_gathered(self._size)
        elif exchange.cutter is not None and exchange.cutter.rest:
            exchange.session.write_body(exchange.cutter.rest)
        exchange.completed(self)

    def _may_repeat(self) -> bool:
        exchange = self.exchange
        return exchange.state.may_run_again and self.router.another_can_take(exchange, self.backend)

    def _sent_back(self, head: Head) -> None:
        exchange = self.exchange
        LOG.info(
            "sent back",
            extra={
                "request_id": exchange.request_id.decode("latin-1"),
                "backend": self.backend.id,
                "status": head.status,
                "model": exchange.name.model,
                "adapter": exchange.name.adapter,
                "running": self.router.states.of(self.backend.id).running,
            },
        )
        if head.status == 421:
            self.router.backend_is_other(self.backend, head, exchange.name)
        else:
            self.router.sent_back_full(self.backend, exchange.name)
        exchange.sent_back_by(self, full=head.status != 421)

    def on_loss(self, loss: Loss) -> None:
        if self._over:
            return
        self._finish()
        self.router.backends_failed(self.backend)
        if self._answer is Answer.NOT_RUN:
            self._sent_back(self._head)
        else:
            self.exchange.broke(self)

    def drop(self) -> None:
        """Nobody waits for the answer any more."""
        self._finish()
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    def _finish(self) -> None:
        self._over = True
        if self._counted:
            self._counted = False
            self.router.left_backend(self.backend)
        if self._silence is not None:
            self._silence.cancel()

    def pause(self, paused: bool) -> None:
        if self._connection is not None:
            self._connection.pause(paused)
