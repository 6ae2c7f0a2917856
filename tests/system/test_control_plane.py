"""Test the pure parts of the control plane: registry, peers, placement, leader lease and settings."""

from __future__ import annotations

import math
import unittest

from result import Err

from mulleinhatch.configuration.routes import EngineSpec, ModelSpec
from mulleinhatch.control_plane.peers import ALIVE_S, Peers
from mulleinhatch.control_plane.placement.backend_report import parse_report
from mulleinhatch.control_plane.placement.backend_view import BackendView, HostedModel, used_mb
from mulleinhatch.control_plane.placement.demand import AggregatedDemand, DemandAggregator
from mulleinhatch.control_plane.placement.order import Operation
from mulleinhatch.control_plane.placement.planner import Planner
from mulleinhatch.control_plane.registry import BackendRegistry
from mulleinhatch.leadership.lease import LeaderLease, LeadershipObservation, LeaseState
from mulleinhatch.messages.cluster import (
    Backend,
    DemandReport,
    HeartbeatResponse,
    LoadedModel,
    Member,
    ModelDemand,
    PendingLoad,
    PollResponse,
    View,
)
from mulleinhatch.messages.encoded import EncodedPollResponse
from mulleinhatch.process.settings import parse_settings


def backend(sequence: int, **more) -> Backend:
    return Backend(id="i-1", service="llm", address="s:1", zone="z", slots=4, sequence=sequence, **more)


class Registry(unittest.TestCase):
    def setUp(self):
        self.changes: list[str] = []
        self.registry = BackendRegistry(1.0, self.changes.append)

    def test_ignores_heartbeats_older_than_the_last(self):
        self.registry.merge(backend(5, draining=True), 0.0)
        self.assertFalse(self.registry.merge(backend(4), 0.1))
        self.assertTrue(self.registry.entries["i-1"].backend.draining)

    def test_draining_is_final(self):
        self.registry.merge(backend(5, draining=True), 0.0)
        self.registry.merge(backend(6), 0.1)
        self.assertTrue(self.registry.entries["i-1"].backend.draining)

    def test_deregistration_is_final(self):
        self.registry.merge(backend(5), 0.0)
        self.registry.deregister("i-1", 0.1)
        self.registry.merge(backend(9), 0.2)
        self.assertTrue(self.registry.entries["i-1"].backend.gone)

    def test_deregistration_of_an_unknown_backend_is_kept(self):
        self.registry.deregister("i-1", 0.0)
        self.registry.merge(backend(9), 0.2)
        self.assertTrue(self.registry.entries["i-1"].backend.gone)

    def test_timeout_is_reported_and_a_heartbeat_ends_it(self):
        self.registry.merge(backend(1), 0.0)
        self.registry.expire(5.0)
        self.assertTrue(self.registry.entries["i-1"].backend.silent)
        self.registry.merge(backend(2), 6.0)
        self.assertFalse(self.registry.entries["i-1"].backend.silent)
        self.assertEqual(len(self.changes), 3)

    def test_a_relayed_record_has_the_age_of_its_heartbeat(self):
        self.registry.merge(backend(1), 0.0)
        self.registry.merge(backend(2, age_ms=3000), 4.0)
        self.assertEqual(self.registry.entries["i-1"].last_heartbeat_at, 1.0)

    def test_orders_and_heartbeats_have_separate_sequences(self):
        self.registry.merge(backend(1, models=[LoadedModel(name="m0")]), 0.0)
        self.registry.record_holdings("i-1", [LoadedModel(name="m0")], [PendingLoad(model="m1")], [PendingLoad(model="m0")], 7)
        self.registry.merge(backend(2, models=[LoadedModel(name="m0")]), 1.0)
        entry = self.registry.entries["i-1"].backend
        self.assertEqual(([load.model for load in entry.loads], [unload.model for unload in entry.unloads]), (["m1"], ["m0"]))
        self.registry.merge(backend(1, models=[LoadedModel(name="m1")], order_revision=8), 1.1)
        entry = self.registry.entries["i-1"].backend
        self.assertEqual((entry.sequence, [model.name for model in entry.models], entry.loads), (2, ["m1"], []))

    def test_a_poll_returns_changes_since_its_cursor_and_all_from_a_new_source(self):
        self.registry.merge(backend(1), 0.0)
        cursor = self.registry.cursor
        self.assertEqual(self.registry.changes_since(self.registry.source, cursor), (False, []))
        self.registry.merge(backend(2, draining=True), 1.0)
        changes = self.registry.changes_since(self.registry.source, cursor)
        self.assertEqual((changes.is_complete, [backend.id for backend in changes.backends]), (False, ["i-1"]))
        self.assertTrue(self.registry.changes_since("another", 0)[0])

    def test_a_record_is_encoded_once_and_anew_after_a_change(self):
        self.registry.merge(backend(1), 0.0)
        [first], [again] = (self.registry.changes_since("another", 0).encode() for _ in range(2))
        self.assertIs(first, again)
        self.registry.merge(backend(2, version="v2"), 1.0)
        [changed] = self.registry.changes_since("another", 0).encode()
        self.assertEqual(Backend().parse(changed), self.registry.entries["i-1"].backend)

    def test_a_response_with_encoded_records_is_an_ordinary_one_on_the_wire(self):
        records = [backend(1), backend(2, models=[LoadedModel(name="m0", adapters=["a1"])])]
        fields = {"authoritative": True, "epoch": 3, "registry_source": "s", "departed_backends": ["i-0"], "data_planes": 2}
        plain = PollResponse(backends=records, **fields)
        encoded = EncodedPollResponse(backends=[bytes(record) for record in records], **fields)
        self.assertEqual(bytes(encoded), bytes(plain))
        self.assertEqual(PollResponse().parse(bytes(encoded)), plain)

    def test_counts_loads_from_the_store_by_any_leader(self):
        counted = []
        self.registry = BackendRegistry(1.0, self.changes.append, on_store_load=lambda: counted.append(1))
        self.registry.merge(backend(1), 0.0)
        load = PendingLoad(model="m1", from_store=True)
        self.registry.merge(backend(0, loads=[load], order_revision=3), 0.1)
        self.registry.merge(backend(0, loads=[load], order_revision=4), 0.2)
        self.assertEqual(len(counted), 1)


class BackendReports(unittest.TestCase):
    def test_rejects_a_report_of_another_form(self):
        with self.assertRaises(ValueError):
            parse_report(b'{"models":[{"no":1}]}')
        self.assertEqual(parse_report(b'{"models":[{"name":"m"}],"busy":true,"sequence":3}').revision, 3)


class PeerLiveness(unittest.TestCase):
    def setUp(self):
        self.own, self.other, self.third = (Member(identity=name, name=name, internal_address=f"{name}:2") for name in "abc")
        self.peers = Peers(self.own)
        self.view = View(epoch=1, voters=[self.own, self.other, self.third], chain=[self.own, self.other, self.third])

    def test_a_majority_includes_this_node(self):
        self.assertFalse(self.peers.reaches_majority(self.view, 0.0))
        self.peers.record_response(HeartbeatResponse(sender=self.other), 0.0)
        self.assertTrue(self.peers.reaches_majority(self.view, ALIVE_S / 2))
        self.assertFalse(self.peers.reaches_majority(self.view, ALIVE_S * 2))

    def test_a_new_identity_at_an_address_replaces_the_former(self):
        self.peers.record_response(HeartbeatResponse(sender=self.other), 0.0)
        replacement = Member(identity="b2", name="b", internal_address="b:2")
        self.peers.record_response(HeartbeatResponse(sender=replacement), 0.1)
        self.assertFalse(self.peers.is_alive("b", 0.2))
        self.assertTrue(self.peers.is_alive("b2", 0.2))


ENGINE = EngineSpec(64, 220.0, 2, 2.0, 1000, {f"m{number}": ModelSpec(f"m{number}", 70.0, 5.0, 4, 1.0) for number in range(10)})


def view(name: str, models: str = "", adapters: dict[str, set[str]] | None = None, **more) -> BackendView:
    holdings = {f"m{digit}": HostedModel(set((adapters or {}).get(f"m{digit}", ())), -100.0) for digit in models}
    return BackendView(name, name, holdings, more.pop("disk_models", set()), True, True, **more)


def planned(
    backends: list[BackendView], wanted: dict[str, AggregatedDemand], available_loads: int = 5
) -> list[tuple[str, str, str, str]]:
    orders = Planner(ENGINE, backends, wanted, 0.0, available_loads).plan()
    return [(order.backend_id, order.operation.value, order.model, order.adapter) for order in orders]


class Placement(unittest.TestCase):
    def test_loads_a_requested_model_where_memory_is_free(self):
        self.assertEqual(
            planned([view("s1", "123"), view("s2", "12")], {"m5": AggregatedDemand(pending=1)}), [("s2", "load", "m5", "")]
        )

    def test_unloads_the_model_with_the_least_demand(self):
        wanted = {
            "m8": AggregatedDemand(pending=1),
            "m1": AggregatedDemand(rate=5, value=10),
            "m2": AggregatedDemand(rate=3, value=6),
        }
        self.assertEqual(planned([view("s1", "129")], wanted), [("s1", "unload", "m9", "")])

    def test_the_order_of_models_in_the_configuration_does_not_matter(self):
        """Any model without demand may be unloaded, also one that follows a busy one in the configuration."""
        wanted = {"m8": AggregatedDemand(pending=1), "m1": AggregatedDemand(rate=5, value=10)}
        self.assertEqual(planned([view("s1", "129")], wanted), [("s1", "unload", "m2", "")])
        self.assertEqual(planned([view("s1", "159")], wanted), [("s1", "unload", "m5", "")])

    def test_a_loaded_model_counts_three_times_the_value_of_a_missing_one(self):
        """A single request for a model that is loaded nowhere does not unload one that is requested occasionally."""
        for value, orders in ((0.6, [("s1", "unload", "m2", "")]), (0.8, [])):
            with self.subTest(value=value):
                wanted = {f"m{digit}": AggregatedDemand(rate=5, value=9) for digit in "19"}
                wanted |= {"m8": AggregatedDemand(pending=1), "m2": AggregatedDemand(rate=value, value=value)}
                self.assertEqual(planned([view("s1", "129")], wanted), orders)

    def test_unloads_replicas_of_a_model_one_at_a_time(self):
        """Once the others are unloaded in the same planning step, the remaining one has the value of a last replica."""
        wanted = {f"m{digit}": AggregatedDemand(pending=3) for digit in "56789"}
        wanted |= {
            "m1": AggregatedDemand(rate=3, value=9),
            **{f"m{digit}": AggregatedDemand(rate=9, value=90) for digit in "23"},
        }
        orders = planned([view(f"s{number}", "123") for number in range(4)], wanted)
        self.assertEqual([order[1:3] for order in orders], [("unload", "m1")] * 2)

    def test_never_unloads_a_model_for_one_with_less_demand(self):
        wanted = {
            "m5": AggregatedDemand(rate=0.1, value=0.1),
            **{f"m{number}": AggregatedDemand(rate=5, value=9) for number in (1, 2, 3)},
        }
        self.assertEqual(planned([view("s1", "123")], wanted), [])

    def test_prefers_the_backend_whose_disk_has_the_model(self):
        backends = [view("s1", "1"), view("s2", "2", disk_models={"m5"})]
        self.assertEqual(planned(backends, {"m5": AggregatedDemand(pending=1)}), [("s2", "load", "m5", "")])

    def test_at_the_load_rate_limit_loads_only_from_own_disks(self):
        self.assertEqual(planned([view("s1", "1")], {"m5": AggregatedDemand(pending=1)}, available_loads=0), [])
        self.assertEqual(
            planned([view("s1", "1", disk_models={"m5"})], {"m5": AggregatedDemand(pending=1)}, available_loads=0),
            [("s1", "load", "m5", "")],
        )

    def test_a_pending_load_counts_as_used_memory_and_as_a_replica(self):
        loading = view("s1", "12", loading={("m5", "")})
        self.assertEqual(used_mb(loading, ENGINE), 210.0)
        self.assertEqual(planned([loading, view("s2", "1")], {"m5": AggregatedDemand(pending=1)}), [])

    def test_freed_memory_is_reserved_for_its_model(self):
        backends = [view("s1", "12", reserved_for="m5"), view("s2", "12")]
        self.assertEqual(
            planned(backends, {"m5": AggregatedDemand(pending=1), "m6": AggregatedDemand(pending=2)}),
            [("s1", "load", "m5", ""), ("s2", "load", "m6", "")],
        )

    def test_busy_models_get_further_replicas(self):
        backends = [view("s1", "1"), view("s2", "2")]
        self.assertEqual(planned(backends, {"m1": AggregatedDemand(rate=9, value=18, running=20)}), [("s2", "load", "m1", "")])

    def test_an_adapter_goes_to_a_backend_with_its_model_and_a_free_slot(self):
        wanted = {"m1": AggregatedDemand(rate=1, value=1, adapters={"a3": AggregatedDemand(pending=1)})}
        backends = [view("s1", "1", {"m1": {"a1", "a2"}}), view("s2", "1"), view("s3", "2")]
        self.assertEqual(planned(backends, wanted), [("s2", "load", "m1", "a3")])

    def test_adapters_never_exceed_their_slots(self):
        wanted = {
            "m1": AggregatedDemand(
                rate=1, value=1, adapters={"a3": AggregatedDemand(pending=1), "a1": AggregatedDemand(rate=1, value=1)}
            )
        }
        self.assertEqual(planned([view("s1", "1", {"m1": {"a1", "a2"}})], wanted), [("s1", "unload", "m1", "a2")])

    def test_never_exceeds_the_limits_of_a_backend(self):
        """Any sequence of plans that are executed immediately stays within memory and adapter slots."""
        backends = [view(f"s{number}") for number in range(3)]
        for step in range(200):
            model = f"m{step * 7 % 10}"
            wanted = {
                model: AggregatedDemand(pending=3, rate=1, value=3, adapters={f"a{step % 4}": AggregatedDemand(pending=2)})
            }
            for order in Planner(ENGINE, backends, wanted, 10.0 * step, 5).plan():
                target = next(backend for backend in backends if backend.id == order.backend_id)
                if order.operation is Operation.UNLOAD:
                    target.models[order.model].adapters.discard(order.adapter) if order.adapter else target.models.pop(
                        order.model
                    )
                elif order.adapter:
                    target.models[order.model].adapters.add(order.adapter)
                else:
                    target.models[order.model] = HostedModel(set(), 10.0 * step - 5.0)
                self.assertLessEqual(used_mb(target, ENGINE), ENGINE.weights_mb)
                self.assertLessEqual(sum(len(model.adapters) for model in target.models.values()), ENGINE.adapter_slots)

    def test_a_model_missing_from_the_configuration_uses_memory_and_is_unloaded_first(self):
        backend = view("s1", "12")
        backend.models["old"] = HostedModel(set(), -100.0)
        self.assertEqual(used_mb(backend, ENGINE), 210.0)
        wanted = {
            "m5": AggregatedDemand(pending=1),
            "m1": AggregatedDemand(rate=1, value=1),
            "m2": AggregatedDemand(rate=1, value=1),
        }
        self.assertEqual(planned([backend], wanted), [("s1", "unload", "old", "")])

    def test_oversized_models_are_never_ordered_and_the_others_are(self):
        sizes = {"huge": math.inf, "large": 1e12, "m1": 70.0}
        engine = EngineSpec(64, 220.0, 2, 2.0, 1000, {name: ModelSpec(name, mb, 5.0, 0, 1.0) for name, mb in sizes.items()})
        wanted = {name: AggregatedDemand(pending=2, rate=1, value=1) for name in (*sizes, "unknown")}
        orders = Planner(engine, [view("s1", ""), view("s2", "")], wanted, 0.0, 5).plan()
        self.assertEqual([order.model for order in orders], ["m1"])

    def test_no_memory_and_no_slots_order_nothing(self):
        engine = EngineSpec(1, 0.0, 0, 2.0, 0, ENGINE.models)
        wanted = {"m1": AggregatedDemand(pending=2, adapters={"a1": AggregatedDemand(pending=1)})}
        self.assertEqual(Planner(engine, [view("s1", "")], wanted, 0.0, 5).plan(), [])


class DemandSums(unittest.TestCase):
    def test_sums_reports_and_ignores_old_ones(self):
        demand = DemandAggregator()
        for node, at in (("n1", 0.0), ("n2", 3.0)):
            demand.merge_report(
                DemandReport(
                    node=node, demand=[ModelDemand(service="s", model="m", adapter="a", pending_requests=2, rate=1.5)]
                ),
                at,
            )
        total = demand.totals("s", 3.5)["m"]
        self.assertEqual((total.pending, total.rate, total.adapters["a"].pending), (4, 3.0, 4))
        self.assertEqual(demand.totals("s", 6.0)["m"].pending, 2)
        self.assertEqual(demand.totals("other", 6.0), {})


def observation(can_lead: bool = True, leader: str = "b", token: int = 4, **more) -> LeadershipObservation:
    return LeadershipObservation(can_lead, "a", leader, token, **more)


class Leader(unittest.TestCase):
    def test_waits_for_the_lease_of_another_leader(self):
        role = LeaderLease(3.0)
        self.assertIs(role.observe(observation(), 0.0), LeaseState.WAITING)
        self.assertIs(role.observe(observation(), 3.2), LeaseState.WAITING)
        self.assertIs(role.observe(observation(), 3.4), LeaseState.CLAIMING)
        role.on_claim_committed(9)
        self.assertIs(role.observe(observation(leader="a", token=9), 3.5), LeaseState.LEADER)

    def test_a_claim_that_failed_is_made_again(self):
        role = LeaderLease(0.0)
        role.observe(observation(leader=""), 0.0)
        role.on_claim_committed(0)
        self.assertIs(role.observe(observation(leader=""), 0.1), LeaseState.CLAIMING)

    def test_no_wait_for_the_first_leader_or_this_node(self):
        for leader in ("", "a"):
            self.assertIs(LeaderLease(3.0).observe(observation(leader=leader), 0.0), LeaseState.CLAIMING)

    def test_losing_the_lead_restarts_the_wait(self):
        role = LeaderLease(3.0)
        role.observe(observation(), 0.0)
        role.observe(observation(can_lead=False), 2.9)
        self.assertIs(role.observe(observation(), 3.5), LeaseState.WAITING)

    def acting_lease(self) -> LeaderLease:
        role = LeaderLease(3.0)
        role.observe(observation(leader=""), 0.0)
        role.on_claim_committed(5)
        role.observe(observation(leader="a", token=5), 0.1)
        return role

    def test_a_short_loss_of_the_lead_pauses_the_lease(self):
        """This happens during a view change: a new claim would discard the state of orders in flight at every backend."""
        role = self.acting_lease()
        self.assertIs(role.observe(observation(can_lead=False, leader="a", token=5), 0.2), LeaseState.PAUSED)
        self.assertFalse(role.is_leader)
        self.assertIs(role.observe(observation(leader="a", token=5), 0.4), LeaseState.LEADER)

    def test_a_claim_by_another_during_a_pause_ends_the_lease(self):
        role = self.acting_lease()
        role.observe(observation(can_lead=False, leader="a", token=5), 0.2)
        self.assertIs(role.observe(observation(leader="b", token=7), 0.4), LeaseState.FOLLOWER)

    def test_a_long_pause_ends_the_lease(self):
        role = self.acting_lease()
        role.observe(observation(can_lead=False, leader="a", token=5), 0.2)
        self.assertIs(role.observe(observation(can_lead=False, leader="a", token=5), 1.3), LeaseState.FOLLOWER)
        self.assertIs(role.observe(observation(leader="a", token=5), 1.4), LeaseState.CLAIMING)

    def test_a_paused_process_claims_again(self):
        role = self.acting_lease()
        role.observe(observation(can_lead=False, leader="a", token=5), 0.2)
        self.assertIsNot(role.observe(observation(leader="a", token=5), 3.2), LeaseState.LEADER)

    def test_wait_is_shorter_after_a_former_leader_that_hands_over(self):
        role = LeaderLease(3.0)
        self.assertIs(role.observe(observation(previous_leader_idle_s=2.0), 0.0), LeaseState.WAITING)
        self.assertIs(role.observe(observation(previous_leader_idle_s=2.0), 1.4), LeaseState.CLAIMING)

    def test_wait_is_shorter_only_after_a_fenced_leader_that_is_unreachable(self):
        role = LeaderLease(3.0)
        role.observe(observation(is_previous_leader_fenced=True), 0.0)
        self.assertIs(role.observe(observation(is_previous_leader_fenced=False), 1.2), LeaseState.WAITING)
        self.assertIs(role.observe(observation(is_previous_leader_fenced=True), 1.3), LeaseState.CLAIMING)

    def test_a_higher_fencing_token_ends_the_lease(self):
        role = LeaderLease(0.0)
        role.observe(observation(leader=""), 0.0)
        role.on_claim_committed(5)
        self.assertIs(role.observe(observation(leader="b", token=6), 0.1), LeaseState.FOLLOWER)
        self.assertFalse(role.is_leader)


SETTINGS = b"""node_name=n1
ip_address=10.0.0.1
zone=z1
internal_port_range=7000,7010
seeds=10.0.0.1:80,10.0.0.2:80
listen.control=10.0.0.1:80
first_start=true
fault_tolerance.machines=1
bounds.drain_ms=2500
bounds.fenced=true
some.new.field=1
"""


class SettingsFile(unittest.TestCase):
    def test_reads_durations_in_seconds_and_ignores_unknown_keys(self):
        read = parse_settings(SETTINGS).ok_value
        self.assertEqual(
            (read.internal_address, read.bounds.drain_s, read.bounds.fenced, read.first_start, len(read.seeds)),
            ("10.0.0.1:7000", 2.5, True, True, 2),
        )

    def test_each_fault_names_its_key(self):
        faults = {
            "node_name": b"node_name=",
            "seeds": b"seeds=nowhere",
            "bounds.drain_ms": b"bounds.drain_ms=soon",
            "first_start": b"first_start=perhaps",
            "internal_port_range": b"internal_port_range=7",
        }
        for key, line in faults.items():
            read = parse_settings(SETTINGS + line + b"\n", "boot.conf")
            self.assertIsInstance(read, Err, key)
            self.assertIn(key, str(read.err_value))
            self.assertIn("boot.conf", str(read.err_value))

    def test_a_missing_key_is_named(self):
        read = parse_settings(SETTINGS.replace(b"ip_address=10.0.0.1\n", b""))
        self.assertIn("ip_address", str(read.err_value))


if __name__ == "__main__":
    unittest.main()
