"""Gossip between instances: membership, failure detection, shared counters, leased quotas and outlier detection.

Events and datagrams go in, datagrams and state changes come out; nothing here does I/O or reads a clock.
`instance/runtime/gossip.py` drives it if the operator's file has a `fleet` node. It makes no decision about a request. Lost,
late, duplicated or reordered messages, pauses and restarts never let the instances together exceed the total of a budget.
"""
