"""HTTP over sockets for all programs: parsers and writers without I/O, the client, and the server on the event loop.

Called by both planes, the service instance and the command line; it decides nothing and keeps no state of theirs.
"""
