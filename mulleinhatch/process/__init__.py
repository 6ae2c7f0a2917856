"""What every process of the system shares: its settings file, its log and the supervision of its background loops.

Called by both planes and the command line; it knows nothing of requests or of the control state.
"""
