"""An append-only file of checksummed records, for the control plane's durable state.

Used by `control_plane.state_store`. It does not interpret the records and never drops one that was synced.
"""
