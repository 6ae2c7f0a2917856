"""Fleet state in levels: letters of every kind by hand, histories by chance in virtual time, and guards that are missed."""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec
import pytest

from mulleinhatch.instance.gossip import aggregation_tree as levels
from mulleinhatch.instance.gossip import messages as words
from mulleinhatch.instance.gossip import peer_groups as mates
from mulleinhatch.instance.gossip.aggregation_tree import Levels, place_of, unpack
from mulleinhatch.instance.gossip.bounds import BudgetBounds, FleetBounds
from mulleinhatch.instance.gossip.core import Fleet, Local
from mulleinhatch.instance.gossip.messages import GROUP, LEFT, REGION, ZONE, Letter, Sum, Upward
from mulleinhatch.instance.runtime import operator_file as operator
from mulleinhatch.simulation.scale_checks import over_budgets
from mulleinhatch.simulation.scale_instances import Ground, Plan, draw_fault_script
from mulleinhatch.simulation.scale_shards import World

HERE = FleetBounds("f", zone="z", region="r", groups=4)
BUSY = Local([0, 0, 0, 0, 5, 5, 100, 1, 0, 10])


def names(group: int, count: int, bounds: FleetBounds = HERE) -> list[str]:
    """Some that the hash puts into that group."""
    found = (f"n{turn}" for turn in range(10_000))
    return [name for name in found if place_of(bounds, name).index == group][:count]


def core(name: str, bounds: FleetBounds = HERE, life: int = 7, now: float = 0.0) -> Fleet:
    return Fleet(bounds, name, f"10.0.0.1:{7000 + int(name[1:])}", life, int(name[1:]), now)


def pass_on(cores: list[Fleet], letters: list[tuple[str, bytes]], now: float) -> None:
    """Until nobody has anything more to say."""
    by_address = {one.members.address: one for one in cores}
    while letters:
        address, data = letters.pop(0)
        if address in by_address:
            letters += by_address[address].datagram(now, data)


def play(cores: list[Fleet], since: float, until: float, step: float = 0.25) -> float:
    now = since
    while now < until:
        now += step
        for one in cores:
            pass_on(cores, one.beat(now, BUSY), now)
    return now


def introduce(cores: list[Fleet], now: float = 0.0) -> None:
    """All told of all by a ping each way."""
    for one in cores:
        for other in cores:
            if one is not other:
                letter = Letter(
                    1,
                    "f",
                    one.name,
                    one.members.address,
                    one.members.life,
                    0,
                    "word",
                    place=one.levels.place.key if one.levels else 0,
                )
                other.datagram(now, words.encode(letter))


def speaker_of(cores: list[Fleet], now: float) -> Fleet:
    return next(one for one in cores if one.levels.speaks(now))


def word(sender: str, bounds: FleetBounds = HERE, upward: Upward | None = None, **told: object) -> bytes:
    """A letter of a member of that place."""
    place = place_of(bounds, sender)
    told = {"what": "word", "life": 7, **told}
    return words.encode(
        Letter(
            1,
            "f",
            sender,
            f"10.0.0.2:{7000 + int(sender[1:])}",
            told["life"],
            0,
            told["what"],
            place=place.key if place else 0,
            upward=words.encode_upward(upward) if upward else b"",
        )
    )


def total(level: int, name: str, members: int, age: int = 0, contacts: bytes = b"") -> Sum:
    return Sum(level, name, age, members, 0, 0, 0, [members] * 11, contacts)


# Who hears whom.


def test_a_member_of_another_group_is_answered_and_becomes_no_mate() -> None:
    one, other = core(names(0, 1)[0]), names(1, 1)[0]
    ((address, data),) = one.datagram(1.0, word(other, what="ping"))
    assert address == f"10.0.0.2:{7000 + int(other[1:])}" and words.decode(data, "f").what == "ack"
    assert one.members.view == {} and one.totals(1.0)["fleet"].members == 1


def test_an_older_member_without_levels_is_answered_and_neither_declares_the_other_gone() -> None:
    new, old = core("n0"), Fleet(FleetBounds("f", seeds=("10.0.0.1:7000",)), "n1", "10.0.0.1:7001", 7, 1, 0.0)
    now = 0.0
    while now < 20.0:
        now += 0.1
        pass_on([new, old], old.beat(now, BUSY), now)
        if round(now * 10) % 3 == 0:
            pass_on([new, old], new.beat(now, BUSY), now)
    assert old.members.alive() == ["n0"] and old.members.counts["suspected"] == 0
    assert new.members.view == {} and new.counts["letters_without_levels"] > 100


def test_who_suspects_us_without_levels_is_told_that_we_live() -> None:
    one = core("n0")
    doubt = words.Rumour("n0", one.members.address, 7, 0, words.SUSPECT, 0.5)
    letter = Letter(1, "f", "n1", "10.0.0.1:7001", 7, 0, "ping", 4, rumours=[doubt])
    ((_, data),) = one.datagram(1.0, words.encode(letter))
    assert words.decode(data, "f").incarnation == 1


def test_a_mate_that_started_anew_in_another_zone_left_and_is_not_gone() -> None:
    one, name = core(names(0, 1)[0]), names(0, 2)[1]
    one.datagram(1.0, word(name))
    assert one.members.alive() == [name]
    one.datagram(2.0, word(name, HERE._replace(zone="y"), life=8))
    assert one.members.view[name].state == LEFT and one.members.counts["declared_gone"] == 0


def test_a_name_of_ours_in_another_zone_takes_nothing_from_us() -> None:
    bounds = HERE._replace(budgets=(BudgetBounds("q", 8, ("r/z/n0", "r/y/n0"), 1.0),))
    one = core("n0", bounds)
    one.datagram(20.0, word("n0", bounds._replace(zone="y"), life=9))
    assert one.counts["names_elsewhere"] == 1 and not one.members.doubled(20.0)
    assert one.part(20.0, 0) == 4, "each owns the seat of its own place"
    assert core("n0", bounds._replace(zone="x")).part(20.0, 0) == 0, "nobody's seat is there"


def test_a_group_takes_no_more_than_its_bound() -> None:
    bounds = HERE._replace(groups=1)
    one = core("n0", bounds)
    for turn in range(1, 150):
        one.datagram(1.0, word(f"n{turn}", bounds))
    assert len(one.members.view) == levels.MOST_GROUP and one.counts["members_refused"] == 149 - levels.MOST_GROUP


# Sums.


def test_sums_add_up_and_none_is_counted_twice() -> None:
    one = core(names(0, 1)[0])
    mate = names(0, 2)[1]
    one.datagram(
        1.0,
        word(
            mate,
            upward=Upward(
                sums=[
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


def test_a_stranger_tells_of_what_it_stands_in_and_of_nothing_else() -> None:
    one = core(names(0, 1)[0])
    abroad, near = HERE._replace(region="s", zone="q"), HERE._replace(zone="y")
    one.datagram(
        1.0,
        word(
            "n5",
            abroad,
            Upward("s", "q", "1/4", sums=[total(REGION, "s", 300), total(ZONE, "q", 100), total(GROUP, "1/4", 25)]),
        ),
    )
    one.datagram(1.0, word("n5", near, Upward("r", "y", "1/4", sums=[total(ZONE, "y", 80), total(GROUP, "2/4", 25)])))
    assert set(one.levels.rows) == {(REGION, "s"), (ZONE, "y")}


@pytest.mark.parametrize("age, patience", [(0, 1.0), (40, 1.0), (0, 2.0)])
def test_an_old_sum_counts_as_silent_and_never_grows_young_by_being_passed_on(age: int, patience: float) -> None:
    row = levels.Known(total(ZONE, "y", 80), 10.0 - age / 10.0)
    last = 10.0 - age / 10.0 + patience * levels.STALE[ZONE]
    assert (row.total(last, patience).members, row.total(last + 0.1, patience).members) == (80, 0)
    assert (row.total(last + 0.1, patience).silent, row.total(last + 0.1, patience).most("acked")) == (80, 80.0)
    now, born, worn = 10.0, row.made_at, row
    for _ in range(50):  # passed on within 33 ms a hop, its age rounded down each time it would stay young
        told = Levels._aged(now, worn)
        now += 0.033
        worn = levels.Known(told, now - 0.033 - told.age / 10.0)
        assert worn.made_at <= born + 1e-6, "taken for newer than it is it would be told as news for ever"


def test_an_earlier_sum_changes_nothing_and_who_missed_news_is_told_with_the_next_word() -> None:
    one, mate = core(names(0, 1)[0]), names(0, 2)[1]
    one.datagram(10.0, word(mate, upward=Upward(sums=[total(GROUP, "1/4", 20)])))
    one.datagram(10.1, word(mate, upward=Upward(sums=[total(GROUP, "1/4", 25, age=30)])))
    row = one.levels.rows[GROUP, "1/4"]
    assert row.sum.members == 20
    row.to_mates = 0
    ages = bytearray(one.levels._ages(10.2, False))
    one.datagram(10.2, word(mate, upward=Upward(ages=bytes(ages))))
    assert row.to_mates == 0, "it knows the same"
    ages[2 + 2 * 1 + 1] = 25
    one.datagram(10.2, word(mate, upward=Upward(ages=bytes(ages))))
    assert row.to_mates == 1


def test_a_speaker_that_missed_news_of_a_group_is_answered_at_once() -> None:
    """With the next word another group would hear it: 14 s passed in a zone of 16 groups until all knew of one."""
    one, mate, other = core(names(0, 1)[0]), names(0, 2)[1], names(2, 1)[0]
    one.datagram(10.0, word(mate, upward=Upward(sums=[total(GROUP, "1/4", 20)])))
    ages = bytearray(one.levels._ages(10.1, False))
    assert not one.datagram(10.1, word(other, upward=Upward("r", "z", "2/4", ages=bytes(ages))))
    ages[2 + 2 * 1 : 2 + 2 * 1 + 2] = 3, 12
    ((address, data),) = one.datagram(10.5, word(other, upward=Upward("r", "z", "2/4", ages=bytes(ages))))
    told = words.decode_upward(words.decode(data, "f").upward)
    assert address.startswith("10.0.0.2") and [(row.name, row.members) for row in told.sums] == [("1/4", 20)]


@pytest.mark.parametrize(
    "upward",
    [
        b"\xc1",
        b"\x00" * 40,
        msgspec.msgpack.encode(["r", "z", "0/4", False, b"", b"", [[7]]]),
        msgspec.msgpack.encode(["r" * 400]),
    ],
)
def test_what_is_no_upward_is_counted_and_the_rest_of_the_letter_holds(upward: bytes) -> None:
    one, mate = core(names(0, 1)[0]), names(0, 2)[1]
    letter = Letter(1, "f", mate, "10.0.0.1:7900", 7, 0, "word", place=one.levels.place.key, upward=upward)
    one.datagram(1.0, words.encode(letter))
    assert one.levels.counts["upward_unfit"] == 1 and one.members.alive() == [mate]


@pytest.mark.parametrize("name", ["9/4", "x/4", "1", "1/900", "1/2/3"])
def test_a_group_that_there_can_be_none_of_is_refused(name: str) -> None:
    one, mate = core(names(0, 1)[0]), names(0, 2)[1]
    one.datagram(1.0, word(mate, upward=Upward(sums=[total(GROUP, name, 20)], ages=b"\0" * 9)))
    assert not one.levels.rows and one.levels.counts["sums_refused"] == 1


def test_more_zones_than_the_bound_are_refused_and_a_letter_stays_within_its_bytes() -> None:
    one, mate = core(names(0, 1)[0]), names(0, 2)[1]
    for turn in range(40):
        one.datagram(1.0, word(mate, upward=Upward(sums=[total(ZONE, f"zone-of-a-long-name-{turn}", 20)])))
    assert len(one.levels.rows) == levels.MOST_ROWS[ZONE] and one.levels.counts["sums_refused"] == 25
    assert len(one.levels.to_group(1.0)) <= levels.MOST_UPWARD


# Who speaks.


def group_of_five(now: float = 0.0) -> list[Fleet]:
    cores = [core(name, now=now) for name in names(0, 5)]
    introduce(cores, now)
    return cores


def test_one_speaks_and_when_it_dies_the_next_does() -> None:
    cores = group_of_five()
    now = play(cores, 0.0, 6.0)
    assert sum(one.levels.speaks(now) for one in cores) == 1
    dead = speaker_of(cores, now)
    left = [one for one in cores if one is not dead]
    now = play(left, now, now + 3.0)
    assert sum(one.levels.speaks(now) for one in left) == 1, "on the suspicion, before it is declared gone"


def test_a_member_that_hears_few_and_one_that_just_started_speak_for_nobody() -> None:
    cores = group_of_five()
    now = play(cores, 0.0, 6.0)
    alone = speaker_of(cores, now)
    later = play([alone], now, now + 4.0)
    assert alone.members.frozen and not alone.levels.speaks(later)
    fresh = core(alone.name, life=8, now=later)
    assert not fresh.levels.speaks(later + levels.SETTLE - 0.1)


def test_who_spoke_before_does_not_tell_its_old_sum_as_new() -> None:
    """A standby that had spoken told its sum of then with age 0: the fleet's sums went to and fro."""
    cores = group_of_five()
    now = play(cores, 0.0, 6.0)
    speaker = speaker_of(cores, now)
    speaker.levels.told_at -= 30.0
    assert speaker.levels._own_sum(now).age >= 300


# Histories.


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


def test_all_join_and_the_sums_count_them(joined: World) -> None:
    speakers = joined.speakers()
    assert len(speakers) == 9, "one a group"
    for _ in range(20):  # views are one: the sums follow
        if {look.members for look in joined.listed("looks")[-9:]} == {90}:
            return
        joined.play(joined.now + 0.5)
    raise AssertionError(joined.listed("looks")[-9:])


@pytest.mark.parametrize("seed", range(4))
def test_histories_by_chance(seed: int) -> None:
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


# Planted defects: each guard is missed when it is taken out.


def test_missed_without_the_checks_of_suspects(monkeypatch: pytest.MonkeyPatch) -> None:
    """A suspect that none but one of its mates ever asked can't answer them: they hear of it by the others alone."""
    cores = group_of_five()
    now = play(cores, 0.0, 3.0)
    one, suspect = cores[0], cores[1]
    one.members._become(now, one.members.view[suspect.name], words.SUSPECT, "told")
    asked = [address for address, data in one.beat(now + 0.25, BUSY) if words.decode(data, "f").what == "ping"]
    assert suspect.members.address in asked
    monkeypatch.setattr(mates.Mates, "_check", lambda self, now: iter(()))
    one.members.ring_at = one.members.others_at = one.members.watched_at = now + 10.0
    asked = [address for address, data in one.beat(now + 0.5, BUSY) if words.decode(data, "f").what == "ping"]
    assert suspect.members.address not in asked


def test_a_check_tells_the_suspect_of_the_suspicion_and_it_tells_all_that_it_lives(monkeypatch: pytest.MonkeyPatch) -> None:
    """One that answers and does not know that it is suspected refutes nothing, and is declared gone between two answers."""
    cores = group_of_five()
    now = play(cores, 0.0, 3.0)
    one, suspect = cores[0], cores[1]

    def doubted() -> list[str]:
        one.members._become(now, one.members.view[suspect.name], words.SUSPECT, "told")
        one.members.checked.clear()
        for address, data in one.beat(now, BUSY):
            if address == suspect.members.address:
                suspect.datagram(now, data)
        return [address for address, data in suspect.beat(now + 0.25, BUSY) if words.decode(data, "f").incarnation]

    with monkeypatch.context() as without:
        without.setattr(mates.Mates, "doubt", lambda self, now, to: [])
        without.setattr(mates.Mates, "rumours", lambda self, *told: [])
        assert not doubted() and suspect.members.incarnation == 0
    assert len(set(doubted())) >= 4 and suspect.members.incarnation == 1


def test_two_parts_of_a_group_become_one_by_the_third_contact(monkeypatch: pytest.MonkeyPatch) -> None:
    """A row names contacts of both parts; of two alone each part's speaker hears of itself again and again."""
    first, second = group_of_five()[:2], names(0, 5)[3:]
    other = core(names(1, 1)[0])
    for name, members in ((first[0].name, 2), (second[0], 2)):
        contacts = levels.pack([f"10.0.0.1:{7000 + int(name[1:])}", f"10.0.0.1:{7001 + int(name[1:])}"])
        sums = [total(GROUP, "0/4", members, 0, contacts)]
        other.datagram(10.0 + members, word(name, upward=Upward("r", "z", "0/4", sums=sums)))
        other.levels.rows[GROUP, "0/4"].made_at -= 1.0
    told = Levels._aged(13.0, other.levels.rows[GROUP, "0/4"])
    assert len(unpack(told.contacts)) == 3
    assert first[0].members.address in unpack(told.contacts)


# Operator's file.

FLEET = """fleet {{
    name "f"
    listen "127.0.0.1:7300"
{more}
}}
"""


def told(*lines: str) -> object:
    return operator.told(FLEET.format(more="\n".join(f"    {line}" for line in lines)))


def test_where_a_member_stands_is_read() -> None:
    fleet = told('zone "z1"', 'region "eu"', "groups 16", 'beyond "10.0.0.9:7300"').fleet
    assert (fleet.zone, fleet.region, fleet.groups, fleet.beyond) == ("z1", "eu", 16, ("10.0.0.9:7300",))
    assert told().fleet.zone == "" and place_of(told().fleet, "n1") is None


@pytest.mark.parametrize(
    "lines, error",
    [
        (['zone "z1"'], "operator.kdl:4: fleet.region: missing beside zone"),
        (['region "eu"'], "operator.kdl:4: fleet.zone: missing beside region"),
        (['zone ""', 'region "eu"'], "operator.kdl:4: fleet.zone: Expected"),
        (['zone "a/b"', 'region "eu"'], "operator.kdl:4: fleet.zone: Expected"),
        (['zone "z1"', 'region "eu"', "groups 65"], "operator.kdl:6: fleet.groups: Expected"),
        (["groups 4"], "operator.kdl:4: fleet.groups: wants a zone"),
        (['beyond "10.0.0.9:7300"'], "operator.kdl:4: fleet.beyond: wants a zone"),
        (
            ['zone "z1"', 'region "eu"', 'seats "n0"', "budgets {", "q total=4 calls=#true", "}"],
            "fleet.budgets.q.seats: 'n0' names no place",
        ),
    ],
)
def test_a_place_told_by_half_is_named_with_its_line(lines: list[str], error: str) -> None:
    with pytest.raises(operator.OperatorFileError) as caught:
        told(*lines)
    assert error in str(caught.value)


def test_upkeep_beside_a_zone_is_refused() -> None:
    text = FLEET.format(more='    zone "z1"\n    region "eu"') + 'upkeep {\n    voters "n0"\n}\n'
    with pytest.raises(operator.OperatorFileError, match="upkeep.there is no order yet among members of several groups"):
        operator.told(text)
