"""Run the control plane: it keeps the replicated configuration and the list of backends, and orders the loads of models.

The entry point is `control_plane.py`, which starts `process.ControlPlaneProcess`. Client traffic does not pass through it.
"""
