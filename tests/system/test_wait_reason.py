"""Why a request waits, by the registered backends of its service."""

import unittest
from dataclasses import replace

from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegisteredBackend
from mulleinhatch.data_plane.wait_reason import WaitReason, wait_reason_of

BACKEND_WITH_MODEL = RegisteredBackend("a", "s", "a:1", "z", 4, False, False, {"m": frozenset({"a1"})}, {}, float("inf"))
MODEL, ADAPTER = ModelKey("s", "m"), ModelKey("s", "m", "a2")


class WaitReasons(unittest.TestCase):
    def test_each_wait_reason(self):
        loading = replace(BACKEND_WITH_MODEL, models={}, loads={("m", ""): 3.0})
        loading_adapter = replace(BACKEND_WITH_MODEL, loads={("m", "a2"): 3.0})
        cases = [
            (MODEL, [BACKEND_WITH_MODEL], True, WaitReason.NONE),
            (MODEL, [BACKEND_WITH_MODEL], False, WaitReason.COOLING_DOWN),
            (MODEL, [], False, WaitReason.NO_BACKEND),
            (MODEL, [replace(BACKEND_WITH_MODEL, draining=True)], False, WaitReason.NO_BACKEND),
            (MODEL, [replace(BACKEND_WITH_MODEL, models={})], False, WaitReason.NOT_PLACED),
            (MODEL, [loading], False, WaitReason.LOADING),
            (ADAPTER, [BACKEND_WITH_MODEL], False, WaitReason.ADAPTER_NOT_PLACED),
            (ADAPTER, [loading_adapter], False, WaitReason.LOADING_ADAPTER),
            (ADAPTER, [loading], False, WaitReason.LOADING),
        ]
        for model_key, backends, usable, expected in cases:
            with self.subTest(expected=expected):
                self.assertIs(wait_reason_of(model_key, backends, usable), expected)


if __name__ == "__main__":
    unittest.main()
