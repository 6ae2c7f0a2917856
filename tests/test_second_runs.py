"""Who answers for a second run of what may not run twice: the judge, what it is told by stand-ins, and real processes."""

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
from mulleinhatch.instance.retry_storms.duplicate_detection import STEADY_ENOUGH
from mulleinhatch.testing.duplicate_runs import BrokenTry, Death, Run, SecondRuns, judged, of_fleet
from mulleinhatch.testing.fake_callers import Habits, Load, OpKind
from mulleinhatch.testing.fleet_harness import FleetCase, FleetRig, whole
from mulleinhatch.testing.instance_harness import keep_environment

FIRST, LATER = Run("a", 5.0, 0, 1, "r1"), Run("a", 5.5, 1, 1, "r2")
BROKEN, DEATH = BrokenTry(0, 4.9, 5.2), Death(0, 5.1, 5.2)


def test_a_repeat_after_a_kill_is_its_callers() -> None:
    assert judged([LATER, FIRST], {"r1": BROKEN}, [DEATH]) == SecondRuns([], ["a"])


def test_a_repeat_at_the_next_life_of_the_same_place_is_its_callers() -> None:
    assert judged([FIRST, LATER._replace(place=0, life=2)], {"r1": BROKEN}, [DEATH]) == SecondRuns([], ["a"])


def test_one_run_each_is_nothing() -> None:
    assert judged([FIRST, LATER._replace(op="b")], {}, []) == SecondRuns([], [])


@pytest.mark.parametrize(
    ("later", "broken", "deaths", "why"),
    [
        (LATER._replace(ref="r1"), BROKEN, [DEATH], "one try"),
        (LATER._replace(place=0), BROKEN, [DEATH], "one life"),
        (LATER, None, [DEATH], "had not ended by a death"),  # answered, or its time was over
        (LATER, BROKEN, [], "had not ended by a death"),  # an instance that lives broke it
        (LATER, BROKEN, [DEATH._replace(place=1)], "had not ended by a death"),  # another one died
        (LATER, BROKEN, [Death(0, 5.3, 5.4)], "had not ended by a death"),  # it broke before the kill
        (LATER, BROKEN._replace(sent_at=5.25, broken_at=5.4), [DEATH], "had not ended by a death"),  # sent to the next life
        (LATER._replace(at=5.15), BROKEN, [DEATH], "had not ended by a death"),  # the second ran before it broke
    ],
)
def test_all_else_is_an_instances_fault(later: Run, broken: BrokenTry | None, deaths: list[Death], why: str) -> None:
    faults, repeats = judged([FIRST, later], {"r1": broken} if broken else {}, deaths)
    assert len(faults) == 1 and faults[0].endswith(why) and not repeats


def test_of_three_runs_each_is_held_against_all_before() -> None:
    """The second is its caller's. The third isn't, though the first try had ended by a death: the second had not."""
    third = Run("a", 6.0, 2, 1, "r3")
    faults, repeats = judged([FIRST, LATER, third], {"r1": BROKEN}, [DEATH])
    assert faults == ["a ran at 1 as r2, and at 2 as r3: the first try had not ended by a death"] and not repeats


# What stand-ins tell.


async def stub_at(answer: bytes | None, try_wait: float = 4.5) -> tuple[Load, list[bytes]]:
    """One op that may not run twice, at a server that reads its first try in full, and then says `answer` and closes, or (None)
    nothing at all."""
    heads: list[bytes] = []
    seen = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        heads.append(head)
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
        await reader.readexactly(length)
        if answer is None:
            await reader.read()  # until its caller has enough of it
        writer.write(answer or b"")
        writer.close()
        seen.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    load = Load(
        Habits(
            [server.sockets[0].getsockname()[:2]],
            [OpKind("signoff", 1.0, "unsafe")],
            time.time(),
            1.0,
            1.0,
            try_wait=try_wait,
            most_tries=1,
            pause=0.0,
        )
    )
    over = asyncio.Event()
    inner, load.over = load.over, lambda op, how: (inner(op, how), over.set())
    load.born(time.time())
    await asyncio.wait_for(asyncio.gather(seen.wait(), over.wait()), 10.0)
    server.close()
    return load, heads


def test_a_stub_tells_of_the_try_whose_connection_broke() -> None:
    load, (head,) = asyncio.run(stub_at(b""))
    ((ref, (place, sent_at, broken_at)),) = load.report()["broken_once"].items()
    assert b"X-Request-Id: " + ref.encode() in head and load.refs[ref] == 1
    assert place == 0 and sent_at <= broken_at <= time.time() and load.counts["broken"] == 1


@pytest.mark.parametrize(
    ("answer", "try_wait", "how"),
    [
        (b"HTTP/1.1 500 Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 4.5, "failed"),
        (None, 0.05, "unanswered"),  # it closes the connection itself
    ],
)
def test_a_stub_tells_of_no_other_end(answer: bytes | None, try_wait: float, how: str) -> None:
    load, heads = asyncio.run(stub_at(answer, try_wait))
    assert load.counts[how] == 1 and len(heads) == 1 and not load.broken_once


# Processes.


def test_what_a_killed_instance_ran_runs_again_for_its_caller_alone(tmp_path: Path) -> None:
    """Two real ones. At the first no run ends before its caller's time is over, and it is killed as soon as it has begun one.
    Their callers ask the other. A count over both calls that a fault, and it is nobody's."""
    keep_environment()
    case = FleetCase(2, run_for=3.0, cores=8, work_ms=200.0, loads=(("all", 15.0),), signoffs=1.0, tries=4)

    async def play() -> dict:
        async with FleetRig(case, tmp_path) as rig:
            names = {node.name for node in rig.nodes}
            assert await rig.wait_for(lambda views: whole(views, names), 15.0) is not None
            rig.host.stdin.write(b"slow 0 50\n")
            await rig.go()
            while not await rig.begun(0):
                await asyncio.sleep(0.01)
            await rig.kill(rig.nodes[0])
            return await rig.finish()

    told = asyncio.run(asyncio.wait_for(play(), 60.0))
    second = of_fleet(told)
    assert second.repeats and not second.faults, second
    ran = Counter[str]()
    for host in told["ran"]:
        ran.update(host["signoffs"])
    assert {op for op, times in ran.items() if times > 1} == set(second.repeats)
    # Without its death, each of the same runs is a fault.
    assert len(of_fleet({**told, "deaths": []}).faults) >= len(second.repeats)


# Hand-over: what a peer ran for us it must know again, when our caller comes to it.


def op_told(head: bytes) -> tuple:
    """As the front tells the reducer of a request; the body comes beside."""
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
def test_the_retry_of_what_a_peer_handed_over_does_not_run_again(rank: str, cost: str, kb: str, key: str) -> None:
    """The instance that read the first try handed it to this one, which runs it, and died. The caller's own words for the
    retry, marked, come here: whatever they are written like, it is the op that runs. That figures stay over the tries of an
    op this one has seen on others."""

    def sent(ref: str, more: str = "") -> tuple:
        return op_told(
            (
                f"POST /svc/signoff HTTP/1.1\r\nX-Request-Id: {ref}\r\nX-Request-Start: {1000.0 * NOW:.0f}\r\n"
                f"X-Timeout-Ms: 4500\r\nX-Caller: 4\r\nX-Cost-Ms: {cost}\r\nX-Memory-Kb: {kb}\r\nX-Rank: {rank}\r\n"
                f"{more}{key}\r\n"
            ).encode("latin-1")
        )

    def reads(peer: Reducer, now: float, place: int, told: tuple, from_peer: bool) -> set[Action]:
        *most, read_rank = told
        return {action for action, *_ in peer.reduce(now, Event.REQUEST_RECEIVED, place, *most, b"in", read_rank, from_peer)}

    giver, peer = (
        Reducer(
            {"op_types": [{"effect": Effect.NON_RETRYABLE, "op_timeout": 4.5}], "cores": 4, "callers": 8},
            ["signoff"],
            [],
            7,
            StormBounds(),
        )
        for _ in range(2)
    )
    for one in (giver, peer):
        one.keeps_handover_data = True
        one.reduce(0.0, Event.INTERPRETER_READY, False, 100.0)
    peer.storms.tries.steady = STEADY_ENOUGH
    reads(giver, 10.0, 1, sent("00000000000000aa"), False)
    _, ref, op_type, tenant, body, age, left, *figures = handed_over(giver, 10.0, "00000000000000aa")
    pieces = http_peers.write_handover_request(
        ref, op_type, tenant, body, 1000.0 * NOW, 1000.0 * left, *figures[:5], 17, "peer:1", *figures[5:]
    )
    assert Action.START_RUN in reads(peer, 10.0, 1, op_told(b"".join(pieces)), True)
    peer.reduce(10.1, Event.CLIENT_DISCONNECTED, 1)
    assert reads(peer, 10.2, 2, sent("00000000000000bb", "X-Retry: 1\r\n"), False) == {Action.SEND_FAILURE}
    assert peer.counts["repeats_of_run"] == 1


@given(st.decimals(0, 99_999, places=15, allow_nan=False), st.integers(0, 15), st.sampled_from((1.0, 0.001)))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_a_figure_goes_to_a_peer_as_it_came(written: Decimal, places: int, unit: float) -> None:
    read = http_requests.parse_decimal({b"x": f"{written:.{places}f}".encode()}, b"x", unit=unit)
    assert http_requests.parse_decimal({b"x": http_peers.format_decimal(read, unit).encode()}, b"x", unit=unit) == read


def handed_over(giver: Reducer, now: float, ref: str) -> tuple:
    """The errand by which it goes to a peer, as if the module had said so."""
    giver.actions = []
    giver.requests[ref].running = False
    giver._do_hand_over(now, Decision(Verb.HAND_OVER, ref))
    return giver.actions[0]
