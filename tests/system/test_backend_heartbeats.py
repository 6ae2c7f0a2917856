"""Validation of backend heartbeats: valid bodies, errors that name the field, and the same result for repeated bodies."""

from __future__ import annotations

import json
import unittest
import unittest.mock
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from mulleinhatch.control_plane.api import heartbeat_parser
from mulleinhatch.control_plane.api.heartbeat_parser import HeartbeatParser
from mulleinhatch.messages.cluster import Backend

VALID = {
    "service": "s",
    "address": "a:1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "m", "version": 2, "adapters": ["a1"]}],
    "sequence": 4,
}
ODD_VALUES: list[Any] = [0, 1, True, 1.0, -1, 2.5, None, "1", "", [], {}, 1 << 63, 1e400, float("nan")]
FIELDS = [*VALID, "remaining_ms", "zone", "version", "new"]
changes = st.dictionaries(st.sampled_from(FIELDS), st.sampled_from(ODD_VALUES), max_size=3)


def parsed(parser: HeartbeatParser, payload: dict[str, Any]) -> Any:
    return parser.parse("i-1", json.dumps(payload).encode())


class HeartbeatValidation(unittest.TestCase):
    def test_an_invalid_heartbeat_names_the_field(self):
        read = parsed(HeartbeatParser(), {"service": "s", "address": "nowhere", "sequence": 1})
        self.assertIsInstance(read, Err)
        self.assertIn("address", read.err_value)

    def test_a_valid_heartbeat(self):
        read = parsed(HeartbeatParser(), {**VALID, "state": "draining", "remaining_ms": 700, "new": [1]}).ok_value
        self.assertEqual((read.draining, read.slots, read.remaining_ms, read.models[0].adapters), (True, 6, 700, ["a1"]))

    def test_numbers_that_no_message_can_carry_are_rejected_by_field_name(self):
        for field in ("sequence", "slots", "cold_remaining_ms", "remaining_ms"):
            for value in (1 << 64, 1e400, float("nan"), -(1 << 70)):
                for parser in (HeartbeatParser(), self.parser_with_cached_heartbeat()):
                    with self.subTest(field=field, value=value):
                        read = parsed(parser, {**VALID, field: value})
                        self.assertIsInstance(read, Err)
                        self.assertIn(field, read.err_value)

    def parser_with_cached_heartbeat(self) -> HeartbeatParser:
        parser = HeartbeatParser()
        self.assertIsInstance(parsed(parser, VALID), Ok)
        return parser

    @settings(max_examples=400, deadline=None)
    @given(first=changes, second=changes)
    def test_a_repeated_body_is_validated_like_a_new_one(self, first: dict[str, Any], second: dict[str, Any]):
        parser = HeartbeatParser()
        parsed(parser, {**VALID, **first})
        cached, fresh = parsed(parser, {**VALID, **second}), parsed(HeartbeatParser(), {**VALID, **second})
        self.assertEqual(cached, fresh)
        if isinstance(fresh, Ok):
            record = fresh.ok_value
            self.assertEqual(Backend().parse(bytes(record)), record)

    def test_a_repeated_body_is_not_validated_by_the_schema(self):
        parser = self.parser_with_cached_heartbeat()
        with unittest.mock.patch.object(heartbeat_parser, "HEARTBEAT_SCHEMA", None):
            read = parsed(parser, {**VALID, "sequence": 5, "cold_remaining_ms": 12.5}).ok_value
            self.assertEqual((read.sequence, read.cold_remaining_ms), (5, 12))
            with self.assertRaises(AttributeError):
                parsed(parser, {**VALID, "slots": 7})

    def test_cache_size_is_bounded(self):
        parser = HeartbeatParser()
        for number in range(heartbeat_parser.MAX_CACHED_BACKENDS + 10):
            parser.parse(f"i-{number}", b'{"service":"s","address":"a:1","sequence":1}')
        self.assertLessEqual(len(parser._validated), heartbeat_parser.MAX_CACHED_BACKENDS)


if __name__ == "__main__":
    unittest.main()
