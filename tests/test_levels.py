"""Aggregation tree: handcrafted messages of each kind, random histories in virtual time, and removed guards."""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec
import pytest

from mulleinhatch.instance.gossip import messages as wire
from mulleinhatch.instance.gossip.aggregation_tree import MAX_GROUP_MEMBERS
from mulleinhatch.instance.gossip.bounds import BudgetBounds, FleetBounds
from mulleinhatch.instance.gossip.core import GossipNode, LocalState
from mulleinhatch.instance.gossip.locations import locate, pack_addresses, unpack_addresses
from mulleinhatch.instance.gossip.messages import GROUP, LEFT, REGION, ZONE, GossipMessage, Summary, SummaryMessage
from mulleinhatch.instance.gossip.peer_groups import PeerGroup
from mulleinhatch.instance.gossip.speaker_election import SILENT_AFTER_START_S
from mulleinhatch.instance.gossip.summary_composer import MAX_SUMMARY_BYTES
from mulleinhatch.instance.gossip.summary_table import MAX_ROWS, STALE_AFTER_S, ReceivedSummary
from mulleinhatch.instance.runtime import operator_file as operator
from mulleinhatch.simulation.scale_checks import over_budgets
from mulleinhatch.simulation.scale_instances import Plan, Topology, draw_fault_script
from mulleinhatch.simulation.scale_shards import World

BOUNDS = FleetBounds("f", zone="z", region="r", groups=4)
LOCAL_STATE = LocalState([0, 0, 0, 0, 5, 5, 100, 1, 0, 10])


def names_in_group(group: int, count: int, bounds: FleetBounds = BOUNDS) -> list[str]:
    """Return names that the hash assigns to the given group."""
    found = (f"n{index}" for index in range(10_000))
    return [name for name in found if locate(bounds, name).index == group][:count]


def create_node(name: str, bounds: FleetBounds = BOUNDS, process_epoch: int = 7, now: float = 0.0) -> GossipNode:
    return GossipNode(bounds, name, f"10.0.0.1:{7000 + int(name[1:])}", process_epoch, int(name[1:]), now)


def deliver(nodes: list[GossipNode], messages: list[tuple[str, bytes]], now: float) -> None:
    """Deliver messages and their responses until none are left."""
    by_address = {node.members.address: node for node in nodes}
    while messages:
        address, data = messages.pop(0)
        if address in by_address:
            messages += by_address[address].handle_datagram(now, data)


def run_heartbeats(nodes: list[GossipNode], since: float, until: float, step: float = 0.25) -> float:
    now = since
    while now < until:
        now += step
        for node in nodes:
            deliver(nodes, node.heartbeat(now, LOCAL_STATE), now)
    return now


def introduce(nodes: list[GossipNode], now: float = 0.0) -> None:
    """Send a message from each member to each other member."""
    for node in nodes:
        for other in nodes:
            if node is not other:
                message = GossipMessage(
                    1,
                    "f",
                    node.name,
                    node.members.address,
                    node.members.process_epoch,
                    0,
                    "word",
                    group_key=node.aggregation_tree.location.key if node.aggregation_tree else 0,
                )
                other.handle_datagram(now, wire.encode(message))


def speaker_of(nodes: list[GossipNode], now: float) -> GossipNode:
    return next(node for node in nodes if node.aggregation_tree.is_speaker(now))


def encode_message(
    sender: str, bounds: FleetBounds = BOUNDS, summary_message: SummaryMessage | None = None, **fields: object
) -> bytes:
    """Return an encoded message of a member at the location given by its name and the bounds."""
    location = locate(bounds, sender)
    fields = {"kind": "word", "process_epoch": 7, **fields}
    return wire.encode(
        GossipMessage(
            1,
            "f",
            sender,
            f"10.0.0.2:{7000 + int(sender[1:])}",
            fields["process_epoch"],
            0,
            fields["kind"],
            group_key=location.key if location else 0,
            summary_data=wire.encode_summary_message(summary_message) if summary_message else b"",
        )
    )


def create_summary(level: int, name: str, members: int, age: int = 0, contacts: bytes = b"") -> Summary:
    return Summary(level, name, age, members, 0, 0, 0, [members] * 11, contacts)


# Peers and other senders.


def test_member_of_another_group_is_answered_and_becomes_no_peer() -> None:
    node, other = create_node(names_in_group(0, 1)[0]), names_in_group(1, 1)[0]
    ((address, data),) = node.handle_datagram(1.0, encode_message(other, kind="ping"))
    assert address == f"10.0.0.2:{7000 + int(other[1:])}" and wire.decode(data, "f").kind == "ack"
    assert node.members.view == {} and node.totals(1.0)["fleet"].members == 1


def test_member_without_tree_is_answered_and_neither_declares_the_other_gone() -> None:
    new, old = create_node("n0"), GossipNode(FleetBounds("f", seeds=("10.0.0.1:7000",)), "n1", "10.0.0.1:7001", 7, 1, 0.0)
    now = 0.0
    while now < 20.0:
        now += 0.1
        deliver([new, old], old.heartbeat(now, LOCAL_STATE), now)
        if round(now * 10) % 3 == 0:
            deliver([new, old], new.heartbeat(now, LOCAL_STATE), now)
    assert old.members.alive() == ["n0"] and old.members.counts["suspected"] == 0
    assert new.members.view == {} and new.counts["letters_without_levels"] > 100


def test_suspicion_of_a_member_without_tree_is_refuted() -> None:
    node = create_node("n0")
    suspicion = wire.MemberUpdate("n0", node.members.address, 7, 0, wire.SUSPECT, 0.5)
    message = GossipMessage(1, "f", "n1", "10.0.0.1:7001", 7, 0, "ping", 4, member_updates=[suspicion])
    ((_, data),) = node.handle_datagram(1.0, wire.encode(message))
    assert wire.decode(data, "f").incarnation == 1


def test_peer_restarted_in_another_zone_has_left_and_is_not_gone() -> None:
    node, name = create_node(names_in_group(0, 1)[0]), names_in_group(0, 2)[1]
    node.handle_datagram(1.0, encode_message(name))
    assert node.members.alive() == [name]
    node.handle_datagram(2.0, encode_message(name, BOUNDS._replace(zone="y"), process_epoch=8))
    assert node.members.view[name].state == LEFT and node.members.counts["declared_gone"] == 0


def test_same_name_in_another_zone_owns_another_seat() -> None:
    bounds = BOUNDS._replace(budgets=(BudgetBounds("q", 8, ("r/z/n0", "r/y/n0"), 1.0),))
    node = create_node("n0", bounds)
    node.handle_datagram(20.0, encode_message("n0", bounds._replace(zone="y"), process_epoch=9))
    assert node.counts["names_elsewhere"] == 1 and not node.members.has_duplicate_name(20.0)
    assert node.usable_quota(20.0, 0) == 4, "each instance owns the seat of its own location"
    assert create_node("n0", bounds._replace(zone="x")).usable_quota(20.0, 0) == 0, "there is no seat at that location"


def test_group_size_is_bounded() -> None:
    bounds = BOUNDS._replace(groups=1)
    node = create_node("n0", bounds)
    for index in range(1, 150):
        node.handle_datagram(1.0, encode_message(f"n{index}", bounds))
    assert len(node.members.view) == MAX_GROUP_MEMBERS and node.counts["members_refused"] == 149 - MAX_GROUP_MEMBERS


# Summaries.


def test_summaries_add_up_and_none_is_counted_twice() -> None:
    node = create_node(names_in_group(0, 1)[0])
    peer = names_in_group(0, 2)[1]
    node.handle_datagram(
        1.0,
        encode_message(
            peer,
            summary_message=SummaryMessage(
                summaries=[
                    create_summary(GROUP, "1/4", 20),
                    create_summary(GROUP, "0/4", 99),
                    create_summary(ZONE, "y", 80),
                    create_summary(ZONE, "z", 99),
                    create_summary(REGION, "s", 300),
                    create_summary(REGION, "r", 99),
                ]
            ),
        ),
    )
    assert [node.totals(1.0)[level].members for level in ("group", "zone", "region", "fleet")] == [2, 22, 102, 402]


def test_summaries_of_a_foreign_sender_count_only_for_its_own_location() -> None:
    node = create_node(names_in_group(0, 1)[0])
    abroad, near = BOUNDS._replace(region="s", zone="q"), BOUNDS._replace(zone="y")
    node.handle_datagram(
        1.0,
        encode_message(
            "n5",
            abroad,
            SummaryMessage(
                "s",
                "q",
                "1/4",
                summaries=[create_summary(REGION, "s", 300), create_summary(ZONE, "q", 100), create_summary(GROUP, "1/4", 25)],
            ),
        ),
    )
    node.handle_datagram(
        1.0,
        encode_message(
            "n5",
            near,
            SummaryMessage("r", "y", "1/4", summaries=[create_summary(ZONE, "y", 80), create_summary(GROUP, "2/4", 25)]),
        ),
    )
    assert set(node.aggregation_tree.summaries.rows) == {(REGION, "s"), (ZONE, "y")}


@pytest.mark.parametrize("age, patience", [(0, 1.0), (40, 1.0), (0, 2.0)])
def test_stale_summary_counts_as_silent_and_relaying_never_makes_it_younger(age: int, patience: float) -> None:
    row = ReceivedSummary(create_summary(ZONE, "y", 80), 10.0 - age / 10.0)
    last = 10.0 - age / 10.0 + patience * STALE_AFTER_S[ZONE]
    assert (row.total(last, patience).members, row.total(last + 0.1, patience).members) == (80, 0)
    assert (row.total(last + 0.1, patience).silent, row.total(last + 0.1, patience).most("acked")) == (80, 80.0)
    now, first_made_at, received = 10.0, row.made_at, row
    for _ in range(50):  # relayed every 33 ms: if the age were rounded down at each hop, the summary would stay young
        relayed = received.relayed(now)
        now += 0.033
        received = ReceivedSummary(relayed, now - 0.033 - relayed.age_ds / 10.0)
        assert received.made_at <= first_made_at + 1e-6, (
            "a summary that looks newer than it is would be sent as a change forever"
        )


def test_earlier_summary_changes_nothing_and_a_missed_change_is_sent_with_the_next_message() -> None:
    node, peer = create_node(names_in_group(0, 1)[0]), names_in_group(0, 2)[1]
    node.handle_datagram(
        10.0, encode_message(peer, summary_message=SummaryMessage(summaries=[create_summary(GROUP, "1/4", 20)]))
    )
    node.handle_datagram(
        10.1, encode_message(peer, summary_message=SummaryMessage(summaries=[create_summary(GROUP, "1/4", 25, age=30)]))
    )
    row = node.aggregation_tree.summaries.rows[GROUP, "1/4"]
    assert row.summary.members == 20
    row.peer_sends_left = 0
    ages = bytearray(node.aggregation_tree.summaries.encode_ages(10.2))
    node.handle_datagram(10.2, encode_message(peer, summary_message=SummaryMessage(ages=bytes(ages))))
    assert row.peer_sends_left == 0, "the sender has the same information"
    ages[2 + 2 * 1 + 1] = 25
    node.handle_datagram(10.2, encode_message(peer, summary_message=SummaryMessage(ages=bytes(ages))))
    assert row.peer_sends_left == 1


def test_speaker_that_missed_a_change_is_answered_at_once() -> None:
    """The next scheduled message would go to another group: one change took 14 s to reach all of a zone of 16 groups."""
    node, peer, other = create_node(names_in_group(0, 1)[0]), names_in_group(0, 2)[1], names_in_group(2, 1)[0]
    node.handle_datagram(
        10.0, encode_message(peer, summary_message=SummaryMessage(summaries=[create_summary(GROUP, "1/4", 20)]))
    )
    ages = bytearray(node.aggregation_tree.summaries.encode_ages(10.1))
    assert not node.handle_datagram(
        10.1, encode_message(other, summary_message=SummaryMessage("r", "z", "2/4", ages=bytes(ages)))
    )
    ages[2 + 2 * 1 : 2 + 2 * 1 + 2] = 3, 12
    ((address, data),) = node.handle_datagram(
        10.5, encode_message(other, summary_message=SummaryMessage("r", "z", "2/4", ages=bytes(ages)))
    )
    decoded = wire.decode_summary_message(wire.decode(data, "f").summary_data)
    assert address.startswith("10.0.0.2") and [(row.name, row.members) for row in decoded.summaries] == [("1/4", 20)]


@pytest.mark.parametrize(
    "summary_data",
    [
        b"\xc1",
        b"\x00" * 40,
        msgspec.msgpack.encode(["r", "z", "0/4", False, b"", b"", [[7]]]),
        msgspec.msgpack.encode(["r" * 400]),
    ],
)
def test_invalid_summaries_are_counted_and_the_rest_of_the_message_is_used(summary_data: bytes) -> None:
    node, peer = create_node(names_in_group(0, 1)[0]), names_in_group(0, 2)[1]
    message = GossipMessage(
        1, "f", peer, "10.0.0.1:7900", 7, 0, "word", group_key=node.aggregation_tree.location.key, summary_data=summary_data
    )
    node.handle_datagram(1.0, wire.encode(message))
    assert node.aggregation_tree.counts["upward_unfit"] == 1 and node.members.alive() == [peer]


@pytest.mark.parametrize("name", ["9/4", "x/4", "1", "1/900", "1/2/3"])
def test_impossible_group_names_are_rejected(name: str) -> None:
    node, peer = create_node(names_in_group(0, 1)[0]), names_in_group(0, 2)[1]
    node.handle_datagram(
        1.0, encode_message(peer, summary_message=SummaryMessage(summaries=[create_summary(GROUP, name, 20)], ages=b"\0" * 9))
    )
    assert not node.aggregation_tree.summaries.rows and node.aggregation_tree.counts["sums_refused"] == 1


def test_number_of_zones_and_bytes_of_a_message_are_bounded() -> None:
    node, peer = create_node(names_in_group(0, 1)[0]), names_in_group(0, 2)[1]
    for index in range(40):
        node.handle_datagram(
            1.0,
            encode_message(
                peer, summary_message=SummaryMessage(summaries=[create_summary(ZONE, f"zone-of-a-long-name-{index}", 20)])
            ),
        )
    assert len(node.aggregation_tree.summaries.rows) == MAX_ROWS[ZONE] and node.aggregation_tree.counts["sums_refused"] == 25
    assert len(node.aggregation_tree.composer.for_group(1.0)) <= MAX_SUMMARY_BYTES


# Speaker election.


def create_group_of_five(now: float = 0.0) -> list[GossipNode]:
    nodes = [create_node(name, now=now) for name in names_in_group(0, 5)]
    introduce(nodes, now)
    return nodes


def test_one_member_speaks_and_its_standby_takes_over() -> None:
    nodes = create_group_of_five()
    now = run_heartbeats(nodes, 0.0, 6.0)
    assert sum(node.aggregation_tree.is_speaker(now) for node in nodes) == 1
    dead = speaker_of(nodes, now)
    left = [node for node in nodes if node is not dead]
    now = run_heartbeats(left, now, now + 3.0)
    assert sum(node.aggregation_tree.is_speaker(now) for node in left) == 1, "on suspicion, before it is declared gone"


def test_isolated_and_just_started_members_do_not_speak() -> None:
    nodes = create_group_of_five()
    now = run_heartbeats(nodes, 0.0, 6.0)
    alone = speaker_of(nodes, now)
    later = run_heartbeats([alone], now, now + 4.0)
    assert alone.members.frozen and not alone.aggregation_tree.is_speaker(later)
    fresh = create_node(alone.name, process_epoch=8, now=later)
    assert not fresh.aggregation_tree.is_speaker(later + SILENT_AFTER_START_S - 0.1)


def test_former_speaker_does_not_present_its_old_summary_as_new() -> None:
    """A standby that was speaker before sent its old summary with age 0, so the totals of the fleet alternated."""
    nodes = create_group_of_five()
    now = run_heartbeats(nodes, 0.0, 6.0)
    speaker = speaker_of(nodes, now)
    speaker.aggregation_tree.group_summary.published_at -= 30.0
    assert speaker.aggregation_tree.group_summary.current(now).age_ds >= 300


# Random histories.


def wait_for_convergence(world: World, within: float = 45.0) -> bool:
    until = world.now + within
    while world.now < until:
        if world.views_agree():
            return True
        world.play(world.now + 1.0)
    return world.views_agree()


@pytest.fixture(scope="module")
def converged_world() -> Iterator[World]:
    """A world of 90 members in 9 groups, after all views have converged."""
    with World(Plan(members=90, levels=True, group_size=10, seed=3), 1, processes=False) as world:
        assert wait_for_convergence(world.play(10.0))
        yield world


def test_all_members_join_and_are_counted(converged_world: World) -> None:
    speakers = converged_world.speakers()
    assert len(speakers) == 9, "one per group"
    for _ in range(20):  # the views have converged; the sums follow
        if {sample.members for sample in converged_world.listed("samples")[-9:]} == {90}:
            return
        converged_world.play(converged_world.now + 0.5)
    raise AssertionError(converged_world.listed("samples")[-9:])


@pytest.mark.parametrize("seed", range(4))
def test_random_histories(seed: int) -> None:
    """Speakers die, stall, are duplicated, or are cut off from their group, also in one direction only.

    No living member is declared gone by members that hear it, no total is exceeded, and all views converge again.
    """
    draw = random.Random(seed)
    plan = Plan(members=54, levels=True, group_size=6, seed=seed, budgets=(("quota", 540, 1.0),), demand=1.3)
    with World(plan, 1, processes=False) as world:
        assert wait_for_convergence(world.play(8.0))
        script = draw_fault_script(draw, Topology(plan), world.speakers(), world.now + 1.0, 8.0)
        world.script(script)
        world.play(world.now + 9.0)
        assert wait_for_convergence(world, 30.0), script
        assert over_budgets(world.used(), plan.budgets) == 0, script
        # A member that stalled or was cut off from its group for longer than the suspicion timeout may be declared gone.
        affected = {
            place for fault in Topology(plan).faults(script) if fault.what in ("stall", "cut") for place in fault.places
        }
        wrong = [gone for gone in world.listed("gone") if gone.wrong and gone.subject not in affected]
        assert not wrong, (script, wrong)


# Injected defects: a test fails when its guard is removed.


def test_suspects_are_probed_by_each_peer(monkeypatch: pytest.MonkeyPatch) -> None:
    """If only one peer probed a suspect, the other peers would get no response from it and rely on relayed updates alone."""
    nodes = create_group_of_five()
    now = run_heartbeats(nodes, 0.0, 3.0)
    node, suspect = nodes[0], nodes[1]
    node.members._set_state(now, node.members.view[suspect.name], wire.SUSPECT, "told")
    probed = [address for address, data in node.heartbeat(now + 0.25, LOCAL_STATE) if wire.decode(data, "f").kind == "ping"]
    assert suspect.members.address in probed
    monkeypatch.setattr(PeerGroup, "_probe_suspects", lambda self, now: iter(()))
    node.members.ring_probed_at = node.members.random_probed_at = node.members.predecessor_probed_at = now + 10.0
    probed = [address for address, data in node.heartbeat(now + 0.5, LOCAL_STATE) if wire.decode(data, "f").kind == "ping"]
    assert suspect.members.address not in probed


def test_probe_carries_the_suspicion_and_the_suspect_refutes_it_to_all_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member that responds but does not know of the suspicion does not refute it, and is declared gone between responses."""
    nodes = create_group_of_five()
    now = run_heartbeats(nodes, 0.0, 3.0)
    node, suspect = nodes[0], nodes[1]

    def refutation_receivers() -> list[str]:
        node.members._set_state(now, node.members.view[suspect.name], wire.SUSPECT, "told")
        node.members.suspect_probes.clear()
        for address, data in node.heartbeat(now, LOCAL_STATE):
            if address == suspect.members.address:
                suspect.handle_datagram(now, data)
        return [address for address, data in suspect.heartbeat(now + 0.25, LOCAL_STATE) if wire.decode(data, "f").incarnation]

    with monkeypatch.context() as patch:
        patch.setattr(PeerGroup, "select_suspicion", lambda self, now, to: [])
        patch.setattr(PeerGroup, "select_updates", lambda self, *args, **kwargs: [])
        assert not refutation_receivers() and suspect.members.incarnation == 0
    assert len(set(refutation_receivers())) >= 4 and suspect.members.incarnation == 1


def test_two_parts_of_a_group_merge_through_the_third_contact(monkeypatch: pytest.MonkeyPatch) -> None:
    """With only two contacts in a relayed row, each part's speaker would receive only its own contacts again and again."""
    first, second = create_group_of_five()[:2], names_in_group(0, 5)[3:]
    other = create_node(names_in_group(1, 1)[0])
    for name, members in ((first[0].name, 2), (second[0], 2)):
        contacts = pack_addresses([f"10.0.0.1:{7000 + int(name[1:])}", f"10.0.0.1:{7001 + int(name[1:])}"])
        sums = [create_summary(GROUP, "0/4", members, 0, contacts)]
        other.handle_datagram(
            10.0 + members, encode_message(name, summary_message=SummaryMessage("r", "z", "0/4", summaries=sums))
        )
        other.aggregation_tree.summaries.rows[GROUP, "0/4"].made_at -= 1.0
    relayed = other.aggregation_tree.summaries.rows[GROUP, "0/4"].relayed(13.0)
    assert len(unpack_addresses(relayed.contacts)) == 3
    assert first[0].members.address in unpack_addresses(relayed.contacts)


# Operator's file.

FLEET = """fleet {{
    name "f"
    listen "127.0.0.1:7300"
{more}
}}
"""


def read_fleet_node(*lines: str) -> object:
    return operator.parse(FLEET.format(more="\n".join(f"    {line}" for line in lines)))


def test_location_is_read_from_the_operators_file() -> None:
    fleet = read_fleet_node('zone "z1"', 'region "eu"', "groups 16", 'beyond "10.0.0.9:7300"').fleet
    assert (fleet.zone, fleet.region, fleet.groups, fleet.beyond) == ("z1", "eu", 16, ("10.0.0.9:7300",))
    assert read_fleet_node().fleet.zone == "" and locate(read_fleet_node().fleet, "n1") is None


@pytest.mark.parametrize(
    "lines, error",
    [
        (['zone "z1"'], "operator.kdl:4: fleet.region: missing beside zone"),
        (['region "eu"'], "operator.kdl:4: fleet.zone: missing beside region"),
        (['zone ""', 'region "eu"'], "operator.kdl:4: fleet.zone: Expected"),
        (['zone "a/b"', 'region "eu"'], "operator.kdl:4: fleet.zone: Expected"),
        (['zone "z1"', 'region "eu"', "groups 65"], "operator.kdl:6: fleet.groups: Expected"),
        (["groups 4"], "operator.kdl:4: fleet.groups: requires a zone"),
        (['beyond "10.0.0.9:7300"'], "operator.kdl:4: fleet.beyond: requires a zone"),
        (
            ['zone "z1"', 'region "eu"', 'seats "n0"', "budgets {", "q total=4 calls=#true", "}"],
            "fleet.budgets.q.seats: 'n0' has no location",
        ),
    ],
)
def test_error_of_an_incomplete_location_has_the_line_number(lines: list[str], error: str) -> None:
    with pytest.raises(operator.OperatorFileError) as caught:
        read_fleet_node(*lines)
    assert error in str(caught.value)


def test_maintenance_beside_a_zone_is_rejected() -> None:
    text = FLEET.format(more='    zone "z1"\n    region "eu"') + 'upkeep {\n    voters "n0"\n}\n'
    with pytest.raises(operator.OperatorFileError, match="upkeep.there is no order yet among members of several groups"):
        operator.parse(text)
