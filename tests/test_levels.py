"""Aggregation tree: messages of every kind by hand, random histories in virtual time, and guards that are removed."""

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
from mulleinhatch.simulation.scale_instances import Ground, Plan, draw_fault_script
from mulleinhatch.simulation.scale_shards import World

HERE = FleetBounds("f", zone="z", region="r", groups=4)
BUSY = LocalState([0, 0, 0, 0, 5, 5, 100, 1, 0, 10])


def names(group: int, count: int, bounds: FleetBounds = HERE) -> list[str]:
    """Return names that the hash assigns to a group."""
    found = (f"n{turn}" for turn in range(10_000))
    return [name for name in found if locate(bounds, name).index == group][:count]


def core(name: str, bounds: FleetBounds = HERE, process_epoch: int = 7, now: float = 0.0) -> GossipNode:
    return GossipNode(bounds, name, f"10.0.0.1:{7000 + int(name[1:])}", process_epoch, int(name[1:]), now)


def pass_on(cores: list[GossipNode], messages: list[tuple[str, bytes]], now: float) -> None:
    """Deliver messages and answers until there are no more."""
    by_address = {one.members.address: one for one in cores}
    while messages:
        address, data = messages.pop(0)
        if address in by_address:
            messages += by_address[address].handle_datagram(now, data)


def play(cores: list[GossipNode], since: float, until: float, step: float = 0.25) -> float:
    now = since
    while now < until:
        now += step
        for one in cores:
            pass_on(cores, one.heartbeat(now, BUSY), now)
    return now


def introduce(cores: list[GossipNode], now: float = 0.0) -> None:
    """Send a message from each member to each other one."""
    for one in cores:
        for other in cores:
            if one is not other:
                message = GossipMessage(
                    1,
                    "f",
                    one.name,
                    one.members.address,
                    one.members.process_epoch,
                    0,
                    "word",
                    group_key=one.aggregation_tree.location.key if one.aggregation_tree else 0,
                )
                other.handle_datagram(now, wire.encode(message))


def speaker_of(cores: list[GossipNode], now: float) -> GossipNode:
    return next(one for one in cores if one.aggregation_tree.is_speaker(now))


def notice(sender: str, bounds: FleetBounds = HERE, upward: SummaryMessage | None = None, **fields: object) -> bytes:
    """Return an encoded message of a member at the location that its name and the bounds give."""
    place = locate(bounds, sender)
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
            group_key=place.key if place else 0,
            summary_data=wire.encode_summary_message(upward) if upward else b"",
        )
    )


def total(level: int, name: str, members: int, age: int = 0, contacts: bytes = b"") -> Summary:
    return Summary(level, name, age, members, 0, 0, 0, [members] * 11, contacts)


# Who is a peer.


def test_member_of_another_group_is_answered_and_becomes_no_peer() -> None:
    one, other = core(names(0, 1)[0]), names(1, 1)[0]
    ((address, data),) = one.handle_datagram(1.0, notice(other, kind="ping"))
    assert address == f"10.0.0.2:{7000 + int(other[1:])}" and wire.decode(data, "f").kind == "ack"
    assert one.members.view == {} and one.totals(1.0)["fleet"].members == 1


def test_member_without_tree_is_answered_and_neither_declares_the_other_gone() -> None:
    new, old = core("n0"), GossipNode(FleetBounds("f", seeds=("10.0.0.1:7000",)), "n1", "10.0.0.1:7001", 7, 1, 0.0)
    now = 0.0
    while now < 20.0:
        now += 0.1
        pass_on([new, old], old.heartbeat(now, BUSY), now)
        if round(now * 10) % 3 == 0:
            pass_on([new, old], new.heartbeat(now, BUSY), now)
    assert old.members.alive() == ["n0"] and old.members.counts["suspected"] == 0
    assert new.members.view == {} and new.counts["letters_without_levels"] > 100


def test_suspicion_of_a_member_without_tree_is_refuted() -> None:
    one = core("n0")
    doubt = wire.MemberUpdate("n0", one.members.address, 7, 0, wire.SUSPECT, 0.5)
    message = GossipMessage(1, "f", "n1", "10.0.0.1:7001", 7, 0, "ping", 4, member_updates=[doubt])
    ((_, data),) = one.handle_datagram(1.0, wire.encode(message))
    assert wire.decode(data, "f").incarnation == 1


def test_peer_restarted_in_another_zone_has_left_and_is_not_gone() -> None:
    one, name = core(names(0, 1)[0]), names(0, 2)[1]
    one.handle_datagram(1.0, notice(name))
    assert one.members.alive() == [name]
    one.handle_datagram(2.0, notice(name, HERE._replace(zone="y"), process_epoch=8))
    assert one.members.view[name].state == LEFT and one.members.counts["declared_gone"] == 0


def test_same_name_in_another_zone_owns_another_seat() -> None:
    bounds = HERE._replace(budgets=(BudgetBounds("q", 8, ("r/z/n0", "r/y/n0"), 1.0),))
    one = core("n0", bounds)
    one.handle_datagram(20.0, notice("n0", bounds._replace(zone="y"), process_epoch=9))
    assert one.counts["names_elsewhere"] == 1 and not one.members.has_duplicate_name(20.0)
    assert one.usable_quota(20.0, 0) == 4, "each owns the seat of its own place"
    assert core("n0", bounds._replace(zone="x")).usable_quota(20.0, 0) == 0, "nobody's seat is there"


def test_group_size_is_bounded() -> None:
    bounds = HERE._replace(groups=1)
    one = core("n0", bounds)
    for turn in range(1, 150):
        one.handle_datagram(1.0, notice(f"n{turn}", bounds))
    assert len(one.members.view) == MAX_GROUP_MEMBERS and one.counts["members_refused"] == 149 - MAX_GROUP_MEMBERS


# Summaries.


def test_summaries_add_up_and_none_is_counted_twice() -> None:
    one = core(names(0, 1)[0])
    peer = names(0, 2)[1]
    one.handle_datagram(
        1.0,
        notice(
            peer,
            upward=SummaryMessage(
                summaries=[
                    total(GROUP, "1/4", 20),
                    total(GROUP, "0/4", 99),
                    total(ZONE, "y", 80),
                    total(ZONE, "z", 99),
                    total(REGION, "s", 300),
                    total(REGION, "r", 99),
                ]
            ),
        ),
    )
    assert [one.totals(1.0)[level].members for level in ("group", "zone", "region", "fleet")] == [2, 22, 102, 402]


def test_summaries_of_a_foreign_sender_count_only_for_its_own_location() -> None:
    one = core(names(0, 1)[0])
    abroad, near = HERE._replace(region="s", zone="q"), HERE._replace(zone="y")
    one.handle_datagram(
        1.0,
        notice(
            "n5",
            abroad,
            SummaryMessage(
                "s", "q", "1/4", summaries=[total(REGION, "s", 300), total(ZONE, "q", 100), total(GROUP, "1/4", 25)]
            ),
        ),
    )
    one.handle_datagram(
        1.0, notice("n5", near, SummaryMessage("r", "y", "1/4", summaries=[total(ZONE, "y", 80), total(GROUP, "2/4", 25)]))
    )
    assert set(one.aggregation_tree.summaries.rows) == {(REGION, "s"), (ZONE, "y")}


@pytest.mark.parametrize("age, patience", [(0, 1.0), (40, 1.0), (0, 2.0)])
def test_stale_summary_counts_as_silent_and_relaying_never_makes_it_younger(age: int, patience: float) -> None:
    row = ReceivedSummary(total(ZONE, "y", 80), 10.0 - age / 10.0)
    last = 10.0 - age / 10.0 + patience * STALE_AFTER_S[ZONE]
    assert (row.total(last, patience).members, row.total(last + 0.1, patience).members) == (80, 0)
    assert (row.total(last + 0.1, patience).silent, row.total(last + 0.1, patience).most("acked")) == (80, 80.0)
    now, born, worn = 10.0, row.made_at, row
    for _ in range(50):  # passed on within 33 ms a hop, its age rounded down each time it would stay young
        relayed = worn.relayed(now)
        now += 0.033
        worn = ReceivedSummary(relayed, now - 0.033 - relayed.age_ds / 10.0)
        assert worn.made_at <= born + 1e-6, "taken for newer than it is, it would be sent as a change for ever"


def test_earlier_summary_changes_nothing_and_a_missed_change_is_sent_with_the_next_message() -> None:
    one, peer = core(names(0, 1)[0]), names(0, 2)[1]
    one.handle_datagram(10.0, notice(peer, upward=SummaryMessage(summaries=[total(GROUP, "1/4", 20)])))
    one.handle_datagram(10.1, notice(peer, upward=SummaryMessage(summaries=[total(GROUP, "1/4", 25, age=30)])))
    row = one.aggregation_tree.summaries.rows[GROUP, "1/4"]
    assert row.summary.members == 20
    row.peer_sends_left = 0
    ages = bytearray(one.aggregation_tree.summaries.encode_ages(10.2))
    one.handle_datagram(10.2, notice(peer, upward=SummaryMessage(ages=bytes(ages))))
    assert row.peer_sends_left == 0, "it knows the same"
    ages[2 + 2 * 1 + 1] = 25
    one.handle_datagram(10.2, notice(peer, upward=SummaryMessage(ages=bytes(ages))))
    assert row.peer_sends_left == 1


def test_speaker_that_missed_a_change_is_answered_at_once() -> None:
    """With the next message another group would hear it: it took 14 s in a zone of 16 groups until all knew of one change."""
    one, peer, other = core(names(0, 1)[0]), names(0, 2)[1], names(2, 1)[0]
    one.handle_datagram(10.0, notice(peer, upward=SummaryMessage(summaries=[total(GROUP, "1/4", 20)])))
    ages = bytearray(one.aggregation_tree.summaries.encode_ages(10.1))
    assert not one.handle_datagram(10.1, notice(other, upward=SummaryMessage("r", "z", "2/4", ages=bytes(ages))))
    ages[2 + 2 * 1 : 2 + 2 * 1 + 2] = 3, 12
    ((address, data),) = one.handle_datagram(10.5, notice(other, upward=SummaryMessage("r", "z", "2/4", ages=bytes(ages))))
    decoded = wire.decode_summary_message(wire.decode(data, "f").summary_data)
    assert address.startswith("10.0.0.2") and [(row.name, row.members) for row in decoded.summaries] == [("1/4", 20)]


@pytest.mark.parametrize(
    "upward",
    [
        b"\xc1",
        b"\x00" * 40,
        msgspec.msgpack.encode(["r", "z", "0/4", False, b"", b"", [[7]]]),
        msgspec.msgpack.encode(["r" * 400]),
    ],
)
def test_invalid_summaries_are_counted_and_the_rest_of_the_message_is_used(upward: bytes) -> None:
    one, peer = core(names(0, 1)[0]), names(0, 2)[1]
    message = GossipMessage(
        1, "f", peer, "10.0.0.1:7900", 7, 0, "word", group_key=one.aggregation_tree.location.key, summary_data=upward
    )
    one.handle_datagram(1.0, wire.encode(message))
    assert one.aggregation_tree.counts["upward_unfit"] == 1 and one.members.alive() == [peer]


@pytest.mark.parametrize("name", ["9/4", "x/4", "1", "1/900", "1/2/3"])
def test_impossible_group_names_are_rejected(name: str) -> None:
    one, peer = core(names(0, 1)[0]), names(0, 2)[1]
    one.handle_datagram(1.0, notice(peer, upward=SummaryMessage(summaries=[total(GROUP, name, 20)], ages=b"\0" * 9)))
    assert not one.aggregation_tree.summaries.rows and one.aggregation_tree.counts["sums_refused"] == 1


def test_number_of_zones_and_bytes_of_a_message_are_bounded() -> None:
    one, peer = core(names(0, 1)[0]), names(0, 2)[1]
    for turn in range(40):
        one.handle_datagram(
            1.0, notice(peer, upward=SummaryMessage(summaries=[total(ZONE, f"zone-of-a-long-name-{turn}", 20)]))
        )
    assert len(one.aggregation_tree.summaries.rows) == MAX_ROWS[ZONE] and one.aggregation_tree.counts["sums_refused"] == 25
    assert len(one.aggregation_tree.composer.for_group(1.0)) <= MAX_SUMMARY_BYTES


# Speaker election.


def group_of_five(now: float = 0.0) -> list[GossipNode]:
    cores = [core(name, now=now) for name in names(0, 5)]
    introduce(cores, now)
    return cores


def test_one_member_speaks_and_its_standby_takes_over() -> None:
    cores = group_of_five()
    now = play(cores, 0.0, 6.0)
    assert sum(one.aggregation_tree.is_speaker(now) for one in cores) == 1
    dead = speaker_of(cores, now)
    left = [one for one in cores if one is not dead]
    now = play(left, now, now + 3.0)
    assert sum(one.aggregation_tree.is_speaker(now) for one in left) == 1, "on suspicion, before it is declared gone"


def test_isolated_and_just_started_members_do_not_speak() -> None:
    cores = group_of_five()
    now = play(cores, 0.0, 6.0)
    alone = speaker_of(cores, now)
    later = play([alone], now, now + 4.0)
    assert alone.members.frozen and not alone.aggregation_tree.is_speaker(later)
    fresh = core(alone.name, process_epoch=8, now=later)
    assert not fresh.aggregation_tree.is_speaker(later + SILENT_AFTER_START_S - 0.1)


def test_former_speaker_does_not_present_its_old_summary_as_new() -> None:
    """A standby that had spoken before sent its old summary with age 0: the totals of the fleet alternated."""
    cores = group_of_five()
    now = play(cores, 0.0, 6.0)
    speaker = speaker_of(cores, now)
    speaker.aggregation_tree.group_summary.published_at -= 30.0
    assert speaker.aggregation_tree.group_summary.current(now).age_ds >= 300


# Random histories.


def settled(world: World, within: float = 45.0) -> bool:
    until = world.now + within
    while world.now < until:
        if world.one():
            return True
        world.play(world.now + 1.0)
    return world.one()


@pytest.fixture(scope="module")
def joined() -> Iterator[World]:
    """Of 36 in 9 zones of one group, three members a group and one more."""
    with World(Plan(members=90, levels=True, group_size=10, seed=3), 1, processes=False) as world:
        assert settled(world.play(10.0))
        yield world


def test_all_members_join_and_are_counted(joined: World) -> None:
    speakers = joined.speakers()
    assert len(speakers) == 9, "one a group"
    for _ in range(20):  # views are one: the sums follow
        if {look.members for look in joined.listed("looks")[-9:]} == {90}:
            return
        joined.play(joined.now + 0.5)
    raise AssertionError(joined.listed("looks")[-9:])


@pytest.mark.parametrize("seed", range(4))
def test_random_histories(seed: int) -> None:
    """Speakers die, stall, come in pairs, are cut from their group alone; one-way cuts: no living one declared gone by those
    that hear it, no total exceeded, all one again."""
    draw = random.Random(seed)
    plan = Plan(members=54, levels=True, group_size=6, seed=seed, budgets=(("quota", 540, 1.0),), demand=1.3)
    with World(plan, 1, processes=False) as world:
        assert settled(world.play(8.0))
        script = draw_fault_script(draw, Ground(plan), world.speakers(), world.now + 1.0, 8.0)
        world.script(script)
        world.play(world.now + 9.0)
        assert settled(world, 30.0), script
        assert over_budgets(world.used(), plan.budgets) == 0, script
        # Who stood still, or was cut from its own group, for longer than a suspicion lasts may be taken for gone.
        hit = {place for fault in Ground(plan).faults(script) if fault.what in ("stall", "cut") for place in fault.places}
        wrong = [gone for gone in world.listed("gone") if gone.wrong and gone.subject not in hit]
        assert not wrong, (script, wrong)


# Planted defects: a test fails when its guard is removed.


def test_suspects_are_probed_by_each_peer(monkeypatch: pytest.MonkeyPatch) -> None:
    """A suspect that none but one of its mates ever asked can't answer them: they hear of it by the others alone."""
    cores = group_of_five()
    now = play(cores, 0.0, 3.0)
    one, suspect = cores[0], cores[1]
    one.members._set_state(now, one.members.view[suspect.name], wire.SUSPECT, "told")
    asked = [address for address, data in one.heartbeat(now + 0.25, BUSY) if wire.decode(data, "f").kind == "ping"]
    assert suspect.members.address in asked
    monkeypatch.setattr(PeerGroup, "_probe_suspects", lambda self, now: iter(()))
    one.members.ring_probed_at = one.members.random_probed_at = one.members.predecessor_probed_at = now + 10.0
    asked = [address for address, data in one.heartbeat(now + 0.5, BUSY) if wire.decode(data, "f").kind == "ping"]
    assert suspect.members.address not in asked


def test_probe_carries_the_suspicion_and_the_suspect_refutes_it_to_all_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    """One that answers and does not know that it is suspected refutes nothing, and is declared gone between two answers."""
    cores = group_of_five()
    now = play(cores, 0.0, 3.0)
    one, suspect = cores[0], cores[1]

    def doubted() -> list[str]:
        one.members._set_state(now, one.members.view[suspect.name], wire.SUSPECT, "told")
        one.members.suspect_probes.clear()
        for address, data in one.heartbeat(now, BUSY):
            if address == suspect.members.address:
                suspect.handle_datagram(now, data)
        return [address for address, data in suspect.heartbeat(now + 0.25, BUSY) if wire.decode(data, "f").incarnation]

    with monkeypatch.context() as without:
        without.setattr(PeerGroup, "select_suspicion", lambda self, now, to: [])
        without.setattr(PeerGroup, "select_updates", lambda self, *args, **kwargs: [])
        assert not doubted() and suspect.members.incarnation == 0
    assert len(set(doubted())) >= 4 and suspect.members.incarnation == 1


def test_two_parts_of_a_group_merge_through_the_third_contact(monkeypatch: pytest.MonkeyPatch) -> None:
    """A row names contacts of both parts; of two alone each part's speaker hears of itself again and again."""
    first, second = group_of_five()[:2], names(0, 5)[3:]
    other = core(names(1, 1)[0])
    for name, members in ((first[0].name, 2), (second[0], 2)):
        contacts = pack_addresses([f"10.0.0.1:{7000 + int(name[1:])}", f"10.0.0.1:{7001 + int(name[1:])}"])
        sums = [total(GROUP, "0/4", members, 0, contacts)]
        other.handle_datagram(10.0 + members, notice(name, upward=SummaryMessage("r", "z", "0/4", summaries=sums)))
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
def test_error_names_the_line_of_an_incomplete_location(lines: list[str], error: str) -> None:
    with pytest.raises(operator.OperatorFileError) as caught:
        read_fleet_node(*lines)
    assert error in str(caught.value)


def test_maintenance_beside_a_zone_is_rejected() -> None:
    text = FLEET.format(more='    zone "z1"\n    region "eu"') + 'upkeep {\n    voters "n0"\n}\n'
    with pytest.raises(operator.OperatorFileError, match="upkeep.there is no order yet among members of several groups"):
        operator.parse(text)
