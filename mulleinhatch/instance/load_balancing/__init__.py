"""Load balancing between instances that each see little of the load: estimates, offers of capacity, handover and redirects.

`instance/runtime/load_balancing.py` calls it where the operator's file has a `spread` node. It neither decides that a request
is handed over nor runs or answers one: the admission controller decides that, and this package chooses the receiver.
"""
