"""Placement of models and adapters on backends: demand, value, plan, and the orders that carry the plan out.

Called by `control_plane.process`; only the leader of the placement role acts, and only with its fencing token.
"""
