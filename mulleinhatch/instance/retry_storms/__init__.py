"""Retry and reconnect storms: told from bursts, deploys and loud callers, and damped until they are over.

The reducer calls `Desk`, and the front asks it before a request is read in full; nothing else does.
It never admits or refuses by itself: it counts, spreads in time, and keeps to the rate that the module names.
"""
