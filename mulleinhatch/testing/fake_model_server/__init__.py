"""A fake model backend on loopback, for demonstrations and tests of the whole system.

It speaks the backend API: registration, reports, orders and streamed responses. Timing is simulated: a prompt is read at
a fixed rate, the time per token grows with the number of running requests, and a load is faster if the model is on the
backend's disk.
"""

from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.server import FakeModelServer

__all__ = ["Counters", "FakeModelServer", "FakeModelServerConfig"]
