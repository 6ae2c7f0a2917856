"""The real cores in virtual time: worlds, injected faults, invariant checkers, model checkers and the fault search.

Called by tests, benchmarks and `mulleinhatch search`; one seed gives one history, and the programs import none of it.
"""
