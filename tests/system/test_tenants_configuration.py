"""Tenants in the operator's configuration: parsing, rejection without exposing a key, and the cost of a patch."""

from __future__ import annotations

import math
import time
import unittest
from typing import Any

from result import Err, Ok

from mulleinhatch.configuration.document import Document, accept_complete, accept_patch, read_complete, read_json
from mulleinhatch.configuration.patching import apply_patch
from mulleinhatch.configuration.routes import build_route_table
from mulleinhatch.configuration.tenants import TenantTableBuilder
from mulleinhatch.replication.state import ChangeOutcome, ControlState
from mulleinhatch.tenants.api_keys import KeyDigester
from mulleinhatch.tenants.tenant import QuotaLimit, QuotaUnit

ROUTE = {"name": "r1", "host": "h", "path_prefix": "/x/", "timeout_ms": 5000, "service": "s"}
TENANT = {
    "name": "t1",
    "api_keys": ["secret-1a", "secret-1b"],
    "priority": 1,
    "unit": "token_count",
    "plain_tokens": 200,
    "rate_per_s": 1000,
    "burst": 500,
}
OTHER = {**TENANT, "name": "t2", "api_keys": ["secret-2"]}
COMPLETE = {"version": 3, "routes": [ROUTE], "services": [{"name": "s"}], "tenants": [TENANT, OTHER]}
WITHOUT_TENANTS = {"version": 3, "routes": [ROUTE], "services": [{"name": "s"}]}
MAX_CHANGE_S = 2.0  # of a patch of one tenant among 250,000; measured: docs/design/tenants.md
MANY = 250_000


def with_tenant(**fields: Any) -> dict[str, Any]:
    return {**COMPLETE, "tenants": [{**TENANT, **fields}, OTHER]}


def builder() -> TenantTableBuilder:
    return TenantTableBuilder(KeyDigester(b"k" * 32))


class ReadTest(unittest.TestCase):
    def test_a_configuration_with_tenants_is_read_and_returned_as_sent(self):
        document = read_complete(COMPLETE, 0).ok_value
        self.assertEqual(document.value["tenants"], [TENANT, OTHER])
        self.assertEqual(document, accept_complete(COMPLETE, 0).ok_value)

    def test_tenants_become_a_table_and_routes_may_be_public(self):
        value = {**COMPLETE, "routes": [{**ROUTE, "public": True}, {**ROUTE, "name": "r2", "path_prefix": "/y/"}]}
        document = read_complete(value, 0).ok_value
        table = build_route_table(document, builder().build(document.value))
        self.assertEqual((table.find("h", "/x/1").is_public, table.find("h", "/y/1").is_public), (True, False))
        tenant = table.tenants.by_name["t1"]
        self.assertEqual((tenant.limit, tenant.unit, tenant.plain_tokens), (QuotaLimit(1000, 500), QuotaUnit.TOKENS, 200))
        self.assertEqual((tenant.priority, table.tenants.requires_keys), (1, True))

    def test_a_rate_of_zero_or_none_means_no_limit(self):
        for rate in (0, None, 0.0):
            document = read_complete(with_tenant(rate_per_s=rate), 0).ok_value
            self.assertIsNone(builder().build(document.value).by_name["t1"].limit, rate)
        plain = {"name": "t1", "api_keys": ["k"]}
        document = read_complete({**COMPLETE, "tenants": [plain]}, 0).ok_value
        tenant = builder().build(document.value).by_name["t1"]
        self.assertEqual((tenant.limit, tenant.unit, tenant.priority), (None, QuotaUnit.REQUESTS, None))

    def test_known_units(self):
        for unit, expected in ((None, QuotaUnit.REQUESTS), ("", QuotaUnit.REQUESTS), ("token_count", QuotaUnit.TOKENS)):
            document = read_complete(with_tenant(unit=unit), 0).ok_value
            self.assertIs(builder().build(document.value).by_name["t1"].unit, expected)

    def test_a_document_without_tenants_stays_unchanged(self):
        """Guards against changing stored documents: an older document has no list of tenants."""
        document = read_complete(WITHOUT_TENANTS, 0).ok_value
        self.assertNotIn("tenants", document.value)
        patched = apply_patch(document, {"version": 5, "upsert": {"routes": [{**ROUTE, "timeout_ms": 7}]}}).ok_value
        self.assertNotIn("tenants", patched.value)
        self.assertFalse(build_route_table(patched, builder().build(patched.value)).tenants.requires_keys)

    def test_a_table_built_without_its_tenants_accepts_no_key(self):
        """Guards against a data plane that requires no key because a caller omitted the tenants."""
        self.assertTrue(build_route_table(read_complete(COMPLETE, 0).ok_value).tenants.requires_keys)

    def test_representations_contain_no_key(self):
        document = read_complete(COMPLETE, 0).ok_value
        table = build_route_table(document, builder().build(document.value))
        for shown in (repr(document), str(document), repr(table), repr(table.tenants), repr(table.tenants.by_name)):
            self.assertNotIn("secret", shown)


class RejectedTest(unittest.TestCase):
    def check_rejected(self, value: dict[str, Any], *texts: str) -> None:
        read = read_complete(value, 0)
        self.assertIsInstance(read, Err, value)
        for text in texts:
            self.assertIn(text, str(read.err_value))
        self.assertNotIn("secret", str(read.err_value))

    def test_a_key_that_two_tenants_share(self):
        self.check_rejected(with_tenant(api_keys=["secret-1", "secret-2"]), "'t1'", "'t2'", "api_keys")

    def test_a_name_that_occurs_twice(self):
        self.check_rejected({**COMPLETE, "tenants": [TENANT, {**OTHER, "name": "t1"}]}, "'t1'", "name")

    def test_the_same_key_twice_in_one_tenant_is_harmless(self):
        self.assertIsInstance(read_complete(with_tenant(api_keys=["secret-1", "secret-1"]), 0), Ok)

    def test_invalid_numbers(self):
        for field in ("rate_per_s", "burst", "plain_tokens", "priority"):
            for value in (-1, math.inf, math.nan, "secret", True, [], {}, 1e308 * 10):
                self.check_rejected(with_tenant(**{field: value}), "'t1'", field)

    def test_unknown_units(self):
        for unit in ("tokens", "secret", 0, False, [], {}, "TOKEN_COUNT"):
            self.check_rejected(with_tenant(unit=unit), "'t1'", "unit")

    def test_invalid_keys(self):
        for keys in (None, "secret", {}, ["secret", ""], ["secret", 7], ["secret", None], 5):
            self.check_rejected(with_tenant(api_keys=keys), "'t1'", "api_keys")
        self.check_rejected({**COMPLETE, "tenants": [{"name": "t1"}]}, "'t1'", "api_keys")

    def test_invalid_tenants(self):
        for items in (None, {}, "secret", 7):
            self.check_rejected({**COMPLETE, "tenants": items}, "tenants")
        for item in ("secret", ["secret"], None, {"name": ["secret"], "api_keys": []}, {"api_keys": ["secret"]}, {"name": ""}):
            self.check_rejected({**COMPLETE, "tenants": [TENANT, item]}, "tenants", "item 2")

    def test_public_must_be_a_boolean(self):
        for public in ("yes", 1, []):
            self.check_rejected({**COMPLETE, "routes": [{**ROUTE, "public": public}]}, "r1", "public")


class PatchTest(unittest.TestCase):
    def setUp(self):
        self.document = read_complete(COMPLETE, 0).ok_value

    def patched(self, **patch: Any) -> Document:
        value = {"version": 5, **patch}
        document = apply_patch(self.document, value).ok_value
        self.assertEqual(accept_patch(self.document, value).ok_value, document)
        return document

    def check_rejected(self, **patch: Any) -> None:
        result = apply_patch(self.document, {"version": 5, **patch})
        self.assertIsInstance(result, Err, patch)
        self.assertNotIn("secret", str(result.err_value))

    def test_upsert_and_remove(self):
        """Guards against rejecting a PATCH with `upsert.tenants` with 400."""
        new = {**TENANT, "name": "t3", "api_keys": ["secret-3"]}
        patched = self.patched(upsert={"tenants": [new]}, remove={"tenants": ["t2"]})
        self.assertEqual(patched.value["tenants"], [TENANT, new])

    def test_a_key_moves_from_one_tenant_to_another_in_one_patch(self):
        moved = [{**TENANT, "api_keys": ["secret-2"]}, {**OTHER, "api_keys": ["secret-1a"]}]
        self.assertEqual(self.patched(upsert={"tenants": moved}).value["tenants"], moved)
        taken = {**OTHER, "name": "t3"}
        self.assertEqual(
            self.patched(upsert={"tenants": [taken]}, remove={"tenants": ["t2"]}).value["tenants"], [TENANT, taken]
        )

    def test_a_patch_may_add_the_first_tenants(self):
        self.document = read_complete(WITHOUT_TENANTS, 0).ok_value
        self.assertEqual(self.patched(upsert={"tenants": [OTHER]}).value["tenants"], [OTHER])

    def test_a_patch_that_makes_the_configuration_invalid_is_rejected(self):
        self.check_rejected(upsert={"tenants": [{**OTHER, "name": "t3"}]})  # shares its key with t2
        self.check_rejected(upsert={"tenants": [{**TENANT, "name": "t3"}, {**TENANT, "name": "t4"}], "routes": []})
        self.check_rejected(upsert={"tenants": [TENANT, TENANT]})
        self.check_rejected(upsert={"tenants": [{**TENANT, "burst": -1}]})
        self.check_rejected(upsert={"tenants": TENANT})
        self.check_rejected(remove={"tenants": "t1"})
        self.check_rejected(remove={"tenants": [["secret"]]})

    def test_the_replicated_state_rejects_a_shared_key(self):
        """Guards against diverging replicas: the head checks the change, and it has the same effect in each replica."""
        state = ControlState()
        body = b'{"version":1,"routes":[],"services":[],"tenants":[{"name":"t","api_keys":["secret"]}]}'
        self.assertIsInstance(state.check("PUT", 0, body), Ok)
        shared = b'{"version":1,"tenants":[{"name":"t","api_keys":["secret"]},{"name":"u","api_keys":["secret"]}]}'
        rejection = state.check("PUT", 0, shared).err_value
        self.assertIs(rejection.outcome, ChangeOutcome.INVALID)
        self.assertNotIn("secret", rejection.message)


class CostTest(unittest.TestCase):
    """Guards against checks that compare every pair of keys: a quadratic check would take hours here."""

    def test_a_patch_of_one_of_many_tenants_is_cheap(self):
        tenants = [{"name": f"t{number}", "api_keys": [f"secret-{number}"], "rate_per_s": 1} for number in range(MANY)]
        document = accept_complete({**COMPLETE, "tenants": tenants}, 0).ok_value
        tables = builder()
        tables.build(document.value)
        patch = {"version": 5, "upsert": {"tenants": [{"name": "t7", "api_keys": ["secret-new"]}]}}
        began = time.process_time()
        self.assertIsInstance(apply_patch(document, patch), Ok)
        patched = accept_patch(document, patch).ok_value
        table = tables.build(patched.value)
        self.assertLess(time.process_time() - began, MAX_CHANGE_S)
        self.assertEqual(table.authenticate([b"Bearer secret-new"]).ok_value.name, "t7")
        self.assertIsInstance(table.authenticate([b"Bearer secret-7"]), Err)

    def test_an_incrementally_updated_table_equals_a_new_one(self):
        """Guards against keys that stay or get lost in an incrementally updated table."""
        tables, document = builder(), read_complete(COMPLETE, 0).ok_value
        tables.build(document.value)
        changes = (
            {"upsert": {"tenants": [{**TENANT, "api_keys": ["secret-2"]}, {**OTHER, "api_keys": ["secret-1a", "secret-9"]}]}},
            {"upsert": {"tenants": [{**OTHER, "name": "t3", "api_keys": ["secret-1a"]}]}, "remove": {"tenants": ["t2"]}},
            {"upsert": {"tenants": [{**TENANT, "api_keys": ["secret-1b", "secret-1b"]}]}},
            {"remove": {"tenants": ["t1", "t3"]}},
            {"upsert": {"tenants": [TENANT]}},
        )
        for version, change in enumerate(changes, 4):
            document = apply_patch(document, {"version": version, **change}).ok_value
            changed, whole = tables.build(document.value), builder().build(document.value)
            self.assertEqual(changed.requires_keys, whole.requires_keys)
            self.assertEqual(dict(changed.by_name), dict(whole.by_name))
            for key in ("secret-1a", "secret-1b", "secret-2", "secret-9"):
                field = [b"Bearer " + key.encode()]
                self.assertEqual(changed.authenticate(field), whole.authenticate(field), (version, key))

    def test_a_patch_without_tenants_does_not_touch_them(self):
        document = read_complete(COMPLETE, 0).ok_value
        patched = accept_patch(document, {"version": 5, "upsert": {"routes": [ROUTE]}}).ok_value
        self.assertIs(patched.value["tenants"], document.value["tenants"])
        tables = builder()
        self.assertIs(tables.build(patched.value), tables.build(document.value))


class JsonTest(unittest.TestCase):
    def test_unreadable_text_is_not_included_in_the_message(self):
        for body in (b'{"tenants":[{"api_keys":["secret"]', b'{"a":"secret","a":"secret"}', b'["secret"]', b'"secret"'):
            read = read_json(body)
            self.assertIsInstance(read, Err)
            self.assertNotIn("secret", str(read.err_value))


if __name__ == "__main__":
    unittest.main()
