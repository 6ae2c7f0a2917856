"""Simulates quotas in virtual time: several owners and data planes, faults, and checks of the quota rule after every event.

`play(seed)` runs one history; the seed determines it.
"""

from mulleinhatch.simulation.quotas.defects import Defect
from mulleinhatch.simulation.quotas.world import History, play

__all__ = ["Defect", "History", "play"]
