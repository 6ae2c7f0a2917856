"""What kept a request from a backend, told from the list of backends."""

import unittest
from dataclasses import replace

from mulleinhatch.data_plane.delays import Delay, delay_of
from mulleinhatch.data_plane.snapshot import KnownBackend, ModelName

HOLDS_M = KnownBackend("a", "s", "a:1", "z", 4, False, False, {"m": frozenset({"a1"})}, {}, float("inf"))
NAME, ADAPTER = ModelName("s", "m"), ModelName("s", "m", "a2")


class Delays(unittest.TestCase):
    def test_each_delay(self):
        loading = replace(HOLDS_M, models={}, loads={("m", ""): 3.0})
        loading_adapter = replace(HOLDS_M, loads={("m", "a2"): 3.0})
        cases = [
            (NAME, [HOLDS_M], True, Delay.NONE),
            (NAME, [HOLDS_M], False, Delay.RESTING),
            (NAME, [], False, Delay.UNKNOWN_BACKENDS),
            (NAME, [replace(HOLDS_M, draining=True)], False, Delay.UNKNOWN_BACKENDS),
            (NAME, [replace(HOLDS_M, models={})], False, Delay.UNORDERED),
            (NAME, [loading], False, Delay.LOADING),
            (ADAPTER, [HOLDS_M], False, Delay.UNORDERED_ADAPTER),
            (ADAPTER, [loading_adapter], False, Delay.LOADING_ADAPTER),
            (ADAPTER, [loading], False, Delay.LOADING),
        ]
        for name, backends, usable, expected in cases:
            with self.subTest(expected=expected):
                self.assertIs(delay_of(name, backends, usable), expected)


if __name__ == "__main__":
    unittest.main()
