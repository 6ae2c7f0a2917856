"""Sockets of the service instance: bytes in, bytes out, without knowledge of their meaning. Imports no other layer."""
