"""Figures of other instances: how they are computed and used by the admission controller, and handover of requests."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Advice, Decision, Effect, Ending, Verb
from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.core import GossipNode, LocalState, interpreter_of
from mulleinhatch.instance.gossip.counters import FIGURES, FleetCounters
from mulleinhatch.instance.gossip.heavy_hitters import HeavyHitters
from mulleinhatch.instance.gossip.messages import ALIVE, MemberUpdate, Report
from mulleinhatch.instance.runtime import operator_file as operator

REQUEST_TYPES = [
    {"effect": effect, "importance": 1.0, "target_latency": 1.8, "op_timeout": 4.5, "repeat_window": 60.0}
    for effect in (Effect.RETRYABLE, Effect.NON_RETRYABLE, Effect.KEYED)
]


class ControllerHarness:
    """An admission controller with one core, whose runs complete when the test says so."""

    def __init__(self, **more: object) -> None:
        self.controller = AdmissionController(
            {
                "op_types": REQUEST_TYPES,
                "cores": 1,
                "tenants": [{"fraction": 1.0}],
                "callers": 4,
                "hold_off_allowed": True,
                "max_hold_off": 5.0,
                **more,
            },
            7,
            0.0,
        )

    def pull(self, now: float) -> list[Decision]:
        return [
            decision for decision in iter(lambda: self.controller.next_decision(now), None) if decision.verb is not Verb.WAKE
        ]

    def read(
        self, now: float, ref: str, request_type: int = 0, work: float = 0.5, wait: float = 4.0, handed: bool = False
    ) -> list[tuple[Verb, str]]:
        self.controller.record_arrival(now, ref, request_type, 0.0, wait, 0, "", 1, work, 1.0, False)
        if handed:
            self.controller.mark_received_from_peer(now, ref)
        return [(decision.verb, decision.ref) for decision in self.pull(now)]

    def end_run(self, now: float, ref: str, ending: Ending = Ending.OK) -> list[tuple[Verb, str]]:
        self.controller.record_run_end(now, ref, ending)
        return [(decision.verb, decision.ref) for decision in self.pull(now)]


def create_warm_harness() -> ControllerHarness:
    """Return a controller that has measured its pace of half a second per run."""
    harness = ControllerHarness()
    for step in range(4):
        harness.read(0.5 * step, f"w{step}")
        harness.end_run(0.5 * step + 0.5, f"w{step}")
    harness.read(2.0, "running")
    return harness


def test_no_more_is_handed_over_than_offered() -> None:
    harness = create_warm_harness()
    assert harness.read(2.0, "a") == []
    harness.controller.set_peer_offers(2.0, 2)
    assert [decision.ref for decision in harness.pull(2.0)] == ["a"]
    assert harness.read(2.0, "b") == [(Verb.HAND_OVER, "b")] and harness.read(2.0, "c") == []


@pytest.mark.parametrize("request_type, handed", [(2, False), (0, True)], ids=["keyed", "received from a peer"])
def test_requests_that_are_not_handed_over(request_type: int, handed: bool) -> None:
    harness = create_warm_harness()
    harness.controller.set_peer_offers(2.0, 5)
    assert (Verb.HAND_OVER, "a") not in harness.read(2.0, "a", request_type, handed=handed)
    assert (Verb.HAND_OVER, "b") in harness.read(2.0, "b")


@pytest.mark.parametrize(
    "request_type, ending, then",
    [
        (0, Ending.OK, "closed"),
        (0, Ending.ERROR, "closed"),
        (0, Ending.FULL, "held"),
        (0, Ending.UNREACHABLE, "held"),
        (0, Ending.INTERRUPTED, "held"),
        (1, Ending.INTERRUPTED, "closed"),
        (1, Ending.FULL, "held"),
    ],
)
def test_outcome_of_a_request_at_a_peer(request_type: int, ending: Ending, then: str) -> None:
    """After a broken link it is unknown whether the request ran at the peer.

    A non-retryable one is closed, a retryable one runs here, and none is handed over again.
    """
    harness = create_warm_harness()
    harness.controller.set_peer_offers(2.0, 5)
    assert harness.read(2.0, "a", request_type) == [(Verb.HAND_OVER, "a")]
    harness.controller.record_handover_end(2.1, "a", ending)
    assert harness.pull(2.1) == [] and harness.controller.is_open("a") is (then == "held")
    if then == "held":
        assert harness.end_run(2.4, "running") == [(Verb.RUN, "a")]


def test_request_at_a_peer_times_out_and_is_never_rejected() -> None:
    harness = create_warm_harness()
    harness.controller.set_peer_offers(2.0, 5)
    harness.read(2.0, "a", 1, wait=1.0)
    harness.controller.handle_wakeup(2.98, 0, ())
    assert (Verb.FAIL, "a") in [(decision.verb, decision.ref) for decision in harness.pull(2.98)]
    harness.controller.record_handover_end(3.0, "a", Ending.OK)
    assert harness.pull(3.0) == []


def test_leaving_instance_hands_over_its_queue() -> None:
    harness = ControllerHarness()
    harness.read(0.0, "running")
    harness.read(0.0, "a", work=0.01)
    harness.controller.set_peer_offers(0.1, 3)
    assert harness.pull(0.1) == []  # a short queue is not worth a handover
    harness.controller.begin_drain(0.2, 2.5)
    assert (Verb.HAND_OVER, "a") in [(decision.verb, decision.ref) for decision in harness.pull(0.2)]


def test_quota_limits_concurrent_runs_until_its_lease_expires() -> None:
    harness = ControllerHarness(cores=4)
    harness.controller.set_tenant_budget(0.0, 0, 0.0, [(1.0, 1e9), (1.0, 2.6)])
    runs = [harness.read(0.0, ref) for ref in "abc"]
    assert runs == [[(Verb.RUN, "a")], [(Verb.RUN, "b")], []]
    assert harness.end_run(0.5, "a") == [(Verb.RUN, "c")]
    harness.end_run(0.5, "b")
    harness.end_run(1.0, "c")
    # The lease expires before a run that starts now would complete.
    assert harness.read(1.8, "d") == [(Verb.RUN, "d")] and harness.read(1.8, "e") == []
    assert harness.end_run(2.3, "d") == [(Verb.RUN, "e")]


def test_reports_of_peers_on_health_capacity_and_retries() -> None:
    harness = ControllerHarness(advice=Advice.FLOOR)
    harness.controller.update_peer_load(0.0, 0.5, True, 3.0, 0.3)
    harness.controller.set_retry_storm(0.2, True, 0.1)
    decisions = {decision.verb: decision for decision in harness.pull(0.2)}
    assert not decisions[Verb.HEALTH].flag and decisions[Verb.LIMIT_RETRIES].level <= 3.0
    harness = ControllerHarness(advice=Advice.FLOOR)
    harness.controller.update_peer_load(0.0, 0.02, False, 1e9, 0.3)
    assert {decision.verb: decision for decision in harness.pull(0.2)}[Verb.ADVISE].level == pytest.approx(0.3)
    harness.read(0.2, "running", wait=3.0)
    harness.read(0.2, "held", wait=1.0)
    harness.controller.begin_drain(0.3, 0.1)  # no instance has free slots, so the client should not try other instances, either
    rejections = [decision for decision in harness.pull(0.3) if decision.verb is Verb.REJECT]
    assert [(rejection.ref, rejection.flag) for rejection in rejections] == [("held", True)]


def test_free_fraction_is_a_lower_bound() -> None:
    counts = FleetCounters(10)
    for name, at in (("a", 10.0), ("b", 10.0), ("c", 5.0)):
        counts.record(at, Report(name, 1, 1, 0.0, [0, 0, 0, 0, 2, 3, 50, 1, 0, 5]))
    assert counts.free_fraction(10.0, {"a", "b", "c"}) == pytest.approx(10 / 30)
    assert counts.free_fraction(10.0, {"a", "b", "c", "d", "e", "f"}) == -1.0 and counts.free_fraction(10.0, set()) == -1.0


def test_shorter_report_of_an_older_version_counts() -> None:
    counts = FleetCounters(10)
    assert counts.record(1.0, Report("a", 1, 1, 0.0, [0, 0, 0, 0, 2, 3, 50, 1]))
    assert counts.total(1.0, "held").least == 2.0 and counts.total(1.0, "room").least == 0.0
    assert not counts.record(1.0, Report("b", 1, 1, 0.0, [1] * 7)) and len(FIGURES) > 8


def test_heavy_hitters_are_found_among_invented_names() -> None:
    """No tenant above 1/capacity of the requests is missed, and memory stays bounded when clients invent names."""
    draw, hitters, true = random.Random(3), HeavyHitters(64), Counter()
    for number in range(60_000):
        name = draw.choice(("loud", "loud", "also", "third")) if draw.random() < 0.4 else f"made up {draw.randrange(100_000)}"
        true[name] += 1
        hitters.add(number / 10_000.0, name)
    most = hitters.top(6.0, 3)
    assert [loud.name for loud in most][0] == "loud" and {loud.name for loud in most} == {"loud", "also", "third"}
    assert len(hitters.counts) <= 64 and most[0].rate == pytest.approx(2000.0, rel=0.15)
    assert hitters.top(60.0, 3) == [], "a tenant without further requests is forgotten"


def test_member_whose_probes_fail_is_judged_by_several_observers() -> None:
    bounds = FleetBounds("f")
    fleet = GossipNode(bounds, "a", "10.0.0.1:0", 5, 1, 0.0)
    for name in ("b", "c", "d", "e", "x"):
        fleet.members._apply_update(0.0, MemberUpdate(name, "10.0.0.1:1", 4, 0, ALIVE))
    for step in range(12):
        for name in ("b", "c", "d", "e", "x"):
            fleet.members.prober.evidence.record(0.1 * step, name, name != "x")
    reported = {name: bad for name, bad, _ in fleet.members.opinions(1.2)}
    assert reported["x"] == 100 and len(reported) == 2 and 0 in reported.values()
    fleet.members.frozen = True
    assert fleet.members.opinions(1.2) == []
    fleet.members.frozen = False
    fleet.ejected = [interpreter_of("a")]
    assert fleet.is_judged_unhealthy()
    fleet.members.frozen = True
    assert not fleet.is_judged_unhealthy()
    fleet.heartbeat(1.3, LocalState([0] * len(FIGURES)))


@pytest.mark.parametrize(
    "budget, kind", [('tenant="t" window=0.0', "cap"), ("retries=#true", "retries"), ("calls=#true", "calls")]
)
def test_budgets_of_each_kind_in_the_operators_file(budget: str, kind: str) -> None:
    text = f'fleet {{\n name "x"\n listen "127.0.0.1:1"\n seats "a" "b"\n budgets {{\n  q total=9 {budget}\n }}\n}}'
    [bounds] = operator.parse(text).fleet.budgets
    assert (bool(bounds.tenant), bounds.retries, bounds.window) == (kind == "cap", kind == "retries", float(kind == "retries"))


def test_seed_with_a_host_name_is_rejected() -> None:
    with pytest.raises(operator.OperatorFileError, match=":4: fleet.seeds"):
        operator.parse('fleet {\n name "x"\n listen "127.0.0.1:1"\n seeds "some.host:7300"\n}')
