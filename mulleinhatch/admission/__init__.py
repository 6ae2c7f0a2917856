"""Admission control: the shared mechanism, and the controller of one service instance. Pure: no I/O, clock or randomness.

`AdmissionController` runs inside the service instance and the simulator adapter; the data plane uses `mechanism.py` only.
"""

from mulleinhatch.admission.constants import NOT_EXECUTED_ENDINGS
from mulleinhatch.admission.controller import AdmissionController

__all__ = ["NOT_EXECUTED_ENDINGS", "AdmissionController"]
