"""Adapter between the simulator's wire and the admission controller.

Started by `python -m mulleinhatch.benchlink`. It knows the frames of the wire and takes no decision.
"""
