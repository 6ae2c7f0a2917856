"""The comparison of two trees: medians, scatter, verdict, table, the simulator's protocol and HTTP messages."""

from __future__ import annotations

import asyncio
import doctest
import struct

import pytest

from benchmarks import footprint, footprint_planes, footprint_play
from benchmarks.footprint import Comparison, compare, round_orders, rows, scatter, verdict


def compared(before: list[float], after: list[float]) -> Comparison:
    [comparison] = compare([{"start": value} for value in before], [{"start": value} for value in after])
    return comparison


@pytest.mark.parametrize("module", [footprint, footprint_play])
def test_examples(module):
    assert doctest.testmod(module).failed == 0


def test_medians_are_compared():
    comparison = compared([100.0, 101.0, 900.0], [102.0, 1.0, 103.0])
    assert (comparison.before, comparison.after, comparison.rounds) == (101.0, 102.0, 3)
    assert comparison.change == pytest.approx(1.0 / 101.0)


@pytest.mark.parametrize(("after", "holds"), [(50.0, True), (100.0, True), (102.9, True), (103.1, False), (200.0, False)])
def test_a_figure_fails_where_its_median_is_over_three_percent_worse(after, holds):
    assert compared([100.0], [after]).holds is holds


@pytest.mark.parametrize(
    ("before", "after", "holds"), [(0.0, 0.0, True), (0.0, 1.0, False), (-10.0, -9.0, False), (-10.0, -11.0, True)]
)
def test_zero_and_negative_figures_are_compared(before, after, holds):
    assert compared([before], [after]).holds is holds


def test_scatter_is_the_interquartile_range():
    assert scatter([80.0, 90.0, 100.0, 110.0, 500.0]) == pytest.approx(0.2)
    assert scatter([0.0, 0.0]) == 0.0
    assert not compared([80.0, 90.0, 100.0, 110.0, 120.0], [110.0] * 5).beyond_scatter
    assert compared([99.0, 100.0, 101.0], [110.0, 110.0, 110.0]).beyond_scatter


def test_rounds_with_different_figures_are_rejected():
    with pytest.raises(ValueError, match="different figures"):
        compare([{"start": 1.0}], [{"stop": 1.0}])
    with pytest.raises(ValueError, match="different figures"):
        compare([{"start": 1.0}, {"start": 1.0, "stop": 2.0}], [{"start": 1.0}])


def test_verdict_contains_each_figure_and_the_decisions_if_compared():
    good, bad = Comparison("start", 1.0, 1.0, 0.0, 0.0, 3), Comparison("peak", 1.0, 1.5, 0.0, 0.0, 3)
    assert verdict([good, bad], None) == {"start": True, "peak": False}
    assert verdict([good], True) == {"start": True, "same decisions": True}
    assert verdict([good], False) == {"start": True, "same decisions": False}


def test_table_shows_medians_change_scatter_and_verdict():
    lines = rows([Comparison("start", 200.0, 150.0, 0.01, 0.02, 3), Comparison("peak", 10.0, 11.0, 0.2, 0.3, 3)])
    assert lines == [
        ("start", "200", "150", "-25.0 %", "1.0 %", "2.0 %", "holds, beyond scatter"),
        ("peak", "10", "11", "+10.0 %", "20.0 %", "30.0 %", "WORSE"),
    ]
    assert footprint.result_table([Comparison("start", 1.0, 1.0, 0.0, 0.0, 3)]).row_count == 1


def test_each_tree_is_first_in_every_other_round():
    assert [order[0] for order in round_orders(4)] == [0, 1, 0, 1]
    assert all(sorted(order) == [0, 1] for order in round_orders(5))


def test_actions_of_a_reply_are_parsed_and_module_errors_raise():
    records = bytes.fromhex("50000341000aa7605d3a91c44d407f400000000000000000000000004d4a0001")
    assert list(footprint_play.read_actions(records)) == [
        (80, (3,)),
        (65, (0x000AA7605D3A91C4,)),
        (77, (500.0, 77)),
        (74, (0, 1)),
    ]
    with pytest.raises(RuntimeError, match="broken"):
        list(footprint_play.read_actions(b"\x4f" + struct.pack(">H", 6) + b"broken"))


def batches_without_actions(seed: int) -> list[tuple[float, bytes]]:
    """Return the batches of a world whose instances never act."""
    return list(footprint_play.World(2, seed).batches(0.2))


def test_batches_depend_on_the_seed_only():
    assert batches_without_actions(1) == batches_without_actions(1)
    assert batches_without_actions(1) != batches_without_actions(2)
    clocks = [clock for clock, _ in batches_without_actions(1)]
    assert clocks == sorted(set(clocks))


def test_started_run_ends():
    world = footprint_play.World(1, 1)
    instance, ended = world.instances[0], []
    for _, body in world.batches(0.5):
        ended.append(body)
        if ref := next(iter(instance.works), None):
            world.apply_reply(struct.pack(">BHBQ", 80, 0, 65, ref))
    assert any(struct.pack(">BH", 10, 0) + b"\x03" in body for body in ended)


def test_messages_with_length_and_chunked_messages_are_read():
    async def read(data: bytes, arrivals: list[float] | None = None) -> footprint_planes.Message:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await footprint_planes.read_message(reader, arrivals)

    by_length = footprint_planes.message_bytes(b"HTTP/1.1 200 OK", {b"Request-Id": b"r"}, b"body")
    answer = asyncio.run(read(by_length))
    assert (answer.status, answer.fields[b"request-id"], answer.body) == (200, b"r", b"body")
    arrivals: list[float] = []
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    # The second event is split over two chunks; it arrives with the latter.
    chunked = head + b"c\r\nid: 1\ndata: \r\n7\r\n1\n\nid: \r\n9\r\n2\ndata: 2\r\n2\r\n\n\n\r\n0\r\n\r\n"
    answer = asyncio.run(read(chunked, arrivals))
    assert answer.body == b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
    assert len(arrivals) == 2
    with pytest.raises(asyncio.IncompleteReadError):
        asyncio.run(read(by_length[:-1]))


def test_trees_with_different_replies_have_different_digests(tmp_path):
    answers = {}
    for name, text in (("one", "b'held'"), ("same", "b'he' + b'ld'"), ("other", "b'run'")):
        adapter = tmp_path / name / "mulleinhatch" / "benchlink"
        adapter.mkdir(parents=True)
        (adapter.parent / "__init__.py").touch()
        (adapter / "__init__.py").touch()
        (adapter / "__main__.py").write_text(f"import sys\nsys.stdout.buffer.write(sys.stdin.buffer.read() + {text})\n")
        answers[name] = footprint_play.replay(tmp_path / name, b"said ")
    assert answers["one"].digest == answers["same"].digest != answers["other"].digest
    assert (answers["one"].answer_bytes, answers["other"].answer_bytes) == (9, 8)
    assert answers["one"].processor_s > 0.0
