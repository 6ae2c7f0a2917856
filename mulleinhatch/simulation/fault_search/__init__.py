"""A search for failures of a complete fleet: random histories in virtual time, invariant checks from outside, shrinking.

`mulleinhatch search` and the tests call it. It knows the rules and nothing of how the program keeps them.
"""
