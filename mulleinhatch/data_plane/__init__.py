"""The data plane's program: takes clients' requests, holds them by the design's mechanism, and passes them to backends.

Started by `data_plane.py`; it keeps nothing on disk and asks the control plane for all that it knows.
"""
