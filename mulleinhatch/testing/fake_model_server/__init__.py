"""A fake model backend on loopback, for demonstrations and tests of the whole system.

It speaks the backend API: registration, reports, orders and streamed responses. Its times are its own: a prompt is read at a
fixed rate, each token takes a step that grows with the number of running requests, and a load takes less time if the backend's
disk has the model.
"""

from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.server import FakeModelServer

__all__ = ["Counters", "FakeModelServer", "FakeModelServerConfig"]
