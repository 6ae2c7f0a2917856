"""Model versions: when backends with older weights are still used, and how versions reach the data planes."""

from __future__ import annotations

import unittest

from mulleinhatch.control_plane.placement.backend_report import parse_report
from mulleinhatch.control_plane.placement.backend_state import BackendState
from mulleinhatch.control_plane.placement.published_holdings import current_holdings
from mulleinhatch.data_plane.backend_health import BackendHealthTracker
from mulleinhatch.data_plane.backend_selection import BackendSelector
from mulleinhatch.data_plane.model_versions import OLD_WEIGHTS_COST_S, ROLLOUT_GRACE_S, ModelVersions
from mulleinhatch.data_plane.registry_snapshot import ModelKey, RegistrySnapshot
from mulleinhatch.messages.cluster import Backend, LoadedModel

BOUND_S = 8.0
MODEL = ModelKey("llm", "m")


def backend(name: str, version: int) -> Backend:
    models = [LoadedModel(name="m", version=version)]
    return Backend(id=name, service="llm", address=f"{name}:1", zone="z", slots=8, models=models)


class NoIdleConnections:
    """A pool without idle connections."""

    def has_idle(self, backend_id: str) -> bool:
        return False


class OlderWeights(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.health = BackendHealthTracker()
        versions = ModelVersions(BOUND_S)
        self.selector = BackendSelector(lambda: self.now, self.health, NoIdleConnections(), "z", versions)
        self.registry = RegistrySnapshot()

    def register(self, *backends: Backend) -> None:
        self.registry = self.registry.updated(backends, False, self.now)
        self.selector.update(self.registry, 1)

    def selected(self) -> set[str]:
        return {self.selector.select(MODEL, "", ()).id for _ in range(60)}

    def test_backends_with_equal_versions_are_all_used(self):
        self.register(backend("a", 1), backend("b", 1))
        self.now += 2 * BOUND_S
        self.assertEqual(self.selected(), {"a", "b"})

    def test_older_weights_are_used_less_as_the_newest_version_ages(self):
        self.register(backend("a", 1), backend("b", 1))
        self.register(backend("b", 2))
        self.assertEqual(self.selected(), {"a", "b"})
        self.now += ROLLOUT_GRACE_S
        self.assertEqual(self.selected(), {"b"})
        self.health.record_latency("b", 5.0 * OLD_WEIGHTS_COST_S, self.now)
        self.assertEqual(self.selected(), {"a"})
        self.now += BOUND_S
        self.health.record_latency("b", 5.0 * OLD_WEIGHTS_COST_S, self.now)
        self.assertEqual(self.selected(), {"b"})

    def test_older_weights_are_used_if_no_other_backend_is_available(self):
        self.register(backend("a", 1), backend("b", 2))
        self.now += BOUND_S
        self.assertEqual(self.selected(), {"b"})
        self.registry = self.registry.updated([Backend(id="b", service="llm", gone=True)], False, self.now)
        self.selector.update(self.registry, 1)
        self.assertEqual(self.selected(), {"a"})

    def test_an_unknown_version_does_not_count_as_older(self):
        self.register(backend("a", 0), backend("b", 2))
        self.now += 2 * BOUND_S
        self.assertEqual(self.selected(), {"a", "b"})


class ReportedVersions(unittest.TestCase):
    def test_the_leader_publishes_the_reported_version(self):
        state = BackendState()
        state.apply_report(parse_report(b'{"models":[{"name":"m","version":3,"adapters":["a1"]}],"sequence":4}'), 1.0)
        self.assertEqual([model.version for model in current_holdings(state, 2.0).models], [3])

    def test_a_report_with_an_unencodable_number_is_rejected(self):
        for report in (b'{"sequence":-1}', b'{"sequence":1e400}', b'{"models":[{"name":"m","version":36893488147419103232}]}'):
            with self.subTest(report), self.assertRaises(ValueError):
                parse_report(report)


if __name__ == "__main__":
    unittest.main()
