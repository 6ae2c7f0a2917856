"""The data plane's pure components: admission queue, retry budget, backend selection, registry, event streams, demand."""

from __future__ import annotations

import unittest

from mulleinhatch.data_plane.admission_queue import (
    MIN_RUNNING_LIMIT,
    AdmissionQueue,
    ModelQueue,
    PendingRequest,
    RejectionReason,
)
from mulleinhatch.data_plane.backend_health import BackendHealthTracker
from mulleinhatch.data_plane.backend_selection import choose_backend
from mulleinhatch.data_plane.demand_tracker import DemandTracker
from mulleinhatch.data_plane.event_stream import EventStreamFilter
from mulleinhatch.data_plane.registry_snapshot import UNCONFIRMED_GRACE_S, ModelKey, RegistrySnapshot, backend_from_message
from mulleinhatch.data_plane.retry_budget import RetryBudget
from mulleinhatch.messages.cluster import Backend, DemandReport, LoadedModel, PendingLoad
from mulleinhatch.messages.parsing import parse_message

MODEL_KEY = ModelKey("llm", "m0")


def pending(
    handle: str, priority: int = 0, arrived_at: float = 0.0, deadline: float = 100.0, account: str = "", target_s: float = 1.0
) -> PendingRequest:
    return PendingRequest(handle, MODEL_KEY, priority, target_s, account, arrived_at, deadline)


class AdmissionQueues(unittest.TestCase):
    def setUp(self):
        self.slots, self.ready = 3.0, 0.0
        self.queue = AdmissionQueue(lambda model_key: self.slots, lambda model_key: self.ready)
        self.queue.configure([(0, 8.0), (1, 4.0), (2, 2.0)])

    def arrive(self, *requests: PendingRequest, now: float = 0.0) -> None:
        for request in requests:
            self.assertIsNone(self.queue.enqueue(request, now), request)

    def started(self, now: float = 0.0) -> list[str]:
        return [one.handle for one in self.queue.start_next(now)]

    def test_starts_the_highest_class_first_up_to_the_running_limit(self):
        self.arrive(pending("low", 2), pending("high", 0), pending("middle", 1), pending("other", 2))
        self.assertEqual(self.started(), ["high", "middle", "low"])

    def test_an_aged_request_starts_before_a_newer_one_of_a_higher_class(self):
        """The lowest class gains 20 points within its latency target of 2 s."""
        self.slots = 2.0
        self.arrive(pending("a"), pending("b"))
        self.assertEqual(self.started(), ["a", "b"])
        self.arrive(pending("old", 2, arrived_at=0.0), now=0.0)
        self.arrive(pending("new", 0, arrived_at=2.1), now=2.1)
        self.queue.finish(pending("a"), 2.1, True, False)
        self.slots = 2.0
        self.assertEqual(self.started(2.1), ["old"])

    def test_skips_an_account_at_its_cap_while_others_wait(self):
        self.slots = 4.0
        self.arrive(
            pending("a1", account="a"), pending("a2", account="a"), pending("a3", account="a"), pending("b1", account="b")
        )
        self.assertEqual(self.started()[:2], ["a1", "b1"])

    def test_a_single_account_may_use_the_full_limit(self):
        self.slots = 3.0
        self.arrive(*(pending(f"a{number}", account="a") for number in range(3)))
        self.assertEqual(self.started(), ["a0", "a1", "a2"])

    def test_accepts_everything_before_mu_is_measured(self):
        self.slots = 2.0
        self.arrive(*(pending(str(number)) for number in range(50)))

    def test_rejects_beyond_mu_times_the_latency_target_with_a_retry_time(self):
        self.slots = 2.0
        first = [pending(str(number)) for number in range(20)]
        self.arrive(*first)
        now, running = 0.0, self.queue.start_next(0.0)
        for _ in range(12):
            now += 0.1
            self.queue.finish(running.pop(0), now, True, False)
            self.queue.by_model[MODEL_KEY].limit = 2.0
            running += self.queue.start_next(now)
        model_queue = self.queue.by_model[MODEL_KEY]
        self.assertAlmostEqual(model_queue.service_rate, 10.0, delta=1.5)
        rejected = [
            self.queue.enqueue(pending(f"late{number}", arrived_at=now, deadline=now + 50), now) for number in range(12)
        ]
        self.assertIsNone(rejected[0])
        self.assertIs(rejected[-1].reason, RejectionReason.CLASS_BOUND)
        self.assertGreater(rejected[-1].retry_after_s, 0.0)

    def test_overload_decreases_the_limit_and_completions_with_requests_waiting_increase_it(self):
        self.slots = 10.0
        requests = [pending(str(number)) for number in range(12)]
        self.arrive(*requests)
        running = self.queue.start_next(0.0)
        self.assertEqual(len(running), 10)
        self.queue.finish(running[0], 0.1, False, True)
        self.assertEqual(self.queue.by_model[MODEL_KEY].limit, 8.0)
        self.queue.finish(running[1], 0.2, True, False)
        self.assertEqual(self.queue.by_model[MODEL_KEY].limit, 9.0)

    def test_starts_nothing_without_a_backend_for_the_model(self):
        self.slots, self.ready = 0.0, 2.0
        self.arrive(pending("a", deadline=10.0))
        self.assertEqual(self.started(), [])

    def test_removes_requests_that_cannot_be_served_before_their_deadline(self):
        self.slots, self.ready = 0.0, 6.0
        self.arrive(pending("a", deadline=5.0), pending("b", deadline=10.0))
        expired = self.queue.remove_expired(0.5)
        self.assertEqual(
            [(one.handle, rejected.reason) for one, rejected in expired], [("a", RejectionReason.NO_BACKEND_IN_TIME)]
        )

    def test_requeued_request_keeps_its_age(self):
        self.arrive(pending("a", arrived_at=0.0))
        [one] = self.queue.start_next(0.0)
        self.queue.requeue(one, 1.0)
        self.assertEqual((self.queue.by_model[MODEL_KEY].running, one.is_started), (0, False))
        self.assertEqual(self.started(1.0), ["a"])

    def test_removed_request_is_not_started(self):
        one = pending("a")
        self.slots = 0.0
        self.arrive(one)
        self.queue.remove(one)
        self.slots = 5.0
        self.assertEqual(self.started(), [])

    def test_limit_is_never_below_its_minimum(self):
        self.slots = 0.2
        self.arrive(*(pending(str(number)) for number in range(5)))
        self.assertEqual(len(self.started()), MIN_RUNNING_LIMIT)


class RetryBudgets(unittest.TestCase):
    def test_all_data_planes_together_stay_within_the_budget(self):
        """Six data planes with uneven traffic, each retrying as often as its budget allows."""
        ratio, slack, window = 0.2, 52.0, 10.0
        budgets = [RetryBudget(ratio, slack, window) for _ in range(6)]
        requests, retries = [], []
        for tick in range(600):
            now = 0.05 * tick
            for index, budget in enumerate(budgets):
                if tick % (index + 1) == 0:
                    budget.record_request("s", now)
                    requests.append(now)
                while budget.try_spend("s", now, 6):
                    retries.append(now)
        for end in range(1, 31):
            recent_retries = [at for at in retries if end - window < at <= end]
            recent_requests = [at for at in requests if end - window < at <= end]
            self.assertLessEqual(len(recent_retries), ratio * len(recent_requests) + slack)


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


def registered(name: str, **more):
    return backend_from_message(backend(name, **more), 0.0)


class BackendChoice(unittest.TestCase):
    def test_prefers_the_least_busy_then_an_idle_connection_then_its_own_zone(self):
        health = BackendHealthTracker()
        backends = [registered("s1", zone="z2"), registered("s2"), registered("s3")]
        self.assertEqual(choose_backend(backends, health, "", "z2", MODEL_KEY).id, "s1")
        self.assertEqual(choose_backend(backends, health, "", "z2", MODEL_KEY, {"s3"}).id, "s3")
        for name in ("s1", "s3"):
            health.record_started(name)
        self.assertEqual(choose_backend(backends, health, "", "z2", MODEL_KEY, {"s3"}).id, "s2")

    def test_prompts_with_a_common_prefix_share_a_backend_until_it_is_much_busier(self):
        health = BackendHealthTracker()
        backends = [registered(f"s{number}") for number in range(5)]
        home = choose_backend(backends, health, "p1", "z1", MODEL_KEY).id
        for _ in range(3):
            self.assertEqual(choose_backend(backends, health, "p1", "z1", MODEL_KEY).id, home)
            health.record_started(home)
        self.assertNotEqual(choose_backend(backends, health, "p1", "z1", MODEL_KEY).id, home)

    def test_avoids_a_slow_backend_until_its_latency_is_outdated(self):
        health = BackendHealthTracker()
        backends = [registered(f"s{number}") for number in range(5)]
        home = choose_backend(backends, health, "p1", "z1", MODEL_KEY).id
        for _ in range(5):
            health.record_latency(home, 0.6, 1.0)
        self.assertNotEqual(choose_backend(backends, health, "p1", "z1", MODEL_KEY, now=1.0).id, home)
        self.assertEqual(choose_backend(backends, health, "p1", "z1", MODEL_KEY, now=9.0).id, home)

    def test_cooldown_doubles_with_each_failure(self):
        health, one = BackendHealthTracker(), registered("s1")
        health.record_failure("s1", 0.0)
        self.assertEqual((health.is_usable(one, 0.4), health.is_usable(one, 0.6)), (False, True))
        health.record_failure("s1", 0.6)
        self.assertEqual((health.is_usable(one, 1.5), health.is_usable(one, 1.7)), (False, True))
        health.record_success("s1")
        self.assertTrue(health.is_usable(one, 0.0))

    def test_draining_silent_and_misplaced_backends_are_not_usable(self):
        health = BackendHealthTracker()
        self.assertFalse(health.is_usable(registered("s1", draining=True), 0.0))
        self.assertFalse(health.is_usable(registered("s2", silent=True), 0.0))
        health.record_misplaced("s3")
        self.assertFalse(health.is_usable(registered("s3"), 0.0))


class RegistrySnapshots(unittest.TestCase):
    def test_update_removes_gone_backends_and_changes_others(self):
        one = RegistrySnapshot().updated([backend("s1"), backend("s2")], True, 0.0)
        two = one.updated([Backend(id="s1", gone=True), backend("s2", draining=True)], False, 1.0)
        self.assertEqual((sorted(two.by_id), two.by_id["s2"].draining), (["s2"], True))
        self.assertEqual(sorted(one.by_id), ["s1", "s2"])

    def test_complete_list_of_a_new_control_plane_removes_unlisted_backends_after_a_grace_period(self):
        one = RegistrySnapshot().updated([backend("s1")], True, 0.0)
        two = one.updated([], True, 10.0)
        self.assertIn("s1", two.by_id)
        self.assertIn("s1", two.updated([backend("s1")], False, 11.0).updated([], False, 30.0).by_id)
        self.assertNotIn("s1", two.updated([], False, 10.1 + UNCONFIRMED_GRACE_S).by_id)

    def test_a_model_that_is_being_unloaded_is_not_available(self):
        going = backend_from_message(backend("s1", unloads=[PendingLoad(model="m0", adapter="a1")]), 0.0)
        self.assertTrue(going.has_model(ModelKey("llm", "m0")))
        self.assertFalse(going.has_model(ModelKey("llm", "m0", "a1")))
        gone = backend_from_message(backend("s1", unloads=[PendingLoad(model="m0")]), 0.0)
        self.assertFalse(gone.has_model(ModelKey("llm", "m0")))

    def test_has_model_compares_model_and_adapter(self):
        one = registered("s1")
        self.assertEqual(
            [one.has_model(ModelKey("llm", *model)) for model in (("m0",), ("m0", "a1"), ("m0", "a2"), ("m9",))],
            [True, True, False, False],
        )


class EventStreams(unittest.TestCase):
    EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 8)]

    def test_each_event_arrives_once_when_the_stream_is_resumed_after_any_byte(self):
        stream = b"".join(self.EVENTS)
        for end in range(len(stream)):
            event_filter = EventStreamFilter()
            got = event_filter.feed(stream[:end])
            event_filter.discard_partial_event()
            resumed = [event for number, event in enumerate(self.EVENTS, 1) if number > int(event_filter.last_event_id or b"0")]
            got += event_filter.feed(b"".join(resumed))
            self.assertEqual(got, stream, end)

    def test_repeated_events_are_dropped(self):
        event_filter = EventStreamFilter()
        event_filter.feed(b"".join(self.EVENTS[:3]))
        self.assertEqual(event_filter.feed(b"".join(self.EVENTS)), b"".join(self.EVENTS[3:]))

    def test_an_event_without_an_id_is_forwarded(self):
        self.assertEqual(EventStreamFilter().feed(b": hello\n\n"), b": hello\n\n")


class DemandReports(unittest.TestCase):
    def test_rates_decay_and_idle_models_are_not_reported(self):
        tracker = DemandTracker()
        for tick in range(80):
            tracker.record_request(MODEL_KEY, 2.0, 0.1 * tick)
        [demand] = tracker.report([], 8.0)
        self.assertAlmostEqual(demand.rate, 10.0 * 0.63, delta=0.5)
        self.assertAlmostEqual(demand.value_rate, 2.0 * demand.rate, delta=0.1)
        self.assertEqual(tracker.report([], 80.0), [])

    def test_a_report_with_an_extreme_priority_can_be_parsed(self):
        """Guards against losing the whole report to one extreme priority: older control-plane nodes accept any finite one."""
        tracker, waiting = DemandTracker(), ModelQueue(MODEL_KEY, waiting=[pending("a", priority=10**300)])
        tracker.record_request(MODEL_KEY, 1.0, 0.0)
        report = DemandReport(node="d", demand=tracker.report([waiting], 0.0))
        self.assertEqual(parse_message(DemandReport, bytes(report)).demand[0].pending_requests, 1)

    def test_urgent_report_covers_the_named_models_only(self):
        tracker = DemandTracker()
        tracker.record_request(MODEL_KEY, 1.0, 0.0)
        tracker.record_request(ModelKey("s", "other"), 1.0, 0.0)
        self.assertEqual(
            [one.model for one in tracker.urgent_report([MODEL_KEY, ModelKey("s", "never")], {}, 0.0)], [MODEL_KEY.model]
        )


if __name__ == "__main__":
    unittest.main()
