"""A search for failures of a complete fleet: random histories in virtual time, invariant checks from outside, shrinking.

`mulleinhatch search` and the tests call it. It checks the specified guarantees and does not depend on how
the program implements them.
"""
