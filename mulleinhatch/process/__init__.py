"""Provide what every process of the system needs: settings, logging, supervision of background tasks.

Both planes and the command line use it; it imports neither of them.
"""
