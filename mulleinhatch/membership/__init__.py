"""Who watches whom, and who is heard: rendezvous hashing gives each instance a few peers to monitor.

Called by `control_plane.core`; pure. A peer is suspected by silence alone, and never removed here.
"""
