"""Defects that are planted into the processes of a run, to show that its checks find them."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

PLANTED_DIRECTORY = Path(__file__).resolve().parent / "planted"


class PlantedDefect(Enum):
    """A planted defect; `planted/sitecustomize.py` has its code."""

    NONE = "none"
    SERVE_DROPPED_ROUTES = "a data plane serves routes that were removed"
    KEEP_FORMER_SERVICE = "a data plane sends the requests of a moved route to its former service"
    STAY_ONE_VERSION_BEHIND = "a data plane stays one version behind after a change of the view"
    KEEP_FIRST_ADDRESSES = "settings are read at start only, and nobody calls a data plane"
    CONFIRM_OLD_VERSION = "a restarted control plane tells its old version as confirmed"
