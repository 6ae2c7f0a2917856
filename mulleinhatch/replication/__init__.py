"""Chain replication of the control state: writes enter at the head and commit at the tail.

Used by `control_plane.replicated_log`. Pure state machines: events in, effects out, no I/O. A write is never acknowledged
because of a timeout.

Source: R. van Renesse, F. B. Schneider, "Chain Replication for Supporting High Throughput and Availability" (2004).
"""
