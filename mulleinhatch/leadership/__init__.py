"""Singleton roles: one holder at a time, by view and lease, with a fencing token from the replicated state.

Called by `control_plane.orders`; pure. It never lets two act within a lease of each other.
"""
