"""Makes syncs of files take longer in the process whose module path names this directory, as on a shared disk."""

import os
import random
import time

LONGEST_SYNC_S = float(os.environ.get("LONGEST_SYNC_S", "0"))
USUAL_SHARE = 0.1  # of the longest time: the bound of a usual sync
STALL_PROBABILITY = float(os.environ.get("STALL_PROBABILITY", "0"))  # that a sync takes up to the longest time
_fsync, _fdatasync = os.fsync, os.fdatasync


def _wait():
    is_stalled = random.random() < STALL_PROBABILITY
    time.sleep(random.uniform(0.0, LONGEST_SYNC_S * (1.0 if is_stalled else USUAL_SHARE)))


def _slow_fsync(descriptor):
    _wait()
    _fsync(descriptor)


def _slow_fdatasync(descriptor):
    _wait()
    _fdatasync(descriptor)


os.fsync, os.fdatasync = _slow_fsync, _slow_fdatasync
