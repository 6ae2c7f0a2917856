"""Rendezvous hashing: each node ranks the others without coordination.

Used by the data plane to choose its control-plane node and a request's backend, and by the placement planner. Pure.
"""
