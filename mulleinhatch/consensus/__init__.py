"""Agreement on the chain's membership view: single-decree Paxos per epoch, and the planner of the next view.

Used by `control_plane.view_change` and `control_plane.node`. Pure: no I/O, no clock. A timeout never decides a view; it only
makes a node propose one.
"""
