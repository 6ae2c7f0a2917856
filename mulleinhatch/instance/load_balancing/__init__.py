"""Even load over instances that each see little: estimates that lean on the fleet, shares, offers of room and who takes an op.

`program/fleet.py` calls it where the operator's file has a `spread` node. It never decides that an op is handed over, nor runs
or answers one: the module decides that, and here it is settled where to.
"""
