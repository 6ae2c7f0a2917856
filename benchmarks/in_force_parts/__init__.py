"""Parts of `benchmarks.in_force`: a fleet whose control-plane nodes are lost and replaced, an operator, probes, their judge."""
