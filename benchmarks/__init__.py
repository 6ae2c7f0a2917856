"""Measurements, each run as `python -m benchmarks.NAME [--quick] [--seed N]`: a table, then one JSON line."""
