"""Sockets: bytes in, bytes out, no idea of what they mean. Imports none of the other layers."""
