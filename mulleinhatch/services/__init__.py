"""Plumbing that both planes of the system share: settings, logs, web servers on the event loop, an HTTP client.

For `data_plane` and `control_plane`; it decides nothing and keeps no state of theirs.
"""
