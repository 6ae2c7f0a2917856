"""The data plane's pure parts: admission, budgets, choice of a backend, snapshots, events of streams, demand."""

from __future__ import annotations

import unittest

from mulleinhatch.data_plane.admission import LEAST_LIMIT, Admission, Held, Refusal
from mulleinhatch.data_plane.budget import RetryBudget
from mulleinhatch.data_plane.demand import DemandBook
from mulleinhatch.data_plane.events import EventCutter
from mulleinhatch.data_plane.routing import BackendStates, choose
from mulleinhatch.data_plane.snapshot import UNCONFIRMED_S, BackendList, ModelName, known_backend
from mulleinhatch.messages.cluster import Backend, LoadedModel, PendingLoad

NAME = ModelName("llm", "m0")


def held(ref: str, priority: int = 0, arrived: float = 0.0, due: float = 100.0, account: str = "", target: float = 1.0) -> Held:
    return Held(ref, NAME, priority, target, account, arrived, due)


class AdmissionTrace(unittest.TestCase):
    def setUp(self):
        self.slots, self.ready = 3.0, 0.0
        self.admission = Admission(lambda name: self.slots, lambda name: self.ready)
        self.admission.configure([(0, 8.0), (1, 4.0), (2, 2.0)])

    def arrive(self, *requests: Held, now: float = 0.0) -> None:
        for request in requests:
            self.assertIsNone(self.admission.arrive(request, now), request)

    def started(self, now: float = 0.0) -> list[str]:
        return [one.ref for one in self.admission.next(now)]

    def test_starts_up_to_the_running_limit_the_highest_class_first(self):
        self.arrive(held("low", 2), held("high", 0), held("middle", 1), held("other", 2))
        self.assertEqual(self.started(), ["high", "middle", "low"])

    def test_waiting_makes_up_for_class(self):
        """The lowest class climbs 20 points in its latency aim of 2 s."""
        self.slots = 2.0
        self.arrive(held("a"), held("b"))
        self.assertEqual(self.started(), ["a", "b"])
        self.arrive(held("old", 2, arrived=0.0), now=0.0)
        self.arrive(held("new", 0, arrived=2.1), now=2.1)
        self.admission.ended(held("a"), 2.1, True, False)
        self.slots = 2.0
        self.assertEqual(self.started(2.1), ["old"])

    def test_an_account_at_its_cap_is_skipped_while_others_wait(self):
        self.slots = 4.0
        self.arrive(held("a1", account="a"), held("a2", account="a"), held("a3", account="a"), held("b1", account="b"))
        self.assertEqual(self.started()[:2], ["a1", "b1"])

    def test_alone_an_account_may_have_all(self):
        self.slots = 3.0
        self.arrive(*(held(f"a{number}", account="a") for number in range(3)))
        self.assertEqual(self.started(), ["a0", "a1", "a2"])

    def test_no_bound_before_mu_is_measured(self):
        self.slots = 2.0
        self.arrive(*(held(str(number)) for number in range(50)))

    def test_the_class_bound_is_mu_times_the_aim_and_tells_when_to_come_back(self):
        self.slots = 2.0
        first = [held(str(number)) for number in range(20)]
        self.arrive(*first)
        now, running = 0.0, self.admission.next(0.0)
        for _ in range(12):
            now += 0.1
            self.admission.ended(running.pop(0), now, True, False)
            self.admission.groups[NAME].limit = 2.0
            running += self.admission.next(now)
        group = self.admission.groups[NAME]
        self.assertAlmostEqual(group.mu, 10.0, delta=1.5)
        refused = [self.admission.arrive(held(f"late{number}", arrived=now, due=now + 50), now) for number in range(12)]
        self.assertIsNone(refused[0])
        self.assertIs(refused[-1].reason, Refusal.BOUND)
        self.assertGreater(refused[-1].retry_after_s, 0.0)

    def test_a_full_backend_lowers_the_limit_and_completions_with_work_held_raise_it(self):
        self.slots = 10.0
        requests = [held(str(number)) for number in range(12)]
        self.arrive(*requests)
        running = self.admission.next(0.0)
        self.assertEqual(len(running), 10)
        self.admission.ended(running[0], 0.1, False, True)
        self.assertEqual(self.admission.groups[NAME].limit, 8.0)
        self.admission.ended(running[1], 0.2, True, False)
        self.assertEqual(self.admission.groups[NAME].limit, 9.0)

    def test_nothing_starts_where_no_backend_holds_the_model(self):
        self.slots, self.ready = 0.0, 2.0
        self.arrive(held("a", due=10.0))
        self.assertEqual(self.started(), [])

    def test_what_can_not_be_served_in_time_is_given_up_at_once(self):
        self.slots, self.ready = 0.0, 6.0
        self.arrive(held("a", due=5.0), held("b", due=10.0))
        over = self.admission.give_up(0.5)
        self.assertEqual([(one.ref, refused.reason) for one, refused in over], [("a", Refusal.HOPELESS)])

    def test_put_back_keeps_its_age(self):
        self.arrive(held("a", arrived=0.0))
        [one] = self.admission.next(0.0)
        self.admission.put_back(one, 1.0)
        self.assertEqual((self.admission.groups[NAME].running, one.started), (0, False))
        self.assertEqual(self.started(1.0), ["a"])

    def test_who_leaves_is_no_longer_held(self):
        one = held("a")
        self.slots = 0.0
        self.arrive(one)
        self.admission.leave(one)
        self.slots = 5.0
        self.assertEqual(self.started(), [])

    def test_the_limit_is_never_below_its_floor(self):
        self.slots = 0.2
        self.arrive(*(held(str(number)) for number in range(5)))
        self.assertEqual(len(self.started()), LEAST_LIMIT)


class Budget(unittest.TestCase):
    def test_all_instances_together_stay_within_the_rule(self):
        """Six instances, uneven traffic, each repeats as often as it may."""
        ratio, slack, window = 0.2, 52.0, 10.0
        budgets = [RetryBudget(ratio, slack, window) for _ in range(6)]
        requests, repeats = [], []
        for tick in range(600):
            now = 0.05 * tick
            for place, budget in enumerate(budgets):
                if tick % (place + 1) == 0:
                    budget.request("s", now)
                    requests.append(now)
                while budget.take("s", now, 6):
                    repeats.append(now)
        for end in range(1, 31):
            inside = [one for one in repeats if end - window < one <= end]
            asked = [one for one in requests if end - window < one <= end]
            self.assertLessEqual(len(inside), ratio * len(asked) + slack)


def backend(name: str, zone: str = "z1", models: tuple[str, ...] = ("m0",), **more) -> Backend:
    return Backend(
        id=name,
        service="llm",
        address=f"{name}:1",
        zone=zone,
        slots=4,
        sequence=1,
        models=[LoadedModel(name=model, adapters=["a1"]) for model in models],
        **more,
    )


def known(name: str, **more):
    return known_backend(backend(name, **more), 0.0)


class Choice(unittest.TestCase):
    def test_the_least_busy_then_an_idle_connection_then_the_own_zone(self):
        states = BackendStates()
        backends = [known("s1", zone="z2"), known("s2"), known("s3")]
        self.assertEqual(choose(backends, states, "", "z2", NAME).id, "s1")
        self.assertEqual(choose(backends, states, "", "z2", NAME, {"s3"}).id, "s3")
        for name in ("s1", "s3"):
            states.began(name)
        self.assertEqual(choose(backends, states, "", "z2", NAME, {"s3"}).id, "s2")

    def test_prompts_that_share_parts_meet_until_their_backend_is_much_busier(self):
        states = BackendStates()
        backends = [known(f"s{number}") for number in range(5)]
        home = choose(backends, states, "p1", "z1", NAME).id
        for _ in range(3):
            self.assertEqual(choose(backends, states, "p1", "z1", NAME).id, home)
            states.began(home)
        self.assertNotEqual(choose(backends, states, "p1", "z1", NAME).id, home)

    def test_a_backend_that_answers_late_is_left_for_others_until_that_is_long_ago(self):
        states = BackendStates()
        backends = [known(f"s{number}") for number in range(5)]
        home = choose(backends, states, "p1", "z1", NAME).id
        for _ in range(5):
            states.measured(home, 0.6, 1.0)
        self.assertNotEqual(choose(backends, states, "p1", "z1", NAME, now=1.0).id, home)
        self.assertEqual(choose(backends, states, "p1", "z1", NAME, now=9.0).id, home)

    def test_a_backend_that_failed_rests_longer_each_time(self):
        states, one = BackendStates(), known("s1")
        states.failed("s1", 0.0)
        self.assertEqual((states.usable(one, 0.4), states.usable(one, 0.6)), (False, True))
        states.failed("s1", 0.6)
        self.assertEqual((states.usable(one, 1.5), states.usable(one, 1.7)), (False, True))
        states.succeeded("s1")
        self.assertTrue(states.usable(one, 0.0))

    def test_a_draining_silent_or_misplaced_backend_is_not_used(self):
        states = BackendStates()
        self.assertFalse(states.usable(known("s1", draining=True), 0.0))
        self.assertFalse(states.usable(known("s2", silent=True), 0.0))
        states.is_misplaced("s3")
        self.assertFalse(states.usable(known("s3"), 0.0))


class Lists(unittest.TestCase):
    def test_gone_backends_go_and_others_change(self):
        one = BackendList().updated([backend("s1"), backend("s2")], True, 0.0)
        two = one.updated([Backend(id="s1", gone=True), backend("s2", draining=True)], False, 1.0)
        self.assertEqual((sorted(two.by_id), two.by_id["s2"].draining), (["s2"], True))
        self.assertEqual(sorted(one.by_id), ["s1", "s2"])

    def test_a_new_source_that_knows_nobody_yet_is_no_proof(self):
        one = BackendList().updated([backend("s1")], True, 0.0)
        two = one.updated([], True, 10.0)
        self.assertIn("s1", two.by_id)
        self.assertIn("s1", two.updated([backend("s1")], False, 11.0).updated([], False, 30.0).by_id)
        self.assertNotIn("s1", two.updated([], False, 10.1 + UNCONFIRMED_S).by_id)

    def test_what_is_being_taken_away_is_not_held(self):
        going = known_backend(backend("s1", unloads=[PendingLoad(model="m0", adapter="a1")]), 0.0)
        self.assertTrue(going.holds(ModelName("llm", "m0")))
        self.assertFalse(going.holds(ModelName("llm", "m0", "a1")))
        gone = known_backend(backend("s1", unloads=[PendingLoad(model="m0")]), 0.0)
        self.assertFalse(gone.holds(ModelName("llm", "m0")))

    def test_holdings(self):
        one = known("s1")
        self.assertEqual(
            [one.holds(ModelName("llm", *words)) for words in (("m0",), ("m0", "a1"), ("m0", "a2"), ("m9",))],
            [True, True, False, False],
        )


class Streams(unittest.TestCase):
    EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 8)]

    def test_cut_at_every_byte_and_taken_up_again_each_event_comes_once(self):
        whole = b"".join(self.EVENTS)
        for cut in range(len(whole)):
            cutter = EventCutter()
            got = cutter.feed(whole[:cut])
            cutter.cut()
            resumed = [event for number, event in enumerate(self.EVENTS, 1) if number > int(cutter.last_id or b"0")]
            got += cutter.feed(b"".join(resumed))
            self.assertEqual(got, whole, cut)

    def test_events_that_come_again_are_left_out(self):
        cutter = EventCutter()
        cutter.feed(b"".join(self.EVENTS[:3]))
        self.assertEqual(cutter.feed(b"".join(self.EVENTS)), b"".join(self.EVENTS[3:]))

    def test_an_event_without_an_id_is_passed(self):
        self.assertEqual(EventCutter().feed(b": hello\n\n"), b": hello\n\n")


class DemandTold(unittest.TestCase):
    def test_rates_decay_and_quiet_models_are_no_longer_told(self):
        book = DemandBook()
        for tick in range(80):
            book.asked(NAME, 2.0, 0.1 * tick)
        [told] = book.report([], 8.0)
        self.assertAlmostEqual(told.rate, 10.0 * 0.63, delta=0.5)
        self.assertAlmostEqual(told.value_rate, 2.0 * told.rate, delta=0.1)
        self.assertEqual(book.report([], 80.0), [])

    def test_what_is_urgent_is_told_of_the_models_named_only(self):
        book = DemandBook()
        book.asked(NAME, 1.0, 0.0)
        book.asked(ModelName("s", "other"), 1.0, 0.0)
        self.assertEqual([one.model for one in book.urgent([NAME, ModelName("s", "never")], {}, 0.0)], [NAME.model])


if __name__ == "__main__":
    unittest.main()
