"""Fakes and process harnesses for tests, demos and benchmarks: callers, interpreters, model servers, relays, fault scripts.

Each runs in a process of its own on loopback; the programs import none of them.
"""
