"""API keys: reading them from requests, comparing and hiding them; and the quota cost of a request."""

from __future__ import annotations

import unittest

from mulleinhatch.configuration.tenants import TenantTableBuilder
from mulleinhatch.data_plane.request_headers import MAX_TOKENS, TokenUsage, TokenUsageError, quota_tokens, read_token_usage
from mulleinhatch.networking.http_streaming import parse_request_head
from mulleinhatch.tenants.api_keys import AuthenticationError, KeyDigester, Secret, read_bearer_key
from mulleinhatch.tenants.tenant import QuotaUnit, Tenant
from mulleinhatch.tenants.tenant_table import NO_TENANTS

KEYS = {"t1": ["key-1", "key-1b"], "t2": ["kéy-2"]}


def table_of(keys: dict[str, list[str]], digest_key: bytes = b"k" * 32):
    value = {"version": 1, "tenants": [{"name": name, "api_keys": texts} for name, texts in keys.items()]}
    return TenantTableBuilder(KeyDigester(digest_key)).build(value)


class Authentication(unittest.TestCase):
    def setUp(self):
        self.table = table_of(KEYS)

    def test_each_key_names_its_tenant(self):
        for field, name in (
            (b"Bearer key-1", "t1"),
            (b"Bearer key-1b", "t1"),
            ("Bearer kéy-2".encode(), "t2"),
            (b"bearer key-1", "t1"),
            (b"BEARER   key-1", "t1"),
        ):
            self.assertEqual(self.table.authenticate([field]).ok_value.name, name, field)

    def test_errors(self):
        for fields, error in (
            ([], AuthenticationError.NO_KEY),
            ([b""], AuthenticationError.MALFORMED),
            ([b"Bearer"], AuthenticationError.MALFORMED),
            ([b"Bearer "], AuthenticationError.MALFORMED),
            ([b"key-1"], AuthenticationError.MALFORMED),
            ([b"Bearerkey-1"], AuthenticationError.MALFORMED),
            ([b"Basic key-1"], AuthenticationError.MALFORMED),
            ([b"Bearer key-1 key-1"], AuthenticationError.MALFORMED),
            ([b"Bearer key-1", b"Bearer key-1"], AuthenticationError.REPEATED),
            ([b"Bearer key-1", b"Bearer unknown"], AuthenticationError.REPEATED),
            ([b"Bearer Key-1"], AuthenticationError.UNKNOWN_KEY),
            ([b"Bearer key-1,Bearer key-1"], AuthenticationError.MALFORMED),
            ([b"Bearer key-1,"], AuthenticationError.UNKNOWN_KEY),
            ([b"Bearer key-"], AuthenticationError.UNKNOWN_KEY),
        ):
            self.assertIs(self.table.authenticate(fields).err_value, error, fields)

    def test_no_key_is_required_without_tenants(self):
        self.assertFalse(NO_TENANTS.requires_keys)
        for fields in ([], [b"nonsense"], [b"Bearer key-1"]):
            self.assertIsNone(NO_TENANTS.authenticate(fields).ok_value)

    def test_digests_depend_on_the_digest_key(self):
        secret = read_bearer_key([b"Bearer key-1"]).ok_value
        self.assertNotEqual(KeyDigester(b"a" * 32).digest(secret), KeyDigester(b"b" * 32).digest(secret))

    def test_a_secret_has_no_readable_representation(self):
        secret = Secret(b"hidden")
        shown = (repr(secret), str(secret), f"{secret}", f"{secret!r}", "%s" % secret, repr([secret]), repr({"a": secret}))
        for text in shown:
            self.assertNotIn("hidden", text)
        self.assertFalse(hasattr(secret, "__dict__"))
        self.assertNotIn("key-1", repr(KeyDigester(b"key-1")))

    def test_the_representation_of_a_head_contains_no_fields(self):
        """Guards against a key in a traceback or log line that contains a request's head."""
        head = parse_request_head(b"POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n\r\n")
        self.assertNotIn("key-1", repr(head))


def head_with(*usages: bytes):
    lines = [b"POST /x HTTP/1.1", b"Host: h", *(b"Token-Usage: " + usage for usage in usages), b"", b""]
    return parse_request_head(b"\r\n".join(lines))


class TokenUsages(unittest.TestCase):
    def test_two_numbers(self):
        self.assertEqual(read_token_usage(head_with(b"1460,80")).ok_value, TokenUsage(1460, 80))
        self.assertEqual(read_token_usage(head_with(b" 1460 , 80 ")).ok_value, TokenUsage(1460, 80))
        self.assertEqual(read_token_usage(head_with(b"0,0")).ok_value.total, 0)

    def test_a_missing_usage_is_no_error(self):
        self.assertIsNone(read_token_usage(head_with()).ok_value)

    def test_malformed_usages(self):
        for usage in (
            b"",
            b"5",
            b"5,",
            b",5",
            b"-1,5",
            b"5,-1",
            b"+5,5",
            b"1.5,2",
            b"1e3,2",
            b"x,y",
            b"1,2,3",
            b"1 2",
            b"\xb2,1",
        ):
            self.assertIs(read_token_usage(head_with(usage)).err_value, TokenUsageError.MALFORMED, usage)
        self.assertIs(read_token_usage(head_with(b"1,2", b"3,4")).err_value, TokenUsageError.MALFORMED)

    def test_huge_numbers_count_as_the_maximum(self):
        """Guards against an exception: Python refuses to parse integers of more than 4,300 digits."""
        for digits in (8, 30, 5000):
            usage = read_token_usage(head_with(b"9" * digits + b",1")).ok_value
            self.assertEqual(usage, TokenUsage(MAX_TOKENS, 1))
        self.assertEqual(read_token_usage(head_with(b"0" * 5000 + b"7,1")).ok_value, TokenUsage(7, 1))

    def test_a_plain_request_costs_at_most_the_message_limit(self):
        """Guards against quota queries that the owner can't parse, which would fail for all tenants in them."""
        head = parse_request_head(b"POST / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(quota_tokens(head, Tenant("t", unit=QuotaUnit.TOKENS, plain_tokens=10**300)), MAX_TOKENS)

    def test_the_cost_of_a_request(self):
        by_tokens = Tenant("t", unit=QuotaUnit.TOKENS, plain_tokens=200)
        by_requests = Tenant("t")
        for usage, cost in ((b"1460,80", 1540), (b"x", 200), (b"1,2,3", 200), (b"9" * 30 + b",0", MAX_TOKENS)):
            self.assertEqual(quota_tokens(head_with(usage), by_tokens), cost, usage)
            self.assertEqual(quota_tokens(head_with(usage), by_requests), 1, usage)
        self.assertEqual(quota_tokens(head_with(), by_tokens), 200)


if __name__ == "__main__":
    unittest.main()
