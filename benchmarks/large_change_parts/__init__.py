"""Parts of `benchmarks.large_changes`."""
