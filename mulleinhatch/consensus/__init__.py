"""The agreed membership view of the chain: voters choose each next view by one round of single-decree consensus.

Called by `control_plane.core`; pure, and it never decides by a clock.
"""
