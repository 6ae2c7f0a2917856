"""What all tests share: those that start several processes run one at a time, also beside another run on this machine."""

from __future__ import annotations

import fcntl
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

LOCK_PATH = Path(tempfile.gettempdir()) / "mulleinhatch-process-tests.lock"


@pytest.fixture(autouse=True)
def one_process_test_at_a_time(request: pytest.FixtureRequest) -> Iterator[None]:
    """Hold a lock of the machine during a test that is marked `processes`: such tests keep times and use fixed addresses."""
    if request.node.get_closest_marker("processes") is None:
        yield
        return
    with LOCK_PATH.open("a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
