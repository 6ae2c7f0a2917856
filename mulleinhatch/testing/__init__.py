"""Fakes and process harnesses for tests, demos and benchmarks: callers, interpreters, model servers, relays, fault scripts.

The fakes run in processes of their own on loopback; the production programs import nothing from this package.
"""
