"""A search for what a whole fleet does wrong: histories by chance in virtual time, checks from outside, shrinking.

`mulleinhatch search` and the tests call it. It knows the rules and nothing of how the program keeps them.
"""
