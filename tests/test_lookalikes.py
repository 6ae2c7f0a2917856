"""Requests that look the same: which evidence proves a retry, and which a different request."""

from __future__ import annotations

import random

import pytest

from mulleinhatch.admission.interface import Effect, Ending
from mulleinhatch.instance.protocol.http_requests import RequestReader, parse_plain_figures, parse_request
from mulleinhatch.instance.request_state_machine.arrivals import MAX_PARKED_S
from mulleinhatch.instance.request_state_machine.events import Action, Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.duplicate_detection import (
    DuplicateDetector,
    ExecutedRequests,
    ExpiringCounter,
    RequestFingerprint,
)
from mulleinhatch.simulation.instance_world import Scenario, World

AFTER_KILL = Scenario(rate=36.8, cores=2, patience=30.0, outage=(4.0, 12.0), load_until=24.0, until=26.0)
OVERLOAD = Scenario(rate=44.0, cores=2, patience=4.5, outage=(1e3, 1e3), load_until=20.0, until=22.0, heeding=0.5)


@pytest.mark.parametrize("scenario, span", [(AFTER_KILL, (13.0, 23.0)), (OVERLOAD, (2.0, 19.0))], ids=["kill", "overload"])
def test_service_does_not_depend_on_the_share_of_lookalikes(scenario: Scenario, span: tuple[float, float]) -> None:
    """Guards against treating first attempts as retries: with equal bodies, 0.43 were in time on loopback instead of 0.95."""
    worlds = {share: World(scenario._replace(alike=share), 2).play() for share in (0.0, 0.3, 1.0)}
    served = {share: world.share_in_time(*span) for share, world in worlds.items()}
    assert max(served.values()) - min(served.values()) <= 0.03, served
    assert min(served.values()) >= World(scenario, 2, storm_bounds=None).play().share_in_time(*span) - 0.02, served
    for share, world in worlds.items():
        assert not world.ran_twice()
        signoffs = sum(world.effect.values())
        assert world.counts["failed unrun"] <= 0.03 * signoffs, (share, world.counts, signoffs)


def test_lookalikes_never_run_twice_in_random_histories() -> None:
    """With lost responses, cost figures that stay or change per attempt, any share of lookalikes, and marked retries."""
    draw = random.Random(4)
    for seed in range(12):
        scenario = Scenario(
            rate=draw.uniform(8.0, 24.0),
            cores=1,
            heeding=draw.choice((0.0, 0.5)),
            patience=8.0,
            kind=draw.choice(("kill", "freeze", "refuse")),
            outage=(2.0, draw.uniform(3.0, 6.0)),
            load_until=12.0,
            until=24.0,
            alike=draw.choice((0.3, 1.0)),
            steady=draw.choice((0.0, 0.5, 1.0)),
            lost_acks=0.05,
            reconnects=draw.choice((0.0, 0.3)),
        )
        world = World(scenario, seed).play()
        assert not world.ran_twice(), (seed, scenario)
        assert not world.reducer.parked_retries and not world.reducer.storms.duplicates.open, seed


class LookalikePair:
    """A sign-off that runs for one client while another client retries a lookalike that was rejected before."""

    def __init__(self) -> None:
        self.reducer = Reducer({"op_types": [{"effect": Effect.NON_RETRYABLE}], "cores": 1}, ["signoff"], [], 7, StormBounds())
        self.reduce(0.0, Event.INTERPRETER_READY, False, 9.0)
        self.first_actions = self.receive(0.1, 1, "first", rank=0.25, is_retry=False)

    def reduce(self, now: float, *event: object) -> list[tuple]:
        return [
            (action, *more[:1])
            for action, *more in self.reducer.reduce(now, *event)
            if action in (Action.START_RUN, Action.SEND_RESULT, Action.SEND_FAILURE, Action.SEND_REJECTION)
        ]

    def receive(self, now: float, connection_id: int, ref: str, rank: float, is_retry: bool = True) -> list[tuple]:
        return self.reduce(
            now, Event.REQUEST_RECEIVED, connection_id, ref, "signoff", "", 0.0, 4.0, 3, 0.05, 8.0, is_retry, "", b"", rank
        )


def test_duplicate_waits_until_the_other_response_was_read() -> None:
    pair = LookalikePair()
    assert pair.first_actions == [(Action.START_RUN, "first")]
    assert pair.receive(0.2, 2, "twin", rank=0.75) == []  # possibly a retry of the first one, with another rank
    assert pair.reduce(0.3, Event.RUN_ENDED, 1, "first", Ending.OK, b"x") == [(Action.SEND_RESULT, 1)]
    # A new request on its connection proves that the client read the response.
    assert pair.reduce(0.4, Event.HEALTH_CHECK_RECEIVED, 1) == [(Action.START_RUN, "twin")]
    assert pair.reducer.storms.counts["retries_told_apart"] == 1


def test_duplicate_fails_if_the_other_response_may_be_lost() -> None:
    """Without proof in time that it is a different request, it is neither run nor rejected."""
    pair = LookalikePair()
    pair.receive(0.2, 2, "twin", rank=0.75)
    pair.reduce(0.3, Event.RUN_ENDED, 1, "first", Ending.OK, b"x")
    assert pair.reduce(0.2 + MAX_PARKED_S + 0.01, Event.TIMER_EXPIRED, 0) == [(Action.SEND_FAILURE, 2)]
    assert pair.reducer.counts["repeats_of_run"] == 1 and not pair.reducer.requests


def test_a_retry_of_a_running_request_fails_at_once() -> None:
    assert LookalikePair().receive(0.2, 2, "again", rank=0.25) == [(Action.SEND_FAILURE, 2)]


def test_a_parked_retry_is_removed_when_its_client_disconnects() -> None:
    pair = LookalikePair()
    pair.receive(0.2, 2, "twin", rank=0.75)
    pair.reduce(0.25, Event.CLIENT_DISCONNECTED, 2)
    assert not pair.reducer.parked_retries and "twin" not in pair.reducer.requests


def test_a_retry_of_a_request_that_never_started_runs() -> None:
    pair = LookalikePair()
    pair.reduce(0.15, Event.RUN_ENDED, 1, "first", Ending.MOOT, b"")
    assert pair.receive(0.2, 2, "again", rank=0.25) == [(Action.START_RUN, "again")]


def test_a_response_just_before_the_deadline_may_not_have_been_read() -> None:
    executed, fingerprints = ExecutedRequests(10), RequestFingerprint(b"p", b"p1")
    executed.add(0.0, "r", fingerprints, due=1.0)
    executed.record_response(0.9, "r", connection=4)
    executed.confirm_response_read(4)
    assert executed.may_have_executed(1.0, fingerprints, False)


@pytest.mark.parametrize("seed", range(4))
def test_request_tables_stay_bounded_and_consistent(seed: int) -> None:
    """Ten thousand requests at 100 per second: no table exceeds its bound, and no entry outlives its run."""
    draw, executed, counter, detector, now = (
        random.Random(seed),
        ExecutedRequests(50),
        ExpiringCounter(5.0, 50),
        DuplicateDetector(50),
        0.0,
    )
    for number in range(10_000):
        now += draw.expovariate(100.0)
        fingerprints = RequestFingerprint(b"p%d" % draw.randrange(200), b"f%d" % number)
        executed.add(now, f"r{number}", fingerprints, now + 4.0)
        if draw.random() < 0.5:
            executed.record_response(now, f"r{number}", number)
            executed.confirm_response_read(number)
        counter.add(now, fingerprints.coarse)
        _, keys = detector.classify(now, fingerprints, draw.random() < 0.3, True)
        (detector.record_rejected if draw.random() < 0.5 else detector.record_served)(now, keys)
        detector.record_closed(keys)
        assert len(executed) <= 100 and len(counter) <= 100 and len(detector.outstanding) <= 100 and not detector.open
        assert sum(map(len, executed.by_coarse.values())) == len(executed) and len(executed.answers) <= 100


def test_early_parsed_figures_equal_those_of_the_full_parser() -> None:
    draw = random.Random(3)
    for _ in range(300):
        head = [
            b"X-Request-Id: 0123456789abcdef",
            b"X-Request-Start: 1000",
            b"X-Memory-Kb: %.3f" % draw.uniform(1, 1900),
            b"X-Rank: %.4f" % draw.uniform(0, 0.99),
            b"x-cost-ms:  %.2f" % draw.uniform(0, 5e3),
            b"X-Load: 5",
        ]
        draw.shuffle(head)
        data = b"POST /svc/read HTTP/1.1\r\n" + b"\r\n".join(head) + b"\r\nContent-Length: 16\r\n\r\n\r\nX-Rank: 0.99\r\n"
        reader = RequestReader()
        reader.free_space()[: len(data)] = data
        reader.filled(len(data))
        *fields_read, rank = parse_request(b"/svc/read", reader.message()[2], 1.0)
        assert parse_plain_figures(data) == (rank, fields_read[6], fields_read[7])
