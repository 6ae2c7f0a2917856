"""What the module makes of the others' figures, how these are known, and what it hands over."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Advice, Decision, Effect, Ending, Verb
from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.core import Fleet, Local, interpreter_of
from mulleinhatch.instance.gossip.counters import FIGURES, Counts
from mulleinhatch.instance.gossip.heavy_hitters import Loudest
from mulleinhatch.instance.gossip.messages import ALIVE, Report, Rumour
from mulleinhatch.instance.runtime import operator_file as operator

OP_TYPES = [
    {"effect": effect, "importance": 1.0, "target_latency": 1.8, "op_timeout": 4.5, "repeat_window": 60.0}
    for effect in (Effect.RETRYABLE, Effect.NON_RETRYABLE, Effect.KEYED)
]


class Told:
    """A module with one core; runs end when the test says so."""

    def __init__(self, **more: object) -> None:
        self.hatch = AdmissionController(
            {
                "op_types": OP_TYPES,
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
        return [decision for decision in iter(lambda: self.hatch.next_decision(now), None) if decision.verb is not Verb.WAKE]

    def read(
        self, now: float, ref: str, op_type: int = 0, work: float = 0.5, wait: float = 4.0, handed: bool = False
    ) -> list[tuple[Verb, str]]:
        self.hatch.record_arrival(now, ref, op_type, 0.0, wait, 0, "", 1, work, 1.0, False)
        if handed:
            self.hatch.mark_received_from_peer(now, ref)
        return [(decision.verb, decision.ref) for decision in self.pull(now)]

    def ended(self, now: float, ref: str, ending: Ending = Ending.OK) -> list[tuple[Verb, str]]:
        self.hatch.record_run_end(now, ref, ending)
        return [(decision.verb, decision.ref) for decision in self.pull(now)]


def warm() -> Told:
    """One that knows its pace: half a second a run."""
    told = Told()
    for turn in range(4):
        told.read(0.5 * turn, f"w{turn}")
        told.ended(0.5 * turn + 0.5, f"w{turn}")
    told.read(2.0, "running")
    return told


def test_nothing_is_handed_over_without_an_offer_nor_more_than_offered() -> None:
    told = warm()
    assert told.read(2.0, "a") == []
    told.hatch.set_peer_offers(2.0, 2)
    assert [decision.ref for decision in told.pull(2.0)] == ["a"]
    assert told.read(2.0, "b") == [(Verb.HAND_OVER, "b")] and told.read(2.0, "c") == []


@pytest.mark.parametrize("op_type, handed", [(2, False), (0, True)], ids=["keyed", "came from a peer"])
def test_what_stays(op_type: int, handed: bool) -> None:
    told = warm()
    told.hatch.set_peer_offers(2.0, 5)
    assert (Verb.HAND_OVER, "a") not in told.read(2.0, "a", op_type, handed=handed)
    assert (Verb.HAND_OVER, "b") in told.read(2.0, "b")


@pytest.mark.parametrize(
    "op_type, ending, then",
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
def test_what_becomes_of_an_op_at_a_peer(op_type: int, ending: Ending, then: str) -> None:
    """A link that broke tells nothing: what may not run twice is over here, what may runs here, and none goes on again."""
    told = warm()
    told.hatch.set_peer_offers(2.0, 5)
    assert told.read(2.0, "a", op_type) == [(Verb.HAND_OVER, "a")]
    told.hatch.record_handover_end(2.1, "a", ending)
    assert told.pull(2.1) == [] and told.hatch.is_open("a") is (then == "held")
    if then == "held":
        assert told.ended(2.4, "running") == [(Verb.RUN, "a")]


def test_an_op_at_a_peer_is_given_up_in_time_and_never_nacked() -> None:
    told = warm()
    told.hatch.set_peer_offers(2.0, 5)
    told.read(2.0, "a", 1, wait=1.0)
    told.hatch.handle_wakeup(2.98, 0, ())
    assert (Verb.FAIL, "a") in [(decision.verb, decision.ref) for decision in told.pull(2.98)]
    told.hatch.record_handover_end(3.0, "a", Ending.OK)
    assert told.pull(3.0) == []


def test_one_that_leaves_hands_over_what_it_holds() -> None:
    told = Told()
    told.read(0.0, "running")
    told.read(0.0, "a", work=0.01)
    told.hatch.set_peer_offers(0.1, 3)
    assert told.pull(0.1) == []  # a short line is not worth it
    told.hatch.begin_drain(0.2, 2.5)
    assert (Verb.HAND_OVER, "a") in [(decision.verb, decision.ref) for decision in told.pull(0.2)]


def test_a_cap_over_the_fleet_bounds_what_runs_and_ends_with_its_piece() -> None:
    told = Told(cores=4)
    told.hatch.set_tenant_budget(0.0, 0, 0.0, [(1.0, 1e9), (1.0, 2.6)])
    runs = [told.read(0.0, ref) for ref in "abc"]
    assert runs == [[(Verb.RUN, "a")], [(Verb.RUN, "b")], []]
    assert told.ended(0.5, "a") == [(Verb.RUN, "c")]
    told.ended(0.5, "b")
    told.ended(1.0, "c")
    # What is borrowed is over before a run of now would be.
    assert told.read(1.8, "d") == [(Verb.RUN, "d")] and told.read(1.8, "e") == []
    assert told.ended(2.3, "d") == [(Verb.RUN, "e")]


def test_the_others_word_on_health_room_and_retries() -> None:
    told = Told(advice=Advice.FLOOR)
    told.hatch.update_peer_load(0.0, 0.5, True, 3.0, 0.3)
    told.hatch.set_retry_storm(0.2, True, 0.1)
    said = {decision.verb: decision for decision in told.pull(0.2)}
    assert not said[Verb.HEALTH].flag and said[Verb.LIMIT_RETRIES].level <= 3.0
    told = Told(advice=Advice.FLOOR)
    told.hatch.update_peer_load(0.0, 0.02, False, 1e9, 0.3)
    assert {decision.verb: decision for decision in told.pull(0.2)}[Verb.ADVISE].level == pytest.approx(0.3)
    told.read(0.2, "running", wait=3.0)
    told.read(0.2, "held", wait=1.0)
    told.hatch.begin_drain(0.3, 0.1)  # nothing is free elsewhere: nobody else is to be asked, either
    nacks = [decision for decision in told.pull(0.3) if decision.verb is Verb.REJECT]
    assert [(nack.ref, nack.flag) for nack in nacks] == [("held", True)]


def test_free_places_count_by_their_poor_end() -> None:
    counts = Counts(10)
    for name, at in (("a", 10.0), ("b", 10.0), ("c", 5.0)):
        counts.heard(at, Report(name, 1, 1, 0.0, [0, 0, 0, 0, 2, 3, 50, 1, 0, 5]))
    assert counts.free(10.0, {"a", "b", "c"}) == pytest.approx(10 / 30)
    assert counts.free(10.0, {"a", "b", "c", "d", "e", "f"}) == -1.0 and counts.free(10.0, set()) == -1.0


def test_a_shorter_report_of_an_older_version_counts_for_what_it_tells() -> None:
    counts = Counts(10)
    assert counts.heard(1.0, Report("a", 1, 1, 0.0, [0, 0, 0, 0, 2, 3, 50, 1]))
    assert counts.total(1.0, "held").least == 2.0 and counts.total(1.0, "room").least == 0.0
    assert not counts.heard(1.0, Report("b", 1, 1, 0.0, [1] * 7)) and len(FIGURES) > 8


def test_the_loudest_are_found_among_a_hundred_thousand_made_up_names() -> None:
    """Nobody that asks for more than a part in `room` is missed, and room stays bounded whoever makes names up."""
    draw, loudest, true = random.Random(3), Loudest(64), Counter()
    for number in range(60_000):
        name = draw.choice(("loud", "loud", "also", "third")) if draw.random() < 0.4 else f"made up {draw.randrange(100_000)}"
        true[name] += 1
        loudest.add(number / 10_000.0, name)
    most = loudest.most(6.0, 3)
    assert [loud.name for loud in most][0] == "loud" and {loud.name for loud in most} == {"loud", "also", "third"}
    assert len(loudest.counts) <= 64 and most[0].rate == pytest.approx(2000.0, rel=0.15)
    assert loudest.most(60.0, 3) == [], "who fell silent is forgotten"


def test_a_member_whose_probes_fail_is_judged_by_many_and_by_nobody_that_hears_little() -> None:
    bounds = FleetBounds("f")
    fleet = Fleet(bounds, "a", "10.0.0.1:0", 5, 1, 0.0)
    for name in ("b", "c", "d", "e", "x"):
        fleet.members._take(0.0, Rumour(name, "10.0.0.1:1", 4, 0, ALIVE))
    for turn in range(12):
        for name in ("b", "c", "d", "e", "x"):
            fleet.members._outcome(0.1 * turn, name, name != "x")
    said = {name: bad for name, bad, _ in fleet.members.opinions(1.2)}
    assert said["x"] == 100 and len(said) == 2 and 0 in said.values()
    fleet.members.frozen = True
    assert fleet.members.opinions(1.2) == []
    fleet.members.frozen = False
    fleet.out = [interpreter_of("a")]
    assert fleet.judged_ill()
    fleet.members.frozen = True
    assert not fleet.judged_ill()
    fleet.beat(1.3, Local([0] * len(FIGURES)))


@pytest.mark.parametrize(
    "budget, kind", [('tenant="t" window=0.0', "cap"), ("retries=#true", "retries"), ("calls=#true", "calls")]
)
def test_budgets_of_each_kind_in_the_operators_file(budget: str, kind: str) -> None:
    text = f'fleet {{\n name "x"\n listen "127.0.0.1:1"\n seats "a" "b"\n budgets {{\n  q total=9 {budget}\n }}\n}}'
    [bounds] = operator.told(text).fleet.budgets
    assert (bool(bounds.tenant), bounds.retries, bounds.window) == (kind == "cap", kind == "retries", float(kind == "retries"))


def test_a_seed_by_name_is_refused() -> None:
    with pytest.raises(operator.OperatorFileError, match=":4: fleet.seeds"):
        operator.told('fleet {\n name "x"\n listen "127.0.0.1:1"\n seeds "some.host:7300"\n}')
