"""Adapter between the simulator's wire protocol and the admission controller.

Started by `python -m mulleinhatch.benchlink`. It encodes and decodes frames and takes no decision.
"""
