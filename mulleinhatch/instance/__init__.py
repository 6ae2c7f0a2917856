"""The service instance: one server behind somebody else's balancer, from its sockets to its decisions.

Started by `mulleinhatch serve`; `runtime` joins the packages beside it, and none of them knows the two planes of the system.
"""
