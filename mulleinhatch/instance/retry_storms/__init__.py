"""Retry and reconnect storms: detect them, tell them from bursts, deploys and a single noisy caller, and damp them.

The request state machine calls `RetryAdmission`, and the caller listener asks it before it reads a request in full. The package
never admits or rejects a request by itself: it counts, spreads retries over time, and keeps to the rate that the admission
controller sets.
"""
