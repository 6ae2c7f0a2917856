"""Scripted counterparts of an instance, with their faults: caller stubs, an interpreter, and the rig.

The demo and the benchmarks start them, each in a process of its own; nothing of the service itself imports them.
They bind to loopback only, tell how late they ran themselves, and know nothing of what an instance has inside.
"""
