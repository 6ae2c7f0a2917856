"""The leader lease of the placement controller: one leader at a time, with a fencing token from the replicated state.

Used by `control_plane.placement.controller`. Pure. Two nodes never act as leader within one lease of each other.
"""
