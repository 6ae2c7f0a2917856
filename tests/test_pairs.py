"""Paired comparisons and the analysis of lost value: parsing, pairing, resuming."""

import json
import tempfile
import unittest
from pathlib import Path

from benchmarks.lost_worth import lost_requests, order_times, read_lines
from benchmarks.pairs.comparing import mean_parts, pair
from benchmarks.pairs.playing import Marks, Outcome, OutcomeLog, Task, read_outcome
from benchmarks.pairs.variants import VariantError, digest, parse_variant, prepare, replace_constant


class VariantsTest(unittest.TestCase):
    def test_malformed_variant_is_rejected_with_the_expected_form(self):
        for text in ("", "name", "=HEAD", "a=HEAD,file", "a=HEAD,file:X", "a=HEAD,:X=1"):
            with self.subTest(text), self.assertRaisesRegex(VariantError, "write "):
                parse_variant(text)

    def test_missing_or_duplicate_constant_is_rejected(self):
        for source in ("", "A = 1\nA = 2\n", "    A = 1\n"):
            with self.subTest(source), self.assertRaisesRegex(VariantError, "one is needed"):
                replace_constant(source, "A", "3")

    def test_annotated_constant_keeps_its_type_and_comment(self):
        self.assertEqual(replace_constant("A: float = 1.0  # s\nAB = 1\n", "A", "2.5"), "A: float = 2.5  # s\nAB = 1\n")

    def test_prepared_variant_without_replacements_equals_its_source(self):
        repository = Path(__file__).parent.parent
        change = "control_plane/ceiling.py:UNUSED=1"
        with tempfile.TemporaryDirectory() as folder:
            plain = prepare(parse_variant("plain=WORK"), repository, Path(folder))
            self.assertEqual(digest(plain), digest(repository))
            with self.assertRaises(VariantError):
                prepare(parse_variant(f"other=WORK,{change}"), repository, Path(folder))


class PairsTest(unittest.TestCase):
    def test_violated_rule_scores_zero_and_is_counted(self):
        outcome = read_outcome({"G": 0.9, "served": 0.9, "refused": 0.1, "breaks": {"ROUTE": 2}}, Marks(0.5, 1.0))
        self.assertEqual((outcome.score, outcome.broken), (0.0, ("ROUTE",)))
        fine = Outcome(0.8, 0.9, 1.0, 0.0)
        paired = pair([fine, fine], [outcome, fine])
        self.assertEqual((paired.worse, paired.better, dict(paired.broken)), (1, 0, {"ROUTE": 1}))
        self.assertAlmostEqual(paired.difference, -0.4)

    def test_prices_are_negative(self):
        outcome = read_outcome({"G": 0.7, "parts": [["whole day", 0.7, 0.9]], "prices": [["loads", 3, 0.02]]}, Marks(0.2, 0.7))
        self.assertEqual(mean_parts([outcome]), {"whole day": 0.9, "loads": -0.02})

    def test_an_outcome_log_resumes(self):
        task, outcome = Task("text", "site", "day", 3, True), Outcome(0.5, 0.6, 0.9, 0.0, {"a": 1.0}, {}, ("LOST",))
        with tempfile.TemporaryDirectory() as folder:
            OutcomeLog(Path(folder) / "o.jsonl").add(task, outcome)
            stored = json.loads((Path(folder) / "o.jsonl").read_text())
            again = OutcomeLog(Path(folder) / "o.jsonl")
        self.assertEqual(again.get(task), outcome)
        self.assertEqual(stored["outcome"]["worth"], 0.6)
        self.assertIsNone(again.get(Task("other", "site", "day", 3, True)))


LATE = {"message": "late", "model": "m", "priority": 1, "delay": "held", "sends": 1, "waited_s": 2.0, "at_stub_s": 1.5}


class LostValueTest(unittest.TestCase):
    def test_backend_time_is_distinguished_from_waiting_before_it(self):
        records = [
            (1.0, LATE),
            (2.0, LATE | {"at_stub_s": 0.2}),
            (3.0, LATE | {"message": "not served"}),
            (4.0, {"message": "x"}),
        ]
        self.assertEqual([one.cause for one in lost_requests(records)], ["slow at the backend", "held", "held"])
        self.assertEqual([one.late for one in lost_requests(records)], [True, True, False])

    def test_lines_without_records_are_skipped(self):
        lines = [
            "day  own/srv",
            " 1.0 core-1 {}",
            "  2.0 no json",
            ' -3.5 core-1 {"message": "order ended", "operation": "load"}',
        ]
        self.assertEqual([at for at, _ in read_lines(lines)], [1.0, -3.5])

    def test_completed_orders_are_timed(self):
        ended = {"message": "order ended", "operation": "unload", "adapter": "", "took_s": 0.3}
        self.assertEqual([one.seconds for one in order_times([(0.0, ended)])], [0.3])


if __name__ == "__main__":
    unittest.main()
