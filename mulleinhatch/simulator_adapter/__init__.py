"""Adapter between the simulator's wire and the admission controller: many instances on standard input and output.

Started by `python -m mulleinhatch.benchlink`; it knows the frames of the wire and takes no decision itself.
"""
