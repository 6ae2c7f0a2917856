"""Parts of the soak: a fleet of processes, recording backends, clients, an operator, faults from a seed, and the checks."""
