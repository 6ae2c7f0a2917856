"""Gossip: edge cases and random histories in virtual time, datagrams of each kind, and real processes with faults."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path

import pytest

from mulleinhatch.instance.gossip import messages as wire
from mulleinhatch.instance.gossip.bounds import FleetBounds
from mulleinhatch.instance.gossip.core import GossipNode, LocalState
from mulleinhatch.instance.gossip.counters import FIGURES, FleetCounters
from mulleinhatch.instance.gossip.messages import GossipMessage, MemberUpdate, Report
from mulleinhatch.instance.gossip.outlier_detection import OutlierDetector
from mulleinhatch.instance.runtime import operator_file as operator
from mulleinhatch.simulation.gossip_world import GossipWorld, Plan, draw_fault_script
from mulleinhatch.testing import fault_script as faults
from mulleinhatch.testing.fleet_harness import FleetCase, FleetHarness, most_in_window, views_agree
from mulleinhatch.testing.instance_harness import keep_environment


def uneven_demand(place: int, now: float) -> float:
    return 2.0 if (place + int(now / 4)) % 2 else 0.4


def frozen_places(world: GossipWorld) -> set[int]:
    return {node.place for node in world.nodes if node.core and node.core.members.frozen}


@pytest.mark.parametrize("seed", range(30))
def test_random_histories(seed: int) -> None:
    """No window exceeds its total, no quota is negative, a minority declares nobody gone, and views agree again within 3 s."""
    draw = random.Random(seed)
    instances = draw.choice((3, 4, 5, 6, 8, 12))
    script = draw_fault_script(draw, instances, 7.0, 6.0)
    end = max(7.0, faults.end_of(faults.read(script, instances)))
    world = GossipWorld(
        Plan(
            instances,
            script,
            seed=seed,
            clocks=draw.choice(((), (0.99, 1.01))),
            demand=uneven_demand,
            budgets=(("quota", 20 * instances, 1.0),),
        )
    )
    world.play(end + 3.0)
    agreed = [world.play(end + 3.0 + 0.2 * poll).views_agree() for poll in range(5)]
    assert any(agreed), (
        script,
        [
            (node.name, member.name, member.state)
            for node in world.nodes
            if node.core
            for member in node.core.members.view.values()
            if member.state
        ],
    )


@pytest.mark.parametrize(
    "script, cut_off",
    [
        ("at 5 cut 0-5 from 6-11 for 8", set(range(12))),
        ("at 5 cut 3 from 0-2,4-11 for 8", {3}),
        ("at 5 deaf 0-2 to 3-11 for 8", {0, 1, 2}),
        ("at 5 cut 0-3 from 4-11 for 8", {0, 1, 2, 3}),
    ],
    ids=["halves", "one", "one way", "a third"],
)
def test_isolated_members_freeze_and_declare_nobody_gone(script: str, cut_off: set[int]) -> None:
    world = GossipWorld(Plan(12, script)).play(9.0)
    assert frozen_places(world) >= cut_off
    world.play(12.9)
    assert not [declared for declared in world.declared if declared[1] in cut_off], world.declared
    world.play(16.0)
    assert world.views_agree() and not frozen_places(world)


@pytest.mark.parametrize(
    "script",
    [
        "at 5 cut 0-2 from 9-11 for 8",
        "at 5 lossy all 0.3 for 8\nat 5 swapped all 0.3 for 8\nat 5 repeated all 0.3 for 8",
        "at 5 stall 2,7 for 2",
        "at 5 delayed all 0.1 for 6",
        "at 5 lossy all 0.2 for 8\nat 6 stall 4 for 2",
    ],
    ids=["chain", "loss and order", "stalls", "delay", "loss and a stall"],
)
def test_no_running_member_is_declared_gone(script: str) -> None:
    for seed in range(3):
        world = GossipWorld(Plan(12, script, seed=seed)).play(16.0)
        assert not world.declared and world.views_agree(), (seed, world.declared)


def test_dead_members_are_detected_and_paused_ones_return() -> None:
    world = GossipWorld(Plan(12, "at 5 kill 1\nat 5 stall 2,3 for 12")).play(8.2)
    assert world.known_gone("n1") == 1.0
    assert not [1 for _, by, _ in world.declared if by in (2, 3)]
    world.play(20.0)
    assert world.views_agree()
    assert not [1 for _, by, _ in world.declared if by in (2, 3)], "a paused member declared others gone when it resumed"


def test_all_restarted_together_with_clocks_set_back() -> None:
    """Process epochs come from clocks that may have been set back by an hour; messages of the others correct them."""
    world = GossipWorld(Plan(8, "at 5 kill 0-3 for 1\nat 8 kill all for 1", seed=3)).play(14.0)
    assert world.views_agree()


def test_many_members_join_and_leave_at_once() -> None:
    script = "at 0.3 kill 5-59\nat 4 start 5-59\nat 9 leave 5-59"
    world = GossipWorld(Plan(60, script, budgets=())).play(7.5)
    assert world.views_agree()
    world.play(13.0)
    assert world.views_agree()
    assert {member.state for member in world.nodes[0].core.members.view.values()} >= {wire.LEFT}


def test_lender_dies_with_a_grant_in_flight() -> None:
    """Its loans expire, and its equal share is usable again once its former loans must have expired."""
    plan = Plan(
        4,
        "at 10 lossy all 0.5 for 3\nat 11 kill 2 for 2",
        until=30.0,
        budgets=(("quota", 200, 1.0),),
        seed=5,
        demand=lambda place, now: 2.5 if place < 2 else 0.2,
    )
    world = GossipWorld(plan).play(30.0)
    assert world.views_agree() and world.most_used[0] > 130


def test_quotas_follow_demand_and_an_isolated_half_keeps_its_even_share() -> None:
    def used(leases: bool, script: str = "") -> tuple[float, float]:
        world = GossipWorld(
            Plan(8, script, leases=leases, budgets=(("quota", 800, 1.0),), demand=lambda place, now: 1.6 if place < 4 else 0.4)
        ).play(14.0)
        before = Counter(world.took)
        world.play(24.0)
        took = Counter(world.took)
        took.subtract(before)
        return sum(took.values()) / 8000.0, sum(took[place] for place in range(4)) / 4000.0

    shared, _ = used(True)
    assert shared >= 0.9 > 0.75 > used(False)[0]
    _, cut_off_half = used(True, "at 8 cut 0-3 from 4-7 for 20")
    assert cut_off_half >= 0.93  # of its equal share; the rest is random variation within each window


def test_two_instances_of_one_name_detect_each_other() -> None:
    bounds = FleetBounds("f", seeds=("10.0.0.1:0",))
    fleet = {
        "10.0.0.1:0": GossipNode(bounds, "a", "10.0.0.1:0", 5, 1, 0.0),
        "10.0.0.1:1": GossipNode(bounds, "b", "10.0.0.1:1", 5, 2, 0.0),
        "10.0.0.1:2": GossipNode(bounds, "b", "10.0.0.1:2", 9, 3, 0.0),
    }
    for step in range(1, 30):
        waiting = [outgoing for core in fleet.values() for outgoing in core.heartbeat(0.1 * step, LocalState())]
        while waiting:
            address, data = waiting.pop(0)
            waiting += fleet[address].handle_datagram(0.1 * step, data)
    assert fleet["10.0.0.1:1"].members.outlived and not fleet["10.0.0.1:2"].members.outlived
    assert fleet["10.0.0.1:0"].members.view["b"].address == "10.0.0.1:2"


def test_no_datagram_exceeds_the_size_limit() -> None:
    fleet = GossipNode(
        FleetBounds("a fleet of a long name", seeds=("10.0.0.1:0",)), "n" * 40, "127.0.0.100:65535", 10**13, 1, 0.0
    )
    fleet.heartbeat(
        0.0, LocalState([10**9] * len(FIGURES), (), [("tenant" * 6, 1e9)] * 4, [("interpreter of x" * 2, 100, 10**9)] * 4)
    )
    for number in range(1200):
        name = f"{'m' * 30}{number}"
        report = Report(name, 2**40, number + 1, 0.1, [10**9] * len(FIGURES), [10**9] * 8, [("t" * 40, 1e8)] * 4, [])
        message = GossipMessage(
            wire.VERSION,
            "a fleet of a long name",
            name,
            f"127.0.100.100:{number}",
            2**40,
            3,
            "ping",
            number,
            "",
            [MemberUpdate(f"{'r' * 35}{number}", "127.0.100.1:1000", 2**40, 1, 1, 0.3)],
            [report],
        )
        for _, data in fleet.handle_datagram(0.001 * number, wire.encode(message)):
            assert len(data) <= wire.MAX_DATAGRAM_BYTES
    assert len(fleet.members.view) <= 1001 + 1000 and len(fleet.fleet_counters.rows) <= 1000
    assert fleet.counts["members_refused"]


def test_bad_datagrams_are_counted_and_dropped() -> None:
    draw, fleet = random.Random(2), GossipNode(FleetBounds("f"), "a", "10.0.0.1:0", 5, 1, 0.0)
    good = wire.encode(
        GossipMessage(wire.VERSION, "f", "b", "10.0.0.1:1", 7, 0, "ping", 3, "", [MemberUpdate("c", "10.0.0.1:2", 4, 0, 0)])
    )
    assert fleet.handle_datagram(0.1, good)
    for _ in range(3000):
        data = bytearray(good)
        for _ in range(draw.randrange(1, 4)):
            data[draw.randrange(len(data))] = draw.randrange(256)
        fleet.handle_datagram(0.1, bytes(data[: draw.randrange(1, len(data) + 1)]))
    assert fleet.counts["unfit_garbage"] > 1000
    newer = wire.encode(GossipMessage(wire.VERSION + 1, "f", "b", "10.0.0.1:1", 7, 0, "ping"))
    assert fleet.handle_datagram(0.1, newer) == [] and fleet.counts["unfit_other_version"] >= 1
    assert fleet.handle_datagram(0.1, b"\x00" * 3000) == [] and fleet.counts["unfit_too_long"] == 1


def test_datagram_of_an_earlier_process_changes_nothing() -> None:
    fleet = GossipNode(FleetBounds("f"), "a", "10.0.0.1:0", 5, 1, 0.0)
    for process_epoch, state in ((9, 0), (7, 0)):
        fleet.handle_datagram(
            0.1, wire.encode(GossipMessage(wire.VERSION, "f", "b", f"10.0.0.1:{process_epoch}", process_epoch, 0, "ping", 1))
        )
    assert fleet.members.view["b"].address == "10.0.0.1:9" and fleet.members.counts["earlier_lives"] == 1


def test_totals_bound_what_silent_members_may_have_done() -> None:
    counts = FleetCounters(100)
    for name, at in (("a", 10.0), ("b", 10.0), ("c", 4.0)):
        for number in (1, 2):
            counts.record(
                at + number - 2,
                Report(
                    name,
                    1,
                    number,
                    0.0,
                    [0, 0, 30 * number, 0, 2, 3, 50, 1],
                    [],
                    [("loud", 9.0), ("x", 4.0), ("y", 3.0), ("z", 2.0)],
                ),
            )
    acked = counts.total(10.0, "acked")
    assert (acked.least, acked.most, acked.members, acked.silent, acked.oldest) == (60.0, 110.0, 3, 1, 6.0)
    assert (counts.tenant(10.0, "loud").least, counts.tenant(10.0, "quiet").most) == (18.0, 54.0)


def test_ejections_respect_the_limits() -> None:
    """A single observer or an isolated member ejects nobody; at most a fifth are ejected, and none if most look unhealthy."""
    observers = {f"v{number}" for number in range(10)}

    def ejected_by(unhealthy: int, by: int, cut_off: bool = False) -> list[str]:
        outlier_detector = OutlierDetector()
        for observer in sorted(observers)[:by]:
            for subject in range(10):
                outlier_detector.record(1.0, observer, f"s{subject}", 1.0 if subject < unhealthy else 0.0, 1000)
        return outlier_detector.judge(1.0, observers, cut_off)

    assert ejected_by(1, 1) == [] and ejected_by(1, 3) == ["s0"] and ejected_by(4, 10) == ["s0", "s1"]
    assert ejected_by(6, 10) == [] and ejected_by(1, 10, cut_off=True) == []


def test_ejection_has_hysteresis() -> None:
    outlier_detector, ejected = OutlierDetector(), []
    for step, bad in enumerate((0.7, 0.5, 0.4, 0.5, 0.2, 0.5, 0.7)):
        for observer in ("a", "b", "c"):
            outlier_detector.record(float(step), observer, "s", bad, 100)
            outlier_detector.record(float(step), observer, "t", 0.0, 100)
        ejected.append(bool(outlier_detector.judge(float(step), {"a", "b", "c"}, False)))
    assert ejected == [True, True, True, True, False, False, True]


@pytest.mark.parametrize(
    "text, error_text",
    [
        ('fleet {\n name "x"\n listen "nowhere"\n}', ":3: fleet.listen: Expected `str`"),
        (
            'fleet {\n name "x"\n listen "10.0.0.1:1"\n seats "a" "b"\n budgets {\n  q total=1 tenant="t"\n }\n}',
            ":6: fleet.budgets.q.total: 1 is",
        ),
        (
            'fleet {\n name "x"\n listen "10.0.0.1:1"\n budgets {\n  q total=9 tenant="t"\n }\n}',
            ":5: fleet.budgets.q.seats: none are given",
        ),
        (
            'fleet {\n name "x"\n listen "10.0.0.1:1"\n seats "a"\n budgets {\n  q total=9\n }\n}',
            ":6: fleet.budgets.q.tenant: exactly one",
        ),
        (
            'fleet {\n name "x"\n listen "10.0.0.1:1"\n seats "a"\n budgets {\n  q totl=9\n }\n}',
            ":6: fleet.budgets.q.totl: no such key",
        ),
        ('fleet {\n name "x"\n}', ":1: fleet"),
    ],
)
def test_error_in_the_fleet_node_has_the_line_number(text: str, error_text: str) -> None:
    with pytest.raises(operator.OperatorFileError) as error:
        operator.parse(text)
    assert str(error.value).startswith("operator.kdl" + error_text), error.value


MAX_VOID_RUNS = 2


@pytest.mark.processes
def test_processes_partitioned_killed_and_paused(tmp_path: Path) -> None:
    """Six real processes: a partition of two, a restart after a kill, and a stall.

    The runs of the interpreters never exceed the tenant's total in any window, views agree again after each fault, and the
    isolated members declare no living member gone.
    """
    keep_environment()
    case = FleetCase(
        6,
        "at 1 cut 0-1 from 2-5 for 4\nat 7 kill 3 for 1\nat 7 stall 4 for 1.2",
        run_for=11.0,
        total=120,
        lease=1.0,
        loads=(("0-2", 100.0), ("3-5", 30.0)),
        cores=8,
    )

    async def run_case(folder: Path) -> tuple[dict, dict, float | None, float | None]:
        async with FleetHarness(case, folder) as harness:
            names = {node.name for node in harness.nodes}
            assert await harness.wait_for(lambda views: views_agree(views, names), 15.0) is not None
            await harness.go()
            await harness.until(4.8)
            cut = await harness.views()
            await harness.until(5.0)
            healed_after_s = await harness.wait_for(lambda views: views_agree(views, names), 10.0)
            await harness.until(8.3)
            restarted_after_s = await harness.wait_for(lambda views: views_agree(views, names), 10.0)
            return cut, await harness.finish(), healed_after_s, restarted_after_s

    # A run in which the harness was so late that no window remains proves nothing and is repeated.
    for attempt in range(MAX_VOID_RUNS + 1):
        folder = tmp_path / str(attempt)
        folder.mkdir()
        cut, results, healed_after_s, restarted_after_s = asyncio.run(asyncio.wait_for(run_case(folder), 80.0))
        window_s = 1.0 - 4.0 * results["late"] - 0.03
        assert all(cut[name]["frozen"] for name in ("n0", "n1")) and not cut["n3"]["frozen"]
        assert not [row for name in ("n0", "n1") for row in cut[name]["members"] if row["state"] == "gone"]
        assert healed_after_s is not None and restarted_after_s is not None
        starts = [at for host in results["ran"] for at, _ in host["starts"]]
        assert len(starts) > 300
        if window_s > 0.0:
            break
    assert window_s > 0.0, f"the harness was late by {results['late']} s in each of {MAX_VOID_RUNS + 1} runs"
    assert most_in_window(starts, window_s) <= case.total


@pytest.mark.processes
def test_processes_restart_while_the_directory_is_down(tmp_path: Path) -> None:
    """Two of four instances are killed and restart while the directory is down.

    The fleet detects them at once, the clients keep the last list, and all four serve again once the directory is back.
    """
    keep_environment()
    case = FleetCase(
        4,
        "at 1 directory off for 4\nat 1 kill 0,1 for 1",
        run_for=10.0,
        lease=1.0,
        loads=(("all", 60.0),),
        cores=8,
        directory=True,
    )

    async def run_case() -> tuple[dict, float | None]:
        async with FleetHarness(case, tmp_path) as harness:
            names = {node.name for node in harness.nodes}
            assert await harness.wait_for(lambda views: views_agree(views, names), 15.0) is not None
            await harness.go()
            await harness.until(2.5)
            restarted_after_s = await harness.wait_for(lambda views: views_agree(views, names), 8.0)
            return await harness.finish(), restarted_after_s

    results, restarted_after_s = asyncio.run(asyncio.wait_for(run_case(), 60.0))
    assert (
        restarted_after_s is not None
        and results["relay"]["directory"]["reports"] > 20
        and not results["relay"]["directory"]["broken"]
    )
    end = max(at for host in results["ran"] for at, _ in host["starts"])
    late = [sum(at > end - 2.0 for at, _ in host["starts"]) for host in results["ran"]]
    assert all(count > 5 for count in late), late
