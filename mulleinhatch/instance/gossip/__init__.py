"""Gossip between instances: membership, failure detection, shared counters, leased quotas and outlier detection.

Events and datagrams go in, datagrams and state changes come out; nothing here does I/O or reads a clock.
`instance/runtime/gossip.py` drives it where the operator's file has a `fleet` node. It takes no decision about a request, and
no lost, late, repeated or reordered message, pause or restart lets the instances together exceed the total of a budget.
"""
