"""Machines go out for work in an order that the instances settle: requests, their order, permits that a majority agrees on.

Pure: happenings in, errands out; stands on `fleet/` for who is there. It never takes an instance out by itself. Under any cut,
loss, stall, crash and restart no more are out than the bound: a permit is held until it is given back, not by a clock.
"""
