"""Sockets of the service instance: transports bytes without interpreting them. Imports no other layer."""
