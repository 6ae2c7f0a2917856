"""Benchmarks, each run as `python -m benchmarks.NAME [--quick] [--seed N]`; each prints a table, then one JSON line."""
