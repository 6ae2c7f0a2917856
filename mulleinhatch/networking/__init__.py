"""Speak HTTP over sockets: parsers and writers without I/O, the client, and the server on the event loop.

Both planes, the service instance and the command line use it; it imports none of them and holds none of their state.
"""
