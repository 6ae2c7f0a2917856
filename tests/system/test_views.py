"""Views: recorded traces of votes, and which view follows who is alive."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Container

from mulleinhatch.consensus.paxos import Proposal, ProposalOutcome, Voter, identities
from mulleinhatch.consensus.view_planner import MemberHealth, plan_next_view
from mulleinhatch.messages.cluster import AcceptRequest, Member, PrepareRequest, ProposalNumber, View, VoterState


def member(name: str, place: str = "") -> Member:
    return Member(identity=name, name=name, control_address=f"{place or name}:1", internal_address=f"{place or name}:2")


A, B, C, D, E = (member(name) for name in "abcde")
FIRST = View(epoch=1, voters=[A, B, C], chain=[A, B, C])


def voters(*names: str, view: View = FIRST) -> dict[str, Voter]:
    return {name: Voter(name, VoterState(view=view)) for name in names}


def carry_out(proposal: Proposal, machines: dict[str, Voter], reached: str, until: str = "accept") -> ProposalOutcome:
    """Plays one proposal against the voters that can be reached."""
    for name in reached:
        answer = machines[name].prepare(PrepareRequest(base=proposal.base, proposal_number=proposal.proposal_number))
        if proposal.on_prepare_response(answer):
            break
    if proposal.view_to_accept is None or until == "prepare":
        return proposal.outcome
    for name in reached:
        request = AcceptRequest(base=proposal.base, proposal_number=proposal.proposal_number, proposed=proposal.view_to_accept)
        if proposal.on_accept_response(machines[name].accept(request)):
            break
    return proposal.outcome


def proposal(number: int, proposer: str, chain: list[Member], base: View = FIRST) -> Proposal:
    return Proposal(
        base, ProposalNumber(number=number, proposer=proposer), View(epoch=base.epoch + 1, voters=base.voters, chain=chain)
    )


class ViewChanger(unittest.TestCase):
    def test_a_majority_decides(self):
        machines = voters("a", "b", "c")
        self.assertIs(carry_out(proposal(1, "a", [A, B]), machines, "ab"), ProposalOutcome.DECIDED)

    def test_a_minority_does_not(self):
        machines = voters("a", "b", "c")
        self.assertIs(carry_out(proposal(1, "a", [A]), machines, "a"), ProposalOutcome.RUNNING)

    def test_what_may_have_been_chosen_is_proposed_again(self):
        machines = voters("a", "b", "c")
        first = proposal(1, "a", [A, B])
        carry_out(first, machines, "ab")
        second = proposal(2, "c", [B, C])
        self.assertIs(carry_out(second, machines, "bc"), ProposalOutcome.DECIDED)
        self.assertEqual(identities(second.view_to_accept.chain), ("a", "b"))

    def test_a_lower_ballot_is_outbid(self):
        machines = voters("a", "b", "c")
        carry_out(proposal(5, "c", [B, C]), machines, "bc", until="prepare")
        late = proposal(1, "a", [A, B])
        self.assertIs(carry_out(late, machines, "bca"), ProposalOutcome.PREEMPTED)
        self.assertEqual(late.highest_number, 5)

    def test_a_promise_given_after_a_prepare_stops_the_accept_of_a_lower_ballot(self):
        machines = voters("a", "b", "c")
        early = proposal(1, "a", [A, B])
        carry_out(early, machines, "ab", until="prepare")
        carry_out(proposal(2, "c", [B, C]), machines, "bc")
        for name in "ab":
            request = AcceptRequest(base=FIRST, proposal_number=early.proposal_number, proposed=early.view_to_accept)
            early.on_accept_response(machines[name].accept(request))
        self.assertIsNot(early.outcome, ProposalOutcome.DECIDED)

    def test_a_disk_that_forgot_has_another_identity_and_no_vote(self):
        machines = voters("a", "b", "c")
        machines["c"] = Voter("c2", VoterState(view=FIRST))
        self.assertIs(carry_out(proposal(1, "a", [A, B]), machines, "ac"), ProposalOutcome.RUNNING)

    def test_who_is_behind_learns_the_base_and_votes(self):
        second = View(epoch=2, voters=[A, B, C], chain=[B, C])
        machines = {"b": Voter("b", VoterState(view=second)), "a": Voter("a", VoterState(view=FIRST))}
        self.assertIs(carry_out(proposal(1, "b", [B, C, A], second), machines, "ba"), ProposalOutcome.DECIDED)

    def test_who_is_ahead_tells_its_view(self):
        second = View(epoch=2, voters=[A, B, C], chain=[B, C])
        machines = {"b": Voter("b", VoterState(view=second))}
        late = proposal(9, "a", [A])
        self.assertIs(carry_out(late, machines, "b"), ProposalOutcome.SUPERSEDED)
        self.assertEqual(late.newest.epoch, 2)

    def test_a_vote_for_a_later_view_is_no_confirmation(self):
        machines = voters("a", "b", "c")
        self.assertTrue(machines["b"].confirms_epoch(1))
        carry_out(proposal(1, "a", [A, B]), machines, "ab")
        self.assertFalse(machines["b"].confirms_epoch(1))
        self.assertTrue(machines["c"].confirms_epoch(1))


def health(
    alive: Container[str], caught_up: Container[str] = "", extra: tuple[Member, ...] = (), gone_s: float = 0.0
) -> dict[str, MemberHealth]:
    members = [A, B, C, *extra]
    return {
        one.identity: MemberHealth(
            one, one.identity in alive, one.identity in caught_up, 0.0 if one.identity in alive else gone_s
        )
        for one in members
    }


class Planning(unittest.TestCase):
    def names(self, view: View | None) -> tuple[str, str]:
        return "".join(identities(view.chain)), "".join(identities(view.voters))

    def test_stays_while_all_are_well(self):
        self.assertIsNone(plan_next_view(FIRST, health("abc"), 1))

    def test_a_silent_member_leaves_the_chain_and_keeps_its_vote(self):
        self.assertEqual(self.names(plan_next_view(FIRST, health("bc"), 1)), ("bc", "abc"))

    def test_never_shorter_than_the_disks_that_may_be_lost_and_one(self):
        self.assertIsNone(plan_next_view(FIRST, health("c"), 1))

    def test_who_is_back_joins_at_the_tail_once_it_caught_up(self):
        view = View(epoch=2, voters=[A, B, C], chain=[B, C])
        self.assertIsNone(plan_next_view(view, health("abc"), 1))
        self.assertEqual(self.names(plan_next_view(view, health("abc", "a"), 1)), ("bca", "abc"))

    def test_an_emptied_disk_takes_the_vote_of_its_former_identity(self):
        reborn = member("a2", "a")
        view = View(epoch=2, voters=[A, B, C], chain=[B, C])
        planned = plan_next_view(view, health(("b", "c", "a2"), ("a2",), (reborn,)), 1)
        self.assertEqual(identities(planned.voters), ("a2", "b", "c"))
        self.assertEqual(identities(planned.chain), ("b", "c", "a2"))

    def test_a_joiner_that_never_got_all_does_not_become_the_head(self):
        """Found in virtual time: read version 1 after 4 was acknowledged."""
        view = View(epoch=2, voters=[A, B, C], chain=[A, B])
        behind = health("bc", "c")
        behind["b"] = MemberHealth(B, True, True, log_complete=False)
        self.assertIsNone(plan_next_view(view, behind, 1))
        self.assertEqual(self.names(plan_next_view(view, health("bc", "c"), 1)), ("bc", "abc"))

    def test_no_joiner_without_a_survivor(self):
        view = View(epoch=2, voters=[A, B, C], chain=[B, C])
        self.assertIsNone(plan_next_view(view, health("a", "a"), 1))

    def test_a_newcomer_takes_the_vote_of_a_silent_voter_however_short_its_silence(self):
        """Shown by a day with `replace_core` three times: a newcomer was added as a fourth voter, and the next loss left two of
        four."""
        view = View(epoch=2, voters=[A, B, C], chain=[B, C])
        for gone_s in (1.1, 9.0):
            planned = plan_next_view(view, health("bcd", "d", (D,), gone_s), 1)
            self.assertEqual(self.names(planned), ("bcd", "dbc"))

    def test_a_newcomer_takes_the_vote_of_a_voter_that_leaves_and_still_answers(self):
        view = View(epoch=2, voters=[A, B, C], chain=[A, B, C, D])
        leaving = health("abcd", "d", (D,))
        leaving["a"] = MemberHealth(A, False, True, unreachable_for_s=0.05)  # it says that it leaves
        self.assertEqual(self.names(plan_next_view(view, leaving, 1)), ("bcd", "dbc"))

    def test_a_newcomer_beside_voters_that_are_all_well_gets_no_vote(self):
        view = View(epoch=2, voters=[A, B, C], chain=[A, B, C])
        self.assertEqual(self.names(plan_next_view(view, health("abcd", "d", (D,)), 1)), ("abcd", "abc"))

    def test_of_two_silent_voters_the_longest_gone_makes_way(self):
        view = View(epoch=2, voters=[A, B, C, D, E], chain=[C, D, E])
        machines = health("cdef", "f", (D, E, member("f")))
        machines["a"] = MemberHealth(A, False, False, unreachable_for_s=2.0)
        machines["b"] = MemberHealth(B, False, False, unreachable_for_s=5.0)
        self.assertEqual(self.names(plan_next_view(view, machines, 2)), ("cdef", "afcde"))

    def test_the_voters_stay_an_odd_number_while_they_grow(self):
        view = View(epoch=1, voters=[A, B, C], chain=[A, B, C])
        self.assertEqual(self.names(plan_next_view(view, health("abcde", "de", (D, E)), 2)), ("abcde", "abcde"))
        self.assertEqual(self.names(plan_next_view(view, health("abcd", "d", (D,)), 2)), ("abcd", "abc"))

    def test_a_further_voter_that_fell_silent_goes_when_enough_are_left(self):
        """A view of an earlier version of this program may have an even number."""
        view = View(epoch=3, voters=[A, B, C, D], chain=[B, C, D])
        self.assertEqual(self.names(plan_next_view(view, health("bcd", "", (D,), 1.1), 1)), ("bcd", "bcd"))

    def test_every_loss_that_is_allowed_after_a_replacement_leaves_a_majority_and_a_copy(self):
        """All orders of losses and newcomers, three at a time: after each view that follows, any one further loss is borne."""
        for lost in itertools.product("abc", repeat=3):
            view = FIRST
            machines = {one.identity: one for one in (A, B, C)}
            for number, place in enumerate(lost):
                out = sorted(machines)["abc".index(place)]
                newcomer = member(f"n{number}")
                del machines[out]
                machines[newcomer.identity] = newcomer
                alive = {name: MemberHealth(one, True, True, log_complete=True) for name, one in machines.items()}
                gone = {one.identity: MemberHealth(one, False, False, 1.1, False) for one in [*view.voters, *view.chain]}
                view = plan_next_view(view, {**gone, **alive}, 1)
                self.assertIsNotNone(view, lost)
                for further in machines:
                    left = set(machines) - {further}
                    self.assertGreater(2 * len(left & set(identities(view.voters))), len(view.voters), (lost, further))
                    self.assertTrue(left & set(identities(view.chain)), (lost, further))

    def test_members_that_do_not_reach_each_other_are_not_neighbours_in_the_chain(self):
        machines = health("abc", "")
        machines["c"] = MemberHealth(C, True, False, unresponsive_peers=frozenset("b"))
        self.assertEqual(self.names(plan_next_view(FIRST, machines, 1)), ("ab", "abc"))


if __name__ == "__main__":
    unittest.main()
