"""Settings, logging and supervision of background tasks, for every process of the system.

Both planes and the command line use this package; it imports none of them.
"""
