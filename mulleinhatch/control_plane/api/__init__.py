"""The two HTTP interfaces of a control-plane node.

`ControlApi` serves operators and backends at the `control` address; `InternalApi` serves the other processes of the system at
the internal address.
"""

from mulleinhatch.control_plane.api.control import ControlApi
from mulleinhatch.control_plane.api.internal import InternalApi, build_internal_api

__all__ = ["ControlApi", "InternalApi", "build_internal_api"]
