"""An append-only file of checksummed records, for the control plane's durable state.

Called by `control_plane.disk`; it knows nothing of what the records mean and never drops one that was synced.
"""
