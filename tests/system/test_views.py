"""Test the agreement on views with scripted votes, and the planning of the next view."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Container

from mulleinhatch.consensus.fault_tolerance import FaultTolerance
from mulleinhatch.consensus.paxos import Proposal, ProposalOutcome, Voter, identities
from mulleinhatch.consensus.view_planner import VOTER_RETURN_S, MemberHealth, plan_next_view
from mulleinhatch.messages.cluster import AcceptRequest, Member, PrepareRequest, ProposalNumber, View, VoterState


def member(name: str, host: str = "") -> Member:
    return Member(identity=name, name=name, control_address=f"{host or name}:1", internal_address=f"{host or name}:2")


A, B, C, D, E = (member(name) for name in "abcde")
FIRST = View(epoch=1, voters=[A, B, C], chain=[A, B, C])


def voters(*names: str, view: View = FIRST) -> dict[str, Voter]:
    return {name: Voter(name, VoterState(view=view)) for name in names}


def run_proposal(proposal: Proposal, machines: dict[str, Voter], reachable: str, until: str = "accept") -> ProposalOutcome:
    """Run one proposal against the reachable voters."""
    for name in reachable:
        response = machines[name].prepare(PrepareRequest(base=proposal.base, proposal_number=proposal.proposal_number))
        if proposal.on_prepare_response(response):
            break
    if proposal.view_to_accept is None or until == "prepare":
        return proposal.outcome
    for name in reachable:
        request = AcceptRequest(base=proposal.base, proposal_number=proposal.proposal_number, proposed=proposal.view_to_accept)
        if proposal.on_accept_response(machines[name].accept(request)):
            break
    return proposal.outcome


def proposal(number: int, proposer: str, chain: list[Member], base: View = FIRST) -> Proposal:
    return Proposal(
        base, ProposalNumber(number=number, proposer=proposer), View(epoch=base.epoch + 1, voters=base.voters, chain=chain)
    )


class PaxosTest(unittest.TestCase):
    def test_majority_decides(self):
        machines = voters("a", "b", "c")
        self.assertIs(run_proposal(proposal(1, "a", [A, B]), machines, "ab"), ProposalOutcome.DECIDED)

    def test_minority_does_not_decide(self):
        machines = voters("a", "b", "c")
        self.assertIs(run_proposal(proposal(1, "a", [A]), machines, "a"), ProposalOutcome.RUNNING)

    def test_possibly_chosen_view_is_proposed_again(self):
        machines = voters("a", "b", "c")
        first = proposal(1, "a", [A, B])
        run_proposal(first, machines, "ab")
        second = proposal(2, "c", [B, C])
        self.assertIs(run_proposal(second, machines, "bc"), ProposalOutcome.DECIDED)
        self.assertEqual(identities(second.view_to_accept.chain), ("a", "b"))

    def test_lower_proposal_number_is_preempted(self):
        machines = voters("a", "b", "c")
        run_proposal(proposal(5, "c", [B, C]), machines, "bc", until="prepare")
        late = proposal(1, "a", [A, B])
        self.assertIs(run_proposal(late, machines, "bca"), ProposalOutcome.PREEMPTED)
        self.assertEqual(late.highest_number, 5)

    def test_later_prepare_rejects_accept_of_lower_proposal_number(self):
        machines = voters("a", "b", "c")
        early = proposal(1, "a", [A, B])
        run_proposal(early, machines, "ab", until="prepare")
        run_proposal(proposal(2, "c", [B, C]), machines, "bc")
        for name in "ab":
            request = AcceptRequest(base=FIRST, proposal_number=early.proposal_number, proposed=early.view_to_accept)
            early.on_accept_response(machines[name].accept(request))
        self.assertIsNot(early.outcome, ProposalOutcome.DECIDED)

    def test_wiped_disk_has_a_new_identity_and_no_vote(self):
        machines = voters("a", "b", "c")
        machines["c"] = Voter("c2", VoterState(view=FIRST))
        self.assertIs(run_proposal(proposal(1, "a", [A, B]), machines, "ac"), ProposalOutcome.RUNNING)

    def test_voter_with_older_view_learns_the_base_and_votes(self):
        second = View(epoch=2, voters=[A, B, C], chain=[B, C])
        machines = {"b": Voter("b", VoterState(view=second)), "a": Voter("a", VoterState(view=FIRST))}
        self.assertIs(run_proposal(proposal(1, "b", [B, C, A], second), machines, "ba"), ProposalOutcome.DECIDED)

    def test_voter_with_newer_view_supersedes_the_proposal(self):
        second = View(epoch=2, voters=[A, B, C], chain=[B, C])
        machines = {"b": Voter("b", VoterState(view=second))}
        late = proposal(9, "a", [A])
        self.assertIs(run_proposal(late, machines, "b"), ProposalOutcome.SUPERSEDED)
        self.assertEqual(late.newest.epoch, 2)

    def test_voter_that_accepted_a_later_view_does_not_confirm(self):
        machines = voters("a", "b", "c")
        self.assertTrue(machines["b"].confirms_epoch(1))
        run_proposal(proposal(1, "a", [A, B]), machines, "ab")
        self.assertFalse(machines["b"].confirms_epoch(1))
        self.assertTrue(machines["c"].confirms_epoch(1))


def health(
    alive: Container[str], caught_up: Container[str] = "", extra: tuple[Member, ...] = (), gone_s: float = 0.0
) -> dict[str, MemberHealth]:
    members = [A, B, C, *extra]
    return {
        node.identity: MemberHealth(
            node, node.identity in alive, node.identity in caught_up, 0.0 if node.identity in alive else gone_s
        )
        for node in members
    }


def plan(view: View, machines: dict[str, MemberHealth], tolerated: int, zones: int = 0, regions: int = 0) -> View | None:
    return plan_next_view(view, machines, FaultTolerance(tolerated, zones, regions))


class ViewPlannerTest(unittest.TestCase):
    def names(self, view: View | None) -> tuple[str, str]:
        return "".join(identities(view.chain)), "".join(identities(view.voters))

    def test_no_change_while_all_are_healthy(self):
        self.assertIsNone(plan(FIRST, health("abc"), 1))

    def test_unreachable_member_leaves_the_chain_and_keeps_its_vote(self):
        self.assertEqual(self.names(plan(FIRST, health("bc"), 1)), ("bc", "abc"))

    def test_chain_stays_longer_than_the_tolerated_losses(self):
        self.assertIsNone(plan(FIRST, health("c"), 1))

    def test_returning_member_joins_at_the_tail_once_caught_up(self):
        view = View(epoch=2, voters=[A, B, C], chain=[B, C])
        self.assertIsNone(plan(view, health("abc"), 1))
        self.assertEqual(self.names(plan(view, health("abc", "a"), 1)), ("bca", "abc"))

    def test_wiped_disk_takes_the_vote_of_its_former_identity(self):
        replacement = member("a2", "a")
        view = View(epoch=2, voters=[A, B, C], chain=[B, C])
        planned = plan(view, health(("b", "c", "a2"), ("a2",), (replacement,)), 1)
        self.assertEqual(identities(planned.voters), ("a2", "b", "c"))
        self.assertEqual(identities(planned.chain), ("b", "c", "a2"))

    def test_joiner_with_incomplete_log_does_not_become_head(self):
        """Regression, found by simulation: a read returned version 1 after version 4 was acknowledged."""
        view = View(epoch=2, voters=[A, B, C], chain=[A, B])
        behind = health("bc", "c")
        behind["b"] = MemberHealth(B, True, True, log_complete=False)
        self.assertIsNone(plan(view, behind, 1))
        self.assertEqual(self.names(plan(view, health("bc", "c"), 1)), ("bc", "abc"))

    def test_no_joiner_without_survivor(self):
        view = View(epoch=2, voters=[A, B, C], chain=[B, C])
        self.assertIsNone(plan(view, health("a", "a"), 1))

    def test_newcomer_replaces_unreachable_voter_without_delay(self):
        """Regression after three replacements: a new machine became a fourth voter, and the next loss left two of four."""
        view = View(epoch=2, voters=[A, B, C], chain=[B, C])
        for gone_s in (1.1, 9.0):
            planned = plan(view, health("bcd", "d", (D,), gone_s), 1)
            self.assertEqual(self.names(planned), ("bcd", "dbc"))

    def test_newcomer_replaces_leaving_voter_that_still_responds(self):
        view = View(epoch=2, voters=[A, B, C], chain=[A, B, C, D])
        leaving = health("abcd", "d", (D,))
        leaving["a"] = MemberHealth(A, False, True, unreachable_for_s=0.05)  # it reports that it is leaving
        self.assertEqual(self.names(plan(view, leaving, 1)), ("bcd", "dbc"))

    def test_newcomer_beside_healthy_voters_gets_no_vote(self):
        view = View(epoch=2, voters=[A, B, C], chain=[A, B, C])
        self.assertEqual(self.names(plan(view, health("abcd", "d", (D,)), 1)), ("abcd", "abc"))

    def test_longest_unreachable_voter_is_replaced_first(self):
        view = View(epoch=2, voters=[A, B, C, D, E], chain=[C, D, E])
        machines = health("cdef", "f", (D, E, member("f")))
        machines["a"] = MemberHealth(A, False, False, unreachable_for_s=2.0)
        machines["b"] = MemberHealth(B, False, False, unreachable_for_s=5.0)
        self.assertEqual(self.names(plan(view, machines, 2)), ("cdef", "afcde"))

    def test_number_of_voters_stays_odd_while_it_grows(self):
        view = View(epoch=1, voters=[A, B, C], chain=[A, B, C])
        self.assertEqual(self.names(plan(view, health("abcde", "de", (D, E)), 2)), ("abcde", "abcde"))
        self.assertEqual(self.names(plan(view, health("abcd", "d", (D,)), 2)), ("abcd", "abc"))

    def test_surplus_unreachable_voter_is_removed(self):
        """A view of an earlier version of the software may have an even number of voters."""
        view = View(epoch=3, voters=[A, B, C, D], chain=[B, C, D])
        self.assertEqual(self.names(plan(view, health("bcd", "", (D,), 1.1), 1)), ("bcd", "bcd"))

    def test_tolerated_losses_after_replacements_leave_a_majority_and_a_replica(self):
        """Try every sequence of three replacements: each planned view tolerates any further loss of one node."""
        for lost in itertools.product("abc", repeat=3):
            view = FIRST
            machines = {node.identity: node for node in (A, B, C)}
            for number, original in enumerate(lost):
                removed = sorted(machines)["abc".index(original)]
                newcomer = member(f"n{number}")
                del machines[removed]
                machines[newcomer.identity] = newcomer
                alive = {name: MemberHealth(node, True, True, log_complete=True) for name, node in machines.items()}
                gone = {
                    lost_member.identity: MemberHealth(lost_member, False, False, 1.1, False)
                    for lost_member in [*view.voters, *view.chain]
                }
                view = plan(view, {**gone, **alive}, 1)
                self.assertIsNotNone(view, lost)
                for further in machines:
                    remaining = set(machines) - {further}
                    self.assertGreater(2 * len(remaining & set(identities(view.voters))), len(view.voters), (lost, further))
                    self.assertTrue(remaining & set(identities(view.chain)), (lost, further))

    def zoned(self, zones: str, regions: str = "") -> list[Member]:
        """Return members a, b, ... with their zones and regions, each named by one letter."""
        regions = regions or "r" * len(zones)
        return [
            Member(identity=name, name=name, internal_address=f"{name}:2", zone=zone, region=region)
            for name, zone, region in zip("abcdefg", zones, regions)
        ]

    def healthy(self, members: list[Member], lost: Container[str] = "") -> dict[str, MemberHealth]:
        return {
            node.identity: MemberHealth(
                node, node.identity not in lost, node.identity not in lost, 2.0, node.identity not in lost
            )
            for node in members
        }

    def test_voters_are_replaced_until_the_loss_of_any_zone_leaves_a_majority(self):
        members = self.zoned("xxyyz")
        view = View(epoch=2, voters=[A, B, C], chain=[A, B, C])  # planned before the zones were known
        planned = plan(view, self.healthy(members), 1, zones=1)
        self.assertEqual(sorted(node.zone for node in planned.voters), ["x", "y", "z"])
        self.assertIsNone(plan(planned, self.healthy(members), 1, zones=1))

    def test_voters_stay_where_no_replacement_reduces_the_worst_loss(self):
        members = self.zoned("xxx")
        self.assertIsNone(plan(FIRST, self.healthy(members), 1, zones=1))
        members = self.zoned("xxyy")  # with two zones, one of them always holds a majority of the voters
        view = View(epoch=2, voters=[A, B, C], chain=members)
        self.assertIsNone(plan(view, self.healthy(members), 1, zones=1))

    def test_a_replacement_comes_from_the_zone_with_fewest_voters(self):
        members = self.zoned("xyzxyz")
        view = View(epoch=2, voters=members[:3], chain=members[:3])
        planned = plan(view, self.healthy(members, lost="c"), 1, zones=1)
        self.assertEqual([node.zone for node in planned.voters], ["x", "y", "z"])

    def voter_zones(self, lost: MemberHealth) -> list[str]:
        """Return the zones of the planned voters after a, b (lost) and c of the zones x, y and z; a spare machine is in x."""
        members = self.zoned("xyzx")
        view = View(epoch=2, voters=members[:3], chain=members)
        planned = plan(view, {**self.healthy(members), "b": lost}, 1, zones=1)
        return [node.zone for node in planned.voters]

    def test_an_unreachable_voter_whose_replacement_would_concentrate_the_voters_may_return(self):
        lost = self.zoned("xy")[1]
        self.assertEqual(self.voter_zones(MemberHealth(lost, False, False, VOTER_RETURN_S - 1.0)), ["x", "y", "z"])
        self.assertEqual(self.voter_zones(MemberHealth(lost, False, False, VOTER_RETURN_S)), ["x", "x", "z"])

    def test_a_voter_that_leaves_is_replaced_at_once(self):
        leaving = MemberHealth(self.zoned("xy")[1], False, True, 0.1, is_leaving=True)
        self.assertEqual(self.voter_zones(leaving), ["x", "x", "z"])

    def test_chain_within_one_zone_is_not_planned(self):
        members = self.zoned("xxyz")
        view = View(epoch=2, voters=members[:3], chain=members)
        self.assertIsNone(plan(view, self.healthy(members, lost="cd"), 1, zones=1))
        self.assertEqual(self.names(plan(view, self.healthy(members, lost="d"), 1, zones=1))[0], "abc")

    def test_regions_count_like_zones(self):
        members = self.zoned("uvwxy", "rrsst")
        view = View(epoch=2, voters=members[:3], chain=members)
        planned = plan(view, self.healthy(members), 1, regions=1)
        self.assertEqual(sorted(node.region for node in planned.voters), ["r", "s", "t"])

    def test_any_tolerated_loss_leaves_a_majority_and_a_replica_in_every_layout(self):
        for zones in itertools.product("xyz", repeat=6):
            members = self.zoned("".join(zones))
            view, machines = View(epoch=1, voters=members[:3], chain=members[:3]), self.healthy(members)
            while (planned := plan(view, machines, 1, zones=1)) is not None:
                view = planned
            if len(set(zones)) < 3:
                continue  # too few zones to keep a majority after the loss of any one
            for lost in "xyz":
                left = [node for node in view.voters if node.zone != lost]
                self.assertGreater(2 * len(left), len(view.voters), zones)
                self.assertTrue([node for node in view.chain if node.zone != lost], zones)

    def test_members_that_cannot_reach_each_other_are_not_adjacent(self):
        machines = health("abc", "")
        machines["c"] = MemberHealth(C, True, False, unresponsive_peers=frozenset("b"))
        self.assertEqual(self.names(plan(FIRST, machines, 1)), ("ab", "abc"))


if __name__ == "__main__":
    unittest.main()
