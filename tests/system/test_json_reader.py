"""JSON that is read in steps: the values and verdicts of `json.loads`."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from mulleinhatch.configuration.document import read_json
from mulleinhatch.configuration.json_reader import MIN_WALKED_BYTES, read_json_steps
from mulleinhatch.replication.parsed_bodies import MAX_KEPT, ParsedBodies
from mulleinhatch.simulation.control_plane.clients import routes_of
from mulleinhatch.steps import complete

SCALARS = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=5))
VALUES = st.recursive(
    SCALARS, lambda inner: st.one_of(st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=3), inner, max_size=4))
)
PADDING = b" " * MIN_WALKED_BYTES  # makes a text long enough to be walked
CHANGES = st.tuples(st.floats(0, 1), st.sampled_from(["", ",", ":", "{", "}", "[", "]", '"', "x", "1", "\\", "\n", "NaN", " "]))


def outcome(read: Any, body: bytes) -> tuple[str, Any]:
    try:
        return "value", repr(read(body))  # by text: NaN does not equal itself, 1 equals true
    except (ValueError, RecursionError) as error:
        return "error", str(error)


class Reader(unittest.TestCase):
    def check(self, body: bytes) -> None:
        self.assertEqual(outcome(lambda text: complete(read_json_steps(text)), body), outcome(json.loads, body), body[:200])

    @given(VALUES, st.sampled_from([None, 1]), st.sampled_from(["utf-8", "utf-16", "utf-32"]))
    def test_valid_json(self, value, indent, encoding):
        self.check((json.dumps(value, indent=indent) + PADDING.decode()).encode(encoding))

    @given(VALUES, st.lists(CHANGES, min_size=1, max_size=3))
    def test_broken_json(self, value, changes):
        text = json.dumps(value)
        for place, inserted in changes:
            position = int(place * len(text))
            text = text[:position] + inserted + text[position + (not inserted) :]
        self.check(text.encode() + PADDING)

    def test_texts_that_are_cut_too_deep_or_no_text(self):
        body = json.dumps({"version": 1, "upsert": {"routes": routes_of(100)}}).encode()
        for length in range(MIN_WALKED_BYTES, len(body), 997):
            self.check(body[:length])
        deep = b"[" * 200_000
        for broken in (deep, b'{"a":' + deep, b"\xff" + PADDING, b"\xef\xbb\xbf{}" + PADDING, PADDING, b'{"a":"' + PADDING):
            self.check(broken)

    def test_a_key_that_occurs_twice_is_an_error_at_each_depth(self):
        for text in ('{"a":1,"a":2}', '{"a":{"b":1,"b":1}}', '{"routes":[{"a":1,"a":1}]}'):
            read = read_json(text.encode() + PADDING)
            self.assertIn("a key stands twice in one object", str(read.err_value))

    # Guards against a large body that is read in one piece, while the process answers nobody.
    def test_a_large_body_is_read_in_many_steps(self):
        items = routes_of(1600)
        for value in (
            {"version": 1, "routes": items},
            {"version": 1, "upsert": {"routes": items}},
            [{"upsert": {"routes": items}}],
        ):
            self.assertGreaterEqual(sum(1 for _ in read_json_steps(json.dumps(value).encode())), 50)


class Bodies(unittest.TestCase):
    BODY = json.dumps({"version": 1, "routes": routes_of(100)}).encode()

    def test_a_body_that_was_read_is_taken_once(self):
        bodies = ParsedBodies()
        complete(bodies.read_steps(self.BODY))
        value = bodies.take(self.BODY)
        self.assertEqual(value, json.loads(self.BODY))
        self.assertIsNot(bodies.take(self.BODY), value)

    def test_few_bodies_are_kept(self):
        bodies = ParsedBodies()
        for number in range(MAX_KEPT + 1):
            bodies.keep(self.BODY + b" " * number, {"kept": number})
        self.assertEqual(bodies.take(self.BODY), json.loads(self.BODY))
        self.assertEqual(bodies.take(self.BODY + b" "), {"kept": 1})


if __name__ == "__main__":
    unittest.main()
