"""Simulated instances: reproducible histories in any number of processes, traffic counts, invariant checks and fits."""

from __future__ import annotations

import json
import math
import random
from array import array
from pathlib import Path

import pytest

from benchmarks import fits, scale
from mulleinhatch.instance.gossip.messages import GONE
from mulleinhatch.simulation.scale_checks import any_window, in_sums, known_after, most_used, over_budgets, traffic_of
from mulleinhatch.simulation.scale_instances import (
    HEADER_BYTES,
    InvalidPlanError,
    Plan,
    Topology,
    churn,
    draw_fault_script,
    knows_levels,
    restart_all,
)
from mulleinhatch.simulation.scale_shards import ShardStoppedError, World
from mulleinhatch.simulation.scale_world import Gone, Shard, SumSample
from mulleinhatch.testing import fault_script as faults

FAULT_SCRIPT = (
    "at 1 lossy all 0.1 for 2\nat 1.5 kill 3 for 1\nat 1.2 stall 4,5 for 0.7\nat 2 replace 7 for 0.5\n"
    "at 1 cut zone0 from zone2 for 1"
)


def play_world(
    shards: int, seed: int = 1, until: float = 3.0, processes: bool = False, **more: object
) -> tuple[dict, dict, list]:
    with World(Plan(members=9, seed=seed, script=FAULT_SCRIPT, **more), shards, processes) as world:
        world.play(until)
        return world.digest(), world.traffic(0, until), world.listed("samples")


def test_history_is_independent_of_the_number_of_processes() -> None:
    once = play_world(1)
    assert once == play_world(1)
    assert once == play_world(2) == play_world(5)
    assert play_world(1, until=1.0) == play_world(2, until=1.0, processes=True)
    assert once[0] != play_world(1, seed=2)[0]


def test_history_with_load_balancing_maintenance_and_budgets_is_reproducible() -> None:
    more = {"spread": True, "maintenance_voters": 3, "budgets": (("quota", 180, 1.0),)}
    assert play_world(1, until=2.0, **more) == play_world(2, until=2.0, **more)


def test_playing_in_steps_gives_the_same_history() -> None:
    with World(Plan(members=9, script=FAULT_SCRIPT), 2, processes=False) as world:
        for until in (0.3, 1.0, 1.7, 3.0):
            world.play(until)
        assert world.digest() == play_world(1)[0]


def test_traffic_counts_datagrams_with_headers(monkeypatch: pytest.MonkeyPatch) -> None:
    sent_sizes: list[int] = []
    real_send, real_receive = Shard._send, Shard._receive
    received_sizes: list[int] = []

    def record_sent(shard: Shard, node: object, datagrams: list) -> None:
        sent_sizes.extend(len(data) for _, data in datagrams)
        real_send(shard, node, datagrams)

    def record_received(shard: Shard, node: object, data: bytes) -> None:
        received_sizes.append(len(data))
        real_receive(shard, node, data)

    monkeypatch.setattr(Shard, "_send", record_sent)
    monkeypatch.setattr(Shard, "_receive", record_received)
    with World(Plan(members=9), processes=False) as world:
        world.play(3.0)
        report = world.traffic(0, 4)
    assert sum(sum(series[0]) for series in report.values()) == sum(sent_sizes) + HEADER_BYTES * len(sent_sizes) > 0
    assert sum(sum(series[1]) for series in report.values()) == sum(received_sizes) + HEADER_BYTES * len(received_sizes) > 0
    assert sum(sum(series[2]) for series in report.values()) == len(sent_sizes)
    assert sum(sum(series[3]) for series in report.values()) == len(received_sizes)


def test_lost_datagrams_count_as_sent_only() -> None:
    with World(Plan(members=9, script="at 2 cut 0-3 from 4-8 for 2"), processes=False) as world:
        world.play(5.0)
        report = world.traffic(0, 5)
    sent, heard = (sum(sum(series[kind][2:4]) for series in report.values()) for kind in (2, 3))
    assert heard < 0.8 * sent
    sent, heard = (sum(sum(series[kind][1:2]) for series in report.values()) for kind in (2, 3))
    assert 0.98 * sent < heard <= 1.02 * sent


def test_views_agree_after_joining_and_not_during_a_partition() -> None:
    script = "at 2 cut region0 from region1 for 3\nat 2 cut region2 from region1 for 3"
    with World(Plan(members=9, script=script), processes=False) as world:
        assert not world.views_agree()  # no instance runs yet
        assert world.play(2.0).views_agree()
        assert not world.play(4.5).views_agree()
        assert world.frozen() > 0 or world.counts()["wrong"] > 0
        assert world.play(11.0).views_agree()


def test_death_is_detected_and_false_declaration_is_found() -> None:
    with World(Plan(members=12), processes=False) as world:
        world.play(4.0)
        assert world.count_views_of([5], frozenset([5])) == {5: (11, 0)}
        world.script("at 4 kill 5 for 6")
        world.play(9.0)
        gone = world.listed("gone")
        known = known_after(gone, {5: 11}, 4.0, 1.0)
        assert known is not None and 1.5 < known < 4.0
        assert world.counts()["wrong"] == 0 and world.count_views_of([5]) == {5: (0, 11)}
        assert known_after(gone, {5: 11, 6: 1}, 4.0, 1.0) is None
        # Planted defect: an instance declares a running one gone.
        core = world.local.nodes[2].core
        core.members._set_state(0.0, core.members.view["n7"], GONE, "silent")
        world.play(9.3)
        assert [(one.observer, one.subject, one.wrong) for one in world.listed("gone") if one.wrong][0] == (2, 7, True)
        assert world.counts()["wrong"] >= 1


def test_replacement_has_a_new_name_and_the_former_name_is_gone() -> None:
    with World(Plan(members=12, script="at 3 replace 4 for 1"), processes=False) as world:
        assert world.play(10.0).views_agree()
        assert world.counts()["wrong"] == 0
        assert {one.subject for one in world.listed("gone")} == {4}


def test_exceeded_budget_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    plan = Plan(members=9, budgets=(("quota", 90, 1.0),), demand=3.0)
    with World(plan, processes=False) as world:
        used = world.play(8.3).used()
    assert len(used[0]) > 60 and over_budgets(used, plan.budgets) == 0
    usable_share = Shard._usable_share
    monkeypatch.setattr(Shard, "_usable_share", lambda shard, node, now, budget: 2 * usable_share(shard, node, now, budget))
    with World(plan, processes=False) as world:
        used = world.play(8.3).used()
    assert over_budgets(used, plan.budgets) > 0


def test_most_used_in_a_window() -> None:
    assert most_used([0.0, 0.1, 0.2, 1.5, 1.6], 1.0) == 3 and most_used([], 1.0) == 0
    assert over_budgets([[0.0, 0.1, 0.2]], [("q", 2, 1.0)]) == 1


def test_in_sums_rejects_dead_and_missing_instances() -> None:
    samples = [
        SumSample(at, place, members, 0, 0.0, 9)
        for place, report in ((1, (10, 10, 9, 9)), (2, (10, 9, 9, 9)))
        for at, members in zip((1.0, 1.5, 2.0, 2.5), report)
    ]
    assert in_sums(samples, {1, 2}, 0.5, 3.0) == 1.5 and in_sums(samples, {2}, 0.5, 3.0) == 1.0
    assert in_sums(samples, {1, 3}, 0.5, 3.0) is None and in_sums(samples, {1}, 0.5, 1.8) is None
    assert in_sums([SumSample(1.0, 1, 5, 0, 0.0, 9)], {1}, 0.0, 3.0) == 0.0
    assert in_sums([SumSample(1.0, 1, 5, 0, 0.0, 9)], {1}, 0.0, 3.0, 0.99) is None


def test_known_after_requires_the_share_and_ignores_false_declarations() -> None:
    gone = [Gone(5.0 + place, place, 9, "silent", False) for place in range(4)] + [Gone(5.5, 8, 9, "told", True)]
    assert known_after(gone, {9: 4}, 4.0, 1.0) == 4.0 and known_after(gone, {9: 4}, 4.0, 0.5) == 2.0
    assert known_after(gone, {9: 5}, 4.0, 1.0) is None and known_after(gone, {9: 0}, 4.0, 1.0) == 0.0


def test_traffic_of_the_worst_and_the_mean_instance() -> None:
    calm, loud = array("I", [100] * 20), array("I", [100] * 10 + [1000] + [100] * 9)
    none = array("I", [0] * 20)
    report = traffic_of({0: (calm, none, none, none), 1: (loud, none, none, none)})
    assert (report.worst, report.second, report.mean_second, report.sent) == (190.0, 1000.0, 550.0, report.mean)
    assert any_window([1.0] * 30) == 1.0


def test_fit_recovers_linear_and_logarithmic_data_and_reports_the_residual() -> None:
    sizes = (25, 100, 400, 1000)
    line = fits.fit([(size, 30.0 + 0.25 * size) for size in sizes])
    assert (line.form, line.residual) == ("linear", 0.0) and math.isclose(line.at(3600), 930.0)
    log = fits.fit([(size, 5.0 + 3.0 * math.log2(size)) for size in sizes])
    assert log.form == "log2" and math.isclose(log.slope, 3.0, rel_tol=1e-6)
    assert fits.fit([(size, 7.0) for size in sizes]).form == "constant"
    noisy = fits.fit([(25, 10.0), (100, 30.0), (400, 70.0), (1000, 300.0)])
    assert noisy.residual > 0.1
    with pytest.raises(ValueError, match="points"):
        fits.fit([])


def test_record_contains_points_fit_and_check(tmp_path: Path) -> None:
    cost = fits.cost("bytes/s", [(25, 100.0), (100, 400.0), (400, 1600.0)], (1000, 4100.0))
    fits.write_record(tmp_path / "new" / "one.json", {"costs": {"instance.control.bytes": cost}})
    report = json.loads((tmp_path / "new" / "one.json").read_text())["costs"]["instance.control.bytes"]
    assert (report["form"], report["constant"], report["slope"], report["checked"]) == ("linear", 0.0, 4.0, [1000, 4100.0])


def test_places_of_zones_regions_racks_and_scripts() -> None:
    topology = Topology(Plan(members=3600))
    assert topology.places_of("zone8") == (3200, 3599) and topology.places_of("region1") == (1200, 2399)
    assert topology.places_of("rack89") == (3560, 3599)
    assert len({topology.address(place, 0) for place in range(3600)}) == 3600
    assert [fault.places for fault in topology.faults("at 1 kill rack2,7 for 3")] == [(*range(80, 120), 7)] * 2
    draw = random.Random(1)
    assert len(topology.faults(churn(draw, 3600, 8000.0, 5.0, 3600.0))) == 2 * 333
    assert len(topology.faults(restart_all(draw, 3600, 5.0, 60.0))) == 7200
    for seed in range(30):
        ends = [
            fault.until if fault.until < math.inf else fault.at
            for fault in topology.faults(draw_fault_script(random.Random(seed), topology, [3, 5, 400], 10.0, 20.0))
        ]
        assert max(ends, default=30.0) <= 30.01


@pytest.mark.parametrize(
    ("plan", "error"),
    [(Plan(members=1), "1 members"), (Plan(members=9, script="at 1 kill zone9"), "zone9"), (Plan(group_size=1), "group")],
)
def test_inconsistent_plan_is_rejected(plan: Plan, error: str) -> None:
    with pytest.raises(InvalidPlanError, match=error):
        World(plan, 1)


def test_bad_scripts_and_process_counts_are_rejected() -> None:
    with pytest.raises(faults.FaultScriptError, match="line 1"):
        World(Plan(members=9, script="at 1 kill 9"), 1)
    with pytest.raises(InvalidPlanError, match="99 processes"):
        World(Plan(members=9), 99)
    with World(Plan(members=9)) as world:
        world.play(2.0)
        with pytest.raises(ShardStoppedError, match="is over"):
            world.script("at 1 kill 2")


@pytest.mark.parametrize(
    ("argv", "error"),
    [
        (["--members", "many"], "numbers"),
        (["--members", "3"], "least"),
        (["--workers", "30"], "least"),
        (["--only", "nothing"], "no part 'nothing'"),
        (["--faults", "/nowhere"], "nowhere"),
        (["--for", "0"], "least"),
    ],
)
def test_bad_arguments_get_a_clear_error(argv: list[str], error: str) -> None:
    with pytest.raises(SystemExit, match=error):
        scale.main(["--quick", "--flat", *argv])


def test_script_from_a_file_is_played(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "f").write_text("at 2 kill 3 for 1\n")
    assert scale.main(["--flat", "--members", "12", "--faults", str(tmp_path / "f"), "--for", "7"]) == 0
    report = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert report["holds"] and report["events"]["faults"]["wrong"] == 0 and report["events"]["faults"]["one"]
    (tmp_path / "f").write_text("at 2 kill zone77\n")
    with pytest.raises(SystemExit, match="zone77"):
        scale.main(["--flat", "--members", "12", "--faults", str(tmp_path / "f")])


def test_levels_join_by_groups_or_are_reported_as_missing() -> None:
    plan = Plan(members=90, levels=True, group_size=5)
    if not knows_levels():
        with pytest.raises(InvalidPlanError, match="levels"):
            World(plan, 1)
        return
    with World(plan, 2) as world:
        world.play(15.0)
        assert world.views_agree() and world.topology.groups == 2
        world.play(20.0)  # sums follow the views and must be right within 30 s
        assert {sample.members for sample in world.listed("samples") if sample.at > 18.0} == {90}
