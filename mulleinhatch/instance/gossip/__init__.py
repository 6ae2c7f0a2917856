"""What instances may know of each other: members, counts, budgets, judgements; happenings and datagrams in, errands out.

`program/fleet.py` calls it where the operator's file has a `fleet` node. It never decides what becomes of an op, keeps no
clock, and whatever is lost, late, repeated, stopped or started anew it never lets a budget's total be exceeded.
"""
