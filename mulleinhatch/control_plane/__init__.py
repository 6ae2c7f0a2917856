"""The control plane's program: keeps the configuration and the list of backends, tells the data planes, orders loads of models.

Started by `control_plane.py`; it carries none of the clients' traffic.
"""
