"""Chain replication of the control state: writes enter at the head, replies come from the tail.

Called by `control_plane.core`; pure state machines, events in, effects out. It never acknowledges by a clock.
"""
