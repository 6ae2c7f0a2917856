"""HTTP over sockets: parsers and serializers without I/O, the client, and the server on the event loop.

Both planes, the service instance and the command line use this package; it imports none of them and has none of their state.
"""
