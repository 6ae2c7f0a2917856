"""Model checking of requests that are sent several times, to backends that repeat, delay and mix up their answers.

The world of `test_exchange_model` with backends that hold a model, so that a rejected request is sent again to the same backend
after a pause. Each connection remembers the answers that it carried; copies of them arrive in any place. A client must not
get a promise for a request that ran, and no unsafe request may run twice.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest
from collections.abc import Iterator
from dataclasses import replace
from unittest import mock

from mulleinhatch.data_plane.control_plane_snapshot import ControlPlaneSnapshot
from mulleinhatch.data_plane.registry_snapshot import RegistrySnapshot
from mulleinhatch.data_plane.request_state import RequestState
from mulleinhatch.data_plane.response_relay import ResponseRelay
from mulleinhatch.data_plane.send import Send, Settlement
from mulleinhatch.networking.http_connection import ClientConnection
from mulleinhatch.networking.http_streaming import parse_request_head
from tests.system.test_exchange_model import BackendTransport, History, Kinds, World, run_histories

MODEL = "m"
PAUSE_S = 0.3  # longer than a backend is avoided for a model after a rejection
ANSWERS = ("answer", "not executed", "misdirected", "busy", "answer and close", "half and reset", "reset")
COPIES = ("repeat", "repeat with the answer", "repeat cut", "repeat of the other")
OTHERS = ("pause", "time over", "client gone")
EVENTS = (*ANSWERS, *COPIES, *OTHERS)
KINDS = ("unsafe", "streaming", "safe", "resumable")
FIRST = (("not executed", 0), ("pause", 0))  # After the pause, the request is sent to the only holder again.


class SendWorld(World):
    """Two requests for a model that one backend holds; its connections carry copies of their former answers."""

    def __init__(self, kinds: Kinds) -> None:
        super().__init__(kinds)
        self.carried: dict[BackendTransport, list[bytes]] = {}
        snapshot = self.router.snapshot
        holder = replace(snapshot.backends.by_id["i-0"], models={MODEL: frozenset()})
        registry = RegistrySnapshot({holder.id: holder}, {"s": (holder,)})
        self.router.apply_snapshot(ControlPlaneSnapshot(snapshot.table, registry, 1, True))

    async def begin(self, name: str) -> None:
        lines = (
            f"POST /{self.kinds[name]}/x HTTP/1.1",
            "Host: h",
            f"Request-Id: {name}",
            f"Model: {MODEL}",
            "Content-Length: 1",
        )
        head = parse_request_head("\r\n".join((*lines, "", "")).encode())
        self.requests[name] = self.router.begin(self.clients[name], head, name.encode())
        await self.run_callbacks()

    async def event(self, event: str, index: int) -> None:
        if event == "pause":
            await asyncio.sleep(PAUSE_S)
            self.router.sweep()
            await self.run_callbacks()
        elif event in COPIES:
            open_transports = [transport for transport in self.transports if not transport.closed]
            if index < len(open_transports):
                self._repeat(event, open_transports[index])
            await self.run_callbacks()
        else:
            await super().event(event, index % 2 if event in OTHERS else index)

    def _send_response(self, event: str, transport: BackendTransport, name: str) -> None:
        status, field = {"not executed": (503, "Not-Executed: 1"), "misdirected": (421, "")}.get(event, (200, ""))
        self.carried.setdefault(transport, []).append(self._answer(name, status, field, None if status == 200 else b""))
        super()._send_response(event, transport, name)

    def _repeat(self, event: str, transport: BackendTransport) -> None:
        """Send a copy of an answer that the connection carried before, or of one that another connection carried."""
        if transport.remainder:
            return  # The data plane could not tell other bytes from the rest of the answer.
        own = self.carried.get(transport, [])
        others = [answer for other, answers in self.carried.items() if other is not transport for answer in answers]
        copies = others if event == "repeat of the other" else own
        waiting = transport.waiting
        copies = [copy for copy in copies if event != "repeat of the other" or f"Request-Id: {waiting}\r".encode() not in copy]
        if not copies:
            return
        if event == "repeat with the answer" and waiting:
            transport.waiting, transport.previous = "", waiting
            answer = self._answer(waiting)
            self.carried.setdefault(transport, []).append(answer)
            transport.connection.data_received(copies[-1] + answer)
        elif event == "repeat cut":
            transport.connection.data_received(copies[-1][:-1])
        else:
            transport.connection.data_received(copies[-1])


async def violations_of(kinds: Kinds, events: History) -> list[str]:
    world = SendWorld(kinds)
    await world.begin("a")
    await world.begin("b")
    for event, index in events:
        await world.event(event, index)
        if violations := list(world.violations()):
            return violations
    for request in list(world.requests.values()):  # Finally, every deadline passes.
        if request is not None and not request.is_finished:
            request._on_deadline()
    await world.run_callbacks()
    return list(world.violations())


def first_violation(histories: Iterator[tuple[Kinds, History]]) -> tuple[int, list[str]]:
    """Return the number of histories that were run, and the violations of the first one that violates an invariant."""
    return run_histories(histories, violations_of)


def histories_after_a_rejection(depth: int) -> Iterator[tuple[Kinds, History]]:
    """Yield all histories of some events after the first request was rejected and is sent again."""
    pairs = [*itertools.product((*ANSWERS[:3], *COPIES), (0, 1)), ("pause", 0)]
    for events in itertools.product(pairs, repeat=depth):
        yield ("unsafe", "streaming"), (*FIRST, *events)


def random_histories(count: int, seed: int) -> Iterator[tuple[Kinds, History]]:
    source = random.Random(seed)
    for _ in range(count):
        events = tuple((source.choice(EVENTS), source.randrange(3)) for _ in range(source.randint(4, 12)))
        yield (source.choice(KINDS), source.choice(KINDS)), events


class SendHistories(unittest.TestCase):
    # Guards against REFUSED and TWICE of issue 76 in any order of late, repeated and mixed up answers.
    def test_no_history_breaks_a_promise_or_runs_an_unsafe_request_twice(self):
        count, violations = first_violation(histories_after_a_rejection(3))
        self.assertEqual((count, violations), (15**3, []))
        self.assertEqual(first_violation(random_histories(3000, 76)), (3000, []))

    def assert_defect_found(self, defect: object) -> None:
        with defect:
            is_found = first_violation(histories_after_a_rejection(3))[1] or first_violation(random_histories(3000, 77))[1]
        self.assertTrue(is_found)

    def test_finds_a_connection_that_carries_an_id_twice(self):
        self.assert_defect_found(mock.patch.object(ClientConnection, "can_carry", lambda self, request_id: True))

    def test_finds_a_response_that_is_accepted_without_its_id(self):
        self.assert_defect_found(mock.patch.object(ResponseRelay, "expects", lambda self, head: True))

    def test_finds_a_send_without_a_response_that_counts_as_not_executed(self):
        may_have_executed = property(lambda send: send.settlement in (Settlement.OPEN, Settlement.COMPLETED))
        self.assert_defect_found(mock.patch.object(Send, "may_have_executed", may_have_executed))

    def test_finds_a_request_that_is_sent_again_after_any_loss(self):
        self.assert_defect_found(mock.patch.object(RequestState, "may_run_again", True))


if __name__ == "__main__":
    unittest.main()
