"""Placement of models and adapters on backends.

`controller.PlacementController` is the entry point, created by `control_plane.process`. Every control-plane node runs it;
only the placement leader issues orders, and each order carries its fencing token.
"""
