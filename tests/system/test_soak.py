"""A short soak of real processes, and its checks on synthetic records: each check must detect its violation."""

from __future__ import annotations

import asyncio
import math
import random
import tempfile
import unittest
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.soak_parts.backends import plain_answer, stream_answer
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.changes import PLAIN_TOKENS, apply_patch, initial_document, route
from benchmarks.soak_parts.checks import SoakChecker
from benchmarks.soak_parts.clients import draw_request
from benchmarks.soak_parts.quota_check import limit_periods
from benchmarks.soak_parts.records import BackendRun, ClientRequest, Disturbance, Observations, Version
from benchmarks.soak_parts.scene import SoakRun, SoakSize

BOUNDS = SoakBounds()
SEED = 3
SIZE = SoakSize(seconds=8.0, data_planes=2)


@pytest.mark.processes
class ShortSoakTest(unittest.TestCase):
    def test_faults_of_one_seed_violate_no_check(self):
        """Guards against the failures of issue 69 with real processes: keys, tenants, quotas, configuration changes, losses."""
        with tempfile.TemporaryDirectory(prefix="mulleinhatch-soak-") as folder:
            observations = asyncio.run(SoakRun(Path(folder), SEED, SIZE, BOUNDS).run())
        violations = {name: lines[:5] for name, lines in SoakChecker(observations, BOUNDS).violations().items() if lines}
        self.assertEqual(violations, {})
        self.assertGreater(sum(request.status == 200 for request in observations.requests), 100)


class DrawnRequestTest(unittest.TestCase):
    # Guards against a check of dropped routes that nothing can fail, as nobody asks for one.
    def test_routes_are_asked_for_after_their_removal(self):
        after = initial_document()
        before = {**after, "routes": [*after["routes"], route("extra-1", "safe")]}
        versions, source = [Version(1, before, 0.0, 0.1), Version(2, after, 1.0, 1.1)], random.Random(1)
        drawn = Counter(draw_request(versions, source).route for _ in range(1000))
        self.assertGreater(drawn["extra-1"], 50)
        self.assertGreater(drawn["read"], drawn["extra-1"])


class SoakCheckerTest(unittest.TestCase):
    def setUp(self):
        self.document = initial_document()
        self.tenants = {item["name"]: item for item in self.document["tenants"]}
        self.key = self.tenants["steady"]["api_keys"][0]
        self.observations = Observations(fronts=["data-0"], cores=["control-0", "control-1", "control-2"])
        self.observations.versions.append(Version(1, self.document, 0.0, 0.5))

    def add(self, number: int, route: str = "once", sent_at: float = 20.0, tenant: str = "steady", **changes) -> ClientRequest:
        """Add a request that was served correctly, except for `changes`."""
        request = ClientRequest(
            f"r{number}", "data-0", route, f"/{route}/r{number}", b"body", self.key, "", 100, sent_at, sent_at + 0.1, 200
        )
        run = self.run_of(request, tenant)
        if route in ("write", "talk"):
            request.answer = stream_answer(request.id)
        else:
            request.answer = plain_answer("s1", request.id, request.path, request.body)
        request.signature, request.answered_id, request.is_complete = "s1", request.id, True
        request = replace(request, **changes)
        self.observations.requests.append(request)
        self.observations.runs.append(run)
        return request

    @staticmethod
    def run_of(request: ClientRequest, tenant: str = "steady", **changes) -> BackendRun:
        fields = ((b"request-id", request.id.encode()), (b"tenant", tenant.encode()))
        run = BackendRun(
            request.id, request.sent_at + 0.05, "s1", "writer", b"POST", request.path.encode(), request.body, fields, b"raw"
        )
        return replace(run, **changes)

    def violated_checks(self) -> list[str]:
        return [name for name, lines in SoakChecker(self.observations, BOUNDS).violations().items() if lines]

    def add_disturbance(self, process: str, began_at: float, ended_at: float, is_planned: bool = False) -> None:
        self.observations.disturbances.append(Disturbance(process, "kill", began_at, ended_at, is_planned))

    def change(self, number: int, patch: dict, sent_at: float, acknowledged_at: float) -> None:
        document = apply_patch(dict(self.observations.versions[-1].document), patch, number)
        self.observations.versions.append(Version(number, document, sent_at, acknowledged_at))

    def remove_key(self, acknowledged_at: float) -> None:
        left = {**self.tenants["steady"], "api_keys": self.tenants["steady"]["api_keys"][1:]}
        self.change(2, {"upsert": {"tenants": [left]}}, acknowledged_at - 0.1, acknowledged_at)

    def test_correct_records_violate_no_check(self):
        self.add(1)
        self.add(2, "write")
        self.assertEqual(self.violated_checks(), [])

    def test_cut_connection_is_a_loss_unless_data_plane_or_backend_failed(self):
        request = self.add(1, is_cut=True, is_complete=False, status=0)
        self.assertEqual(self.violated_checks(), ["no request lost"])
        self.observations.broken_off.add(request.id)
        self.assertEqual(self.violated_checks(), [])
        self.observations.broken_off.clear()
        self.add_disturbance("data-0", 19.0, 19.5, is_planned=True)
        self.assertEqual(self.violated_checks(), ["no request lost"])
        self.add_disturbance("data-0", 19.0, 19.5)
        self.assertEqual(self.violated_checks(), [])

    def test_unanswered_request_is_a_violation(self):
        self.add(1, is_abandoned=True, is_complete=False, status=0, ended_at=29.0)
        self.assertEqual(self.violated_checks(), ["no request unanswered"])

    def test_second_run_of_unrepeatable_request_is_a_violation(self):
        self.observations.runs.append(self.run_of(self.add(1, "write")))
        self.assertEqual(self.violated_checks(), [])
        self.observations.runs.append(self.run_of(self.add(2, "talk")))
        self.assertEqual(self.violated_checks(), ["none run twice"])

    def test_wrong_and_incomplete_responses_are_violations(self):
        for changes in ({"answer": b"x"}, {"signature": "s2"}, {"answered_id": "r9"}, {"answer": b""}):
            with self.subTest(changes):
                self.observations.requests.clear()
                self.observations.runs.clear()
                self.add(1, **changes)
                self.assertEqual(self.violated_checks(), ["each answer its own"])

    def test_rejection_of_an_executed_request_is_a_violation(self):
        for status in (408, 421, 429, 503):
            with self.subTest(status):
                self.observations.requests.clear()
                self.observations.runs.clear()
                self.add(1, status=status)
                self.assertEqual(self.violated_checks(), ["refused requests never ran"])

    def test_modified_requests_are_violations(self):
        for changes in ({"target": b"/x"}, {"body": b""}, {"method": b"PUT"}, {"id": "other"}):
            with self.subTest(changes):
                self.observations.requests.clear()
                self.observations.runs.clear()
                self.add(1)
                self.observations.runs[0] = replace(self.observations.runs[0], **changes)
                self.assertIn("requests unchanged", self.violated_checks())

    def test_runs_without_a_configured_key_are_violations(self):
        for key in ("", "made-up"):
            with self.subTest(key):
                self.observations.requests.clear()
                self.observations.runs.clear()
                self.add(1, key=key)
                self.assertIn("no run with a key never held", self.violated_checks())

    def test_run_with_a_key_that_is_configured_later_is_a_violation(self):
        self.remove_key(25.0)
        later = {**self.tenants["hot"], "api_keys": ["later"]}
        self.change(3, {"upsert": {"tenants": [later]}}, 26.0, 26.1)
        self.add(1, sent_at=20.0, key="later", tenant="hot")
        self.assertEqual(self.violated_checks(), ["no run with a key never held"])

    def test_removed_key_may_run_for_the_apply_time_only(self):
        self.remove_key(17.6)
        self.add(1)
        self.assertEqual(self.violated_checks(), [])
        self.observations.versions.pop()
        self.remove_key(17.4)
        self.assertEqual(self.violated_checks(), ["no run with a key taken away"])

    def test_removed_key_may_run_at_a_data_plane_out_of_contact(self):
        self.remove_key(17.4)
        self.add(1)
        self.add_disturbance("data-0", 16.5, 17.0)
        self.assertEqual(self.violated_checks(), [])

    def test_control_plane_faults_extend_the_apply_time_up_to_the_bound(self):
        self.add_disturbance("control-0", 16.5, 17.0)
        self.remove_key(17.4)
        self.add(1)
        self.assertEqual(self.violated_checks(), [])
        self.observations.versions.pop()
        self.remove_key(11.4)
        self.assertEqual(self.violated_checks(), ["no run with a key taken away"])

    def test_removed_route_may_run_for_the_apply_time_only(self):
        self.change(2, {"remove": {"routes": ["once"]}}, 17.0, 17.4)
        self.add(1)
        self.assertEqual(self.violated_checks(), ["no run on a dropped route"])

    def test_keys_and_authorization_at_a_backend_are_violations(self):
        for raw in (b"AUTHORIZATION: x", b"X: " + self.key.encode()):
            with self.subTest(raw):
                self.observations.requests.clear()
                self.observations.runs.clear()
                self.add(1)
                self.observations.runs[0] = replace(self.observations.runs[0], raw=raw)
                self.assertEqual(self.violated_checks(), ["no key at a backend"])

    def test_missing_wrong_or_duplicate_tenant_is_a_violation(self):
        for fields in ((), ((b"tenant", b"hot"),), ((b"tenant", b"steady"), (b"tenant", b"steady"))):
            with self.subTest(fields):
                self.observations.requests.clear()
                self.observations.runs.clear()
                self.add(1)
                self.observations.runs[0] = replace(self.observations.runs[0], fields=fields)
                self.assertEqual(self.violated_checks(), ["Tenant is the key's"])

    def test_public_route_drops_the_tenant_sent_by_the_client(self):
        self.add(1, "open", key="", claimed_tenant="x")
        self.observations.runs[0] = replace(self.observations.runs[0], fields=())
        self.assertEqual(self.violated_checks(), [])
        self.observations.runs[0] = replace(self.observations.runs[0], fields=((b"tenant", b"x"),))
        self.assertEqual(self.violated_checks(), ["Tenant is the key's"])

    def add_hot_requests(self, count: int, begin: float, seconds: float, route: str = "read") -> None:
        for number in range(count):
            moment = begin + seconds * number / count
            self.add(number, route, moment, "hot", key=self.tenants["hot"]["api_keys"][0], tokens=400, body=b"")
        self.observations.requests = [
            replace(one, answer=plain_answer("s1", one.id, one.path, b"")) for one in self.observations.requests
        ]
        self.observations.runs = [replace(run, method=b"GET", body=b"") for run in self.observations.runs]

    def test_units_above_the_allowance_of_a_window_are_a_violation(self):
        self.assertEqual(BOUNDS.allowed_units(1500, 1500), 16850.0)
        self.add_hot_requests(42, 20.0, 7.9)
        self.assertEqual(self.violated_checks(), [])
        self.observations.requests.clear()
        self.observations.runs.clear()
        self.add_hot_requests(43, 20.0, 7.9)
        self.assertEqual(self.violated_checks(), ["quotas kept"])

    def test_units_of_a_public_route_count_if_they_arrive_with_the_tenant(self):
        self.add_hot_requests(43, 20.0, 7.9, "open")
        self.assertEqual(self.violated_checks(), ["quotas kept"])
        self.observations.runs = [replace(run, fields=()) for run in self.observations.runs]
        self.assertEqual(self.violated_checks(), [])

    def test_requests_without_token_usage_count_the_plain_tokens(self):
        self.add_hot_requests(43, 20.0, 7.9)
        self.observations.requests = [replace(one, tokens=PLAIN_TOKENS) for one in self.observations.requests]
        self.assertEqual(self.violated_checks(), [])

    def test_lower_limit_applies_to_windows_after_all_data_planes_were_in_contact(self):
        lowered = {**self.tenants["hot"], "rate_per_s": 500, "burst": 500}
        self.change(2, {"upsert": {"tenants": [lowered]}}, 9.9, 10.0)
        self.add_hot_requests(40, 20.0, 7.9)
        self.assertEqual(self.violated_checks(), ["quotas kept"])
        self.add_disturbance("data-0", 10.0, 21.0)
        self.assertEqual(self.violated_checks(), [])

    def test_newest_limit_never_ends(self):
        self.assertEqual(limit_periods(self.observations, BOUNDS, "hot")[-1].ends_at, math.inf)

    def test_run_by_an_older_version_than_the_observed_one_is_a_violation(self):
        self.remove_key(19.0)
        added = {**self.tenants["hot"], "api_keys": ["added"]}
        self.change(3, {"upsert": {"tenants": [added]}}, 19.1, 19.2)
        self.add(1, sent_at=19.5, key="added", tenant="hot")
        self.add(2, sent_at=20.0)
        self.assertEqual(self.violated_checks(), ["none goes back to an older version"])
        self.add_disturbance("data-0", 19.6, 19.7)
        self.assertEqual(self.violated_checks(), [])

    def test_rejection_by_an_older_version_than_the_observed_one_is_a_violation(self):
        added = {**self.tenants["hot"], "api_keys": ["added"]}
        self.change(2, {"upsert": {"tenants": [added]}}, 19.1, math.inf)
        self.add(1, sent_at=19.5, key="added", tenant="hot")
        self.add(2, sent_at=20.0, key="added", tenant="hot", status=401)
        self.observations.runs.pop()
        self.assertEqual(self.violated_checks(), ["none goes back to an older version"])

    def test_rejection_of_an_always_allowed_request_is_a_violation_in_contact(self):
        self.add(1, status=401)
        self.observations.runs.clear()
        self.assertEqual(self.violated_checks(), ["none refused that is allowed"])
        self.add_disturbance("data-0", 19.0, 19.5)
        self.assertEqual(self.violated_checks(), [])


if __name__ == "__main__":
    unittest.main()
