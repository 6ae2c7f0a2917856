"""How long the control plane takes to replace a lost node: constants that its nodes observe and data planes rely on. Pure."""

from __future__ import annotations

HEARTBEAT_S = 0.3  # interval between heartbeats of a control-plane node
ALIVE_S = 1.0  # a peer that has not answered for this long counts as unreachable
AUTHORITY_S = 1.0  # validity of a peer's confirmation of the view, from when the request was sent
PLANNING_INTERVAL_S = 0.1  # interval between comparisons of the view with its members' health
CONFIRM_TIMEOUT_S = 0.2  # a new view is confirmed by the heartbeats that its activation triggers
# Time from the loss of a member to the view without it, and until its successor may grant what only one node may grant.
VIEW_CHANGE_S = ALIVE_S + PLANNING_INTERVAL_S + CONFIRM_TIMEOUT_S
HANDOVER_S = VIEW_CHANGE_S + AUTHORITY_S
