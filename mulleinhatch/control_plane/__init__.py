"""Run the control plane: it replicates the configuration, tracks the backends and orders the loading of models.

The entry point is `control_plane.py`, which starts `process.ControlPlaneProcess`. Client traffic does not pass through it.
"""
