"""Coordinated maintenance: instances leave service one after another, by permits that a majority of voters agrees on.

The package performs no I/O: events go in, messages come out. Membership comes from `gossip`. It never takes an instance out of
service itself. Under any partition, message loss, stall, crash or restart, no more instances are out than the bound allows:
a permit is valid until it is released and never expires by a clock.
"""
