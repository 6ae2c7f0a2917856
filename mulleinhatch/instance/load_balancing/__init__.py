"""Load balancing between instances that each see little of the load: estimates, offers of capacity, handover and redirects.

`instance/runtime/load_balancing.py` calls it if the operator's file has a `spread` node. The admission controller decides that
a request is handed over, and this package chooses the receiver; it does not run or answer requests.
"""
