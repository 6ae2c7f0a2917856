"""Second runs of non-retryable requests: attribution to a cause, reports of fake callers, and runs with real processes."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from decimal import Decimal
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mulleinhatch.admission.interface import Decision, Effect, Verb
from mulleinhatch.instance.protocol import http_peers, http_requests
from mulleinhatch.instance.request_state_machine.events import Action, Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.duplicate_detection import STABLE_COSTS_RETRIES
from mulleinhatch.testing.duplicate_runs import BrokenAttempt, Death, Run, SecondRuns, find_second_runs, second_runs_of_fleet
from mulleinhatch.testing.fake_callers import Habits, Load, RequestKind
from mulleinhatch.testing.fleet_harness import FleetCase, FleetHarness, views_agree
from mulleinhatch.testing.instance_harness import keep_environment

FIRST, LATER = Run("a", 5.0, 0, 1, "r1"), Run("a", 5.5, 1, 1, "r2")
BROKEN, DEATH = BrokenAttempt(0, 4.9, 5.2), Death(0, 5.1, 5.2)


def test_a_second_run_after_a_kill_is_attributed_to_the_client() -> None:
    assert find_second_runs([LATER, FIRST], {"r1": BROKEN}, [DEATH]) == SecondRuns([], ["a"])


def test_a_second_run_by_the_restarted_instance_is_attributed_to_the_client() -> None:
    assert find_second_runs([FIRST, LATER._replace(place=0, incarnation=2)], {"r1": BROKEN}, [DEATH]) == SecondRuns([], ["a"])


def test_single_runs_are_not_reported() -> None:
    assert find_second_runs([FIRST, LATER._replace(request="b")], {}, []) == SecondRuns([], [])


@pytest.mark.parametrize(
    ("later", "broken", "deaths", "why"),
    [
        (LATER._replace(ref="r1"), BROKEN, [DEATH], "same attempt"),
        (LATER._replace(place=0), BROKEN, [DEATH], "same incarnation"),
        (LATER, None, [DEATH], "had not ended by a death"),  # answered, or timed out
        (LATER, BROKEN, [], "had not ended by a death"),  # a live instance broke the connection
        (LATER, BROKEN, [DEATH._replace(place=1)], "had not ended by a death"),  # another instance died
        (LATER, BROKEN, [Death(0, 5.3, 5.4)], "had not ended by a death"),  # the connection broke before the kill
        (
            LATER,
            BROKEN._replace(sent_at=5.25, broken_at=5.4),
            [DEATH],
            "had not ended by a death",
        ),  # sent to the restarted instance
        (
            LATER._replace(at=5.15),
            BROKEN,
            [DEATH],
            "had not ended by a death",
        ),  # the second run started before the connection broke
    ],
)
def test_any_other_second_run_is_a_fault_of_an_instance(
    later: Run, broken: BrokenAttempt | None, deaths: list[Death], why: str
) -> None:
    faults, repeats = find_second_runs([FIRST, later], {"r1": broken} if broken else {}, deaths)
    assert len(faults) == 1 and faults[0].endswith(why) and not repeats


def test_each_of_three_runs_is_compared_with_all_before() -> None:
    """The second run is attributed to the client, as the first attempt had ended by a death; the second had not."""
    third = Run("a", 6.0, 2, 1, "r3")
    faults, repeats = find_second_runs([FIRST, LATER, third], {"r1": BROKEN}, [DEATH])
    assert faults == ["a ran at 1 as r2, and at 2 as r3: the first attempt had not ended by a death"] and not repeats


# Reports of fake callers.


async def send_one_request(answer: bytes | None, try_wait: float = 4.5) -> tuple[Load, list[bytes]]:
    """Send one non-retryable request to a server that reads its first attempt completely, writes `answer` and closes.

    With None it writes nothing and waits until the caller closes.
    """
    heads: list[bytes] = []
    served = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        heads.append(head)
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
        await reader.readexactly(length)
        if answer is None:
            await reader.read()  # until the caller closes
        writer.write(answer or b"")
        writer.close()
        served.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    load = Load(
        Habits(
            [server.sockets[0].getsockname()[:2]],
            [RequestKind("signoff", 1.0, "unsafe")],
            time.time(),
            1.0,
            1.0,
            try_wait=try_wait,
            most_tries=1,
            pause=0.0,
        )
    )
    finished = asyncio.Event()
    original_callback, load.finish_request = (
        load.finish_request,
        lambda request, outcome: (original_callback(request, outcome), finished.set()),
    )
    load.start_request(time.time())
    await asyncio.wait_for(asyncio.gather(served.wait(), finished.wait()), 10.0)
    server.close()
    return load, heads


def test_a_fake_caller_reports_the_attempt_whose_connection_broke() -> None:
    load, (head,) = asyncio.run(send_one_request(b""))
    ((ref, (place, sent_at, broken_at)),) = load.report()["broken_once"].items()
    assert b"X-Request-Id: " + ref.encode() in head and load.refs[ref] == 1
    assert place == 0 and sent_at <= broken_at <= time.time() and load.counts["broken"] == 1


@pytest.mark.parametrize(
    ("answer", "try_wait", "outcome"),
    [
        (b"HTTP/1.1 500 Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 4.5, "failed"),
        (None, 0.05, "unanswered"),  # the caller closes the connection
    ],
)
def test_a_fake_caller_reports_no_other_outcome(answer: bytes | None, try_wait: float, outcome: str) -> None:
    load, heads = asyncio.run(send_one_request(answer, try_wait))
    assert load.counts[outcome] == 1 and len(heads) == 1 and not load.broken_once


# Processes.


@pytest.mark.processes
def test_requests_of_a_killed_instance_run_again_only_for_their_clients(tmp_path: Path) -> None:
    """With two real instances, one is killed while it executes runs that outlast their clients' timeouts.

    Its clients retry at the other one. Counting the runs of both finds second runs, which are no fault of an instance.
    """
    keep_environment()
    case = FleetCase(2, run_for=3.0, cores=8, work_ms=200.0, loads=(("all", 15.0),), signoffs=1.0, max_attempts=4)

    async def scenario() -> dict:
        async with FleetHarness(case, tmp_path) as harness:
            names = {node.name for node in harness.nodes}
            assert await harness.wait_for(lambda views: views_agree(views, names), 15.0) is not None
            harness.host.stdin.write(b"slow 0 50\n")
            await harness.go()
            while not await harness.begun(0):
                await asyncio.sleep(0.01)
            await harness.kill(harness.nodes[0])
            return await harness.finish()

    report = asyncio.run(asyncio.wait_for(scenario(), 60.0))
    second = second_runs_of_fleet(report)
    assert second.repeats and not second.faults, second
    ran = Counter[str]()
    for host in report["ran"]:
        ran.update(host["signoffs"])
    assert {request for request, times in ran.items() if times > 1} == set(second.repeats)
    # Without the record of the death, each of these second runs is a fault.
    assert len(second_runs_of_fleet({**report, "deaths": []}).faults) >= len(second.repeats)


# Hand-over: a peer must recognize a retry of a request that was handed over to it.


def parse_head(head: bytes) -> tuple:
    """Parse the head of a request as the listener does."""
    line, *fields = head.partition(b"\r\n\r\n")[0].split(b"\r\n")
    return http_requests.parse_request(
        line.split(b" ")[1], {name.lower(): value for name, _, value in (field.partition(b": ") for field in fields)}, NOW
    )


NOW = 1.7e9


@pytest.mark.parametrize(
    ("rank", "cost", "kb", "key"),
    [
        ("0.6250", "173.80", "24.5", ""),
        ("0.62503", "173.80", "24.5", ""),
        ("0.99996", "173.80", "24.5", ""),
        ("0.6250", "173.80371", "24.5", ""),
        ("0.6250", "0.0004", "24.5", ""),
        ("0.6250", "173.80", "24.50004", ""),
        ("0.6250", "173.80", "0.0001", ""),
        ("0.6250", "173.80", "24.5", "X-Object: 7f3a9c21e0b4d655\r\n"),
        ("0.123456789012345", "4999.123456789012345", "1999.123456789012345", "Idempotency-Key: \xe4 1\r\n"),
    ],
)
def test_a_retry_of_a_handed_over_request_does_not_run_again(rank: str, cost: str, kb: str, key: str) -> None:
    """The instance that received the first attempt hands it over to a peer, which runs it, and then dies.

    The client's marked retry arrives at the peer, which must recognize it however its numbers are written. The peer has learned
    from other requests that numbers stay the same over the attempts of a request.
    """

    def incoming(ref: str, extra_fields: str = "") -> tuple:
        return parse_head(
            (
                f"POST /svc/signoff HTTP/1.1\r\nX-Request-Id: {ref}\r\nX-Request-Start: {1000.0 * NOW:.0f}\r\n"
                f"X-Timeout-Ms: 4500\r\nX-Caller: 4\r\nX-Cost-Ms: {cost}\r\nX-Memory-Kb: {kb}\r\nX-Rank: {rank}\r\n"
                f"{extra_fields}{key}\r\n"
            ).encode("latin-1")
        )

    def receive(peer: Reducer, now: float, connection_id: int, request: tuple, from_peer: bool) -> set[Action]:
        *fields, read_rank = request
        return {
            action
            for action, *_ in peer.reduce(now, Event.REQUEST_RECEIVED, connection_id, *fields, b"in", read_rank, from_peer)
        }

    origin, peer = (
        Reducer(
            {"op_types": [{"effect": Effect.NON_RETRYABLE, "op_timeout": 4.5}], "cores": 4, "callers": 8},
            ["signoff"],
            [],
            7,
            StormBounds(),
        )
        for _ in range(2)
    )
    for reducer in (origin, peer):
        reducer.keeps_handover_data = True
        reducer.reduce(0.0, Event.INTERPRETER_READY, False, 100.0)
    peer.storms.duplicates.stable_retries = STABLE_COSTS_RETRIES
    receive(origin, 10.0, 1, incoming("00000000000000aa"), False)
    _, ref, request_type, tenant, body, age, left, caller, work, memory, again, read_rank, read_key = handed_over(
        origin, 10.0, "00000000000000aa"
    )
    assert age == 0.0
    handed = http_requests.IncomingRequest(
        ref, request_type, tenant, age, left, caller, work, memory, again, read_key, read_rank
    )
    chunks = http_peers.write_handover_request(handed, body, NOW, 17, "peer:1")
    assert Action.START_RUN in receive(peer, 10.0, 1, parse_head(b"".join(chunks)), True)
    peer.reduce(10.1, Event.CLIENT_DISCONNECTED, 1)
    assert receive(peer, 10.2, 2, incoming("00000000000000bb", "X-Retry: 1\r\n"), False) == {Action.SEND_FAILURE}
    assert peer.counts["repeats_of_run"] == 1


@given(st.decimals(0, 99_999, places=15, allow_nan=False), st.integers(0, 15), st.sampled_from((1.0, 0.001)))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_numbers_are_unchanged_by_a_handover(written: Decimal, places: int, unit: float) -> None:
    read = http_requests.parse_decimal({b"x": f"{written:.{places}f}".encode()}, b"x", unit=unit)
    assert http_requests.parse_decimal({b"x": http_peers.format_decimal(read, unit).encode()}, b"x", unit=unit) == read


def handed_over(origin: Reducer, now: float, ref: str) -> tuple:
    """Return the action that hands the request over to a peer, as if the controller had decided it."""
    origin.actions = []
    origin.requests[ref].running = False
    origin._do_hand_over(now, Decision(Verb.HAND_OVER, ref))
    return origin.actions[0]
